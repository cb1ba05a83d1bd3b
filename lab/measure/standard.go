package measure

import "time"

const (
	// standardWarmUp is long enough for slow start to end before measuring.
	standardWarmUp = 30 * time.Second
	// StandardLength is the duration of measuring in a standard scenario.
	StandardLength = 2 * time.Minute
)

// StandardScenarios returns the scenarios whose results have targets, for the
// deployment that build returns: a comparison of policies and spreads, and faults
// and changes while requests run.
func StandardScenarios(build func() Deployment, seed uint64) []Scenario {
	newScenario := func(name string, policy Policy, spread Spread, actions ...Action) Scenario {
		return Scenario{
			Name: name, Seed: seed, Deployment: build(), Policy: policy, Spread: spread,
			WarmUp: standardWarmUp, Length: StandardLength, Actions: actions,
		}
	}
	dataCentres := build().Document.DataCentres
	lastDataCentre := dataCentres[len(dataCentres)-1].Name
	largeAccount, smallAccount := accountName(0), accountName(8)
	firstVM := string(build().VMs[0].VM)
	var scenarios []Scenario
	for _, spread := range []Spread{SpreadEven, SpreadUneven} {
		for _, policy := range []Policy{PolicyRoundRobin, PolicyLocal, PolicyFleet} {
			scenarios = append(scenarios, newScenario("steady", policy, spread))
		}
	}
	return append(scenarios,
		newScenario("data-centre-out", PolicyFleet, SpreadUneven,
			Action{At: 20 * time.Second, Kind: ActionEvacuate, Name: lastDataCentre},
			Action{At: 70 * time.Second, Kind: ActionRestore, Name: lastDataCentre}),
		newScenario("partition", PolicyFleet, SpreadUneven,
			Action{At: 20 * time.Second, Kind: ActionPartition, Name: lastDataCentre},
			Action{At: 50 * time.Second, Kind: ActionHeal, Name: lastDataCentre}),
		newScenario("flood", PolicyFleet, SpreadUneven,
			Action{At: 20 * time.Second, Kind: ActionFlood, Name: smallAccount}),
		newScenario("presets", PolicyFleet, SpreadUneven,
			Action{At: 30 * time.Second, Kind: ActionPreset, Name: peakPreset},
			Action{At: 70 * time.Second, Kind: ActionPreset, Name: dayPreset}),
		newScenario("restarts", PolicyFleet, SpreadUneven,
			Action{At: 20 * time.Second, Kind: ActionRestart, Name: firstVM},
			Action{At: 60 * time.Second, Kind: ActionRestart, Name: firstVM}),
		newScenario("cold-again", PolicyFleet, SpreadUneven,
			Action{At: 20 * time.Second, Kind: ActionMakeCold, Name: lastDataCentre}),
		newScenario("flood-of-large", PolicyFleet, SpreadEven,
			Action{At: 20 * time.Second, Kind: ActionFlood, Name: largeAccount}),
	)
}

// GrowingScenarios returns a scenario of a grown deployment for each number of
// daemons.
func GrowingScenarios(daemons []int, seed uint64) []Scenario {
	var scenarios []Scenario
	for _, n := range daemons {
		scenarios = append(scenarios, Scenario{
			Name: "growing", Seed: seed, Deployment: GrownDeployment(n), Policy: PolicyFleet, Spread: SpreadEven,
			WarmUp: growingWarmUp, Length: growingLength,
		})
	}
	return scenarios
}

const (
	growingWarmUp = 20 * time.Second
	growingLength = 20 * time.Second
)
