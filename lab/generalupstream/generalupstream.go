// Package generalupstream is a fake upstream of the users' platform: it answers any
// request addressed to its instance, streams events on paths that contain
// StreamPath, and records the requests that it executed. Tests can inject faults.
package generalupstream

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// StreamPath is the part of a path that asks for a stream of events.
const StreamPath = "stream"

// Events is the number of events in a stream.
const Events = 6

// receiveBufferBytes is the size of the kernel's receive buffer: two loopback
// segments. With a smaller buffer, TCP would wait for timers before it sends on.
const receiveBufferBytes = 128 << 10

// Faults are the faults to inject. The counts are decremented with each fault
// injected.
type Faults struct {
	// Refuse is how many requests are refused before execution.
	Refuse int
	// RefusePause is the pause that refusals ask for in Retry-After; 0 sends none.
	RefusePause time.Duration
	// DrainAdvice makes every answer carry the drain advice.
	DrainAdvice bool
	// Fail is how many requests are executed and answered with status 500.
	Fail int
	// NoAnswer is how many requests are executed and get no answer: their connection
	// is closed.
	NoAnswer int
	// WrongID is how many answers carry another request's identifier.
	WrongID int
	// TruncateAfter is the number of events after which streams are truncated, in the
	// middle of the next event; 0 truncates none.
	TruncateAfter int
	// NoLength is how many answers have no length and end when the connection is
	// closed.
	NoLength int
	// AnswerEarly is how many requests are answered before their body is read. The
	// connection stays open and the body is read after the answer.
	AnswerEarly int
	// CutEarly is how many requests get a part of an answer without a length before their body is
	// read, and then a reset of their connection.
	CutEarly int
	// BadStatus is how many answers have Status, which is no status of an answer.
	BadStatus, Status int
	// Endless is how many streams have a first event that never ends, EndlessHeads how many answers
	// have such a head, and EndlessBodies how many that are no streams have such a body: a megabyte
	// comes at once, and a kilobyte each endlessPause after that, until the caller disconnects.
	Endless, EndlessHeads, EndlessBodies int
	// Delay is the execution time before the first byte of the answer.
	Delay time.Duration
	// Pause is the time between two events of a stream.
	Pause time.Duration
	// NoFraming makes every answer, streams included, come with neither a length nor
	// chunks: it ends when the connection is closed.
	NoFraming bool
	// NoEvents ends a stream without framing before its first event.
	NoEvents bool
}

// Deadly describes requests that crash the process.
type Deadly struct {
	// Segments are the prompt segments that crash the process when it begins to write the
	// answer to a request that has one of them.
	Segments []string
	// Bodies are the bodies of requests that crash the process in the same way.
	Bodies []string
	// InEvent makes a crash follow the first half of the first event of a stream. Otherwise
	// not a byte of the answer is written.
	InEvent bool
}

// Crash is a crash by a deadly request.
type Crash struct {
	At time.Time
	// Cause is the segment of its prompt, or the body, that crashed the process.
	Cause string
}

// Run is a request that was executed.
type Run struct {
	ID     string
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   string
	// EndlessBody is set if the answer has a body without end.
	EndlessBody bool
	// At is when the request arrived. Header and At are not set for a request that
	// was answered early.
	At time.Time
}

// Arrival is a request that arrived, whether it was executed or refused.
type Arrival struct {
	ID string
	At time.Time
	// Pause is the pause that its refusal asked for; 0 if none.
	Pause time.Duration
}

// Upstream is the fake upstream, an http.Handler with its own server on loopback. It
// is safe for concurrent use.
type Upstream struct {
	// Instance identifies the process. Requests that expect another instance are
	// answered with status 421 (Misdirected Request).
	Instance string
	server   *httptest.Server

	mu     sync.Mutex
	faults Faults
	// limit is the rate limit that answers name; "" names none.
	limit string
	runs  []Run
	// arrivals holds all requests for this instance but those answered early.
	arrivals []Arrival
	// callerDisconnects counts the executions whose caller disconnected.
	callerDisconnects int
	// software is the version that the events of streams name; "" names none.
	software string
	// crashed is called when a deadly request crashes the process.
	crashed func()
	crashes []Crash
	deadly  Deadly
	// bad is how the upstream's software is bad, badDue the fraction of a bad response that is due,
	// and badRuns counts those that were. running counts the requests in progress.
	bad     Bad
	badDue  float64
	badRuns int
	running int
}

