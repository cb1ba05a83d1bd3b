package engine

import "time"

// Faults are the faults to inject. The counts are decremented with each fault
// injected.
type Faults struct {
	// Refuse is how many requests are refused before execution.
	Refuse int
	// Fail is how many requests are answered with status 500.
	Fail int
	// Cut is how many answers are truncated.
	Cut int
	// CutAfter is the number of events sent before a stream is truncated.
	CutAfter int
	// CutInside truncates a stream in the middle of the next event.
	CutInside bool
	// EndEarly completes the HTTP response of a truncated stream, so that only
	// the missing last event shows the truncation.
	EndEarly bool
	// Cross is how many answers carry another attempt's identifier.
	Cross int
	// Late is how many answers are delayed by LateBy.
	Late   int
	LateBy time.Duration
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
	fail, cut, cross    bool
	cutAfter            int
	cutInside, endEarly bool
	delay               time.Duration
	dropAttempt         bool
}

// nextAnswerFaults consumes and returns the faults of the next answer.
func (e *Engine) nextAnswerFaults() answerFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := answerFaults{
		fail:        consume(&e.faults.Fail),
		cross:       consume(&e.faults.Cross),
		cut:         consume(&e.faults.Cut),
		cutAfter:    e.faults.CutAfter,
		cutInside:   e.faults.CutInside,
		endEarly:    e.faults.EndEarly,
		dropAttempt: e.faults.NoResume,
	}
	if consume(&e.faults.Late) {
		f.delay = e.faults.LateBy
	}
	return f
}
