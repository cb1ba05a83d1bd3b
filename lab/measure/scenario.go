// Package measure runs whole fleets in virtual time and measures how they
// share: fairness gap, utilisation while work waits, control traffic, and
// service while data centres leave and return.
//
// A run follows from its Scenario alone, seed included, so it gives the same
// Result each time.
package measure

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Policy is how requests get their slots.
type Policy string

const (
	// PolicyFleet is the fleet's own dispatching.
	PolicyFleet Policy = "fleet"
	// PolicyRoundRobin gives each entry a fixed part of the slots of its data
	// centre, and its accounts take turns.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLocal gives each entry a fixed part of the slots of its data
	// centre, and shares it fairly by what the entry itself has served.
	PolicyLocal Policy = "local-fair"
)

// Spread is how callers of an account are spread over the VMs.
type Spread string

const (
	// SpreadEven puts the callers of each account on all VMs in turn.
	SpreadEven Spread = "even"
	// SpreadUneven puts most callers of large accounts on one VM, and all
	// callers of a small account on another.
	SpreadUneven Spread = "uneven"
)

// Load is what the callers of an account do. Each caller has one request at a
// time.
type Load struct {
	Account string
	Callers int
	// LongShare is the fraction of long requests, 0 to 1.
	LongShare float64
	// Pause is the time between an answer and the caller's next request.
	Pause time.Duration
	// Pool is the pool that is asked.
	Pool string
}

// Place is a VM and its data centre.
type Place struct {
	VM         version.VMID
	DataCentre version.DataCentreID
}

// Deployment is a fleet and its callers.
type Deployment struct {
	Name     string
	Document version.Document
	VMs      []Place
	Loads    []Load
}

// ActionKind is what an Action does.
type ActionKind string

const (
	// ActionOut takes a data centre out of service by configuration.
	ActionOut ActionKind = "out"
	// ActionBack brings a data centre back.
	ActionBack ActionKind = "back"
	// ActionCut cuts a data centre off from the others.
	ActionCut ActionKind = "cut"
	// ActionHeal joins a cut data centre again.
	ActionHeal ActionKind = "heal"
	// ActionPreset puts a preset in force.
	ActionPreset ActionKind = "preset"
	// ActionFlood multiplies an account's callers by ten.
	ActionFlood ActionKind = "flood"
	// ActionRestart restarts a VM's daemon, which loses its requests.
	ActionRestart ActionKind = "restart"
	// ActionCool makes every upstream of a data centre cold.
	ActionCool ActionKind = "cool"
)

// Action is something that happens during a run.
type Action struct {
	At   time.Duration
	Kind ActionKind
	// Name is the data centre, preset, account or VM.
	Name string
}

// Scenario describes a run.
type Scenario struct {
	Name       string
	Seed       uint64
	Deployment Deployment
	Policy     Policy
	Spread     Spread
	// Warm is the time before measuring starts, in which the upstreams warm
	// up.
	Warm time.Duration
	// Length is the measured time.
	Length time.Duration
	// Actions are timed from the start of measuring.
	Actions []Action
	// Loss is the fraction of frames that are lost, 0 to 1.
	Loss float64
	// AtEnd is called when the run has ended, while the fleet is still in
	// memory; nil is nothing.
	AtEnd func()
}

// Sample is the state at one moment.
type Sample struct {
	// Seconds is the time since measuring began.
	Seconds float64
	// Gap is the largest difference in weighted service between two accounts
	// that have been backlogged together, since they were.
	Gap float64
	// Utilisation is the used fraction of the usable slots while work waited,
	// over the last interval; -1 if none waited.
	Utilisation                float64
	Waiting, Running           int
	Completed, Refused, Broken int
	// Service is the weighted service of each of Result.Accounts that counts
	// for Gap, and Total all of it.
	Service, Total []float64
}

// Traffic is control traffic per daemon, sent and received, in bytes a second.
type Traffic struct {
	StandingMean, StandingMax float64
	RequestMean, RequestMax   float64
}

// Result is what a run measured.
type Result struct {
	Scenario   string
	Deployment string
	Policy     Policy
	Spread     Spread
	Seed       uint64
	Daemons    int
	// Gap is the largest fairness gap in weighted cost units, over service of
	// requests that were granted while other accounts waited for the pool.
	Gap float64
	// TotalGap is the same for all service, also such that nobody else waited
	// for.
	TotalGap float64
	// Bound is 2·B of the design note for this deployment.
	Bound float64
	// Utilisation is the used fraction of the slots that upstreams had earned
	// while work waited for their pool.
	Utilisation float64
	// WarmUse is the used fraction of all slots in service, earned or not,
	// while work waited for their pool.
	WarmUse float64
	Traffic Traffic
	// BytesPerRequest is the request traffic counted at one end.
	BytesPerRequest float64
	// CrossRegionBytes is the traffic between regions in bytes a second.
	CrossRegionBytes float64
	Completed        int
	Refused          int
	Broken           int
	// NewWorkWhileOut counts grants to a data centre that had been out for
	// longer than OutLimit.
	NewWorkWhileOut int
	// OverCold counts requests sent to a cold upstream over its cold limit
	// although it had shown a sign of coldness, or never been warm.
	OverCold int
	// BeforeSign counts those to an upstream that had turned cold without any
	// sign yet.
	BeforeSign int
	// ShortWait95 is the wait for a grant that 95 in 100 short requests stay
	// within, in seconds; LongestWait is the longest of any.
	ShortWait95 float64
	LongestWait float64
	// ReturnSeconds is the time from ActionBack until the data centre runs at
	// least half of its former work; -1 if it did not.
	ReturnSeconds float64
	Accounts      []string
	Series        []Sample
}

// OutLimit is the time after which a data centre that was taken out gets no
// new work.
const OutLimit = 3 * time.Second
