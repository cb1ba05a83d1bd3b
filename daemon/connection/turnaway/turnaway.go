// Package turnaway answers connections that the process has no processor or memory to
// serve: each gets a prepared refusal, which says that nothing ran and when to come back.
//
// A connection that is closed unread costs its process less and tells its caller nothing:
// some callers take that for a failure. Serving a refusal the usual way takes a goroutine,
// buffers and the parsing of the request. A Desk takes a few calls of the kernel instead,
// on one goroutine for all connections.
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
	// patience is how long a connection may take to send its request's head, and after
	// the refusal its body. Bytes that are not read reset a connection when it is
	// closed, and the reset may overtake the refusal.
	patience = 500 * time.Millisecond
	// lookInterval is how often waiting connections are looked at.
	lookInterval = 10 * time.Millisecond
	// readBytes is how much is read at once.
	readBytes = 32 << 10
)

// Options set up a Desk.
type Options struct {
	// Body is the refusal's body, JSON.
	Body []byte
	// RetryAfter are the times to come back after, which are told in turn.
	RetryAfter []time.Duration
	// MaxWaiting bounds the connections whose request has not come or is not read yet;
	// any further one is closed. Default DefaultMaxWaiting.
	MaxWaiting int
}

// Desk answers connections. It is safe for concurrent use.
type Desk struct {
	maxWaiting int
	refusals   [][]byte

	mu      sync.Mutex
	next    int
	waiting []visitor
	buffer  []byte
	counts  Counts
	// arrived wakes Run.
	arrived chan struct{}
}

// Counts are what became of connections.
type Counts struct {
	// Answered got a refusal; Closed ended without one.
	Answered, Closed uint64
}

// visitor is a connection that waits.
type visitor struct {
	fd    int
	until time.Time
	// answered is set once the refusal was written; left is then how much of the
	// request is still to be read, negative if unknown.
	answered bool
	left     int
	// tail are the last bytes of a head whose end has not come.
	tail []byte
}

// New returns a desk.
func New(options Options) *Desk {
	if options.MaxWaiting == 0 {
		options.MaxWaiting = DefaultMaxWaiting
	}
	if len(options.RetryAfter) == 0 {
		options.RetryAfter = []time.Duration{time.Second}
	}
	d := &Desk{maxWaiting: options.MaxWaiting, buffer: make([]byte, readBytes), arrived: make(chan struct{}, 1)}
	for _, after := range options.RetryAfter {
		d.refusals = append(d.refusals, refusal(options.Body, after))
	}
	return d
}

func refusal(body []byte, after time.Duration) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: application/json\r\n"+
		"Retry-After: %s\r\nContent-Length: %d\r\n\r\n%s",
		http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable),
		strconv.FormatFloat(after.Seconds(), 'f', -1, 64), len(body), body)
}

// Take answers a connection, now or when its request has come, and closes it. The
// descriptor must be that of a stream in non-blocking mode and belongs to the desk then.
func (d *Desk) Take(fd int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := visitor{fd: fd, until: time.Now().Add(patience)}
	if d.serve(&v) {
		return
	}
	if len(d.waiting) >= d.maxWaiting {
		d.close(v)
		return
	}
	d.waiting = append(d.waiting, v)
	select {
	case d.arrived <- struct{}{}:
	default:
	}
}

// Counts returns what became of connections so far.
func (d *Desk) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts
}

// Waiting returns how many connections wait for their request or its rest.
func (d *Desk) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiting)
}

// Run looks after waiting connections until ctx ends, and then closes them.
func (d *Desk) Run(ctx context.Context) error {
	defer d.closeAll()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.arrived:
		}
		for d.look() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(lookInterval):
			}
		}
	}
}

// look serves the waiting connections and reports whether some still wait.
func (d *Desk) look() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, kept := time.Now(), d.waiting[:0]
	for _, v := range d.waiting {
		switch {
		case d.serve(&v):
		case now.After(v.until):
			d.close(v)
		default:
			kept = append(kept, v)
		}
	}
	clear(d.waiting[len(kept):])
	d.waiting = kept
	return len(kept) > 0
}

func (d *Desk) closeAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range d.waiting {
		d.close(v)
	}
	d.waiting = nil
}

// serve reads what has come and answers once the head is there. It reports whether it is
// done with the connection.
func (d *Desk) serve(v *visitor) bool {
	for {
		n, err := unix.Read(v.fd, d.buffer)
		switch {
		case errors.Is(err, unix.EAGAIN):
			return false
		case errors.Is(err, unix.EINTR):
			continue
		case err != nil || n == 0:
			// The caller has gone, or it has all that it will get.
			d.close(*v)
			return true
		}
		if !v.answered {
			v.take(d.buffer[:n])
			if v.tail != nil {
				continue
			}
			if !d.answer(v) {
				return true
			}
		} else if v.left > 0 {
			v.left = max(v.left-n, 0)
		}
		if v.left == 0 {
			d.close(*v)
			return true
		}
	}
}

// answer writes the refusal, which a new connection has room for. Behind it nothing is
// sent. It reports false for a connection that has ended.
func (d *Desk) answer(v *visitor) bool {
	text := d.refusals[d.next]
	d.next = (d.next + 1) % len(d.refusals)
	if n, err := unix.Write(v.fd, text); err != nil || n < len(text) {
		d.close(*v)
		return false
	}
	v.answered = true
	d.counts.Answered++
	if v.left != 0 {
		// The rest of the request is read first, so that no reset overtakes the
		// refusal. A connection that cannot be shut down is found out by reading.
		_ = unix.Shutdown(v.fd, unix.SHUT_WR)
	}
	return true
}

func (d *Desk) close(v visitor) {
	if !v.answered {
		d.counts.Closed++
	}
	// The descriptor is gone whatever is returned.
	_ = unix.Close(v.fd)
}

var headEnd = []byte("\r\n\r\n")

// take notes a piece of the request. When its head has ended, tail is nil and left is
// what is still to come: unknown unless one length says so and the head came in one
// piece.
func (v *visitor) take(piece []byte) {
	whole := v.tail == nil
	text := append(v.tail, piece...)
	end := bytes.Index(text, headEnd)
	if end < 0 {
		v.tail = bytes.Clone(text[max(len(text)-len(headEnd)+1, 0):])
		return
	}
	v.tail, v.left = nil, -1
	if length, known := contentLength(text[:end+2]); whole && known {
		v.left = max(end+len(headEnd)+length-len(text), 0)
	}
}

// contentLength returns the length of a body by its head, whose lines all have ends. It
// is not known if there are chunks or several lengths.
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

// Detach takes the descriptor of a connection out of the runtime's hands.
func Detach(conn net.Conn) (int, error) {
	socket, known := conn.(syscall.Conn)
	if !known {
		return 0, errors.Newf("%T has no descriptor", conn)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, errors.Wrap(err, "descriptor")
	}
	fd := -1
	failed := raw.Control(func(own uintptr) { fd, err = unix.FcntlInt(own, unix.F_DUPFD_CLOEXEC, 0) })
	if err = errors.CombineErrors(failed, err); err != nil {
		return 0, errors.Wrap(err, "copy descriptor")
	}
	// The copy keeps the connection open.
	return fd, errors.Wrap(conn.Close(), "close the runtime's descriptor")
}
