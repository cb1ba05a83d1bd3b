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
	// KindLedgerNotFound tags LedgerNotFound.
	KindLedgerNotFound Kind = 67
	// KindLedgerRelay tags LedgerRelay.
	KindLedgerRelay Kind = 68
)

// relayableDecoders decodes the ledger messages that a LedgerRelay may carry.
var relayableDecoders = map[Kind]decoder{
	KindLedgerClaim:    decodeAs[LedgerClaim],
	KindLedgerVerdict:  decodeAs[LedgerVerdict],
	KindLedgerClose:    decodeAs[LedgerClose],
	KindLedgerOutcome:  decodeAs[LedgerOutcome],
	KindLedgerAck:      decodeAs[LedgerAck],
	KindLedgerProbe:    decodeAs[LedgerProbe],
	KindLedgerRunning:  decodeAs[LedgerRunning],
	KindLedgerNotFound: decodeAs[LedgerNotFound],
}

// ledgerDecoders decodes the messages of the ledger of non-idempotent requests.
var ledgerDecoders = mergeDecoders(relayableDecoders, map[Kind]decoder{KindLedgerRelay: decodeAs[LedgerRelay]})

// LedgerSubject identifies one attempt under one idempotency key.
type LedgerSubject struct {
	_       struct{} `cbor:",toarray"`
	Account version.AccountID
	Key     claim.Key
	Attempt uuid.UUID
}

// LedgerClaim asks the writer of a ledger shard to record a claim. It may be sent
// repeatedly; the attempt's identifier makes it idempotent.
type LedgerClaim struct {
	_       struct{} `cbor:",toarray"`
	Subject LedgerSubject
	// Request is the first 16 bytes of the request's digest.
	Request [16]byte
	// Stamp is the sender's clock at sending. The verdict echoes it.
	Stamp uint64
}

// LedgerResult is a writer's decision on a claim.
type LedgerResult uint8

const (
	// LedgerWaiting means that no decision has been made yet.
	LedgerWaiting LedgerResult = iota
	// LedgerClaimed means that the attempt holds the claim.
	LedgerClaimed
	// LedgerReplay means that the outcome of the key is recorded.
	LedgerReplay
	// LedgerReused means that the key was used for another request.
	LedgerReused
	// LedgerUnknown means that the key is held by an attempt whose outcome is unknown.
	LedgerUnknown
	// LedgerBroken means that the key's attempt ended without a complete answer.
	LedgerBroken
	// LedgerClosed means that the attempt has been closed.
	LedgerClosed
	// LedgerBusy means that the writer has no capacity for the claim.
	LedgerBusy
)

// LedgerVerdict answers a LedgerClaim.
type LedgerVerdict struct {
	_       struct{} `cbor:",toarray"`
	Attempt uuid.UUID
	Stamp   uint64
	Result  LedgerResult
	// Held is set while another attempt holds the key (LedgerWaiting only).
	Held bool
	// StoreRead is set if the store was read for this claim and no attempt held the key
	// (LedgerWaiting only).
	StoreRead bool
	// Answer is the recorded outcome (LedgerReplay only).
	Answer *LedgerAnswer
}

// LedgerAnswer is the recorded outcome of an attempt.
type LedgerAnswer struct {
	_           struct{} `cbor:",toarray"`
	Status      int
	ContentType string
	// Body is nil if it exceeded the size up to which bodies are recorded.
	Body       []byte
	BodyDigest claim.Digest
}

// LedgerClose states that an attempt was not sent and never will be.
type LedgerClose struct {
	_       struct{} `cbor:",toarray"`
	Subject LedgerSubject
	// SoleWriter is set if no other writer was asked to record the claim.
	SoleWriter bool
}

// LedgerOutcome reports the outcome of a claimed attempt.
type LedgerOutcome struct {
	_       struct{} `cbor:",toarray"`
	Subject LedgerSubject
	// Answer is nil if the attempt ended without a complete answer.
	Answer *LedgerAnswer
}

// LedgerAck confirms that the store has recorded a LedgerClose or LedgerOutcome.
type LedgerAck struct {
	_       struct{} `cbor:",toarray"`
	Attempt uuid.UUID
}

// LedgerProbe asks the entry that made an attempt for its state. The answer is a
// LedgerRunning, LedgerNotFound, LedgerClose or LedgerOutcome.
type LedgerProbe struct {
	_       struct{} `cbor:",toarray"`
	Subject LedgerSubject
}

// LedgerRunning states that an attempt may still be running or complete later.
type LedgerRunning struct {
	_       struct{} `cbor:",toarray"`
	Subject LedgerSubject
}

// LedgerNotFound states that the entry does not know the attempt.
type LedgerNotFound struct {
	_       struct{} `cbor:",toarray"`
	Subject LedgerSubject
}

// LedgerRelay forwards a message between data centres, through a daemon that is linked
// to both ends.
type LedgerRelay struct {
	_    struct{} `cbor:",toarray"`
	From version.VMID
	// To is the receiver. If it is empty, the message is for the writer of its shard in
	// the relaying daemon's data centre.
	To version.VMID
	// Inner is the kind of the forwarded message and Body its encoding.
	Inner Kind
	Body  cbor.RawMessage
}

// NewLedgerRelay returns a relay that carries the message.
func NewLedgerRelay(from, to version.VMID, message Message) (LedgerRelay, error) {
	body, err := encMode.Marshal(message)
	if err != nil {
		return LedgerRelay{}, errors.Wrapf(err, "encode message of kind %d", message.Kind())
	}
	return LedgerRelay{From: from, To: to, Inner: message.Kind(), Body: body}, nil
}

// Unwrap returns the forwarded message. It returns ErrMalformed if that is not a ledger
// message, is itself a relay or cannot be decoded.
func (m LedgerRelay) Unwrap() (Message, error) {
	decode, known := relayableDecoders[m.Inner]
	if !known {
		return nil, errors.Wrapf(ErrMalformed, "relayed message of kind %d", m.Inner)
	}
	message, err := decode(m.Body)
	if err != nil {
		return nil, malformedFrame(err)
	}
	return message, nil
}

// IsLedger reports whether the message is a ledger message.
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
func (LedgerNotFound) Kind() Kind { return KindLedgerNotFound }

// Kind implements Message.
func (LedgerRelay) Kind() Kind { return KindLedgerRelay }
