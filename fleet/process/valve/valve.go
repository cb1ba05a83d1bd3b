// Package valve decides how much of what comes a process takes in, so that it keeps
// up with what it has taken.
//
// A process that takes everything until it is behind, and nothing until it has caught
// up, spends its processor on refusals and on work that is late. A Valve takes an even
// part of what comes and moves that part by how far the process is behind.
//
// A Valve does no I/O and reads no clock: it is told the lag at even intervals.
package valve

import "time"

const (
	// DefaultLimit is the default lag beyond which less is taken in. A request passes
	// some ten goroutines, each of which waits for the lag; another process serves it
	// sooner than one that is this late.
	DefaultLimit = 15 * time.Millisecond
	// shrink is what the part is multiplied by at a tick that is late, and grow what is
	// added to it at one that is not. With a tick each 15 ms the part halves in 65 ms
	// and takes a second to open.
	shrink = 0.85
	grow   = 0.015
	// minPart is the least part: work must come in to show that it can be done.
	minPart = 0.03
)

// Valve is the valve of one process. It is not safe for concurrent use.
type Valve struct {
	limit time.Duration
	// part is the part of what comes that is taken in, minPart to 1.
	part float64
	// credit is the part of a request that may be taken in beside the last one.
	//
	// Invariant: 0 <= credit < 1 after each Admit.
	credit float64
}

// New returns an open valve. The limit is the lag beyond which less is taken in;
// default DefaultLimit.
func New(limit time.Duration) *Valve {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Valve{limit: limit, part: 1}
}

// Tick takes the lag of the last interval.
func (v *Valve) Tick(lag time.Duration) {
	if lag > v.limit {
		v.part = max(shrink*v.part, minPart)
		return
	}
	v.part = min(v.part+grow, 1)
}

// Admit reports whether to take in what has come.
func (v *Valve) Admit() bool {
	if v.part >= 1 {
		return true
	}
	v.credit += v.part
	if v.credit < 1 {
		return false
	}
	v.credit--
	return true
}

// Part returns the part of what comes that is taken in, 0 to 1.
func (v *Valve) Part() float64 { return v.part }

// Limit returns the lag beyond which less is taken in.
func (v *Valve) Limit() time.Duration { return v.limit }
