package engine

import "time"

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
