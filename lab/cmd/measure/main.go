// Command measure runs fleets in virtual time and prints their fairness gap,
// utilisation, control traffic and service.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/trefoilwell/trefoilwell/lab/measure"
)

// options are the command's flags.
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
	for _, scenario := range opts.scenarios() {
		result, err := measure.Run(scenario)
		if err != nil {
			return errors.Wrapf(err, "run scenario %q of deployment %q", scenario.Name, scenario.Deployment.Name)
		}
		results = append(results, result)
	}
	if err := measure.WriteTable(os.Stdout, results); err != nil {
		return err
	}
	if err := writeFile(opts.CSV, results, measure.WriteCSV); err != nil {
		return err
	}
	return writeFile(opts.JSON, results, measure.WriteJSON)
}

// scenarios returns the scenarios that the flags select.
func (opts options) scenarios() []measure.Scenario {
	var list []measure.Scenario
	for _, deployment := range opts.Deployments {
		switch deployment {
		case "queensland":
			list = append(list, measure.StandardScenarios(measure.Queensland, opts.Seed)...)
		case "sialkot":
			list = append(list, measure.StandardScenarios(measure.Sialkot, opts.Seed)...)
		default:
			list = append(list, measure.GrowingScenarios(opts.Daemons, opts.Seed)...)
		}
	}
	if len(opts.Scenarios) == 0 {
		return list
	}
	var selected []measure.Scenario
	for _, scenario := range list {
		for _, name := range opts.Scenarios {
			if scenario.Name == name {
				selected = append(selected, scenario)
			}
		}
	}
	return selected
}

// writeFile writes results to a file; an empty path writes nothing.
func writeFile(path string, results []measure.Result, write func(io.Writer, []measure.Result) error) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create file for results")
	}
	return errors.CombineErrors(write(file, results), file.Close())
}
