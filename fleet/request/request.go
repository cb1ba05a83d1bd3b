// Package request holds the types that live as long as one caller's request: the ticket
// that waits in a queue, the grant that ends the wait, the attempt at an upstream and
// its outcome, and the refusal.
package request

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// ID numbers a request within one incarnation of its entry. IDs are not reused within
// that incarnation.
type ID uint64

// Key identifies a request across the whole fleet.
type Key struct {
	Entry       version.VMID `json:"entry"`
	Incarnation uint64       `json:"incarnation"`
	ID          ID           `json:"id"`
}

// Cost is an amount of service in weighted cost units. One unit is one generated token;
// PromptCost and PlainCallCost convert prompt tokens and plain calls.
type Cost float64

// Lane separates an account's requests by expected cost, so that short requests need
// not wait behind long ones.
type Lane uint8

const (
	// LaneShort holds requests with an estimate of at most ShortLaneLimit.
	LaneShort Lane = iota
	// LaneLong holds all other requests.
	LaneLong
	// Lanes is the number of lanes.
	Lanes
)

// Ticket represents a waiting request in a dispatcher's queue. The body stays with the
// entry.
type Ticket struct {
	ID      ID
	Account version.AccountID
	Pool    version.PoolID
	Lane    Lane
	// Estimate is the expected cost. It is charged when the ticket is granted and
	// corrected to the actual cost on completion.
	Estimate Cost
	// Wait is how long the ticket may still wait, counted from when it is sent. It is
	// relative because the clocks of VMs differ.
	Wait time.Duration
	// Age is how long the request has already waited. A new dispatcher of the pool
	// restores the queue order from it.
	Age time.Duration
	// Prefix is a hash of the first bytes of the prompt, for cache affinity; 0 is none.
	Prefix uint64
	// Avoid is the upstream that just failed this request; 0 is none.
	Avoid version.UpstreamID
	// Attempt is the number of the attempt that the grant will be for.
	Attempt Attempt
	// TurnedAway is the number of callers' requests that the process turned away since the last ticket of
	// the account, with those of unknown accounts since the last ticket. The latter are taken to be of
	// the ticket's account: over many tickets each account gets its part.
	TurnedAway int
	// BodyBytes is the size of the body. Like the body, it stays with the entry.
	BodyBytes int
	// Prompt describes the prompt of a model request; nil if it is unknown.
	Prompt *Prompt
	// TTFBObjective is the time to first byte, counted from now, up to which the answer
	// has its full value; 0 is no objective.
	TTFBObjective time.Duration
	// Regions lists the regions in which the request may be served; nil means any.
	Regions []version.RegionID
	// Resumable is set for a stream that its caller may take up again.
	Resumable bool
	// Software is the only software version at which the request may be served, because it began
	// the stream that the request continues; "" allows any.
	Software string
	// Rule says which software versions may run the attempt while versions are rolled out.
	Rule SoftwareRule
	// Avoided lists further upstreams that failed this request.
	Avoided []version.UpstreamID
}

// Attempt numbers the attempts of one request, starting from 1.
type Attempt uint32

// Grant permits the entry to send one attempt to an upstream.
type Grant struct {
	ID       ID
	Attempt  Attempt
	Pool     version.PoolID
	Upstream version.UpstreamID
	// PredictedTTFB is the predicted time to first byte, counted from the grant; 0 if
	// there is no prediction.
	PredictedTTFB time.Duration
	// IdleTTFB is the time to first byte that an idle upstream would show which is not slowed
	// down; 0 if there is no prediction.
	IdleTTFB time.Duration
	// UncachedPromptTokens is the number of prompt tokens that the upstream is expected
	// to process because it has not cached them.
	UncachedPromptTokens int
}

// Unused returns the Finish of a grant that is returned without being used.
func (g Grant) Unused() Finish {
	return Finish{
		ID:       g.ID,
		Attempt:  g.Attempt,
		Pool:     g.Pool,
		Upstream: g.Upstream,
		Outcome:  OutcomeUnused,
	}
}

// Outcome is how an attempt ended.
type Outcome uint8

const (
	// OutcomeDone means that the answer was complete.
	OutcomeDone Outcome = iota
	// OutcomeUnused means that the entry did not use the grant.
	OutcomeUnused
	// OutcomeRefused means that the upstream refused the request without executing it.
	OutcomeRefused
	// OutcomeBroken means that the answer was truncated or the connection failed.
	OutcomeBroken
	// OutcomeCancelled means that the caller disconnected.
	OutcomeCancelled
	// OutcomeUnreachable means that the upstream accepted no connection.
	OutcomeUnreachable
)

// Finish completes an attempt and frees its slot.
type Finish struct {
	ID       ID
	Attempt  Attempt
	Pool     version.PoolID
	Upstream version.UpstreamID
	Outcome  Outcome
	// Cost is the actual cost of the attempt.
	Cost Cost
	// FirstToken is the time from sending the request to the first byte of the answer's
	// body; 0 if there was none.
	FirstToken time.Duration
}

// Running describes an attempt in progress when an entry registers with a dispatcher.
type Running struct {
	ID       ID
	Account  version.AccountID
	Attempt  Attempt
	Upstream version.UpstreamID
}
