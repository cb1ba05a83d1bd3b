package measure_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/lab/measure"
)

const (
	// Targets: the largest fairness gap as a fraction of round robin's, the smallest
	// used fraction of the usable slots while requests wait, and the largest
	// control traffic of a daemon.
	maxGapRatio              = 0.1
	minUtilisation           = 0.98
	maxControlBytesPerSecond = 3 * 1024
	// ciWarmUp and ciLength shorten the standard scenarios to the time that CI has.
	ciWarmUp = 15 * time.Second
	ciLength = 40 * time.Second
	ciSeed   = 1
)

// ciScenario returns a standard scenario that is shortened for CI.
func ciScenario(t *testing.T, build func() measure.Deployment, name string, policy measure.Policy, spread measure.Spread) measure.Scenario {
	t.Helper()
	scenario := findScenario(t, build, name, policy, spread)
	scenario.WarmUp, scenario.Length = ciWarmUp, ciLength
	return scenario
}

// findScenario returns the standard scenario with a name, policy and spread.
func findScenario(t *testing.T, build func() measure.Deployment, name string, policy measure.Policy, spread measure.Spread) measure.Scenario {
	t.Helper()
	for _, scenario := range measure.StandardScenarios(build, ciSeed) {
		if scenario.Name == name && scenario.Policy == policy && scenario.Spread == spread {
			return scenario
		}
	}
	t.Fatalf("no standard scenario %q with policy %q and spread %q", name, policy, spread)
	return measure.Scenario{}
}

func run(t *testing.T, scenario measure.Scenario) measure.Result {
	t.Helper()
	result, err := measure.Run(scenario)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// forEachDeployment runs a check for both standard deployments in parallel.
func forEachDeployment(t *testing.T, check func(t *testing.T, build func() measure.Deployment)) {
	t.Run("queensland", func(t *testing.T) { t.Parallel(); check(t, measure.Queensland) })
	t.Run("sialkot", func(t *testing.T) { t.Parallel(); check(t, measure.Sialkot) })
}

// checkTargets checks the gap against its bound, utilisation, cold limits and
// control traffic.
func checkTargets(t *testing.T, result measure.Result) {
	t.Helper()
	if result.Gap > result.Bound {
		t.Errorf("%s: fairness gap is %.0f cost units, bound is %.0f", result.Scenario, result.Gap, result.Bound)
	}
	if result.Utilisation < minUtilisation {
		t.Errorf("%s: utilisation while requests wait is %.4f, below the target", result.Scenario, result.Utilisation)
	}
	if result.OverCold > 0 {
		t.Errorf("%s: %d requests sent above a cold limit, want none", result.Scenario, result.OverCold)
	}
	if control := result.Traffic.StandingMax + result.Traffic.RequestMax; control > maxControlBytesPerSecond {
		t.Errorf("%s: largest standing plus largest request traffic of a daemon is %.0f B/s, above the target", result.Scenario, control)
	}
}

// Guards against allocation by entry instead of by fleet: with most callers of the
// large accounts on one VM, entries with fixed slots serve accounts very unequally.
func TestGapIsBelowATenthOfRoundRobinOnUnevenSpread(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, build func() measure.Deployment) {
		fleet := run(t, findScenario(t, build, "steady", measure.PolicyFleet, measure.SpreadUneven))
		roundRobin := run(t, findScenario(t, build, "steady", measure.PolicyRoundRobin, measure.SpreadUneven))
		checkTargets(t, fleet)
		if fleet.Gap >= maxGapRatio*roundRobin.Gap {
			t.Errorf("fairness gap of the fleet is %.0f cost units, want less than a tenth of round robin's %.0f", fleet.Gap, roundRobin.Gap)
		}
	})
}

func TestFleetMeetsTargetsOnEvenSpread(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, build func() measure.Deployment) {
		checkTargets(t, run(t, ciScenario(t, build, "steady", measure.PolicyFleet, measure.SpreadEven)))
	})
}

// Guards against grants to a data centre after its evacuation, answers broken by
// it, and a data centre that does not get requests again after its restoration.
func TestEvacuatedDataCentreGetsNoNewRequestsAndReturns(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, build func() measure.Deployment) {
		scenario := ciScenario(t, build, "data-centre-out", measure.PolicyFleet, measure.SpreadUneven)
		scenario.Length = time.Minute
		scenario.Actions[0].At, scenario.Actions[1].At = 10*time.Second, 30*time.Second
		result := run(t, scenario)
		checkTargets(t, result)
		if result.NewWorkWhileOut > 0 {
			t.Errorf("%d grants to an evacuated data centre, want none", result.NewWorkWhileOut)
		}
		if result.Broken > 0 || result.ReturnSeconds < 0 {
			t.Errorf("%d answers broken, want none; data centre returned after %v s (-1: never)", result.Broken, result.ReturnSeconds)
		}
	})
}

func TestFleetMeetsTargetsUnderPartitionFloodAndPresets(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, build func() measure.Deployment) {
		for _, name := range []string{"partition", "flood", "presets"} {
			scenario := ciScenario(t, build, name, measure.PolicyFleet, measure.SpreadUneven)
			for i := range scenario.Actions {
				scenario.Actions[i].At = scenario.Actions[i].At * ciLength / measure.StandardLength
			}
			result := run(t, scenario)
			checkTargets(t, result)
			if result.Broken > 0 {
				t.Errorf("%s: %d answers broken, want none", name, result.Broken)
			}
		}
	})
}

// Guards against results that depend on anything but the scenario, such as map
// order. Loss and a flood exercise the random sources.
func TestSameScenarioGivesTheSameResult(t *testing.T) {
	scenario := ciScenario(t, measure.Queensland, "flood", measure.PolicyFleet, measure.SpreadUneven)
	scenario.Length, scenario.Loss = 20*time.Second, 0.01
	first, second := run(t, scenario), run(t, scenario)
	firstJSON, err := json.Marshal(first)
	if err != nil {
		t.Fatal(err)
	}
	secondJSON, err := json.Marshal(second)
	if err != nil {
		t.Fatal(err)
	}
	if string(firstJSON) != string(secondJSON) {
		t.Fatalf("two runs of one scenario differ: gaps %v and %v cost units, %d and %d requests completed", first.Gap, second.Gap, first.Completed, second.Completed)
	}
}
