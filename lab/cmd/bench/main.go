// Command bench runs the whole benchmark in virtual time, prints each figure
// beside its bound and its value at an earlier revision, and draws plots. It
// exits with 1 if a figure is past its bound or worse than before.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"

	"github.com/jessevdk/go-flags"

	"github.com/trefoilwell/trefoilwell/lab/bench"
	"github.com/trefoilwell/trefoilwell/lab/measure"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

// options are the command's flags.
type options struct {
	Seed    uint64 `long:"seed" default:"1" description:"seed of every run"`
	Daemons []int  `long:"daemons" description:"fleet sizes to measure; may be repeated; default all"`
	Against string `long:"against" description:"earlier revision whose report to compare with"`
	Out     string `long:"out" default:"out/bench" description:"folder for the plots and the report"`
	Keep    bool   `long:"keep" description:"keep the report as this revision's, in docs/benchmarks"`
}

func main() {
	var parsed options
	if _, err := flags.Parse(&parsed); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	kept, err := run(ctx, parsed)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
	}
	if err != nil || !kept {
		os.Exit(exitFailure)
	}
}

// run reports whether every figure kept its bound.
func run(ctx context.Context, o options) (bool, error) {
	var earlier bench.Report
	if o.Against != "" {
		var err error
		if earlier, err = bench.Earlier(ctx, o.Against); err != nil {
			return false, err
		}
	}
	if len(o.Daemons) == 0 {
		o.Daemons = bench.DefaultDaemons
	}
	results, err := bench.Run(ctx, bench.Options{Seed: o.Seed, Daemons: o.Daemons})
	if err != nil {
		return false, err
	}
	if err := measure.WriteTable(os.Stdout, results); err != nil {
		return false, err
	}
	fmt.Println()
	report := bench.Report{Seed: o.Seed, Figures: bench.Figures(results)}
	bad, err := bench.WriteTable(os.Stdout, report, earlier)
	if err != nil {
		return false, err
	}
	fmt.Printf("\n%d of %d figures past their bound or worse than before\n", bad, len(report.Figures))
	return bad == 0, store(o, report, results)
}

func store(o options, report bench.Report, results []measure.Result) error {
	if err := bench.Plots(o.Out, results); err != nil {
		return err
	}
	if err := report.Write(filepath.Join(o.Out, "report.json")); err != nil {
		return err
	}
	if !o.Keep {
		return nil
	}
	if err := os.MkdirAll(filepath.Dir(bench.ReportPath), 0o755); err != nil {
		return err
	}
	return report.Write(bench.ReportPath)
}
