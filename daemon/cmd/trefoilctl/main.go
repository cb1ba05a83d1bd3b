// Command trefoilctl is the operators' command line interface to a fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/trefoilwell/trefoilwell/daemon/cmd/trefoilctl/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
