// Command soak runs daemons as separate processes under random disturbances and
// checks what callers and upstreams see.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/trefoilwell/trefoilwell/lab/soak"
)

// program is the package of the daemon.
const program = "github.com/trefoilwell/trefoilwell/daemon/cmd/trefoilwell"

type options struct {
	Seed      uint64  `long:"seed" default:"1" description:"seed of the first run"`
	Runs      int     `long:"runs" default:"1" description:"runs, each with the next seed"`
	Minutes   float64 `long:"minutes" default:"1" description:"length of a run, in minutes"`
	VMs       int     `long:"vms" default:"3" description:"daemons"`
	Upstreams int     `long:"upstreams" default:"4" description:"upstreams"`
	Callers   int     `long:"callers" default:"6" description:"callers, each with one request at a time"`
	Binary    string  `long:"binary" description:"the daemon's program; default built from this workspace"`
	Out       string  `long:"out" default:"out/soak" description:"folder for the logs of each run"`
	NoTiming  bool    `long:"no-timing" description:"check only what does not depend on the machine's speed"`
	Verbose   bool    `long:"verbose" description:"log each disturbance"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if o.Binary == "" {
		o.Binary = filepath.Join(o.Out, "trefoilwell")
		build := exec.CommandContext(ctx, "go", "build", "-o", o.Binary, program)
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			return errors.Wrap(err, "build the daemon")
		}
	}
	level := slog.LevelWarn
	if o.Verbose {
		level = slog.LevelInfo
	}
	failed := 0
	for seed := o.Seed; seed < o.Seed+uint64(o.Runs) && ctx.Err() == nil; seed++ {
		dir := filepath.Join(o.Out, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return errors.Wrap(err, "folder of the run")
		}
		report, err := soak.Run(ctx, soak.Options{
			Seed: seed, Length: time.Duration(o.Minutes * float64(time.Minute)),
			VMs: o.VMs, Upstreams: o.Upstreams, Callers: o.Callers,
			Binary: o.Binary, Dir: dir, Timing: !o.NoTiming,
			Log: slog.New(slog.NewTextHandler(os.Stdout, &slog.HandlerOptions{Level: level})),
		})
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d requests, %d served, %d runs, %d disturbances, %d violations\n",
			seed, report.Requests, report.Served, report.Runs, report.Disturbances, len(report.Violations))
		for _, violation := range report.Violations[:min(len(report.Violations), 5)] {
			fmt.Println("  ", violation)
		}
		if len(report.Violations) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return errors.Newf("%d runs with a promise not kept", failed)
	}
	return nil
}
