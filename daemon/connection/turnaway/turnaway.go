// Package turnaway rejects connections that the process has no processor time or memory to
// serve. Each connection gets a prepared 503 response, which says that the request was not
// executed and when to retry.
//
// Closing a connection without a response costs the process less, but tells the caller
// nothing, and some callers treat that as a failure. Responding through net/http takes a
// goroutine, buffers and the parsing of the request for each connection. A Rejecter makes a few
// system calls instead, on one goroutine for all connections.
package turnaway

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// DefaultMaxWaiting is the default of Options.MaxWaiting.
	DefaultMaxWaiting = 512
	// requestTimeout bounds the time from Reject until the request has been read: its
	// head before the response and its body after it. Unread bytes cause a TCP reset
	// when the connection is closed, and the reset may overtake the response.
	requestTimeout = 500 * time.Millisecond
	// pollInterval is the time between two polls of the waiting connections.
	pollInterval = 10 * time.Millisecond
	// readBufferBytes is the size of the read buffer that all connections share.
	readBufferBytes = 32 << 10
)

// Options configure a Rejecter.
type Options struct {
	// Body is the body of the 503 response, in JSON.
	Body []byte
	// RetryAfter are the values of the Retry-After header, used in rotation; default
	// one second.
	RetryAfter []time.Duration
	// MaxWaiting bounds the connections whose request has not arrived or not been read
	// completely. Further connections are closed without a response. Default
	// DefaultMaxWaiting.
	MaxWaiting int
}

// Rejecter is a connection rejecter. It is safe for concurrent use.
type Rejecter struct {
	maxWaiting int
	responses  [][]byte

	mu sync.Mutex
	// nextResponse is the index of the response that the next connection gets.
	nextResponse int
	waiting      []waitingConn
	readBuffer   []byte
	counts       Counts
	// wake makes Run poll the waiting connections.
	wake chan struct{}
}

// Counts are the numbers of connections by outcome.
type Counts struct {
	// Answered counts connections that got the response, Closed those that were closed
	// without it.
	Answered, Closed uint64
}

// waitingConn is a connection whose request has not been read completely.
type waitingConn struct {
	fd       int
	deadline time.Time
	// responded is set once the response was written. unreadBytes is then the number
	// of bytes of the request that remain to be read; negative if unknown.
	responded   bool
	unreadBytes int
	// headTail holds the last bytes of the part of the head received so far, in case
	// the blank line that ends the head is split between reads. It is nil before the
	// first read and once the head is complete.
	headTail []byte
}

// New returns a connection rejecter. Its Run method must run for connections to be
// handled to their end.
func New(options Options) *Rejecter {
	if options.MaxWaiting == 0 {
		options.MaxWaiting = DefaultMaxWaiting
	}
	if len(options.RetryAfter) == 0 {
		options.RetryAfter = []time.Duration{time.Second}
	}
	r := &Rejecter{maxWaiting: options.MaxWaiting, readBuffer: make([]byte, readBufferBytes), wake: make(chan struct{}, 1)}
	for _, after := range options.RetryAfter {
		r.responses = append(r.responses, newResponse(options.Body, after))
	}
	return r
}

func newResponse(body []byte, after time.Duration) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: application/json\r\n"+
		"Retry-After: %s\r\nContent-Length: %d\r\n\r\n%s",
		http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable),
		strconv.FormatFloat(after.Seconds(), 'f', -1, 64), len(body), body)
}

// Reject rejects a connection: it writes the response, at once or when the request's head has
// arrived, and closes the connection. fd must be the file descriptor of a stream socket in
// non-blocking mode. The Rejecter owns fd from then on.
func (r *Rejecter) Reject(fd int) { r.reject(waitingConn{fd: fd}, false) }

// RejectRead is Reject for a connection of whose first request read has been read, from its beginning.
func (r *Rejecter) RejectRead(fd int, read []byte) {
	if len(read) == 0 {
		r.Reject(fd)
		return
	}
	c := waitingConn{fd: fd}
	c.addRequestBytes(read)
	r.reject(c, c.headTail == nil)
}

// RejectBegun is Reject for a connection of whose first request a part has been read, which ends in
// read.
func (r *Rejecter) RejectBegun(fd int, read []byte) {
	// The length of the request may be in the part before.
	c := waitingConn{fd: fd, headTail: []byte{}}
	c.addRequestBytes(read)
	r.reject(c, c.headTail == nil)
}

// reject rejects a connection; headRead is set if the head of its request has been read.
func (r *Rejecter) reject(c waitingConn, headRead bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.deadline = time.Now().Add(requestTimeout)
	switch {
	case headRead && !r.respond(&c):
		return
	case headRead && c.unreadBytes == 0:
		r.close(c)
		return
	case r.readRequest(&c):
		return
	}
	if len(r.waiting) >= r.maxWaiting {
		r.close(c)
		return
	}
	r.waiting = append(r.waiting, c)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Counts returns the numbers of connections by outcome since New.
func (r *Rejecter) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// Waiting returns the number of connections whose request has not been read completely.
func (r *Rejecter) Waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.waiting)
}

