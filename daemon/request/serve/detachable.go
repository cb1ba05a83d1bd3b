package serve

import (
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// errDetached is returned for a write after the caller's request has left.
var errDetached = errors.New("the caller's request has left")

// detachable is the writer of an answer whose attempt may outlive the caller's
// request. It is safe for concurrent use, but for its header.
//
// Invariant: after detach has returned true, nothing reaches the caller's
// writer; and either detach or complete returns true, once.
type detachable struct {
	header http.Header

	mu        sync.Mutex
	w         http.ResponseWriter
	begun     bool
	completed bool
	detached  bool
}

func newDetachable(w http.ResponseWriter) *detachable {
	return &detachable{w: w, header: make(http.Header)}
}

// detach takes the caller's request away if nothing was written and the
// attempt is not over. It calls leave before the attempt can know.
func (d *detachable) detach(leave func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.begun || d.completed {
		return false
	}
	leave()
	d.detached = true
	return true
}

// complete ends the attempt. It reports whether the caller's request is still
// there to take its result.
func (d *detachable) complete() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.completed = !d.detached
	return d.completed
}

// Header implements http.ResponseWriter.
func (d *detachable) Header() http.Header { return d.header }

// WriteHeader implements http.ResponseWriter.
func (d *detachable) WriteHeader(status int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.detached {
		return
	}
	d.begun = true
	header := d.w.Header()
	for name, values := range d.header {
		header[name] = values
	}
	d.w.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (d *detachable) Write(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.detached {
		return 0, errDetached
	}
	return d.w.Write(p)
}

// FlushError is used by http.ResponseController.
func (d *detachable) FlushError() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.detached {
		return errDetached
	}
	return http.NewResponseController(d.w).Flush()
}

// SetWriteDeadline is used by http.ResponseController.
func (d *detachable) SetWriteDeadline(deadline time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.detached {
		return errDetached
	}
	return http.NewResponseController(d.w).SetWriteDeadline(deadline)
}
