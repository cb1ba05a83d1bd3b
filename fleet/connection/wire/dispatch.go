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
	// KindRelease tags Release.
	KindRelease Kind = 8
	// KindReleased tags Released.
	KindReleased Kind = 9
	// KindDigest tags Digest.
	KindDigest Kind = 10
	// KindReregister tags Reregister.
	KindReregister Kind = 11
)

// dispatchDecoders decodes the messages between entries and dispatchers.
var dispatchDecoders = map[Kind]decoder{
	KindHello:      decodeAs[Hello],
	KindTicket:     decodeAs[Ticket],
	KindWithdraw:   decodeAs[Withdraw],
	KindGrant:      decodeAs[Grant],
	KindFinish:     decodeAs[Finish],
	KindRefuse:     decodeAs[Refuse],
	KindRegister:   decodeAs[Register],
	KindRelease:    decodeAs[Release],
	KindReleased:   decodeAs[Released],
	KindDigest:     decodeAs[Digest],
	KindReregister: decodeAs[Reregister],
}

// Hello is the first message on a link. It identifies the sender.
type Hello struct {
	_           struct{} `cbor:",toarray"`
	VM          version.VMID
	DataCentre  version.DataCentreID
	Incarnation uint64
	Version     version.Number
	// Leaving is set by a daemon that is draining.
	Leaving bool
}

// Ticket asks a dispatcher to grant an upstream to a waiting request. See
// request.Ticket for the fields.
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

// Withdraw removes a waiting ticket from the queue.
type Withdraw struct {
	_    struct{} `cbor:",toarray"`
	Pool version.PoolID
	ID   request.ID
}

// Grant assigns an upstream to a waiting ticket.
type Grant struct {
	_        struct{} `cbor:",toarray"`
	ID       request.ID
	Attempt  request.Attempt
	Pool     version.PoolID
	Upstream version.UpstreamID
	// Session is the registration that the grant belongs to.
	Session Session
}

// Finish reports the completion of an attempt and frees its slot.
type Finish struct {
	_        struct{} `cbor:",toarray"`
	ID       request.ID
	Attempt  request.Attempt
	Pool     version.PoolID
	Upstream version.UpstreamID
	Outcome  request.Outcome
	// Cost is the actual cost in whole units, rounded up.
	Cost uint32
	// FirstTokenMillis is the time to the first byte of the answer's body in
	// milliseconds; 0 if there was none.
	FirstTokenMillis uint32
	// Session is the session of a grant that is returned unused; otherwise 0.
	Session Session
}

// Refuse ends a ticket without a grant.
type Refuse struct {
	_                struct{} `cbor:",toarray"`
	ID               request.ID
	Pool             version.PoolID
	Reason           request.Reason
	RetryAfterMillis uint32
	// Session is the registration that the refusal belongs to.
	Session Session
}

// Session numbers the registrations of one process. It grows with each registration, so
// that a message that belongs to an earlier one can be recognised.
type Session uint32

// Register transfers the complete state that an entry has for one pool to a dispatcher.
// The parts of a session together replace the dispatcher's state of that entry.
type Register struct {
	_       struct{} `cbor:",toarray"`
	Pool    version.PoolID
	Session Session
	// Part counts from 0 to Parts-1.
	Part  uint32
	Parts uint32
	// Exclusive is set if no other dispatcher can still use the entry's slots.
	Exclusive bool
	// OwnerUnreachable is set if the entry cannot reach the pool's owner, so that the
	// receiver accepts the registration without being the owner.
	OwnerUnreachable bool
	Waiting          []Ticket
	Running          []Running
	Evidence         []Evidence
}

// Evidence counts an entry's recent prompt answers from an upstream.
type Evidence struct {
	_        struct{} `cbor:",toarray"`
	Upstream version.UpstreamID
	Answers  uint32
}

// Release ends an entry's registration. The dispatcher confirms it with Released.
type Release struct {
	_       struct{} `cbor:",toarray"`
	Pool    version.PoolID
	Session Session
}

// Released confirms that a dispatcher no longer uses an entry's slots.
type Released struct {
	_       struct{} `cbor:",toarray"`
	Pool    version.PoolID
	Session Session
}

// Digest summarises an entry's state for a pool. It renews the registration and lets
// the dispatcher detect lost messages.
type Digest struct {
	_       struct{} `cbor:",toarray"`
	Pool    version.PoolID
	Session Session
	// Received counts the grants and refusals that the entry has received in the session.
	Received uint32
	// Held counts the entry's requests, and Hash is the exclusive or of their HoldHash
	// values.
	Held uint32
	Hash uint32
}

// Reregister asks an entry to register again. It is sent in response to a message that
// matches no registration.
type Reregister struct {
	_       struct{} `cbor:",toarray"`
	Pool    version.PoolID
	Session Session
	// NotOwner is set if the sender does not own the pool, so that the entry has to
	// register with another dispatcher.
	NotOwner bool
}

// HoldHash returns the hash of one request of a Digest. The hashes of several requests
// are combined by exclusive or.
func HoldHash(id request.ID, attempt request.Attempt, running bool) uint32 {
	x := uint64(id)<<16 ^ uint64(attempt)<<1
	if running {
		x |= 1
	}
	x = (x + 0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>31) * 0x94d049bb133111eb
	return uint32(x >> 32)
}

// Running describes an attempt in progress within a Register.
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

// Kind implements Message.
func (Release) Kind() Kind { return KindRelease }

// Kind implements Message.
func (Released) Kind() Kind { return KindReleased }

// Kind implements Message.
func (Digest) Kind() Kind { return KindDigest }

// Kind implements Message.
func (Reregister) Kind() Kind { return KindReregister }

// FromTicket converts a ticket to its encoding. Fields without an encoding are dropped.
func FromTicket(t request.Ticket) Ticket {
	return Ticket{
		ID:         t.ID,
		Account:    t.Account,
		Pool:       t.Pool,
		Lane:       t.Lane,
		Estimate:   clampUnits(t.Estimate),
		WaitMillis: clampMillis(t.Wait),
		AgeMillis:  clampMillis(t.Age),
		Prefix:     t.Prefix,
		Avoid:      t.Avoid,
		Attempt:    t.Attempt,
	}
}

// Request converts the ticket from its encoding.
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

// FromFinish converts a finish to its encoding, without a session.
func FromFinish(f request.Finish) Finish {
	return Finish{
		ID:               f.ID,
		Attempt:          f.Attempt,
		Pool:             f.Pool,
		Upstream:         f.Upstream,
		Outcome:          f.Outcome,
		Cost:             clampUnits(f.Cost),
		FirstTokenMillis: clampMillis(f.FirstToken),
	}
}

// Request converts the finish from its encoding.
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
