// Package measure simulates whole fleets in virtual time and measures how they
// share capacity: fairness gap, utilisation while requests wait, control
// traffic, and service while data centres are evacuated and restored.
//
// A run depends only on its Scenario, which includes the seed, so repeated runs
// give the same Result.
package measure

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Policy is the method by which slots are allocated to requests.
type Policy string

const (
	// PolicyFleet uses the fleet's own dispatchers.
	PolicyFleet Policy = "fleet"
	// PolicyRoundRobin gives each entry a fixed fraction of the slots of its
	// data centre; the entry serves its accounts in round-robin order.
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLocal gives each entry a fixed fraction of the slots of its data
	// centre; the entry shares them fairly by the service that it has itself
	// given to each account.
	PolicyLocal Policy = "local-fair"
)

// Spread is the distribution of the callers of an account over the VMs.
type Spread string

const (
	// SpreadEven assigns the callers of each account to all VMs in turn.
	SpreadEven Spread = "even"
	// SpreadUneven assigns most callers of large accounts to one VM, and all
	// callers of a small account to another.
	SpreadUneven Spread = "uneven"
)

// Load describes the callers of an account. Each caller has one request in
// progress at a time.
type Load struct {
	Account string
	Callers int
	// LongFraction is the fraction of requests that are long, 0 to 1.
	LongFraction float64
	// ThinkTime is the time between an answer and the caller's next request.
	// Without think time, the account counts as backlogged in Bound.
	ThinkTime time.Duration
	// Pool is the pool that the requests are sent to.
	Pool string
}

// VMLocation is a VM and its data centre.
type VMLocation struct {
	VM         version.VMID
	DataCentre version.DataCentreID
}

// Deployment describes a fleet and its callers.
type Deployment struct {
	Name     string
	Document version.Document
	VMs      []VMLocation
	Loads    []Load
}

// ActionKind is the kind of an Action.
type ActionKind string

const (
	// ActionEvacuate takes a data centre out of service by configuration.
	ActionEvacuate ActionKind = "out"
	// ActionRestore brings an evacuated data centre back into service.
	ActionRestore ActionKind = "back"
	// ActionPartition cuts the links between a data centre and the others.
	ActionPartition ActionKind = "cut"
	// ActionHeal restores the links that ActionPartition cut.
	ActionHeal ActionKind = "heal"
	// ActionPreset applies a preset.
	ActionPreset ActionKind = "preset"
	// ActionFlood multiplies an account's callers by ten.
	ActionFlood ActionKind = "flood"
	// ActionRestart restarts a VM's daemon; the requests in its process are lost.
	ActionRestart ActionKind = "restart"
	// ActionMakeCold makes every upstream of a data centre cold, without any sign
	// that the fleet could see.
	ActionMakeCold ActionKind = "cool"
)

// Action is a fault or a change of configuration or load during a run.
type Action struct {
	// At is the time since the start of measuring.
	At   time.Duration
	Kind ActionKind
	// Name is the data centre, preset, account or VM that the action applies to.
	Name string
}

// Scenario describes a run.
type Scenario struct {
	Name       string
	Seed       uint64
	Deployment Deployment
	Policy     Policy
	Spread     Spread
	// WarmUp is the warm-up time of the upstreams before measuring starts.
	WarmUp time.Duration
	// Length is the duration of measuring.
	Length time.Duration
	// Actions are carried out while measuring.
	Actions []Action
	// Loss is the fraction of frames lost on the links between VMs, 0 to 1.
	Loss float64
	// AtEnd is called at the end of the run, while the fleet is still in
	// memory; nil calls nothing.
	AtEnd func()
}

// Sample is the state of a run at one moment.
type Sample struct {
	// Seconds is the time since measuring began.
	Seconds float64
	// Gap is the largest difference in weighted service between two accounts
	// of one pool, in cost units, since both have been backlogged.
	Gap float64
	// Utilisation is the used fraction of the usable slots while requests
	// waited, over the last sample interval; -1 if none waited.
	Utilisation                float64
	Waiting, Running           int
	Completed, Refused, Broken int
	// Service is the weighted service of each of Result.Accounts that counts
	// towards Gap; Total is all weighted service. Both are in cost units.
	Service, Total []float64
}

// Traffic is the control traffic per daemon, sent and received, in bytes per
// second. Standing traffic does not depend on requests.
type Traffic struct {
	StandingMean, StandingMax float64
	RequestMean, RequestMax   float64
}

// Result holds the measurements of a run.
type Result struct {
	Scenario   string
	Deployment string
	Policy     Policy
	Spread     Spread
	Seed       uint64
	Daemons    int
	// Gap is the largest fairness gap in weighted cost units, over the contended
	// service: that of requests granted while other accounts waited for the
	// pool.
	Gap float64
	// TotalGap is the same over all service, contended or not.
	TotalGap float64
	// Bound is the value of the function Bound for this deployment, in weighted
	// cost units.
	Bound float64
	// Utilisation is the used fraction of the slots that upstreams had earned
	// in slow start, while requests waited for their pool.
	Utilisation float64
	// WarmUse is the used fraction of all slots in service, earned or not,
	// while requests waited for their pool.
	WarmUse float64
	Traffic Traffic
	// BytesPerRequest is the request traffic in bytes per completed request,
	// counted at the sender only.
	BytesPerRequest float64
	// CrossRegionBytes is the traffic between regions in bytes per second.
	CrossRegionBytes float64
	Completed        int
	Refused          int
	Broken           int
	// NewWorkWhileOut counts grants to a data centre that had been out of
	// service for longer than EvacuationLimit.
	NewWorkWhileOut int
	// OverCold counts requests sent to a cold upstream above its cold limit
	// although it had shown a sign of being cold or had never been warm.
	OverCold int
	// BeforeSign counts requests sent above the cold limit to an upstream that
	// had become cold again and had not yet shown any sign of it.
	BeforeSign int
	// ShortWait95 is the 95th percentile of the time that short requests wait
	// for a grant, in seconds; LongestWait is the longest wait of any request.
	ShortWait95 float64
	LongestWait float64
	// ReturnSeconds is the time from ActionRestore until the data centre runs
	// at least half as many requests as before ActionEvacuate; -1 if it never
	// did.
	ReturnSeconds float64
	Accounts      []string
	Series        []Sample
}

// EvacuationLimit is the time within which a data centre that was taken out of
// service must stop getting new requests.
const EvacuationLimit = 3 * time.Second
