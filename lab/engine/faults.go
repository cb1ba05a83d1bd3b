package engine

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
)

// Faults are the faults to inject. The counts are decremented with each fault
// injected.
type Faults struct {
	// Refuse is how many requests are refused before execution.
	Refuse int
	// Fail is how many requests are answered with status 500.
	Fail int
	// Truncate is how many answers are truncated.
	Truncate int
	// TruncateAfter is the number of events sent before a stream is truncated.
	TruncateAfter int
	// TruncateMidEvent truncates a stream in the middle of the next event.
	TruncateMidEvent bool
	// EndEarly completes the HTTP response of a truncated stream, so that only
	// the missing last event shows the truncation.
	EndEarly bool
	// WrongAttempt is how many answers carry another attempt's identifier.
	WrongAttempt int
	// Endless is how many streams have a first event that never ends: it comes at full speed until
	// the client disconnects.
	Endless int
	// CutEarly is how many requests get a part of an answer without a length before their body is
	// read, and then a reset of their connection.
	CutEarly int
	// BadStatus is how many answers have Status, which is no status of an answer.
	BadStatus, Status int
	// Delay is how many answers are delayed by DelayBy.
	Delay   int
	DelayBy time.Duration
	// NoResume makes the engine drop attempts whose answer was truncated, so
	// that they cannot be resumed.
	NoResume bool
}

// SetFaults replaces the faults to inject.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// consume decrements a count of faults and reports whether one was left.
func consume(count *int) bool {
	if *count == 0 {
		return false
	}
	*count--
	return true
}

// consumeRefusal reports whether a request is to be refused.
func (f *Faults) consumeRefusal() bool { return consume(&f.Refuse) }

// answerFaults are the faults to inject into one answer.
type answerFaults struct {
	fail, truncate, wrongAttempt bool
	endless                      bool
	truncateAfter                int
	truncateMidEvent, endEarly   bool
	delay                        time.Duration
	dropAttempt                  bool
}

// nextAnswerFaults consumes and returns the faults of the next answer.
func (e *Engine) nextAnswerFaults() answerFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := answerFaults{
		fail:             consume(&e.faults.Fail),
		wrongAttempt:     consume(&e.faults.WrongAttempt),
		truncate:         consume(&e.faults.Truncate),
		endless:          consume(&e.faults.Endless),
		truncateAfter:    e.faults.TruncateAfter,
		truncateMidEvent: e.faults.TruncateMidEvent,
		endEarly:         e.faults.EndEarly,
		dropAttempt:      e.faults.NoResume,
	}
	if consume(&e.faults.Delay) {
		f.delay = e.faults.DelayBy
	}
	return f
}

// partDelay is the time between a part of an answer and the reset of its connection.
const partDelay = 20 * time.Millisecond

// answersBeforeBody injects the faults of answers before the body is read, and reports whether there
// was one.
func (e *Engine) answersBeforeBody(w http.ResponseWriter, r *http.Request) bool {
	e.mu.Lock()
	cut := consume(&e.faults.CutEarly)
	bad := !cut && consume(&e.faults.BadStatus)
	status := e.faults.Status
	e.mu.Unlock()
	if !cut && !bad {
		return false
	}
	if bad {
		// The body has to be read, else the kernel resets the connection.
		_, _ = io.Copy(io.Discard, r.Body)
	} else {
		status = http.StatusOK
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	fmt.Fprintf(buffered, "HTTP/1.1 %03d Odd\r\n%s: %s\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n{}",
		status, upstream.HeaderAttempt, r.Header.Get(upstream.HeaderAttempt))
	_ = buffered.Flush()
	if tcp, ok := conn.(*net.TCPConn); ok && cut {
		time.Sleep(partDelay)
		_ = tcp.SetLinger(0)
	}
	return true
}
