// Command load sends completions to running daemons and prints what came back.
package main

import (
	"context"
	"os"
	"os/signal"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/trefoilwell/trefoilwell/lab/load"
)

const (
	exitBroken = 1
	exitUsage  = 2
)

// options are the command's flags.
type options struct {
	Address  []string `long:"address" short:"a" required:"true" description:"callers' address of a daemon; may be repeated"`
	Key      []string `long:"key" short:"k" required:"true" description:"NAME=KEY of a client account; may be repeated"`
	Model    string   `long:"model" short:"m" required:"true" description:"model to ask for"`
	Callers  int      `long:"callers" default:"4" description:"requests in progress for each account"`
	Requests int      `long:"requests" default:"100" description:"requests of each account"`
	Tokens   int      `long:"tokens" default:"64" description:"tokens of each answer"`
	Prompt   string   `long:"prompt" default:"Which compound for a hazed pane?" description:"text of each request"`
}

func main() {
	var parsed options
	if _, err := flags.Parse(&parsed); err != nil {
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	results := load.Run(ctx, load.Options{Addresses: parsed.Address, Accounts: accounts(parsed)})
	if err := load.WriteTable(os.Stdout, results); err != nil {
		os.Exit(exitBroken)
	}
	for _, result := range results {
		if result.Broken > 0 {
			os.Exit(exitBroken)
		}
	}
}

func accounts(parsed options) []load.Account {
	var all []load.Account
	for _, pair := range parsed.Key {
		name, key, _ := strings.Cut(pair, "=")
		all = append(all, load.Account{
			Name:      name,
			Key:       key,
			Callers:   parsed.Callers,
			Requests:  parsed.Requests,
			Model:     parsed.Model,
			MaxTokens: parsed.Tokens,
			Prompt:    parsed.Prompt,
		})
	}
	return all
}
