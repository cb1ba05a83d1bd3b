package bench

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/lab/chart"
	"github.com/trefoilwell/trefoilwell/lab/measure"
)

// WritePlots draws the charts of results as SVG files in a folder, which is created
// if it does not exist.
func WritePlots(folder string, results []measure.Result) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "create folder for plots")
	}
	for name, c := range charts(results) {
		if err := c.Save(filepath.Join(folder, name+".svg")); err != nil {
			return err
		}
	}
	return nil
}

// charts returns the charts by their file names without extension.
func charts(results []measure.Result) map[string]chart.Chart {
	byName := map[string]chart.Chart{"control-by-fleet-size": controlBySize(results)}
	for _, deployment := range []string{"queensland", "sialkot"} {
		byName[deployment+"-gap"] = gapOverTime(deployment, results)
		byName[deployment+"-utilisation"] = utilisationOverTime(deployment, results)
		byName[deployment+"-data-centre-out"] = serviceWhileEvacuated(deployment, results)
	}
	return byName
}

// gapOverTime charts the fairness gap under each policy.
func gapOverTime(deployment string, results []measure.Result) chart.Chart {
	c := chart.Chart{
		Title:  "Fairness gap, uneven spread: " + deployment,
		XLabel: "seconds",
		YLabel: "weighted cost units",
	}
	for _, r := range results {
		if r.Deployment == deployment && comparesGap(r) {
			c.Series = append(c.Series, newSeries(string(r.Policy), r, func(sample measure.Sample) float64 { return sample.Gap }))
		}
	}
	return c
}

// utilisationOverTime charts the utilisation in the scenarios in which no answer may
// break. Intervals in which no request waited are drawn as 0.
func utilisationOverTime(deployment string, results []measure.Result) chart.Chart {
	c := chart.Chart{
		Title:  "Used fraction of the usable slots while requests wait: " + deployment,
		XLabel: "seconds",
		YLabel: "fraction",
	}
	for _, r := range results {
		if r.Deployment == deployment && r.Policy == measure.PolicyFleet && r.Spread == measure.SpreadUneven && unbrokenScenarios[r.Scenario] {
			c.Series = append(c.Series, newSeries(r.Scenario, r, func(sample measure.Sample) float64 { return max(sample.Utilisation, 0) }))
		}
	}
	return c
}

// serviceWhileEvacuated charts the requests that run, are refused and break while a
// data centre is evacuated and restored.
func serviceWhileEvacuated(deployment string, results []measure.Result) chart.Chart {
	c := chart.Chart{
		Title:  "Service while a data centre leaves and returns: " + deployment,
		XLabel: "seconds",
		YLabel: "requests",
	}
	for _, r := range results {
		if r.Deployment == deployment && r.Scenario == "data-centre-out" {
			c.Series = append(c.Series,
				newSeries("running", r, func(sample measure.Sample) float64 { return float64(sample.Running) }),
				newSeries("refused so far", r, func(sample measure.Sample) float64 { return float64(sample.Refused) }),
				newSeries("broken so far", r, func(sample measure.Sample) float64 { return float64(sample.Broken) }))
		}
	}
	return c
}

func newSeries(name string, r measure.Result, value func(measure.Sample) float64) chart.Series {
	line := chart.Series{Name: name}
	for _, sample := range r.Series {
		line.Points = append(line.Points, chart.Point{X: sample.Seconds, Y: value(sample)})
	}
	return line
}

// controlBySize charts the control traffic of a daemon over the fleet size.
func controlBySize(results []measure.Result) chart.Chart {
	mean := chart.Series{Name: "standing, mean"}
	largest := chart.Series{Name: "standing, largest"}
	perRequest := chart.Series{Name: "for requests, mean"}
	for _, r := range results {
		if r.Scenario != "growing" {
			continue
		}
		x := float64(r.Daemons)
		mean.Points = append(mean.Points, chart.Point{X: x, Y: r.Traffic.StandingMean})
		largest.Points = append(largest.Points, chart.Point{X: x, Y: r.Traffic.StandingMax})
		perRequest.Points = append(perRequest.Points, chart.Point{X: x, Y: r.Traffic.RequestMean})
	}
	return chart.Chart{
		Title:       fmt.Sprintf("Control traffic of a daemon (target %d B/s)", controlTarget),
		XLabel:      "daemons",
		YLabel:      "bytes a second",
		Series:      []chart.Series{mean, largest, perRequest},
		Logarithmic: true,
	}
}
