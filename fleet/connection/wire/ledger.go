package wire

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// KindLedgerClaim tags LedgerClaim.
	KindLedgerClaim Kind = 60
	// KindLedgerVerdict tags LedgerVerdict.
	KindLedgerVerdict Kind = 61
	// KindLedgerClose tags LedgerClose.
	KindLedgerClose Kind = 62
	// KindLedgerOutcome tags LedgerOutcome.
	KindLedgerOutcome Kind = 63
	// KindLedgerAck tags LedgerAck.
	KindLedgerAck Kind = 64
	// KindLedgerProbe tags LedgerProbe.
	KindLedgerProbe Kind = 65
	// KindLedgerRunning tags LedgerRunning.
	KindLedgerRunning Kind = 66
	// KindLedgerGone tags LedgerGone.
	KindLedgerGone Kind = 67
	// KindLedgerRelay tags LedgerRelay.
	KindLedgerRelay Kind = 68
)

// ledgerInner decodes the messages about claims that may be relayed.
var ledgerInner = map[Kind]decoder{
	KindLedgerClaim:   decodeAs[LedgerClaim],
	KindLedgerVerdict: decodeAs[LedgerVerdict],
	KindLedgerClose:   decodeAs[LedgerClose],
	KindLedgerOutcome: decodeAs[LedgerOutcome],
	KindLedgerAck:     decodeAs[LedgerAck],
	KindLedgerProbe:   decodeAs[LedgerProbe],
	KindLedgerRunning: decodeAs[LedgerRunning],
	KindLedgerGone:    decodeAs[LedgerGone],
}

// ledgerDecoders decodes the messages about claims of non-idempotent requests.
var ledgerDecoders = merge(ledgerInner, map[Kind]decoder{KindLedgerRelay: decodeAs[LedgerRelay]})

// LedgerSubject names one attempt under one idempotency key.
type LedgerSubject struct {
	_       struct{} `cbor:",toarray"`
	Account version.AccountID
	Key     claim.Key
	Attempt uuid.UUID
}

// LedgerClaim asks the writer of a shard to record a claim. It may be sent
// again; the attempt makes it idempotent.
type LedgerClaim struct {
	_       struct{} `cbor:",toarray"`
	Subject LedgerSubject
	// Request is the head of the request's digest.
	Request [16]byte
	// Stamp is the sender's clock at sending; the verdict echoes it.
	Stamp uint64
}

// LedgerResult is what a writer decided on a claim.
type LedgerResult uint8

const (
	// LedgerWaiting is no decision yet.
	LedgerWaiting LedgerResult = iota
	// LedgerClaimed is a claim that the attempt holds.
	LedgerClaimed
	// LedgerReplay is a key whose outcome is recorded.
	LedgerReplay
	// LedgerReused is a key that was used for another request.
	LedgerReused
	// LedgerUnknown is a key held by an attempt whose outcome is not known.
	LedgerUnknown
	// LedgerBroken is a key whose attempt ended without a whole answer.
	LedgerBroken
	// LedgerClosed is an attempt that was closed.
	LedgerClosed
	// LedgerBusy is a claim that the writer has no room for.
	LedgerBusy
)

// LedgerVerdict answers a LedgerClaim.
type LedgerVerdict struct {
	_       struct{} `cbor:",toarray"`
	Attempt uuid.UUID
	Stamp   uint64
	Result  LedgerResult
	// Held is set while another attempt holds the key (LedgerWaiting).
	Held bool
	// Looked is set if the store was read for this claim and no attempt held
	// the key (LedgerWaiting).
	Looked bool
	// Answer is the recorded outcome (LedgerReplay).
	Answer *LedgerAnswer
}

// LedgerAnswer is a recorded outcome.
type LedgerAnswer struct {
	_           struct{} `cbor:",toarray"`
	Status      int
	ContentType string
	// Body is nil if it was over the size that is kept.
	Body       []byte
	BodyDigest claim.Digest
}

// LedgerClose says that an attempt was not sent and never will be.
type LedgerClose struct {
	_       struct{} `cbor:",toarray"`
	Subject LedgerSubject
	// Sole is set if no other writer was asked to record the claim.
	Sole bool
}

// LedgerOutcome tells how a claimed attempt ended.
type LedgerOutcome struct {
	_       struct{} `cbor:",toarray"`
	Subject LedgerSubject
	// Answer is nil if the attempt ended without a whole answer.
	Answer *LedgerAnswer
}

// LedgerAck confirms that a LedgerClose or LedgerOutcome is in the store.
type LedgerAck struct {
	_       struct{} `cbor:",toarray"`
	Attempt uuid.UUID
}

// LedgerProbe asks the entry of an attempt what became of it. The answer is a
// LedgerRunning, LedgerGone, LedgerClose or LedgerOutcome.
type LedgerProbe struct {
	_       struct{} `cbor:",toarray"`
	Subject LedgerSubject
}

// LedgerRunning says that an attempt may still run or end.
type LedgerRunning struct {
	_       struct{} `cbor:",toarray"`
	Subject LedgerSubject
}

// LedgerGone says that the entry does not know the attempt.
type LedgerGone struct {
	_       struct{} `cbor:",toarray"`
	Subject LedgerSubject
}

// LedgerRelay passes a message on between data centres, through a daemon that
// is linked to both ends.
type LedgerRelay struct {
	_    struct{} `cbor:",toarray"`
	From version.VMID
	// To is the receiver. If it is empty, the message is for the writer of its
	// shard in the relaying daemon's data centre.
	To version.VMID
	// Inner and Body are the message.
	Inner Kind
	Body  cbor.RawMessage
}

// NewLedgerRelay returns a relay that carries a message.
func NewLedgerRelay(from, to version.VMID, message Message) (LedgerRelay, error) {
	body, err := encoding.Marshal(message)
	if err != nil {
		return LedgerRelay{}, errors.Wrapf(err, "encode message kind %d", message.Kind())
	}
	return LedgerRelay{From: from, To: to, Inner: message.Kind(), Body: body}, nil
}

// Unwrap returns the message. It returns ErrMalformed for one that is not about
// claims or is itself a relay.
func (m LedgerRelay) Unwrap() (Message, error) {
	decode, known := ledgerInner[m.Inner]
	if !known {
		return nil, errors.Wrapf(ErrMalformed, "relayed kind %d", m.Inner)
	}
	message, err := decode(m.Body)
	if err != nil {
		return nil, malformed(err)
	}
	return message, nil
}

// IsLedger reports whether a message is about claims.
func IsLedger(message Message) bool {
	kind := message.Kind()
	return kind >= KindLedgerClaim && kind <= KindLedgerRelay
}

// Kind implements Message.
func (LedgerClaim) Kind() Kind { return KindLedgerClaim }

// Kind implements Message.
func (LedgerVerdict) Kind() Kind { return KindLedgerVerdict }

// Kind implements Message.
func (LedgerClose) Kind() Kind { return KindLedgerClose }

// Kind implements Message.
func (LedgerOutcome) Kind() Kind { return KindLedgerOutcome }

// Kind implements Message.
func (LedgerAck) Kind() Kind { return KindLedgerAck }

// Kind implements Message.
func (LedgerProbe) Kind() Kind { return KindLedgerProbe }

// Kind implements Message.
func (LedgerRunning) Kind() Kind { return KindLedgerRunning }

// Kind implements Message.
func (LedgerGone) Kind() Kind { return KindLedgerGone }

// Kind implements Message.
func (LedgerRelay) Kind() Kind { return KindLedgerRelay }
