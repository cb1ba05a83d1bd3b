// Command capacity measures what a daemon costs at several fleet sizes and
// prints what the slopes give at a larger one.
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
	var parsed options
	if _, err := flags.Parse(&parsed); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	costs, err := capacity.Measure(parsed.Daemons, parsed.Seed)
	if err == nil {
		err = capacity.WriteTable(os.Stdout, costs, parsed.Size)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(exitFailure)
	}
}
