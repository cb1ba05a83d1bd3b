package upstream

import (
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// uploadGrace is how long the end of an answer waits until the transport has reported that the
// request was written. It reports that right after the last write, but a busy process may read the
// answer to it first.
const uploadGrace = 250 * time.Millisecond

// ErrUploadUnfinished is returned for an answer that ended with its connection while its request was
// still being sent.
var ErrUploadUnfinished = errors.New("answer ended with its connection before its request was sent in full")

// uploadState is how far a request was written.
type uploadState uint8

const (
	uploadUnderWay uploadState = iota
	uploadWritten
	uploadFailed
)

// endUpload records that the transport has written the request, or has given it up with an error.
func (t *SendTracker) endUpload(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.upload = uploadWritten
	if err != nil {
		t.upload = uploadFailed
	}
	if t.uploadEnded != nil {
		close(t.uploadEnded)
		t.uploadEnded = nil
	}
}

// GuardEnd makes the body of an answer whose end is that of its connection fail with
// ErrUploadUnfinished, unless its request was sent in full. The kernel reports a reset to one caller
// only: where a write has learned of it, the next read finds an orderly end.
func (t *SendTracker) GuardEnd(answer *http.Response) {
	if answer.Request.Method != http.MethodHead && answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
		answer.Body = &guardedBody{ReadCloser: answer.Body, tracker: t}
	}
}

// guardedBody is the body of an answer whose end is that of its connection.
type guardedBody struct {
	io.ReadCloser
	tracker *SendTracker
}

// Read implements io.Reader.
func (b *guardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.tracker.sentInFull() {
		return n, ErrUploadUnfinished
	}
	return n, err
}

// sentInFull reports whether the request was written and its upstream has received all of it. It
// waits up to uploadGrace for the end of the writing.
func (t *SendTracker) sentInFull() bool {
	t.mu.Lock()
	if t.upload == uploadUnderWay {
		if t.uploadEnded == nil {
			t.uploadEnded = make(chan struct{})
		}
		ended := t.uploadEnded
		t.mu.Unlock()
		timer := time.NewTimer(uploadGrace)
		defer timer.Stop()
		select {
		case <-ended:
		case <-timer.C:
		}
		t.mu.Lock()
	}
	defer t.mu.Unlock()
	return t.upload == uploadWritten && (t.conn == nil || t.conn.unreceivedBytes() == 0)
}

// noteUnreceived records how much of what was written the other end's kernel has not confirmed,
// before the connection is closed. On a connection of another kind it records nothing.
func (c *countedConn) noteUnreceived() {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return
	}
	// Nothing is known of a connection that is closed meanwhile.
	_ = control.Control(func(fd uintptr) {
		queued, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if err != nil {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.unreceived = queued
	})
}

// unreceivedBytes returns what noteUnreceived recorded.
func (c *countedConn) unreceivedBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreceived
}
