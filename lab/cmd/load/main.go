// Command load sends completion requests to running daemons and prints the number
// and latency of the answers of each account. It exits with 1 if an answer broke or
// the table cannot be written, and with 2 on a bad command line.
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
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	results := load.Run(ctx, load.Options{Addresses: opts.Address, Accounts: accounts(opts)})
	if err := load.WriteTable(os.Stdout, results); err != nil {
		os.Exit(exitBroken)
	}
	for _, result := range results {
		if result.Broken > 0 {
			os.Exit(exitBroken)
		}
	}
}

// accounts returns the account of each NAME=KEY pair with the common options.
func accounts(opts options) []load.Account {
	var list []load.Account
	for _, nameAndKey := range opts.Key {
		name, key, _ := strings.Cut(nameAndKey, "=")
		list = append(list, load.Account{
			Name:      name,
			Key:       key,
			Callers:   opts.Callers,
			Requests:  opts.Requests,
			Model:     opts.Model,
			MaxTokens: opts.Tokens,
			Prompt:    opts.Prompt,
		})
	}
	return list
}