// New starts an upstream on a loopback port.
func New(instance string) *Upstream {
	u := &Upstream{Instance: instance}
	u.server = httptest.NewUnstartedServer(u)
	u.server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if tcp, ok := conn.(*net.TCPConn); ok && state == http.StateNew {
			// A small buffer leaves unread bytes in the sender's buffer.
			_ = tcp.SetReadBuffer(receiveBufferBytes)
		}
	}
	u.server.Start()
	return u
}

// Address returns the upstream's host:port.
func (u *Upstream) Address() string { return u.server.Listener.Addr().String() }

// Close stops the server and closes all connections.
func (u *Upstream) Close() {
	u.server.CloseClientConnections()
	u.server.Close()
}

// SetLimit makes every answer name a rate limit, in requests per second as written in its header;
// "" names none.
func (u *Upstream) SetLimit(perSecond string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = perSecond
}

// SetSoftware makes the events of streams name the version of the upstream's software.
func (u *Upstream) SetSoftware(software string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.software = software
}

// SetFaults replaces the faults that are injected into later requests.
func (u *Upstream) SetFaults(faults Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = faults
}

// OnCrash sets the function that is called when a deadly request crashes the process. It
// has to make the upstream unreachable and break its connections.
func (u *Upstream) OnCrash(crashed func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crashed = crashed
}

// SetDeadly sets the requests that crash the process.
func (u *Upstream) SetDeadly(deadly Deadly) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.deadly = deadly
}

// Crashes returns the crashes by deadly requests, in order.
func (u *Upstream) Crashes() []Crash {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Crash(nil), u.crashes...)
}

// crashIfDeadly crashes the process if a request is deadly. It does not return then.
func (u *Upstream) crashIfDeadly(w http.ResponseWriter, r *http.Request, body string) {
	u.mu.Lock()
	deadly, crashed := u.deadly, u.crashed
	cause, found := deadly.find(r, body)
	if found {
		u.crashes = append(u.crashes, Crash{At: time.Now(), Cause: cause})
	}
	u.mu.Unlock()
	if !found {
		return
	}
	if deadly.InEvent && strings.Contains(r.URL.Path, StreamPath) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, Event(1)[:len(Event(1))/2])
		_ = http.NewResponseController(w).Flush()
	}
	if crashed != nil {
		crashed()
	}
	panic(http.ErrAbortHandler)
}

// find returns what makes a request deadly, if it is: a segment of its prompt, or its body.
func (d Deadly) find(r *http.Request, body string) (cause string, found bool) {
	if slices.Contains(d.Bodies, body) {
		return body, true
	}
	for entry := range strings.SplitSeq(r.Header.Get(platformtest.HeaderPromptSegments), ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(entry), ":")
		if slices.Contains(d.Segments, id) {
			return id, true
		}
	}
	return "", false
}

// Runs returns the executed requests in order.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

// Arrivals returns the requests that arrived, except those that expected another
// instance or were answered early.
func (u *Upstream) Arrivals() []Arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Arrival(nil), u.arrivals...)
}

// CallerDisconnects returns how many executions ended because their caller disconnected.
func (u *Upstream) CallerDisconnects() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.callerDisconnects
}

