package relay

import (
	"crypto/sha256"
	"hash"
	"net/http"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
)

// MaxRecordedBytes limits the body of a recorded response. Of a longer body only the
// digest is recorded.
const MaxRecordedBytes = 16 << 10

// callerWriter writes a response to the caller. Each write must be accepted within
// writeTimeout.
type callerWriter struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	writeTimeout time.Duration
	// deadlineSetAt is when the write deadline was last set.
	deadlineSetAt time.Time
	headerWritten bool
	// outlivesCaller is set if the attempt continues after the caller has disconnected.
	outlivesCaller bool
	callerGone     bool
	recorder       *recorder
}

// recorder records a response for the ledger.
type recorder struct {
	answer   claim.Answer
	digest   hash.Hash
	tooLarge bool
}

func newCallerWriter(w http.ResponseWriter, call Call, writeTimeout time.Duration) *callerWriter {
	c := &callerWriter{w: w, controller: http.NewResponseController(w), writeTimeout: writeTimeout, outlivesCaller: call.Record}
	if call.Record {
		c.recorder = &recorder{digest: sha256.New()}
	}
	return c
}

// setHeader records the response's status and content type.
func (c *callerWriter) setHeader(status int, header http.Header) {
	if c.recorder != nil {
		c.recorder.answer.Status = status
		c.recorder.answer.ContentType = header.Get("Content-Type")
	}
}

// writeHeader writes the status and the header.
func (c *callerWriter) writeHeader(status int, header http.Header) {
	c.headerWritten = true
	c.setHeader(status, header)
	copyResponseHeader(c.w.Header(), header)
	c.extendDeadline()
	c.w.WriteHeader(status)
}

// write writes a chunk of the body.
func (c *callerWriter) write(chunk []byte) error {
	if c.recorder != nil {
		c.recorder.add(chunk)
	}
	if c.callerGone {
		return nil
	}
	c.extendDeadline()
	if _, err := c.w.Write(chunk); err != nil {
		return c.callerLost()
	}
	return nil
}

// flush sends the buffered data to the caller.
func (c *callerWriter) flush() error {
	if c.callerGone {
		return nil
	}
	if err := c.controller.Flush(); err != nil {
		return c.callerLost()
	}
	return nil
}

func (c *callerWriter) callerLost() error {
	if !c.outlivesCaller {
		return ErrCallerGone
	}
	c.callerGone = true
	return nil
}

// extendDeadline moves the write deadline forward, at most updatesPerTimeout times within
// one write timeout.
func (c *callerWriter) extendDeadline() {
	const updatesPerTimeout = 8
	now := time.Now()
	if now.Sub(c.deadlineSetAt) < c.writeTimeout/updatesPerTimeout {
		return
	}
	c.deadlineSetAt = now
	// Writers in tests may not support deadlines.
	_ = c.controller.SetWriteDeadline(now.Add(c.writeTimeout))
}

// recordedAnswer returns the recorded response, or nil if it is not recorded.
func (c *callerWriter) recordedAnswer() *claim.Answer {
	if c.recorder == nil {
		return nil
	}
	return c.recorder.result()
}

func (r *recorder) add(chunk []byte) {
	r.digest.Write(chunk)
	if r.tooLarge || len(r.answer.Body)+len(chunk) > MaxRecordedBytes {
		r.tooLarge = true
		r.answer.Body = nil
		return
	}
	r.answer.Body = append(r.answer.Body, chunk...)
}

func (r *recorder) result() *claim.Answer {
	answer := r.answer
	r.digest.Sum(answer.BodyDigest[:0])
	if !r.tooLarge && answer.Body == nil {
		answer.Body = []byte{}
	}
	return &answer
}
