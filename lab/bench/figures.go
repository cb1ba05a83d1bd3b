package bench

import (
	"fmt"

	"github.com/trefoilwell/trefoilwell/lab/measure"
)

// Bounds of the figures.
const (
	// gapRatioTarget is the largest fairness gap on an uneven spread, as a
	// fraction of the gap under round robin.
	gapRatioTarget = 0.1
	// utilisationTarget is the smallest used fraction of the usable slots while
	// requests wait.
	utilisationTarget = 0.98
	// controlTarget is the largest standing control traffic of a daemon, in
	// bytes per second.
	controlTarget = 3_000
	// requestBytesTarget is the largest control traffic of one request, counted
	// at the sender only, in bytes.
	requestBytesTarget = 100
)

// unbrokenScenarios are the scenarios in which no answer may break, because no
// daemon is lost. Refusals have no bound: an account that asks for more than
// its fair share rightly has requests refused at their deadline.
var unbrokenScenarios = map[string]bool{
	"steady":          true,
	"data-centre-out": true,
	"presets":         true,
}

// Figures derives the figures of a report from the results of all scenarios.
func Figures(results []measure.Result) []Figure {
	var figures []Figure
	for _, result := range results {
		if result.Policy == measure.PolicyFleet {
			figures = append(figures, figuresOf(result)...)
		}
	}
	return append(figures, gapRatioFigures(results)...)
}

// figuresOf returns the figures of a scenario under the fleet's own dispatching.
func figuresOf(r measure.Result) []Figure {
	name := func(figure string) string {
		if r.Scenario == "growing" {
			return fmt.Sprintf("growing-%d/%s", r.Daemons, figure)
		}
		return fmt.Sprintf("%s/%s-%s/%s", r.Deployment, r.Scenario, r.Spread, figure)
	}
	figures := []Figure{
		{Name: name("over-cold-limit"), Unit: "requests", Value: float64(r.OverCold)},
		{Name: name("control-standing-max"), Unit: "B/s", Value: r.Traffic.StandingMax, Bound: controlTarget},
		{Name: name("control-per-request"), Unit: "B", Value: r.BytesPerRequest, Bound: requestBytesTarget},
	}
	if r.Scenario == "growing" {
		return figures
	}
	figures = append(figures,
		Figure{Name: name("fairness-gap"), Unit: "cost units", Value: r.Gap, Bound: r.Bound},
		Figure{
			Name: name("utilisation"), Unit: "fraction", Value: r.Utilisation,
			Bound: utilisationTarget, Higher: true,
		})
	if r.Scenario == "data-centre-out" {
		figures = append(figures, Figure{
			Name: name("new-work-while-out"), Unit: "grants", Value: float64(r.NewWorkWhileOut),
		})
	}
	if unbrokenScenarios[r.Scenario] {
		figures = append(figures, Figure{Name: name("broken"), Unit: "requests", Value: float64(r.Broken)})
	}
	return figures
}

// gapRatioFigures compares the fleet's gaps on an uneven spread with those under
// round robin.
func gapRatioFigures(results []measure.Result) []Figure {
	var figures []Figure
	for _, fleet := range results {
		if !comparesGap(fleet) || fleet.Policy != measure.PolicyFleet {
			continue
		}
		for _, baseline := range results {
			if baseline.Deployment == fleet.Deployment && comparesGap(baseline) && baseline.Policy == measure.PolicyRoundRobin {
				figures = append(figures, gapRatios(fleet, baseline)...)
			}
		}
	}
	return figures
}

// gapRatios returns the ratios of the gap over the contended service, for which
// other accounts waited, and of the gap over all service.
func gapRatios(fleet, baseline measure.Result) []Figure {
	return []Figure{
		{
			Name: fleet.Deployment + "/gap-against-round-robin", Unit: "ratio",
			Value: fleet.Gap / baseline.Gap, Bound: gapRatioTarget,
		},
		{
			Name: fleet.Deployment + "/total-gap-against-round-robin", Unit: "ratio",
			Value: fleet.TotalGap / baseline.TotalGap, Bound: gapRatioTarget,
		},
	}
}

// comparesGap reports whether a result is of the scenario in which the fairness gaps
// of the policies are compared.
func comparesGap(r measure.Result) bool {
	return r.Scenario == "steady" && r.Spread == measure.SpreadUneven
}
