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
	// SegmentSealBytes is the encoded size at which a segment is sealed.
	SegmentSealBytes = 16 << 10
	// MaxStoredBodyBytes is the largest answer body that is stored. Of a larger body
	// only the digest is stored.
	MaxStoredBodyBytes = 2 << 10

	segmentFormat = 1
)

// ErrMalformed is returned for an object that is not a valid segment.
var ErrMalformed = errors.New("malformed ledger segment")

// segment is the content of one object, a section of a log.
//
// Invariant: a sealed segment never changes. A claim is added only to a segment
// whose predecessors are all sealed and hold no live claim of its key.
type segment struct {
	_      struct{} `cbor:",toarray"`
	Format uint8
	Sealed bool
	// Claims are never removed and never transferred to another attempt.
	Claims []claimRecord
	// Closed are attempts that were not sent and never will be.
	Closed   []uuid.UUID
	Outcomes []outcomeRecord
}

// claimRecord is the claim of an attempt that may be sent until it is closed.
type claimRecord struct {
	_       struct{} `cbor:",toarray"`
	Account version.AccountID
	Key     claim.Key
	Attempt uuid.UUID
	// Request is the first 16 bytes of the request's digest.
	Request [16]byte
	// Entry is the VM that holds the attempt.
	Entry version.VMID
}

// outcomeRecord is the outcome of an attempt. Answer is nil if the attempt ended
// without a complete answer.
type outcomeRecord struct {
	_       struct{} `cbor:",toarray"`
	Attempt uuid.UUID
	Answer  *wire.LedgerAnswer
}

func (s *segment) encode() ([]byte, error) {
	value, err := cbor.Marshal(s)
	return value, errors.Wrap(err, "encode ledger segment")
}

func decodeSegment(value []byte) (segment, error) {
	var s segment
	if err := cbor.Unmarshal(value, &s); err != nil {
		return segment{}, errors.Mark(errors.Wrap(err, "decode ledger segment"), ErrMalformed)
	}
	if s.Format != segmentFormat {
		return segment{}, errors.Wrapf(ErrMalformed, "unknown segment format %d", s.Format)
	}
	return s, nil
}

// withRecords returns an unsealed segment with the records of both segments.
func (s *segment) withRecords(batch segment) segment {
	return segment{
		Format:   segmentFormat,
		Claims:   append(s.Claims[:len(s.Claims):len(s.Claims)], batch.Claims...),
		Closed:   append(s.Closed[:len(s.Closed):len(s.Closed)], batch.Closed...),
		Outcomes: append(s.Outcomes[:len(s.Outcomes):len(s.Outcomes)], batch.Outcomes...),
	}
}

// subjectOf returns the subject of a claim's messages.
func subjectOf(c claim.Claim) wire.LedgerSubject {
	return wire.LedgerSubject{Account: c.Account, Key: c.Key, Attempt: c.Attempt}
}

func logIDOf(s wire.LedgerSubject) LogID { return LogIDOf(s.Account, s.Key) }

// answerToWire returns the stored form of an answer, or nil for nil.
func answerToWire(answer *claim.Answer) *wire.LedgerAnswer {
	if answer == nil {
		return nil
	}
	stored := &wire.LedgerAnswer{
		Status:      answer.Status,
		ContentType: answer.ContentType,
		BodyDigest:  answer.BodyDigest,
	}
	if len(answer.Body) <= MaxStoredBodyBytes {
		stored.Body = answer.Body
	}
	return stored
}

func answerFromWire(answer *wire.LedgerAnswer) *claim.Answer {
	return &claim.Answer{
		Status:      answer.Status,
		ContentType: answer.ContentType,
		Body:        answer.Body,
		BodyDigest:  answer.BodyDigest,
	}
}
