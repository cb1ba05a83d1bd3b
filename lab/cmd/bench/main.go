// Command bench runs the whole benchmark in virtual time, prints each figure
// with its bound and its value at an earlier revision, and draws plots. It exits
// with 1 if a figure is past its bound or has regressed, or if the run fails, and
// with 2 on a bad command line.
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
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	withinBounds, err := run(ctx, opts)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
	}
	if err != nil || !withinBounds {
		os.Exit(exitFailure)
	}
}

// run runs the benchmark and reports whether every figure is within its bound and
// has not regressed.
func run(ctx context.Context, opts options) (bool, error) {
	var earlier bench.Report
	if opts.Against != "" {
		var err error
		if earlier, err = bench.EarlierReport(ctx, opts.Against); err != nil {
			return false, err
		}
	}
	if len(opts.Daemons) == 0 {
		opts.Daemons = bench.DefaultDaemons
	}
	results, err := bench.Run(ctx, bench.Options{Seed: opts.Seed, Daemons: opts.Daemons})
	if err != nil {
		return false, err
	}
	if err := measure.WriteTable(os.Stdout, results); err != nil {
		return false, err
	}
	fmt.Println()
	report := bench.Report{Seed: opts.Seed, Figures: bench.Figures(results)}
	failing, err := bench.WriteTable(os.Stdout, report, earlier)
	if err != nil {
		return false, err
	}
	fmt.Printf("\n%d of %d figures past their bound or worse than before\n", failing, len(report.Figures))
	return failing == 0, writeFiles(opts, report, results)
}

// writeFiles writes the plots and the report to the output folder, and the report
// to bench.ReportPath too if it is to be kept.
func writeFiles(opts options, report bench.Report, results []measure.Result) error {
	if err := bench.WritePlots(opts.Out, results); err != nil {
		return err
	}
	if err := report.Write(filepath.Join(opts.Out, "report.json")); err != nil {
		return err
	}
	if !opts.Keep {
		return nil
	}
	if err := os.MkdirAll(filepath.Dir(bench.ReportPath), 0o755); err != nil {
		return err
	}
	return report.Write(bench.ReportPath)
}
