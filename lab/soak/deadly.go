package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
)

const (
	// maxDeadlyPause is the longest time without deadly requests. A phase with them takes
	// between minDeadlyPhase and maxDeadlyPhase.
	maxDeadlyPause = 4 * time.Second
	minDeadlyPhase = 8 * time.Second
	maxDeadlyPhase = 16 * time.Second
	// crashDowntime is how long an upstream is down after a crash.
	crashDowntime = 1500 * time.Millisecond
)

// deadlyPhase is a span in which prompt segments, or requests with some bodies, crash upstreams.
// While it lasts, its end is zero.
type deadlyPhase struct {
	span
	causes []string
}

// runDeadly makes one or two prompt segments, one request that comes again, or both crash upstreams,
// for some seconds and then others, whatever else disturbs the fleet.
func (s *scenario) runDeadly(ctx context.Context, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		pause := time.Duration(random.Int64N(int64(maxDeadlyPause)))
		length := minDeadlyPhase + time.Duration(random.Int64N(int64(maxDeadlyPhase-minDeadlyPhase)))
		causes := []string{fmt.Sprintf("dead%d0", n)}
		if random.IntN(3) == 0 {
			causes = append(causes, fmt.Sprintf("dead%d1", n))
		}
		switch body := deadlyBodyPrefix + strconv.FormatUint(random.Uint64(), 16); random.IntN(3) {
		case 0:
			causes = []string{body}
		case 1:
			causes = append(causes, body)
		}
		inEvent := random.IntN(2) == 0
		if wait.Sleep(ctx, pause) != nil {
			return
		}
		s.log.Info("deadly requests", "causes", causes, "in_event", inEvent, "for", length)
		s.mu.Lock()
		s.deadly = append(s.deadly, deadlyPhase{span: span{from: time.Now()}, causes: causes})
		s.mu.Unlock()
		s.fleet.setDeadly(causes, inEvent)
		_ = wait.Sleep(ctx, length)
		s.fleet.setDeadly(nil, false)
		s.mu.Lock()
		s.deadly[len(s.deadly)-1].to = time.Now()
		s.mu.Unlock()
	}
}

// crash makes an upstream unreachable and brings it back cold.
func (s *scenario) crash(i int) {
	p := s.fleet.upstreams[i].proxy
	if !s.beginRestart(i) {
		// It is down already; the connection that the request came by is from before.
		return
	}
	s.log.Info("upstream crashes", "upstream", i)
	p.StopListening()
	time.AfterFunc(crashDowntime, func() {
		s.registerCold(i)
		s.listenAgain(p)
		s.endRestart(i)
	})
}

// crashedSince reports whether an upstream crashed after a time.
func (s *scenario) crashedSince(i int, at time.Time) bool {
	return slices.ContainsFunc(s.fleet.upstreams[i].Crashes(), func(c generalupstream.Crash) bool { return c.At.After(at) })
}

// observedDeadly returns the phases with deadly segments so far.
func (s *scenario) observedDeadly() []deadlyPhase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.deadly)
}

// observedDisturbances returns the spans so far in which VMs, and the connections of upstreams,
// were disturbed.
func (s *scenario) observedDisturbances() (disturbed, heldUp map[int][]span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return valuesOf(s.disturbed), valuesOf(s.heldUp)
}

func valuesOf(spans map[int][]*span) map[int][]span {
	values := make(map[int][]span, len(spans))
	for i, list := range spans {
		for _, s := range list {
			values[i] = append(values[i], *s)
		}
	}
	return values
}

const (
	// contactBound is the time within which the fleet has to learn what one VM knows. A VM
	// that was not disturbed for so long is in touch.
	contactBound = 3 * time.Second
	// crashesKnown is the number of crashes by a segment after which the fleet has to know it,
	// requestCrashesKnown that by a request that comes again, and maxLateArrivals how many such
	// requests may reach upstreams later than contactBound after that.
	crashesKnown        = 5
	requestCrashesKnown = 3
	maxLateArrivals     = 3
	// minServedBeside is the fraction of the sound prompts that must be served beside deadly
	// ones, of the fraction that is served at other times.
	minServedBeside = 0.5
)

