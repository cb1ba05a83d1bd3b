package measure_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/lab/measure"
)

const (
	// Targets, fixed before measuring.
	gapPart      = 0.1
	leastUse     = 0.98
	controlBytes = 3 * 1024
	ciWarm       = 15 * time.Second
	ciLength     = 40 * time.Second
	ciSeed       = 1
)

// short returns a standard scenario in the length that CI has time for.
func short(t *testing.T, build func() measure.Deployment, name string, policy measure.Policy, spread measure.Spread) measure.Scenario {
	t.Helper()
	scenario := standard(t, build, name, policy, spread)
	scenario.Warm, scenario.Length = ciWarm, ciLength
	return scenario
}

func standard(t *testing.T, build func() measure.Deployment, name string, policy measure.Policy, spread measure.Spread) measure.Scenario {
	t.Helper()
	for _, scenario := range measure.Standard(build, ciSeed) {
		if scenario.Name == name && scenario.Policy == policy && scenario.Spread == spread {
			return scenario
		}
	}
	t.Fatalf("no scenario %s %s %s", name, policy, spread)
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

// each runs a test for both deployments.
func each(t *testing.T, test func(t *testing.T, build func() measure.Deployment)) {
	t.Run("queensland", func(t *testing.T) { t.Parallel(); test(t, measure.Queensland) })
	t.Run("sialkot", func(t *testing.T) { t.Parallel(); test(t, measure.Sialkot) })
}

func within(t *testing.T, result measure.Result) {
	t.Helper()
	if result.Gap > result.Bound {
		t.Errorf("%s: gap %.0f over the bound %.0f", result.Scenario, result.Gap, result.Bound)
	}
	if result.Utilisation < leastUse {
		t.Errorf("%s: utilisation %.4f while work waits", result.Scenario, result.Utilisation)
	}
	if result.OverCold > 0 {
		t.Errorf("%s: %d requests over a cold limit", result.Scenario, result.OverCold)
	}
	if control := result.Traffic.StandingMax + result.Traffic.RequestMax; control > controlBytes {
		t.Errorf("%s: %.0f bytes of control a second", result.Scenario, control)
	}
}

func TestGapIsATenthOfRoundRobinOnUnevenSpread(t *testing.T) {
	each(t, func(t *testing.T, build func() measure.Deployment) {
		fleet := run(t, standard(t, build, "steady", measure.PolicyFleet, measure.SpreadUneven))
		turns := run(t, standard(t, build, "steady", measure.PolicyRoundRobin, measure.SpreadUneven))
		within(t, fleet)
		if fleet.Gap >= gapPart*turns.Gap {
			t.Errorf("gap %.0f, round robin %.0f", fleet.Gap, turns.Gap)
		}
	})
}

func TestTargetsOnEvenSpread(t *testing.T) {
	each(t, func(t *testing.T, build func() measure.Deployment) {
		within(t, run(t, short(t, build, "steady", measure.PolicyFleet, measure.SpreadEven)))
	})
}

func TestDataCentreOutGetsNoNewWorkAndReturns(t *testing.T) {
	each(t, func(t *testing.T, build func() measure.Deployment) {
		scenario := short(t, build, "data-centre-out", measure.PolicyFleet, measure.SpreadUneven)
		scenario.Length = time.Minute
		scenario.Actions[0].At, scenario.Actions[1].At = 10*time.Second, 30*time.Second
		result := run(t, scenario)
		within(t, result)
		if result.NewWorkWhileOut > 0 {
			t.Errorf("%d grants while out", result.NewWorkWhileOut)
		}
		if result.Broken > 0 || result.ReturnSeconds < 0 {
			t.Errorf("broken %d, returned after %v s", result.Broken, result.ReturnSeconds)
		}
	})
}

func TestPartitionFloodAndPresetsStayWithinTheTargets(t *testing.T) {
	each(t, func(t *testing.T, build func() measure.Deployment) {
		for _, name := range []string{"partition", "flood", "presets"} {
			scenario := short(t, build, name, measure.PolicyFleet, measure.SpreadUneven)
			for i := range scenario.Actions {
				scenario.Actions[i].At = scenario.Actions[i].At * ciLength / measure.StandardLength
			}
			result := run(t, scenario)
			within(t, result)
			if result.Broken > 0 {
				t.Errorf("%s: %d broken", name, result.Broken)
			}
		}
	})
}

func TestSameSeedGivesTheSameResult(t *testing.T) {
	scenario := short(t, measure.Queensland, "flood", measure.PolicyFleet, measure.SpreadUneven)
	scenario.Length, scenario.Loss = 20*time.Second, 0.01
	first, second := run(t, scenario), run(t, scenario)
	a, err := json.Marshal(first)
	if err != nil {
		t.Fatal(err)
	}
	b, err := json.Marshal(second)
	if err != nil {
		t.Fatal(err)
	}
	if string(a) != string(b) {
		t.Fatalf("two runs differ: gaps %v and %v, completed %d and %d", first.Gap, second.Gap, first.Completed, second.Completed)
	}
}
