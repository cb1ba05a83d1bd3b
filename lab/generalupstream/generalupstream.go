// Package generalupstream is a small stand-in for an upstream of the users'
// platform: it answers any request under its own instance, streams events where
// the path says so, and counts what it ran. Tests make it fail.
package generalupstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// StreamPath is what a path holds whose answer is a stream.
const StreamPath = "stream"

// Events is how many events a stream has.
const Events = 6

// receiveBytes is the size of the kernel's buffer of what was not read: two of the
// segments of loopback, below which it takes timers to move on.
const receiveBytes = 128 << 10

// Faults are what goes wrong. Counts are used up.
type Faults struct {
	// Refuse is how many requests are refused before they run.
	Refuse int
	// RefusePause is the pause that refusals ask for; 0 asks for none.
	RefusePause time.Duration
	// Leaving makes every answer say that the upstream is about to end.
	Leaving bool
	// Fail is how many requests run and are answered with status 500.
	Fail int
	// Vanish is how many requests run and get no answer.
	Vanish int
	// Cross is how many answers carry another request's identifier.
	Cross int
	// CutAfter is the event after which streams break off; 0 is none.
	CutAfter int
	// Unframed is how many answers have no length and end with the connection.
	Unframed int
	// Early is how many requests are answered before their body is read. The
	// connection is kept and the body read after that.
	Early int
	// Delay is how long a request runs before its answer begins.
	Delay time.Duration
	// Pause is the time between two events.
	Pause time.Duration
}

// Run is a request that ran.
type Run struct {
	ID     string
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   string
	// At is when the request arrived.
	At time.Time
}

// Arrival is a request that came, whether it ran or not.
type Arrival struct {
	ID string
	At time.Time
	// Pause is the pause that its answer asked for; 0 is none.
	Pause time.Duration
}

// Upstream is the stand-in. It is safe for concurrent use.
type Upstream struct {
	// Instance is the name of its process.
	Instance string
	server   *httptest.Server

	mu     sync.Mutex
	faults Faults
	runs   []Run
	// arrivals are all requests for this process.
	arrivals []Arrival
	// left counts the runs whose caller went away.
	left int
}

// New starts an upstream.
func New(instance string) *Upstream {
	u := &Upstream{Instance: instance}
	u.server = httptest.NewUnstartedServer(u)
	u.server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if tcp, ok := conn.(*net.TCPConn); ok && state == http.StateNew {
			// What is not read then waits at the sender.
			_ = tcp.SetReadBuffer(receiveBytes)
		}
	}
	u.server.Start()
	return u
}

// Address is the upstream's host:port.
func (u *Upstream) Address() string { return u.server.Listener.Addr().String() }

// Close ends the upstream with all connections.
func (u *Upstream) Close() {
	u.server.CloseClientConnections()
	u.server.Close()
}

// SetFaults makes later requests fail.
func (u *Upstream) SetFaults(faults Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = faults
}

// Runs returns what ran.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

// Arrivals returns what came, but for requests to another process at the address.
func (u *Upstream) Arrivals() []Arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Arrival(nil), u.arrivals...)
}

// Left returns how many runs ended because their caller went away.
func (u *Upstream) Left() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.left
}

