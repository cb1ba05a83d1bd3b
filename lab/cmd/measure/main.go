// Command measure runs fleets in virtual time and prints how they share.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/trefoilwell/trefoilwell/lab/measure"
)

type options struct {
	Seed        uint64   `long:"seed" default:"1" description:"seed of every run"`
	Deployments []string `long:"deployment" choice:"queensland" choice:"sialkot" choice:"growing" default:"queensland" default:"sialkot" description:"what to run; may be repeated"`
	Scenarios   []string `long:"scenario" description:"run only scenarios of this name; may be repeated"`
	Daemons     []int    `long:"daemons" default:"6" default:"12" default:"28" default:"60" default:"120" default:"340" description:"sizes of growing; may be repeated"`
	CSV         string   `long:"csv" description:"write the figures to this file"`
	JSON        string   `long:"json" description:"write the figures and time series to this file"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(opts options) error {
	var results []measure.Result
	for _, scenario := range opts.chosen() {
		result, err := measure.Run(scenario)
		if err != nil {
			return errors.Wrapf(err, "scenario %s of %s", scenario.Name, scenario.Deployment.Name)
		}
		results = append(results, result)
	}
	if err := measure.WriteTable(os.Stdout, results); err != nil {
		return err
	}
	if err := toFile(opts.CSV, results, measure.WriteCSV); err != nil {
		return err
	}
	return toFile(opts.JSON, results, measure.WriteJSON)
}

// chosen returns the scenarios that the options ask for.
func (o options) chosen() []measure.Scenario {
	var all []measure.Scenario
	for _, deployment := range o.Deployments {
		switch deployment {
		case "queensland":
			all = append(all, measure.Standard(measure.Queensland, o.Seed)...)
		case "sialkot":
			all = append(all, measure.Standard(measure.Sialkot, o.Seed)...)
		default:
			all = append(all, measure.Growing(o.Daemons, o.Seed)...)
		}
	}
	if len(o.Scenarios) == 0 {
		return all
	}
	var chosen []measure.Scenario
	for _, scenario := range all {
		for _, name := range o.Scenarios {
			if scenario.Name == name {
				chosen = append(chosen, scenario)
			}
		}
	}
	return chosen
}

func toFile(path string, results []measure.Result, write func(io.Writer, []measure.Result) error) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "results file")
	}
	return errors.CombineErrors(write(file, results), file.Close())
}
