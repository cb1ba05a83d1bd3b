package engine

import "time"

// Faults are what goes wrong. Counts are used up.
type Faults struct {
	// Refuse is how many requests are refused before running.
	Refuse int
	// Fail is how many requests are answered with status 500.
	Fail int
	// Cut is how many answers are cut.
	Cut int
	// CutAfter is the number of events before a cut.
	CutAfter int
	// CutInside cuts in the midst of the next event.
	CutInside bool
	// EndEarly ends a cut stream properly, but without its last event.
	EndEarly bool
	// Cross is how many answers carry another attempt's identifier.
	Cross int
	// Late is how many answers are held back by LateBy.
	Late   int
	LateBy time.Duration
	// NoResume lets the engine forget attempts whose answer was cut.
	NoResume bool
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// take uses up one of a count.
func take(count *int) bool {
	if *count == 0 {
		return false
	}
	*count--
	return true
}

func (f *Faults) takeRefusal() bool { return take(&f.Refuse) }

// answerFaults are the faults of one answer.
type answerFaults struct {
	fail, cut, cross       bool
	cutAfter               int
	cutInside, endEarly    bool
	late                   time.Duration
	forgetAttemptAfterACut bool
}

// answerFaults takes the faults of the next answer.
func (e *Engine) answerFaults() answerFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := answerFaults{
		fail:                   take(&e.faults.Fail),
		cross:                  take(&e.faults.Cross),
		cut:                    take(&e.faults.Cut),
		cutAfter:               e.faults.CutAfter,
		cutInside:              e.faults.CutInside,
		endEarly:               e.faults.EndEarly,
		forgetAttemptAfterACut: e.faults.NoResume,
	}
	if take(&e.faults.Late) {
		f.late = e.faults.LateBy
	}
	return f
}
