package ledger

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// SegmentBytes is the encoded size at which a segment is sealed.
	SegmentBytes = 16 << 10
	// KeptBodyBytes bounds an answer's body in the ledger. Of a larger one
	// only the digest is kept.
	KeptBodyBytes = 2 << 10

	segmentFormat = 1
)

// ErrMalformed is returned for an object that is not a segment.
var ErrMalformed = errors.New("malformed ledger segment")

// segment is the content of one object: a part of the log of a place.
//
// Invariant: a sealed segment never changes. A claim is added only to a
// segment whose predecessors are all sealed and hold no live claim of its key.
type segment struct {
	_      struct{} `cbor:",toarray"`
	Format uint8
	Sealed bool
	// Claims are never removed, and never passed to another attempt.
	Claims []claimRecord
	// Closed are attempts that were not sent and never will be.
	Closed   []uuid.UUID
	Outcomes []outcomeRecord
}

// claimRecord is an attempt that may be sent while it is not closed.
type claimRecord struct {
	_       struct{} `cbor:",toarray"`
	Account version.AccountID
	Key     claim.Key
	Attempt uuid.UUID
	// Request is the head of the request's digest.
	Request [16]byte
	// Entry is the VM that holds the attempt.
	Entry version.VMID
}

// outcomeRecord is how an attempt ended. Answer is nil for one that ended
// without a whole answer.
type outcomeRecord struct {
	_       struct{} `cbor:",toarray"`
	Attempt uuid.UUID
	Answer  *wire.LedgerAnswer
}

func (s *segment) encode() ([]byte, error) {
	value, err := cbor.Marshal(s)
	return value, errors.Wrap(err, "encode segment")
}

func decodeSegment(value []byte) (segment, error) {
	var s segment
	if err := cbor.Unmarshal(value, &s); err != nil {
		return segment{}, errors.Mark(errors.Wrap(err, "decode segment"), ErrMalformed)
	}
	if s.Format != segmentFormat {
		return segment{}, errors.Wrapf(ErrMalformed, "format %d", s.Format)
	}
	return s, nil
}

// joined returns a segment with the records of both.
func (s *segment) joined(added segment) segment {
	return segment{
		Format:   segmentFormat,
		Claims:   append(s.Claims[:len(s.Claims):len(s.Claims)], added.Claims...),
		Closed:   append(s.Closed[:len(s.Closed):len(s.Closed)], added.Closed...),
		Outcomes: append(s.Outcomes[:len(s.Outcomes):len(s.Outcomes)], added.Outcomes...),
	}
}

// subjectOf names the attempt of a claim.
func subjectOf(c claim.Claim) wire.LedgerSubject {
	return wire.LedgerSubject{Account: c.Account, Key: c.Key, Attempt: c.Attempt}
}

func placeOf(s wire.LedgerSubject) Place { return PlaceOf(s.Account, s.Key) }

// toWire returns the part of an answer that is kept.
func toWire(answer *claim.Answer) *wire.LedgerAnswer {
	if answer == nil {
		return nil
	}
	kept := &wire.LedgerAnswer{
		Status:      answer.Status,
		ContentType: answer.ContentType,
		BodyDigest:  answer.BodyDigest,
	}
	if len(answer.Body) <= KeptBodyBytes {
		kept.Body = answer.Body
	}
	return kept
}

func fromWire(answer *wire.LedgerAnswer) *claim.Answer {
	return &claim.Answer{
		Status:      answer.Status,
		ContentType: answer.ContentType,
		Body:        answer.Body,
		BodyDigest:  answer.BodyDigest,
	}
}
