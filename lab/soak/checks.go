package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"time"

	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
)

const (
	// backSlack is how much later than the proof of a version a request must be
	// sent for an older one to count as a step back.
	backSlack = 250 * time.Millisecond
	// servedShare is the part of the requests that must be served once nothing has
	// been disturbed for a while, and leastCalls how many there must be to judge.
	servedShare = 0.9
	leastCalls  = 20
)

// clockFormat is the time of day of a log line.
const clockFormat = "15:04:05.000"

// Violation is a promise that was not kept.
type Violation struct {
	Promise, Detail string
}

func (v Violation) String() string { return v.Promise + ": " + v.Detail }

// span is a time in which something must hold.
type span struct{ from, to time.Time }

func (s span) holds(t time.Time) bool { return t.After(s.from) && t.Before(s.to) }

// evidence is what the callers and the upstreams saw.
type evidence struct {
	calls []call
	// runs and arrivals are by upstream.
	runs     [][]run
	arrivals [][]run
	// revoked returns when the key of a version ceased to hold; zero if it holds.
	revoked func(version int) time.Time
	// brought returns when the store took a version.
	brought func(version int) time.Time
	// calm are spans after a while without any disturbance.
	calm []span
	// drained and cold are spans of each upstream in which it must get nothing, and
	// little.
	drained, cold map[int][]span
	// leaving are calm spans of each upstream in which its answers say that it leaves.
	leaving map[int][]span
}

// run is a request at an upstream.
type run struct {
	id string
	at time.Time
	// pause is the pause that the answer asked for; 0 is none.
	pause time.Duration
}

// check returns the promises that were not kept. Those that depend on how fast the
// machine is are only checked with timing.
func (e evidence) check(timing bool) []Violation {
	var found []Violation
	report := func(promise, format string, args ...any) {
		found = append(found, Violation{promise, fmt.Sprintf(format, args...)})
	}
	count := make(map[string]int)
	for _, runs := range e.runs {
		for _, r := range runs {
			count[r.id]++
		}
	}
	byID := make(map[string]call, len(e.calls))
	for _, c := range e.calls {
		byID[c.id] = c
		e.checkAnswer(c, count[c.id], report)
	}
	e.checkKeys(byID, report)
	e.checkVersions(report)
	e.checkBudget(report)
	if timing {
		e.checkCold(report)
		e.checkDrained(report)
		e.checkLeaving(byID, report)
		e.checkPauses(byID, report)
		e.checkService(report)
	}
	return found
}

// checkAnswer checks what one caller got against how often its request ran.
func (e evidence) checkAnswer(c call, runs int, report func(string, string, ...any)) {
	repeatable := c.kind == "safe" || c.kind == "resume-stream"
	if !repeatable && runs > 1 {
		report("at most once", "%s %s ran %d times", c.kind, c.id, runs)
	}
	switch c.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if runs > 0 && !repeatable {
			report("true refusals", "%s %s was told %d and ran %d times", c.kind, c.id, c.status, runs)
		}
	case http.StatusOK:
		want := c.wanted()
		if c.whole && (c.body != want || c.seal != generalupstream.Seal(c.id)) {
			report("own whole answer", "%s %s got %q sealed %q", c.kind, c.id, c.body, c.seal)
		}
		if !c.whole && (len(c.body) > len(want) || c.body != want[:len(c.body)]) {
			report("own answer", "%s %s got %q before it broke off", c.kind, c.id, c.body)
		}
	}
}

// checkKeys checks that no request ran whose key had long ceased to hold.
func (e evidence) checkKeys(byID map[string]call, report func(string, string, ...any)) {
	for _, runs := range e.runs {
		for _, r := range runs {
			c, known := byID[r.id]
			if !known {
				// Its caller has not got an answer yet.
				continue
			}
			if at := e.revoked(c.key); !at.IsZero() && c.sent.Sub(at) > revokeBound {
				report("revoked keys", "%s ran with a key that had been revoked %v before it was sent", r.id, c.sent.Sub(at))
			}
		}
	}
}

// checkVersions checks that no process goes back: once it has taken the key of a
// version, it takes it until it is revoked, and takes none that is revoked before
// that version.
func (e evidence) checkVersions(report func(string, string, ...any)) {
	type process struct{ vm, life int }
	// proven is when a process was first seen to have a version or a newer one.
	proven := make(map[process]map[int]time.Time)
	for _, c := range e.calls {
		if c.served() && c.life == c.lifeAfter {
			p := process{c.vm, c.life}
			if proven[p] == nil {
				proven[p] = make(map[int]time.Time)
			}
			if at, known := proven[p][c.key]; !known || c.done.Before(at) {
				proven[p][c.key] = c.done
			}
		}
	}
	for _, c := range e.calls {
		if c.life != c.lifeAfter || c.status == 0 {
			continue
		}
		for version, at := range proven[process{c.vm, c.life}] {
			if c.sent.Sub(at) <= backSlack {
				continue
			}
			switch revoked := e.revoked(c.key); {
			case c.status == http.StatusUnauthorized && c.key == version && (revoked.IsZero() || c.done.Before(revoked)):
				report("no step back", "%s: vm-%d refused a key that it had taken %v before", c.id, c.vm, c.sent.Sub(at))
			case c.served() && c.key <= version-2:
				report("no step back", "%s: vm-%d took key %d after version %d was seen in force", c.id, c.vm, c.key, version)
			}
		}
	}
}

