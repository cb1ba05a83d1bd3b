package serve

import (
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// errDetached is returned by writes after the caller's request was detached.
var errDetached = errors.New("response writer is detached from the caller's request")

// detachableWriter is the response writer of an attempt that may outlive the caller's
// request. It is safe for concurrent use, except for its header.
//
// Invariants: after detach has returned true, nothing is written to the caller. Exactly one
// of detach and complete returns true, once.
type detachableWriter struct {
	header http.Header

	mu            sync.Mutex
	w             http.ResponseWriter
	headerWritten bool
	completed     bool
	detached      bool
}

func newDetachableWriter(w http.ResponseWriter) *detachableWriter {
	return &detachableWriter{w: w, header: make(http.Header)}
}

// detach separates the caller's request from the attempt, unless the response has begun or
// the attempt is complete. It calls onDetach before the attempt can observe the detachment.
func (d *detachableWriter) detach(onDetach func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.headerWritten || d.completed {
		return false
	}
	onDetach()
	d.detached = true
	return true
}

// complete marks the attempt as complete. It reports whether the handler of the caller's
// request still waits for the result.
func (d *detachableWriter) complete() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.completed = !d.detached
	return d.completed
}

// Header implements http.ResponseWriter.
func (d *detachableWriter) Header() http.Header { return d.header }

// WriteHeader implements http.ResponseWriter.
func (d *detachableWriter) WriteHeader(status int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.detached {
		return
	}
	d.headerWritten = true
	header := d.w.Header()
	for name, values := range d.header {
		header[name] = values
	}
	d.w.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (d *detachableWriter) Write(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.detached {
		return 0, errDetached
	}
	return d.w.Write(p)
}

// FlushError implements the interface that http.ResponseController uses to flush.
func (d *detachableWriter) FlushError() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.detached {
		return errDetached
	}
	return http.NewResponseController(d.w).Flush()
}

// SetWriteDeadline implements the interface that http.ResponseController uses.
func (d *detachableWriter) SetWriteDeadline(deadline time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.detached {
		return errDetached
	}
	return http.NewResponseController(d.w).SetWriteDeadline(deadline)
}
