package relay

import (
	"crypto/sha256"
	"hash"
	"net/http"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
)

// MaxRecordedBytes bounds the body that is kept of a recorded answer.
const MaxRecordedBytes = 16 << 10

// callerWriter writes an answer to the caller. Each piece has to be accepted
// within a bounded time.
type callerWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	slow    time.Duration
	// deadlineAt is when the write deadline was last set.
	deadlineAt time.Time
	begun      bool
	// outlive is set if a caller that goes away does not end the answer.
	outlive  bool
	gone     bool
	recorder *recorder
}

// recorder keeps an answer for the ledger.
type recorder struct {
	answer claim.Answer
	digest hash.Hash
	over   bool
}

func newCallerWriter(w http.ResponseWriter, call Call, slow time.Duration) *callerWriter {
	c := &callerWriter{w: w, control: http.NewResponseController(w), slow: slow, outlive: call.Record}
	if call.Record {
		c.recorder = &recorder{digest: sha256.New()}
	}
	return c
}

// record notes an answer's status and header.
func (c *callerWriter) record(status int, header http.Header) {
	if c.recorder != nil {
		c.recorder.answer.Status = status
		c.recorder.answer.ContentType = header.Get("Content-Type")
	}
}

// begin writes the status and the header.
func (c *callerWriter) begin(status int, header http.Header) {
	c.begun = true
	c.record(status, header)
	copyAnswerHeader(c.w.Header(), header)
	c.extend()
	c.w.WriteHeader(status)
}

// write writes a piece of the body.
func (c *callerWriter) write(piece []byte) error {
	if c.recorder != nil {
		c.recorder.add(piece)
	}
	if c.gone {
		return nil
	}
	c.extend()
	if _, err := c.w.Write(piece); err != nil {
		return c.lost()
	}
	return nil
}

// flush sends what was written.
func (c *callerWriter) flush() error {
	if c.gone {
		return nil
	}
	if err := c.control.Flush(); err != nil {
		return c.lost()
	}
	return nil
}

func (c *callerWriter) lost() error {
	if !c.outlive {
		return ErrCallerGone
	}
	c.gone = true
	return nil
}

// extend moves the write deadline, at most a few times a period.
func (c *callerWriter) extend() {
	const perPeriod = 8
	now := time.Now()
	if now.Sub(c.deadlineAt) < c.slow/perPeriod {
		return
	}
	c.deadlineAt = now
	// A writer without deadlines is one of a test.
	_ = c.control.SetWriteDeadline(now.Add(c.slow))
}

// recorded returns the answer for the ledger, or nil.
func (c *callerWriter) recorded() *claim.Answer {
	if c.recorder == nil {
		return nil
	}
	return c.recorder.whole()
}

func (r *recorder) add(piece []byte) {
	r.digest.Write(piece)
	if r.over || len(r.answer.Body)+len(piece) > MaxRecordedBytes {
		r.over = true
		r.answer.Body = nil
		return
	}
	r.answer.Body = append(r.answer.Body, piece...)
}

func (r *recorder) whole() *claim.Answer {
	answer := r.answer
	r.digest.Sum(answer.BodyDigest[:0])
	if !r.over && answer.Body == nil {
		answer.Body = []byte{}
	}
	return &answer
}
