package bench

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/lab/chart"
	"github.com/trefoilwell/trefoilwell/lab/measure"
)

// Plots draws the charts of a run into a folder.
func Plots(folder string, results []measure.Result) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "plots folder")
	}
	for name, c := range charts(results) {
		if err := c.Save(filepath.Join(folder, name+".svg")); err != nil {
			return err
		}
	}
	return nil
}

// charts returns each chart by file name.
func charts(results []measure.Result) map[string]chart.Chart {
	all := map[string]chart.Chart{"control-by-fleet-size": controlBySize(results)}
	for _, deployment := range []string{"queensland", "sialkot"} {
		all[deployment+"-gap"] = gapOverTime(deployment, results)
		all[deployment+"-utilisation"] = utilisationOverTime(deployment, results)
		all[deployment+"-data-centre-out"] = serviceWhileOut(deployment, results)
	}
	return all
}

func gapOverTime(deployment string, results []measure.Result) chart.Chart {
	c := chart.Chart{
		Title:  "Fairness gap, uneven spread: " + deployment,
		XLabel: "seconds",
		YLabel: "weighted cost units",
	}
	for _, r := range results {
		if r.Deployment == deployment && compared(r) {
			c.Series = append(c.Series, series(string(r.Policy), r, func(s measure.Sample) float64 { return s.Gap }))
		}
	}
	return c
}

func utilisationOverTime(deployment string, results []measure.Result) chart.Chart {
	c := chart.Chart{
		Title:  "Used part of the usable slots while work waits: " + deployment,
		XLabel: "seconds",
		YLabel: "fraction",
	}
	for _, r := range results {
		if r.Deployment == deployment && r.Policy == measure.PolicyFleet && r.Spread == measure.SpreadUneven && quietScenarios[r.Scenario] {
			c.Series = append(c.Series, series(r.Scenario, r, func(s measure.Sample) float64 { return max(s.Utilisation, 0) }))
		}
	}
	return c
}

func serviceWhileOut(deployment string, results []measure.Result) chart.Chart {
	c := chart.Chart{
		Title:  "Service while a data centre leaves and returns: " + deployment,
		XLabel: "seconds",
		YLabel: "requests",
	}
	for _, r := range results {
		if r.Deployment == deployment && r.Scenario == "data-centre-out" {
			c.Series = append(c.Series,
				series("running", r, func(s measure.Sample) float64 { return float64(s.Running) }),
				series("refused so far", r, func(s measure.Sample) float64 { return float64(s.Refused) }),
				series("broken so far", r, func(s measure.Sample) float64 { return float64(s.Broken) }))
		}
	}
	return c
}

func series(name string, r measure.Result, value func(measure.Sample) float64) chart.Series {
	s := chart.Series{Name: name}
	for _, sample := range r.Series {
		s.Points = append(s.Points, chart.Point{X: sample.Seconds, Y: value(sample)})
	}
	return s
}

func controlBySize(results []measure.Result) chart.Chart {
	mean := chart.Series{Name: "standing, mean"}
	most := chart.Series{Name: "standing, largest"}
	perRequest := chart.Series{Name: "for requests, mean"}
	for _, r := range results {
		if r.Scenario != "growing" {
			continue
		}
		x := float64(r.Daemons)
		mean.Points = append(mean.Points, chart.Point{X: x, Y: r.Traffic.StandingMean})
		most.Points = append(most.Points, chart.Point{X: x, Y: r.Traffic.StandingMax})
		perRequest.Points = append(perRequest.Points, chart.Point{X: x, Y: r.Traffic.RequestMean})
	}
	return chart.Chart{
		Title:       fmt.Sprintf("Control traffic of a daemon (target %d B/s)", controlTarget),
		XLabel:      "daemons",
		YLabel:      "bytes a second",
		Series:      []chart.Series{mean, most, perRequest},
		Logarithmic: true,
	}
}
