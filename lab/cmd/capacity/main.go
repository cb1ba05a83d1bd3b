// Command capacity measures the resources that a daemon uses at several fleet
// sizes and prints their linear extrapolation to a larger fleet.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/trefoilwell/trefoilwell/lab/capacity"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

// options are the command's flags.
type options struct {
	Seed    uint64 `long:"seed" default:"1" description:"seed of every run"`
	Daemons []int  `long:"daemons" default:"12" default:"28" default:"60" default:"120" description:"fleet sizes to measure; may be repeated"`
	Size    int    `long:"size" default:"340" description:"fleet size to work out"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	costs, err := capacity.Measure(opts.Daemons, opts.Seed)
	if err == nil {
		err = capacity.WriteTable(os.Stdout, costs, opts.Size)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(exitFailure)
	}
}
