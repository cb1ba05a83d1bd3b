// Command soak runs daemons as separate processes under random disturbances and
// checks the answers that callers get and the requests that upstreams receive. It
// exits with 1 if a run has violations or fails, and with 2 on a bad command line.
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

// daemonPackage is the import path of the daemon's command.
const daemonPackage = "github.com/trefoilwell/trefoilwell/daemon/cmd/trefoilwell"

// options are the command's flags.
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
	NoDeadly  bool    `long:"no-deadly" description:"leave out prompts that crash upstreams"`
	NoRestore bool    `long:"no-restores" description:"leave out returns of the store from older copies"`
	NoLimits  bool    `long:"no-limits" description:"leave out upstreams that name rate limits"`
	NoOdd     bool    `long:"no-odd" description:"leave out answers without end, versions without accounts and upstreams that start again unseen"`
	NoRollout bool    `long:"no-rollouts" description:"leave out rollouts of software versions"`
	Verbose   bool    `long:"verbose" description:"log each disturbance"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// run runs the soak test once for each seed and prints a summary of each run.
func run(opts options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if opts.Binary == "" {
		opts.Binary = filepath.Join(opts.Out, "trefoilwell")
		build := exec.CommandContext(ctx, "go", "build", "-o", opts.Binary, daemonPackage)
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			return errors.Wrap(err, "build the daemon")
		}
	}
	level := slog.LevelWarn
	if opts.Verbose {
		level = slog.LevelInfo
	}
	failed := 0
	for seed := opts.Seed; seed < opts.Seed+uint64(opts.Runs) && ctx.Err() == nil; seed++ {
		folder := filepath.Join(opts.Out, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(folder, 0o755); err != nil {
			return errors.Wrap(err, "create folder for the run's logs")
		}
		report, err := soak.Run(ctx, soak.Options{
			Seed: seed, Length: time.Duration(opts.Minutes * float64(time.Minute)),
			VMs: opts.VMs, Upstreams: opts.Upstreams, Callers: opts.Callers,
			Binary: opts.Binary, Dir: folder, CheckTiming: !opts.NoTiming, NoDeadly: opts.NoDeadly, NoLimits: opts.NoLimits, NoRestores: opts.NoRestore, NoOdd: opts.NoOdd, NoRollouts: opts.NoRollout,
			Log: slog.New(slog.NewTextHandler(os.Stdout, &slog.HandlerOptions{Level: level})),
		})
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d requests, %d served, %d executions, %d disturbances, %d crashes, %d limits, %d returns of the store, %d odd faults, %d rollouts with %d rolled back, peak of %d MB, %d violations\n",
			seed, report.Requests, report.Served, report.Executions, report.Disturbances, report.Crashes, report.Limits, report.Restores, report.Odd, report.Rollouts, report.RolledBack, report.PeakMemory>>20, len(report.Violations))
		for _, violation := range report.Violations[:min(len(report.Violations), 5)] {
			fmt.Println("  ", violation)
		}
		if len(report.Violations) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return errors.Newf("%d runs had violations", failed)
	}
	return nil
}