// checkBudget checks the arrivals beyond the first of each request.
func (e evidence) checkBudget(report func(string, string, ...any)) {
	var all []run
	for _, arrivals := range e.arrivals {
		all = append(all, arrivals...)
	}
	slices.SortFunc(all, func(a, b run) int { return a.at.Compare(b.at) })
	seen := make(map[string]bool, len(all))
	var again []time.Time
	for _, r := range all {
		if seen[r.id] {
			again = append(again, r.at)
		}
		seen[r.id] = true
	}
	sent := make([]time.Time, len(e.calls))
	for i, c := range e.calls {
		sent[i] = c.sent
	}
	slices.SortFunc(sent, time.Time.Compare)
	for i, end := range again {
		begin := end.Add(-retryWindow)
		repeats := i + 1 - upTo(again, begin)
		requests := upTo(sent, end) - upTo(sent, begin)
		if allowed := retryRatio*float64(requests) + retrySlack; float64(repeats) > allowed {
			report("retry budget", "%d repeats of %d requests within %v", repeats, requests, retryWindow)
			return
		}
	}
}

// upTo returns how many of the times, which are in order, are not after t.
func upTo(times []time.Time, t time.Time) int {
	return sort.Search(len(times), func(i int) bool { return times[i].After(t) })
}

// checkCold checks that a cold upstream gets little in each second.
func (e evidence) checkCold(report func(string, string, ...any)) {
	const allowed = coldPerSec*coldOverage + coldSlack
	for i, arrivals := range e.arrivals {
		for _, s := range e.cold[i] {
			var within []time.Time
			for _, r := range arrivals {
				if s.holds(r.at) {
					within = append(within, r.at)
				}
			}
			for j := range within {
				k := j
				for k < len(within) && within[k].Sub(within[j]) < time.Second {
					k++
				}
				if float64(k-j) > allowed {
					report("cold upstreams", "i-%d got %d requests in the second from %s", i, k-j, within[j].Format(clockFormat))
					break
				}
			}
		}
	}
}

func (e evidence) checkDrained(report func(string, string, ...any)) {
	for i, arrivals := range e.arrivals {
		for _, s := range e.drained[i] {
			for _, r := range arrivals {
				if s.holds(r.at) {
					report("draining", "%s reached i-%d %v after its bound", r.id, i, r.at.Sub(s.from))
				}
			}
		}
	}
}

// checkLeaving checks that a process sends nothing more to an upstream whose answer, which
// it has passed on, said that it leaves.
func (e evidence) checkLeaving(byID map[string]call, report func(string, string, ...any)) {
	for i, spans := range e.leaving {
		for _, s := range spans {
			told := make(map[int]time.Time)
			for _, r := range e.runs[i] {
				if c := byID[r.id]; c.leaving && s.holds(r.at) && (told[c.vm].IsZero() || c.done.Before(told[c.vm])) {
					told[c.vm] = c.done
				}
			}
			for _, r := range e.arrivals[i] {
				c, known := byID[r.id]
				if at := told[c.vm]; known && !at.IsZero() && s.holds(r.at) && c.sent.Sub(at) > drainBound {
					report("leaving", "%s reached i-%d from vm-%d, which had passed on that it leaves %v before", r.id, i, c.vm, c.sent.Sub(at))
				}
			}
		}
	}
}

// pauseSlack is how long after a request for a pause requests may still come, and
// pauseExcess how many may come later.
const (
	pauseSlack  = 500 * time.Millisecond
	pauseExcess = 2
)

// checkPauses checks, while nothing is disturbed, that a process sends an upstream
// nothing in a pause that it has asked that process for.
func (e evidence) checkPauses(byID map[string]call, report func(string, string, ...any)) {
	for i, arrivals := range e.arrivals {
		for _, asked := range arrivals {
			if asked.pause == 0 || !slices.ContainsFunc(e.calm, func(s span) bool { return s.holds(asked.at) }) {
				continue
			}
			pause, count := span{asked.at.Add(pauseSlack), asked.at.Add(asked.pause)}, 0
			for _, r := range arrivals {
				if pause.holds(r.at) && byID[r.id].vm == byID[asked.id].vm {
					count++
				}
			}
			if count > pauseExcess {
				report("pauses", "i-%d got %d requests from vm-%d in a pause of %v", i, count, byID[asked.id].vm, asked.pause)
			}
		}
	}
}

// checkService checks that requests are served once all disturbances are over.
func (e evidence) checkService(report func(string, string, ...any)) {
	for _, s := range e.calm {
		asked, served := 0, 0
		for _, c := range e.calls {
			if s.holds(c.sent) && e.revoked(c.key).IsZero() && c.sent.Sub(e.brought(c.key)) > configBound {
				asked++
				if c.served() {
					served++
				}
			}
		}
		if asked >= leastCalls && float64(served) < servedShare*float64(asked) {
			report("recovery", "%d of %d requests served in calm", served, asked)
		}
	}
}
