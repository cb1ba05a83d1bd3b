package wire

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// KindHello tags Hello.
	KindHello Kind = 1
	// KindTicket tags Ticket.
	KindTicket Kind = 2
	// KindWithdraw tags Withdraw.
	KindWithdraw Kind = 3
	// KindGrant tags Grant.
	KindGrant Kind = 4
	// KindFinish tags Finish.
	KindFinish Kind = 5
	// KindRefuse tags Refuse.
	KindRefuse Kind = 6
	// KindRegister tags Register.
	KindRegister Kind = 7
)

// dispatchDecoders decodes the messages of this file.
var dispatchDecoders = map[Kind]decoder{
	KindHello:    decodeAs[Hello],
	KindTicket:   decodeAs[Ticket],
	KindWithdraw: decodeAs[Withdraw],
	KindGrant:    decodeAs[Grant],
	KindFinish:   decodeAs[Finish],
	KindRefuse:   decodeAs[Refuse],
	KindRegister: decodeAs[Register],
}

// Hello is the first message on a link.
type Hello struct {
	_           struct{} `cbor:",toarray"`
	VM          version.VMID
	DataCentre  version.DataCentreID
	Incarnation uint64
	Version     version.Number
	// Leaving is set by a daemon that drains.
	Leaving bool
}

// Ticket asks a dispatcher for an upstream.
type Ticket struct {
	_       struct{} `cbor:",toarray"`
	ID      request.ID
	Account version.AccountID
	Pool    version.PoolID
	Lane    request.Lane
	// Estimate is the expected cost in whole units, rounded up.
	Estimate uint32
	// WaitMillis and AgeMillis are durations in milliseconds.
	WaitMillis uint32
	AgeMillis  uint32
	Prefix     uint64
	Avoid      version.UpstreamID
	Attempt    request.Attempt
}

// Withdraw takes a waiting ticket back.
type Withdraw struct {
	_    struct{} `cbor:",toarray"`
	Pool version.PoolID
	ID   request.ID
}

// Grant gives a waiting ticket an upstream.
type Grant struct {
	_        struct{} `cbor:",toarray"`
	ID       request.ID
	Attempt  request.Attempt
	Pool     version.PoolID
	Upstream version.UpstreamID
}

// Finish frees the slot of an attempt.
type Finish struct {
	_        struct{} `cbor:",toarray"`
	ID       request.ID
	Attempt  request.Attempt
	Pool     version.PoolID
	Upstream version.UpstreamID
	Outcome  request.Outcome
	// Cost is the true cost in whole units, rounded up.
	Cost uint32
	// FirstTokenMillis is the time to the first token in milliseconds.
	FirstTokenMillis uint32
}

// Refuse ends a ticket without a grant.
type Refuse struct {
	_                struct{} `cbor:",toarray"`
	ID               request.ID
	Pool             version.PoolID
	Reason           request.Reason
	RetryAfterMillis uint32
}

// Register tells a dispatcher everything that an entry holds for one pool. It
// replaces what the dispatcher knew of that entry.
type Register struct {
	_       struct{} `cbor:",toarray"`
	Pool    version.PoolID
	Waiting []Ticket
	Running []Running
}

// Running is an attempt in progress within a Register.
type Running struct {
	_        struct{} `cbor:",toarray"`
	ID       request.ID
	Account  version.AccountID
	Attempt  request.Attempt
	Upstream version.UpstreamID
}

// Kind implements Message.
func (Hello) Kind() Kind { return KindHello }

// Kind implements Message.
func (Ticket) Kind() Kind { return KindTicket }

// Kind implements Message.
func (Withdraw) Kind() Kind { return KindWithdraw }

// Kind implements Message.
func (Grant) Kind() Kind { return KindGrant }

// Kind implements Message.
func (Finish) Kind() Kind { return KindFinish }

// Kind implements Message.
func (Refuse) Kind() Kind { return KindRefuse }

// Kind implements Message.
func (Register) Kind() Kind { return KindRegister }

// FromTicket encodes a ticket's fields.
func FromTicket(t request.Ticket) Ticket {
	return Ticket{
		ID:         t.ID,
		Account:    t.Account,
		Pool:       t.Pool,
		Lane:       t.Lane,
		Estimate:   wholeUnits(t.Estimate),
		WaitMillis: millis(t.Wait),
		AgeMillis:  millis(t.Age),
		Prefix:     t.Prefix,
		Avoid:      t.Avoid,
		Attempt:    t.Attempt,
	}
}

// Request decodes a ticket's fields.
func (t Ticket) Request() request.Ticket {
	return request.Ticket{
		ID:       t.ID,
		Account:  t.Account,
		Pool:     t.Pool,
		Lane:     t.Lane,
		Estimate: request.Cost(t.Estimate),
		Wait:     time.Duration(t.WaitMillis) * time.Millisecond,
		Age:      time.Duration(t.AgeMillis) * time.Millisecond,
		Prefix:   t.Prefix,
		Avoid:    t.Avoid,
		Attempt:  t.Attempt,
	}
}

// FromFinish encodes a finish's fields.
func FromFinish(f request.Finish) Finish {
	return Finish{
		ID:               f.ID,
		Attempt:          f.Attempt,
		Pool:             f.Pool,
		Upstream:         f.Upstream,
		Outcome:          f.Outcome,
		Cost:             wholeUnits(f.Cost),
		FirstTokenMillis: millis(f.FirstToken),
	}
}

// Request decodes a finish's fields.
func (f Finish) Request() request.Finish {
	return request.Finish{
		ID:         f.ID,
		Attempt:    f.Attempt,
		Pool:       f.Pool,
		Upstream:   f.Upstream,
		Outcome:    f.Outcome,
		Cost:       request.Cost(f.Cost),
		FirstToken: time.Duration(f.FirstTokenMillis) * time.Millisecond,
	}
}