// use takes one of a count of faults.
func use(count *int) bool {
	if *count == 0 {
		return false
	}
	*count--
	return true
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platformtest.HeaderRequestID)
	if u.answersEarly() {
		u.answerEarly(w, r, id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(platformtest.HeaderRequestID, id)
	if expected := r.Header.Get(platformtest.HeaderInstance); expected != "" && expected != u.Instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	now := time.Now()
	u.mu.Lock()
	refuse := use(&u.faults.Refuse)
	arrival := Arrival{ID: id, At: now}
	if refuse {
		arrival.Pause = u.faults.RefusePause
	}
	u.arrivals = append(u.arrivals, arrival)
	if !refuse {
		u.runs = append(u.runs, Run{
			ID: id, Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header.Clone(), Body: string(body), At: now,
		})
	}
	faults := u.faults
	fail, vanish := !refuse && use(&u.faults.Fail), !refuse && use(&u.faults.Vanish)
	cross, unframed := use(&u.faults.Cross), use(&u.faults.Unframed)
	u.mu.Unlock()
	if faults.Leaving {
		w.Header().Set(platformtest.HeaderLeaving, "1")
	}
	if refuse {
		w.Header().Set(platformtest.HeaderNotRun, "1")
		if faults.RefusePause > 0 {
			w.Header().Set(platformtest.HeaderPause, strconv.FormatFloat(faults.RefusePause.Seconds(), 'f', -1, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !u.pause(r, faults.Delay) {
		return
	}
	if cross {
		w.Header().Set(platformtest.HeaderRequestID, "another")
	}
	w.Header().Set(platformtest.HeaderReceipt, Seal(id))
	switch {
	case vanish:
		panic(http.ErrAbortHandler)
	case fail:
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed "+id)
	case strings.Contains(r.URL.Path, StreamPath):
		u.stream(w, r, faults)
	case unframed:
		writeUnframed(w, id)
	default:
		_, _ = io.WriteString(w, Answer(id))
	}
}

func (u *Upstream) answersEarly() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return use(&u.faults.Early)
}

// earlyPause is the time between an early answer and the reading of the body.
const earlyPause = 50 * time.Millisecond

// answerEarly answers and then reads the body. The run is recorded with the part
// of the body that came.
func (u *Upstream) answerEarly(w http.ResponseWriter, r *http.Request, id string) {
	control := http.NewResponseController(w)
	if err := control.EnableFullDuplex(); err != nil {
		panic(err)
	}
	w.Header().Set(platformtest.HeaderRequestID, id)
	w.Header().Set(platformtest.HeaderReceipt, Seal(id))
	w.Header().Set("Content-Length", strconv.Itoa(len(Answer(id))))
	_, _ = io.WriteString(w, Answer(id))
	_ = control.Flush()
	time.Sleep(earlyPause)
	// A connection that ends here ends the body.
	body, _ := io.ReadAll(r.Body)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs = append(u.runs, Run{ID: id, Method: r.Method, URI: r.RequestURI, Host: r.Host, Body: string(body)})
}

// Answer is the body of the answer to a request.
func Answer(id string) string { return "answer to " + id }

// Seal is the receipt of a request.
func Seal(id string) string { return "seal-" + id }

// Event is one event of a stream, counted from 1.
func Event(number int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", number, number) }

// WholeStream is the body of a stream from its first event on.
func WholeStream() string {
	var text strings.Builder
	for number := range Events {
		text.WriteString(Event(number + 1))
	}
	return text.String()
}

func (u *Upstream) stream(w http.ResponseWriter, r *http.Request, faults Faults) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get(platformtest.HeaderLastEvent)); err == nil {
		first = last + 1
	}
	control := http.NewResponseController(w)
	for number := first; number <= Events; number++ {
		text := Event(number)
		if number == faults.CutAfter+1 && faults.CutAfter > 0 {
			_, _ = io.WriteString(w, text[:len(text)/2])
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, text)
		_ = control.Flush()
		if number < Events && !u.pause(r, faults.Pause) {
			return
		}
	}
}

// pause waits unless the caller goes away.
func (u *Upstream) pause(r *http.Request, pause time.Duration) bool {
	if pause == 0 {
		return true
	}
	select {
	case <-time.After(pause):
		return true
	case <-r.Context().Done():
		u.mu.Lock()
		u.left++
		u.mu.Unlock()
		return false
	}
}

func writeUnframed(w http.ResponseWriter, id string) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer closeGracefully(conn)
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\n" + platformtest.HeaderRequestID + ": " + id +
		"\r\n" + platformtest.HeaderReceipt + ": " + Seal(id) + "\r\nConnection: close\r\n\r\n" + Answer(id))
	_ = buffered.Flush()
}

func closeGracefully(conn net.Conn) { _ = conn.Close() }
