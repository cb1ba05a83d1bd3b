package measure

import "time"

const (
	// standardWarm lets slow start end before measuring.
	standardWarm = 30 * time.Second
	// StandardLength is the measured time of a standard scenario.
	StandardLength = 2 * time.Minute
)

// Standard returns the scenarios of a deployment whose results the project
// promises something about: policies and spreads compared, and faults while
// work runs.
func Standard(build func() Deployment, seed uint64) []Scenario {
	base := func(name string, policy Policy, spread Spread, actions ...Action) Scenario {
		return Scenario{
			Name: name, Seed: seed, Deployment: build(), Policy: policy, Spread: spread,
			Warm: standardWarm, Length: StandardLength, Actions: actions,
		}
	}
	sites := build().Document.DataCentres
	last := sites[len(sites)-1].Name
	large, small := accountName(0), accountName(8)
	first := string(build().VMs[0].VM)
	var scenarios []Scenario
	for _, spread := range []Spread{SpreadEven, SpreadUneven} {
		for _, policy := range []Policy{PolicyRoundRobin, PolicyLocal, PolicyFleet} {
			scenarios = append(scenarios, base("steady", policy, spread))
		}
	}
	return append(scenarios,
		base("data-centre-out", PolicyFleet, SpreadUneven,
			Action{At: 20 * time.Second, Kind: ActionOut, Name: last},
			Action{At: 70 * time.Second, Kind: ActionBack, Name: last}),
		base("partition", PolicyFleet, SpreadUneven,
			Action{At: 20 * time.Second, Kind: ActionCut, Name: last},
			Action{At: 50 * time.Second, Kind: ActionHeal, Name: last}),
		base("flood", PolicyFleet, SpreadUneven,
			Action{At: 20 * time.Second, Kind: ActionFlood, Name: small}),
		base("presets", PolicyFleet, SpreadUneven,
			Action{At: 30 * time.Second, Kind: ActionPreset, Name: peakPreset},
			Action{At: 70 * time.Second, Kind: ActionPreset, Name: dayPreset}),
		base("restarts", PolicyFleet, SpreadUneven,
			Action{At: 20 * time.Second, Kind: ActionRestart, Name: first},
			Action{At: 60 * time.Second, Kind: ActionRestart, Name: first}),
		base("cold-again", PolicyFleet, SpreadUneven,
			Action{At: 20 * time.Second, Kind: ActionCool, Name: last}),
		base("flood-of-large", PolicyFleet, SpreadEven,
			Action{At: 20 * time.Second, Kind: ActionFlood, Name: large}),
	)
}

// Growing returns one scenario for each number of daemons.
func Growing(daemons []int, seed uint64) []Scenario {
	var scenarios []Scenario
	for _, n := range daemons {
		scenarios = append(scenarios, Scenario{
			Name: "growing", Seed: seed, Deployment: Grown(n), Policy: PolicyFleet, Spread: SpreadEven,
			Warm: growingWarm, Length: growingLength,
		})
	}
	return scenarios
}

const (
	growingWarm   = 20 * time.Second
	growingLength = 20 * time.Second
)
