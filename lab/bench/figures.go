package bench

import (
	"fmt"

	"github.com/trefoilwell/trefoilwell/lab/measure"
)

// The targets that figures are held to.
const (
	// gapRatioTarget is the largest fairness gap on an uneven spread, as a
	// fraction of round robin's.
	gapRatioTarget = 0.1
	// utilisationTarget is the least used fraction of the usable slots while
	// work waits.
	utilisationTarget = 0.98
	// controlTarget is the largest standing control traffic of a daemon, in
	// bytes a second.
	controlTarget = 3_000
	// requestBytesTarget is the largest control traffic of one request,
	// counted at one end, in bytes.
	requestBytesTarget = 100
)

// quietScenarios are those in which no answer may break, because no daemon is
// lost. Refusals have no bound: an account that asks for more than its share
// has requests that truthfully end at their deadline.
var quietScenarios = map[string]bool{
	"steady":          true,
	"data-centre-out": true,
	"presets":         true,
}

// Figures derives the report's figures from results.
func Figures(results []measure.Result) []Figure {
	var figures []Figure
	for _, result := range results {
		if result.Policy == measure.PolicyFleet {
			figures = append(figures, figuresOf(result)...)
		}
	}
	return append(figures, ratios(results)...)
}

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
	if quietScenarios[r.Scenario] {
		figures = append(figures, Figure{Name: name("broken"), Unit: "requests", Value: float64(r.Broken)})
	}
	return figures
}

// ratios compares the fleet's gap with the baselines' on an uneven spread.
func ratios(results []measure.Result) []Figure {
	var figures []Figure
	for _, fleet := range results {
		if !compared(fleet) || fleet.Policy != measure.PolicyFleet {
			continue
		}
		for _, baseline := range results {
			if baseline.Deployment == fleet.Deployment && compared(baseline) && baseline.Policy == measure.PolicyRoundRobin {
				figures = append(figures, gapRatios(fleet, baseline)...)
			}
		}
	}
	return figures
}

// gapRatios gives the gap over service that other accounts waited for, and the
// one over all service.
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

func compared(r measure.Result) bool {
	return r.Scenario == "steady" && r.Spread == measure.SpreadUneven
}
