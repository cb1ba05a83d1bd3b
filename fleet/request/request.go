// Package request holds the types that live as long as one caller's request:
// the ticket that waits in a queue, the grant that ends the wait, the attempt
// at an upstream and its end, and the refusal.
package request

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// ID numbers a request within one incarnation of its entry. It is never
// reused there.
type ID uint64

// Key identifies a request in the whole fleet.
type Key struct {
	Entry       version.VMID `json:"entry"`
	Incarnation uint64       `json:"incarnation"`
	ID          ID           `json:"id"`
}

// Cost is service in weighted cost units: one unit is one generated token;
// prompt tokens and plain calls are converted by CostModel.
type Cost float64

// Lane sorts an account's requests by expected length, so that short ones need
// not wait behind long ones.
type Lane uint8

const (
	// LaneShort holds requests expected to cost little.
	LaneShort Lane = iota
	// LaneLong holds the others.
	LaneLong
	// Lanes is the number of lanes.
	Lanes
)

// Ticket stands for a waiting request in a dispatcher's queue. The body stays
// with the entry.
type Ticket struct {
	ID      ID
	Account version.AccountID
	Pool    version.PoolID
	Lane    Lane
	// Estimate is the expected cost; it is charged at grant and trued up at
	// the end.
	Estimate Cost
	// Wait is how long the ticket may still wait when it is sent. It is
	// relative, because VM clocks differ.
	Wait time.Duration
	// Age is how long the request has waited already; a successor dispatcher
	// restores the order from it.
	Age time.Duration
	// Prefix is a hash of the prompt's head for cache affinity; 0 is none.
	Prefix uint64
	// Avoid is an upstream that just failed this request; 0 is none.
	Avoid version.UpstreamID
	// Attempt numbers the attempt that the grant will be for.
	Attempt Attempt
	// BodyBytes is the size of the body. It stays with the entry too.
	BodyBytes int
	// Prompt describes the prompt of a model request; nil if it is unknown.
	Prompt *Prompt
	// Objective is how long from now the answer's beginning is worth most; 0
	// is no objective.
	Objective time.Duration
	// Regions are where the request may be served; nil is anywhere.
	Regions []version.RegionID
	// Avoided are further upstreams that failed this request.
	Avoided []version.UpstreamID
}

// Attempt numbers the attempts of one request, from 1.
type Attempt uint32

// Grant lets the entry send one attempt to an upstream.
type Grant struct {
	ID       ID
	Attempt  Attempt
	Pool     version.PoolID
	Upstream version.UpstreamID
	// Predicted is when the answer should begin, from the grant on; 0 if nothing
	// was predicted.
	Predicted time.Duration
	// Unread is the prompt tokens that the upstream is expected to read.
	Unread int
}

// Unused returns the end of a grant that is handed back.
func (g Grant) Unused() Finish {
	return Finish{
		ID:       g.ID,
		Attempt:  g.Attempt,
		Pool:     g.Pool,
		Upstream: g.Upstream,
		Outcome:  OutcomeUnused,
	}
}

// Outcome tells how an attempt ended.
type Outcome uint8

const (
	// OutcomeDone is a complete answer.
	OutcomeDone Outcome = iota
	// OutcomeUnused is a grant that the entry did not use.
	OutcomeUnused
	// OutcomeRefused is an upstream that refused before running.
	OutcomeRefused
	// OutcomeBroken is an answer cut short or a connection that failed.
	OutcomeBroken
	// OutcomeCancelled is a caller that went away.
	OutcomeCancelled
	// OutcomeUnreachable is an upstream that took no connection.
	OutcomeUnreachable
)

// Finish ends an attempt and frees its slot.
type Finish struct {
	ID       ID
	Attempt  Attempt
	Pool     version.PoolID
	Upstream version.UpstreamID
	Outcome  Outcome
	// Cost is the true cost of the attempt.
	Cost Cost
	// FirstToken is the time from sending to the first byte of the answer's
	// body; 0 if there was none.
	FirstToken time.Duration
}

// Running describes an attempt in progress when an entry registers with a
// dispatcher.
type Running struct {
	ID       ID
	Account  version.AccountID
	Attempt  Attempt
	Upstream version.UpstreamID
}