// inTouch reports whether a VM was not disturbed within contactBound before a time.
func (e evidence) inTouch(vm int, at time.Time) bool {
	for _, d := range e.disturbed[vm] {
		if d.from.Before(at) && (d.to.IsZero() || at.Sub(d.to) < contactBound) {
			return false
		}
	}
	return true
}

// crashedIn reports whether an upstream crashed in a span.
func (e evidence) crashedIn(upstream int, s span) bool {
	return upstream < len(e.crashesByUpstream) &&
		slices.ContainsFunc(e.crashesByUpstream[upstream], func(c generalupstream.Crash) bool { return s.contains(c.At) })
}

// knownAfter returns the number of crashes after which the fleet has to know their cause.
func knownAfter(cause string) int {
	if isDeadlyBody(cause) {
		return requestCrashesKnown
	}
	return crashesKnown
}

// crashesOf returns the times of the crashes with a cause, in order.
func (e evidence) crashesOf(cause string) []time.Time {
	var times []time.Time
	for _, c := range e.crashes {
		if c.Cause == cause {
			times = append(times, c.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// checkDeadly checks that deadly requests no longer reach upstreams once the fleet has to know
// them.
func (e evidence) checkDeadly(byID map[string]call, report func(string, string, ...any)) {
	for _, phase := range e.deadly {
		for _, cause := range phase.causes {
			crashes := e.crashesOf(cause)
			if len(crashes) < knownAfter(cause) {
				continue
			}
			known, late := crashes[knownAfter(cause)-1].Add(contactBound), 0
			for _, arrivals := range e.arrivals {
				for _, r := range arrivals {
					c := byID[r.id]
					if c.deadly == cause && r.at.After(known) && e.inTouch(c.vm, r.at) {
						late++
					}
				}
			}
			if late > maxLateArrivals {
				report("deadly requests", "%d requests with %q reached upstreams later than %v after crash %d; %d crashes",
					late, cause, contactBound, knownAfter(cause), len(crashes))
			}
		}
	}
}

// checkBesideDeadly checks that sound prompts are served in calm spans beside deadly ones that
// the fleet has to know.
func (e evidence) checkBesideDeadly(report func(string, string, ...any)) {
	for _, phase := range e.deadly {
		var from time.Time
		for _, cause := range phase.causes {
			if crashes := e.crashesOf(cause); len(crashes) > 0 {
				last := crashes[min(len(crashes), knownAfter(cause))-1]
				from = latest(from, last.Add(2*contactBound))
			}
		}
		if from.IsZero() {
			continue
		}
		beside, served, others, othersServed := 0, 0, 0, 0
		for _, c := range e.calls {
			if !c.prompted() || c.deadly != "" || !e.hasKnownKey(c) || !e.isCalm(c.sentAt) || !e.inTouch(c.vm, c.sentAt) {
				continue
			}
			switch {
			case c.sentAt.After(from) && (phase.to.IsZero() || c.sentAt.Before(phase.to)):
				beside++
				served += boolToInt(c.served())
			case !e.isDeadlyTime(c.sentAt):
				others++
				othersServed += boolToInt(c.served())
			}
		}
		if beside < minCallsToJudge || others < minCallsToJudge {
			continue
		}
		if rate, usual := float64(served)/float64(beside), float64(othersServed)/float64(others); rate < minServedBeside*usual {
			report("beside deadly prompts", "%d of %d sound prompts served beside %q, %d of %d at other times",
				served, beside, phase.causes, othersServed, others)
		}
	}
}

// isCalm reports whether a time is in a calm span.
func (e evidence) isCalm(at time.Time) bool {
	return slices.ContainsFunc(e.calm, func(s span) bool { return s.contains(at) })
}

// isDeadlyTime reports whether requests crashed upstreams at a time.
func (e evidence) isDeadlyTime(at time.Time) bool {
	return slices.ContainsFunc(e.deadly, func(p deadlyPhase) bool {
		return at.After(p.from) && (p.to.IsZero() || at.Before(p.to))
	})
}

// afterCrash reports whether an upstream crashed shortly before a call was sent, or while it
// waited.
func (e evidence) afterCrash(c call) bool {
	for _, crash := range e.crashes {
		if crash.At.After(c.sentAt.Add(-settleTime)) && crash.At.Before(c.doneAt) {
			return true
		}
	}
	return false
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