// Run polls the waiting connections until ctx ends, then closes them. It returns the error
// of ctx.
func (r *Rejecter) Run(ctx context.Context) error {
	defer r.closeAll()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.wake:
		}
		for r.poll() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(pollInterval):
			}
		}
	}
}

// poll reads from the waiting connections, closes those past their deadline and reports
// whether any connection is left waiting.
func (r *Rejecter) poll() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, remaining := time.Now(), r.waiting[:0]
	for _, c := range r.waiting {
		switch {
		case r.readRequest(&c):
		case now.After(c.deadline):
			r.close(c)
		default:
			remaining = append(remaining, c)
		}
	}
	clear(r.waiting[len(remaining):])
	r.waiting = remaining
	return len(remaining) > 0
}

func (r *Rejecter) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.waiting {
		r.close(c)
	}
	r.waiting = nil
}

// readRequest reads the bytes that have arrived and responds once the head is complete. It
// reports whether the connection is closed.
func (r *Rejecter) readRequest(c *waitingConn) bool {
	for {
		n, err := unix.Read(c.fd, r.readBuffer)
		switch {
		case errors.Is(err, unix.EAGAIN):
			return false
		case errors.Is(err, unix.EINTR):
			continue
		case err != nil || n == 0:
			// The caller closed the connection, before or after the response.
			r.close(*c)
			return true
		}
		if !c.responded {
			c.addRequestBytes(r.readBuffer[:n])
			if c.headTail != nil {
				continue
			}
			if !r.respond(c) {
				return true
			}
		} else if c.unreadBytes > 0 {
			c.unreadBytes = max(c.unreadBytes-n, 0)
		}
		if c.unreadBytes == 0 {
			r.close(*c)
			return true
		}
	}
}

// respond writes the response, which fits into the empty send buffer of a new connection;
// nothing is sent after it. It closes the connection and returns false if the write fails.
func (r *Rejecter) respond(c *waitingConn) bool {
	response := r.responses[r.nextResponse]
	r.nextResponse = (r.nextResponse + 1) % len(r.responses)
	if n, err := unix.Write(c.fd, response); err != nil || n < len(response) {
		r.close(*c)
		return false
	}
	c.responded = true
	r.counts.Answered++
	if c.unreadBytes != 0 {
		// Read the rest of the request before closing, so that no TCP reset overtakes
		// the response. If the shutdown fails, the next read reports the error.
		_ = unix.Shutdown(c.fd, unix.SHUT_WR)
	}
	return true
}

func (r *Rejecter) close(c waitingConn) {
	if !c.responded {
		r.counts.Closed++
	}
	// close(2) releases the descriptor even if it returns an error.
	_ = unix.Close(c.fd)
}

var headEnd = []byte("\r\n\r\n")

// addRequestBytes processes bytes of the request until its head is complete. Then headTail
// is nil and unreadBytes is the number of bytes still to come. That number is known only if
// the head has a single Content-Length and arrived in one read.
func (c *waitingConn) addRequestBytes(data []byte) {
	firstRead, received := c.headTail == nil, data
	if !firstRead {
		received = append(c.headTail, data...)
	}
	end := bytes.Index(received, headEnd)
	if end < 0 {
		c.headTail = bytes.Clone(received[max(len(received)-len(headEnd)+1, 0):])
		return
	}
	c.headTail, c.unreadBytes = nil, -1
	if length, known := contentLength(received[:end+2]); firstRead && known {
		c.unreadBytes = max(end+len(headEnd)+length-len(received), 0)
	}
}

// contentLength returns the body length in bytes that head states; every line of head must
// end with CRLF. It returns false if the length is unknown: the head has a Transfer-Encoding,
// an invalid Content-Length or several of them.
func contentLength(head []byte) (int, bool) {
	length, found := 0, false
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			return 0, false
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.Atoi(string(bytes.TrimSpace(value)))
			if err != nil || n < 0 || found {
				return 0, false
			}
			length, found = n, true
		}
	}
	return length, true
}

// Detach removes a connection from the runtime's network poller: it closes conn and returns
// a duplicate of its file descriptor, which the caller owns. It fails if conn has no file
// descriptor.
func Detach(conn net.Conn) (int, error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0, errors.Newf("detach connection: %T has no file descriptor", conn)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, errors.Wrap(err, "descriptor")
	}
	fd := -1
	controlErr := raw.Control(func(original uintptr) { fd, err = unix.FcntlInt(original, unix.F_DUPFD_CLOEXEC, 0) })
	if err = errors.CombineErrors(controlErr, err); err != nil {
		return 0, errors.Wrap(err, "duplicate file descriptor")
	}
	// The duplicate keeps the connection open.
	return fd, errors.Wrap(conn.Close(), "close the runtime's file descriptor")
}