// consume decrements a count of faults and reports whether one was left.
func consume(count *int) bool {
	if *count == 0 {
		return false
	}
	*count--
	return true
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platformtest.HeaderRequestID)
	if u.answersBeforeBody(w, r, id) {
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
	refuse := consume(&u.faults.Refuse)
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
	faults, limit := u.faults, u.limit
	fail, noAnswer := !refuse && consume(&u.faults.Fail), !refuse && consume(&u.faults.NoAnswer)
	wrongID, noLength := consume(&u.faults.WrongID), consume(&u.faults.NoLength)
	isStream := strings.Contains(r.URL.Path, StreamPath)
	endless := !refuse && isStream && consume(&u.faults.Endless)
	endlessHead := !refuse && consume(&u.faults.EndlessHeads)
	endlessBody := !refuse && !endlessHead && !isStream && consume(&u.faults.EndlessBodies)
	if endlessBody {
		u.runs[len(u.runs)-1].EndlessBody = true
	}
	u.mu.Unlock()
	if faults.DrainAdvice {
		w.Header().Set(platformtest.HeaderLeaving, "1")
	}
	if limit != "" {
		w.Header().Set(platformtest.HeaderLimit, limit)
	}
	if refuse {
		w.Header().Set(platformtest.HeaderNotExecuted, "1")
		if faults.RefusePause > 0 {
			w.Header().Set(platformtest.HeaderPause, strconv.FormatFloat(faults.RefusePause.Seconds(), 'f', -1, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.endRun()
	fails, slow := u.beginRun(r, now)
	fail = fail || fails
	if slow > 1 {
		faults.Delay, faults.Pause = time.Duration(slow*float64(faults.Delay)), time.Duration(slow*float64(faults.Pause))
	}
	if !u.sleep(r, faults.Delay) {
		return
	}
	if wrongID {
		w.Header().Set(platformtest.HeaderRequestID, "another")
	}
	w.Header().Set(platformtest.HeaderReceipt, Receipt(id))
	u.crashIfDeadly(w, r, string(body))
	switch {
	case noAnswer:
		panic(http.ErrAbortHandler)
	case fail:
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed "+id)
	case endlessHead:
		writeEndlessHead(w, id)
	case endless:
		w.Header().Set("Content-Type", "text/event-stream")
		u.writeEndless(w, r, "id: 1\n", "data: "+strings.Repeat("x", 1000)+"\n")
	case endlessBody:
		u.writeEndless(w, r, "", strings.Repeat(Answer(id), max(1000/len(Answer(id)), 1)))
	case faults.NoFraming && isStream:
		writeUnframedStream(w, id, faults)
	case isStream:
		u.stream(w, r, faults)
	case noLength, faults.NoFraming:
		writeWithoutLength(w, id)
	default:
		_, _ = io.WriteString(w, Answer(id))
	}
}

// stream sends the events after the one that the request names as its last one.
func (u *Upstream) stream(w http.ResponseWriter, r *http.Request, faults Faults) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get(platformtest.HeaderLastEvent)); err == nil {
		first = last + 1
	}
	control := http.NewResponseController(w)
	u.mu.Lock()
	software := u.software
	u.mu.Unlock()
	for number := first; number <= Events; number++ {
		text := EventOf(number, software)
		if number == faults.TruncateAfter+1 && faults.TruncateAfter > 0 {
			_, _ = io.WriteString(w, text[:len(text)/2])
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, text)
		_ = control.Flush()
		if number < Events && !u.sleep(r, faults.Pause) {
			return
		}
	}
}

// sleep waits for a duration. If the caller disconnects first, it counts that and
// reports false.
func (u *Upstream) sleep(r *http.Request, duration time.Duration) bool {
	if duration == 0 {
		return true
	}
	select {
	case <-time.After(duration):
		return true
	case <-r.Context().Done():
		u.mu.Lock()
		u.callerDisconnects++
		u.mu.Unlock()
		return false
	}
}

// writeWithoutLength sends an answer without a length and closes the connection.
func writeWithoutLength(w http.ResponseWriter, id string) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer closeConn(conn)
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\n" + platformtest.HeaderRequestID + ": " + id +
		"\r\n" + platformtest.HeaderReceipt + ": " + Receipt(id) + "\r\nConnection: close\r\n\r\n" + Answer(id))
	_ = buffered.Flush()
}

// writeUnframedStream sends a stream that ends when the connection is closed, inside an
// event if the faults truncate it.
func writeUnframedStream(w http.ResponseWriter, id string, faults Faults) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer closeConn(conn)
	text := CompleteStream()
	if faults.NoEvents {
		text = ""
	}
	if faults.TruncateAfter > 0 && !faults.NoEvents {
		text = text[:strings.Index(text, Event(faults.TruncateAfter+1))+len(Event(1))/2]
	}
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + platformtest.HeaderRequestID + ": " + id +
		"\r\n" + platformtest.HeaderReceipt + ": " + Receipt(id) + "\r\nConnection: close\r\n\r\n" + text)
	_ = buffered.Flush()
}

func closeConn(conn net.Conn) { _ = conn.Close() }
