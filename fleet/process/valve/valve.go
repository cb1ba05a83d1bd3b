// Package valve sheds load: it decides which fraction of the arriving requests an
// overloaded process admits, so that it can serve the admitted ones in time.
//
// A process that admits everything until it is overloaded, and nothing until it has
// recovered, spends its processor time on refusals and on requests that are served
// late. A Shedder instead admits an evenly spread fraction of the arrivals and adjusts
// that fraction to the scheduling lag of the process.
//
// A Shedder does no I/O and reads no clock: the caller passes the lag at regular
// intervals.
package valve

import "time"

const (
	// DefaultLagLimit is the default scheduling lag beyond which load is shed. A request
	// passes about ten goroutines, each of which waits for the lag, so a process
	// beyond this limit serves it later than another process would.
	DefaultLagLimit = 15 * time.Millisecond
	// decreaseFactor multiplies the admitted fraction at each tick whose lag exceeds the
	// limit; increaseStep is added to the fraction at all other ticks. With a tick every
	// 15 ms the fraction halves in 65 ms and takes 1 s to grow from its minimum to 1.
	decreaseFactor = 0.85
	increaseStep   = 0.015
	// minFraction is the minimum admitted fraction. It is above 0 because only
	// admitted requests can show that the process has recovered.
	minFraction = 0.03
)

// Shedder is the load shedder of one process. It is not safe for concurrent use.
type Shedder struct {
	limit time.Duration
	// fraction is the admitted fraction of arrivals, minFraction to 1.
	fraction float64
	// credit accumulates the admitted fraction; a request is admitted whenever it
	// reaches 1.
	//
	// Invariant: 0 <= credit < 1 after each Admit.
	credit float64
}

// New returns a load shedder that admits everything. It sheds load when the scheduling
// lag exceeds limit; a limit of 0 or less means DefaultLagLimit.
func New(limit time.Duration) *Shedder {
	if limit <= 0 {
		limit = DefaultLagLimit
	}
	return &Shedder{limit: limit, fraction: 1}
}

// ObserveLag adjusts the admitted fraction to the scheduling lag of the last interval.
func (s *Shedder) ObserveLag(lag time.Duration) {
	if lag > s.limit {
		s.fraction = max(decreaseFactor*s.fraction, minFraction)
		return
	}
	s.fraction = min(s.fraction+increaseStep, 1)
}

// Admit reports whether to admit an arriving request or connection.
func (s *Shedder) Admit() bool {
	if s.fraction >= 1 {
		return true
	}
	s.credit += s.fraction
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// AdmittedFraction returns the admitted fraction of arrivals, 0 to 1.
func (s *Shedder) AdmittedFraction() float64 { return s.fraction }

// LagLimit returns the scheduling lag beyond which load is shed.
func (s *Shedder) LagLimit() time.Duration { return s.limit }
