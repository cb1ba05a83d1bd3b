package soak

import (
	"context"
	"strconv"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
)

const (
	// limitedStormLength is the length of a storm phase in which upstreams name rate limits,
	// and limitChange the time in it after which some of them name another one or none.
	limitedStormLength = 16 * time.Second
	limitChange        = 9 * time.Second
	// maxNamedRate is the highest rate that an upstream names, in requests per second.
	maxNamedRate = 12
	// An upstream may get, in any limitWindow, limitTolerance times what the rate that it names
	// allows, and limitSlack requests, from VMs that relayed an answer with it limitNotice
	// before or earlier.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	limitNotice    = 500 * time.Millisecond
	// limitsStream is the stream of the seed's random numbers for limits.
	limitsStream = 1<<32 + 1
)

// limitPhase is a span in which an upstream names one limit, in requests per second.
type limitPhase struct {
	span
	perSecond int
}

// runLimitedStorm lets upstreams name limits during a storm. It draws numbers for them that do
// not depend on the other disturbances.
func (s *scenario) runLimitedStorm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, limitedStormLength)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			s.runStorm(ctx)
		}
	}()
	for i := range s.fleet.upstreams {
		if s.limitsRandom.IntN(3) > 0 {
			s.nameLimit(i, s.limitsRandom.IntN(maxNamedRate+1))
		}
	}
	_ = wait.Sleep(ctx, limitChange)
	for i := range s.fleet.upstreams {
		switch s.limitsRandom.IntN(3) {
		case 0:
			s.endLimit(i)
		case 1:
			s.nameLimit(i, s.limitsRandom.IntN(maxNamedRate+1))
		}
	}
	<-ctx.Done()
	for i := range s.fleet.upstreams {
		s.endLimit(i)
	}
	<-done
}

// nameLimit makes an upstream name a limit, in requests per second.
func (s *scenario) nameLimit(i, perSecond int) {
	s.endLimit(i)
	s.log.Info("upstream names a limit", "upstream", i, "per_second", perSecond)
	s.fleet.upstreams[i].SetLimit(strconv.Itoa(perSecond))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits[i] = append(s.limits[i], &limitPhase{span: span{from: time.Now()}, perSecond: perSecond})
}

// endLimit ends the limit that an upstream names.
func (s *scenario) endLimit(i int) {
	s.fleet.upstreams[i].SetLimit("")
	s.mu.Lock()
	defer s.mu.Unlock()
	if phases := s.limits[i]; len(phases) > 0 && phases[len(phases)-1].to.IsZero() {
		phases[len(phases)-1].to = time.Now()
	}
}

// observedLimits returns the phases by upstream in which it named a limit.
func (s *scenario) observedLimits() map[int][]limitPhase {
	s.mu.Lock()
	defer s.mu.Unlock()
	limits := make(map[int][]limitPhase, len(s.limits))
	for i, phases := range s.limits {
		for _, phase := range phases {
			limits[i] = append(limits[i], *phase)
		}
	}
	return limits
}

// checkLimits checks that an upstream gets no more than the rate that it names from the VMs that
// have relayed an answer with it.
func (e evidence) checkLimits(byID map[string]call, report func(string, string, ...any)) {
	for i, phases := range e.limits {
		for _, phase := range phases {
			// knownAt is when each VM had relayed an answer with a limit.
			knownAt := make(map[int]time.Time)
			for _, r := range e.executions[i] {
				if c := byID[r.id]; c.limited && phase.contains(r.at) && (knownAt[c.vm].IsZero() || c.doneAt.Before(knownAt[c.vm])) {
					knownAt[c.vm] = c.doneAt
				}
			}
			var bound []upstreamRequest
			for _, r := range e.arrivals[i] {
				c, known := byID[r.id]
				at := knownAt[c.vm]
				if known && !at.IsZero() && r.at.Sub(at) > limitNotice && r.at.Sub(phase.from) > contactBound && phase.contains(r.at) {
					bound = append(bound, r)
				}
			}
			e.checkLimitWindows(i, phase, bound, byID, report)
		}
	}
}

// checkLimitWindows checks each window of the requests that a limit binds. It leaves out those of
// VMs that were disturbed, and windows around a new incarnation of the upstream.
func (e evidence) checkLimitWindows(upstream int, phase limitPhase, bound []upstreamRequest, byID map[string]call, report func(string, string, ...any)) {
	allowed := limitWindowAllowed(phase.perSecond)
	for first, r := range bound {
		window := span{from: r.at, to: r.at.Add(limitWindow)}
		if e.renewedIn(upstream, span{from: r.at.Add(-contactBound), to: window.to}) {
			continue
		}
		count := 0
		for _, next := range bound[first:] {
			if next.at.Before(window.to) && !e.disturbedIn(byID[next.id].vm, span{from: r.at.Add(-contactBound), to: next.at}) && !e.wasHeldUp(upstream, next, byID[next.id]) {
				count++
			}
		}
		if count > allowed {
			report("named limits", "i-%d names %d requests a second and got %d in the 4 s from %s", upstream, phase.perSecond, count, r.at.Format(clockFormat))
			return
		}
	}
}

// limitWindowAllowed returns how many requests an upstream may get in limitWindow.
func limitWindowAllowed(perSecond int) int {
	return int(limitTolerance*limitWindow.Seconds()*float64(perSecond)) + limitSlack
}

// renewedIn reports whether an upstream crashed or began another incarnation in a span.
func (e evidence) renewedIn(upstream int, s span) bool {
	for _, cold := range e.cold[upstream] {
		if s.contains(cold.from) {
			return true
		}
	}
	return e.crashedIn(upstream, s)
}

// disturbedIn reports whether a VM was disturbed in a span.
func (e evidence) disturbedIn(vm int, s span) bool {
	for _, d := range e.disturbed[vm] {
		if d.from.Before(s.to) && (d.to.IsZero() || d.to.After(s.from)) {
			return true
		}
	}
	return false
}
