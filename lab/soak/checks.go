package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
)

const (
	// rollbackSlack is how long after a process was seen to have a version a request
	// must be sent for the use of an older version to count as a rollback.
	rollbackSlack = 250 * time.Millisecond
	// minServedFraction is the fraction of the requests that must be served in a
	// calm span. It is checked if there are at least minCallsToJudge of them.
	minServedFraction = 0.9
	minCallsToJudge   = 20
)

// clockFormat is the layout of a time of day in violations.
const clockFormat = "15:04:05.000"

// Violation is a broken promise of the fleet. Promise names the promise, Detail says
// what was observed.
type Violation struct {
	Promise, Detail string
}

// String returns the promise and the detail.
func (v Violation) String() string { return v.Promise + ": " + v.Detail }

// span is a period in which a promise is checked.
type span struct{ from, to time.Time }

func (s span) contains(t time.Time) bool { return t.After(s.from) && t.Before(s.to) }

// evidence is what the callers and the upstreams observed.
type evidence struct {
	calls []call
	// executions and arrivals are the requests that each upstream executed and
	// received.
	executions [][]upstreamRequest
	arrivals   [][]upstreamRequest
	// revokedAt returns when the key of a version was revoked; zero if it is valid.
	revokedAt func(version int) time.Time
	// publishedAt returns when a version was written to the store.
	publishedAt func(version int) time.Time
	// calm are the spans that begin some time after the last disturbance.
	calm []span
	// drained are the spans by upstream in which it must get no requests, and cold
	// those in which it must get no more than a cold upstream may.
	drained, cold map[int][]span
	// leaving are the calm spans by upstream in which its answers carry drain advice.
	leaving map[int][]span
	// crashes are the crashes by deadly requests, deadly the phases with such segments, and
	// disturbed the spans by VM in which it was disturbed.
	crashes           []generalupstream.Crash
	crashesByUpstream [][]generalupstream.Crash
	deadly            []deadlyPhase
	disturbed         map[int][]span
	// heldUp are the spans by upstream in which its connections were disturbed.
	heldUp map[int][]span
	// limits are the phases by upstream in which it named a limit.
	limits map[int][]limitPhase
	// endless are the requests to which an upstream wrote a body without end.
	endless map[string]bool
	// peakMemory is the highest memory of the processes of each VM, in bytes.
	peakMemory []int64
}

// upstreamRequest is a request that an upstream received or executed.
type upstreamRequest struct {
	id string
	at time.Time
	// pause is the pause that the answer asked for; 0 is none.
	pause time.Duration
}

// violations returns the broken promises. Those that depend on the speed of the
// machine are checked only if timing is set.
func (e evidence) violations(timing bool) []Violation {
	var found []Violation
	report := func(promise, format string, args ...any) {
		found = append(found, Violation{promise, fmt.Sprintf(format, args...)})
	}
	executionsOf := make(map[string]int)
	for _, executions := range e.executions {
		for _, r := range executions {
			executionsOf[r.id]++
		}
	}
	byID := make(map[string]call, len(e.calls))
	for _, c := range e.calls {
		byID[c.id] = c
		e.checkAnswer(c, executionsOf[c.id], report)
	}
	e.checkRevokedKeys(byID, report)
	e.checkRollbacks(report)
	e.checkRetryBudget(report)
	e.checkDeadly(byID, report)
	e.checkMemory(report)
	if timing {
		e.checkBesideDeadly(report)
		e.checkCold(byID, report)
		e.checkLimits(byID, report)
		e.checkDrained(report)
		e.checkLeaving(byID, report)
		e.checkPauses(byID, report)
		e.checkRecovery(report)
		e.checkTakeUps(report)
	}
	return found
}

// minTakeUpsToJudge is the number of streams that must be taken up in calm spans for the check that
// they go on, and minGoneOn the fraction that must, of the fraction of new streams that begin.
const (
	minTakeUpsToJudge = 12
	minGoneOn         = 0.5
)

// checkTakeUps checks in calm spans that streams which callers take up go on.
func (e evidence) checkTakeUps(report func(string, string, ...any)) {
	takenUp, wentOn, asked, begun := 0, 0, 0, 0
	for _, c := range e.calls {
		if c.kind != "resume-stream" || c.deadly != "" || !e.hasKnownKey(c) || !e.isCalm(c.sentAt) || !e.inTouch(c.vm, c.sentAt) || e.afterCrash(c) {
			continue
		}
		if c.resumes != "" {
			takenUp++
			wentOn += boolToInt(c.status == http.StatusOK)
		} else {
			asked++
			begun += boolToInt(c.status == http.StatusOK)
		}
	}
	if takenUp < minTakeUpsToJudge || asked == 0 {
		return
	}
	if rate, usual := float64(wentOn)/float64(takenUp), float64(begun)/float64(asked); rate < minGoneOn*usual {
		report("streams taken up", "%d of %d streams went on, %d of %d new ones began", wentOn, takenUp, begun, asked)
	}
}

// checkAnswer checks the answer to one call against the number of executions of its
// request.
func (e evidence) checkAnswer(c call, executions int, report func(string, string, ...any)) {
	repeatable := c.kind == "safe" || c.kind == "resume-stream"
	if !repeatable && executions > 1 {
		report("at most once", "%s %s was executed %d times", c.kind, c.id, executions)
	}
	switch c.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if executions > 0 && !repeatable {
			report("truthful refusals", "%s %s was refused with status %d and executed %d times", c.kind, c.id, c.status, executions)
		}
	case http.StatusBadRequest:
		if executions > 0 && strings.Contains(c.body, string(request.NotExecuted)) {
			report("truthful refusals", "%s %s was refused as not executed and executed %d times", c.kind, c.id, executions)
		}
		if c.deadly == "" && strings.Contains(c.body, string(request.ReasonPromptHeld)) && len(e.crashes) == 0 {
			report("sound prompts", "%s %s was refused for its prompt although no upstream crashed", c.kind, c.id)
		}
		if c.deadly == "" && strings.Contains(c.body, string(request.ReasonRequestHeld)) {
			// No two sound requests are the same, so that none meets three crashes.
			report("sound requests", "%s %s was refused as one that crashes upstreams", c.kind, c.id)
		}
	case http.StatusOK:
		bodies := c.wantBodies()
		if c.complete && (!slices.Contains(bodies, c.body) || c.receipt != generalupstream.Receipt(c.id)) {
			report("own complete answer", "%s %s got body %q with receipt %q after %q", c.kind, c.id, c.body, c.receipt, c.prefix)
		}
		isEndless := e.endless[c.id] && generalupstream.BeginsEndless(c.id, c.body)
		if !c.complete && !isEndless && !slices.ContainsFunc(bodies, func(want string) bool { return strings.HasPrefix(want, c.body) }) {
			report("own answer", "%s %s got truncated body %q after %q", c.kind, c.id, c.body, c.prefix)
		}
	}
}

// checkRevokedKeys checks that no request was executed whose key had been revoked
// more than revokeBound before it was sent.
func (e evidence) checkRevokedKeys(byID map[string]call, report func(string, string, ...any)) {
	for _, executions := range e.executions {
		for _, r := range executions {
			c, known := byID[r.id]
			if !known {
				// The call has not ended yet.
				continue
			}
			if at := e.revokedAt(c.keyVersion); !at.IsZero() && c.sentAt.Sub(at) > revokeBound {
				report("revoked keys", "%s was executed with a key revoked %v before it was sent", r.id, c.sentAt.Sub(at))
			}
		}
	}
}

// checkRollbacks checks that no process returns to an older version of the
// configuration. Once it has accepted the key of a version, it must accept that key
// until its revocation, and reject all keys that this version or an earlier one has
// revoked.
func (e evidence) checkRollbacks(report func(string, string, ...any)) {
	type process struct{ vm, incarnation int }
	// provenAt is when a process was first seen to have a version or a newer one.
	provenAt := make(map[process]map[int]time.Time)
	for _, c := range e.calls {
		if c.served() && c.incarnation == c.incarnationAfter {
			p := process{c.vm, c.incarnation}
			if provenAt[p] == nil {
				provenAt[p] = make(map[int]time.Time)
			}
			if at, known := provenAt[p][c.keyVersion]; !known || c.doneAt.Before(at) {
				provenAt[p][c.keyVersion] = c.doneAt
			}
		}
	}
	for _, c := range e.calls {
		if c.incarnation != c.incarnationAfter || c.status == 0 {
			continue
		}
		for version, at := range provenAt[process{c.vm, c.incarnation}] {
			if c.sentAt.Sub(at) <= rollbackSlack {
				continue
			}
			switch revoked := e.revokedAt(c.keyVersion); {
			case c.status == http.StatusUnauthorized && c.keyVersion == version && (revoked.IsZero() || c.doneAt.Before(revoked)):
				report("no rollback", "%s: vm-%d rejected a valid key that it had accepted %v before", c.id, c.vm, c.sentAt.Sub(at))
			case c.served() && c.keyVersion <= version-2:
				report("no rollback", "%s: vm-%d accepted key %d after version %d was seen active", c.id, c.vm, c.keyVersion, version)
			}
		}
	}
}

// checkRetryBudget checks that the repeated arrivals of requests at upstreams stay
// within the retry budget.
func (e evidence) checkRetryBudget(report func(string, string, ...any)) {
	var all []upstreamRequest
	for _, arrivals := range e.arrivals {
		all = append(all, arrivals...)
	}
	slices.SortFunc(all, func(a, b upstreamRequest) int { return a.at.Compare(b.at) })
	seen := make(map[string]bool, len(all))
	var repeatedAt []time.Time
	for _, r := range all {
		if seen[r.id] {
			repeatedAt = append(repeatedAt, r.at)
		}
		seen[r.id] = true
	}
	sentAt := make([]time.Time, len(e.calls))
	for i, c := range e.calls {
		sentAt[i] = c.sentAt
	}
	slices.SortFunc(sentAt, time.Time.Compare)
	for i, end := range repeatedAt {
		begin := end.Add(-retryWindow)
		repeats := i + 1 - countUpTo(repeatedAt, begin)
		requests := countUpTo(sentAt, end) - countUpTo(sentAt, begin)
		if allowed := retryRatio*float64(requests) + retrySlack; float64(repeats) > allowed {
			report("retry budget", "%d repeats of %d requests within %v", repeats, requests, retryWindow)
			return
		}
	}
}

// countUpTo returns the number of times, in a sorted slice, that are not after t.
func countUpTo(times []time.Time, t time.Time) int {
	return sort.Search(len(times), func(i int) bool { return times[i].After(t) })
}

// wasHeldUp reports whether a request was sent long before it arrived because the upstream's
// connections were disturbed. Such requests arrive together when that ends, whenever they were
// sent; the limit of a cold upstream counts those that are sent and arrive within a second.
func (e evidence) wasHeldUp(upstream int, r upstreamRequest, c call) bool {
	if r.at.Sub(c.sentAt) < heldUpDelay {
		return false
	}
	return slices.ContainsFunc(e.heldUp[upstream], func(s span) bool {
		return c.sentAt.Before(s.to) && r.at.After(s.from) && r.at.Before(s.to.Add(heldUpDelay))
	})
}

// heldUpDelay is how long a request takes at least that was held up on its way.
const heldUpDelay = 200 * time.Millisecond

// checkCold checks that a cold upstream gets no more requests than its limit in any
// second.
func (e evidence) checkCold(byID map[string]call, report func(string, string, ...any)) {
	const allowed = coldPerSecond*coldOverage + coldSlack
	for i, arrivals := range e.arrivals {
		for _, s := range e.cold[i] {
			var within []time.Time
			for _, r := range arrivals {
				if s.contains(r.at) && !e.wasHeldUp(i, r, byID[r.id]) {
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

// checkDrained checks that a drained upstream gets no requests.
func (e evidence) checkDrained(report func(string, string, ...any)) {
	for i, arrivals := range e.arrivals {
		for _, s := range e.drained[i] {
			for _, r := range arrivals {
				if s.contains(r.at) {
					report("draining", "%s reached i-%d %v after the drain bound", r.id, i, r.at.Sub(s.from))
				}
			}
		}
	}
}

// checkLeaving checks that a process sends no more requests to an upstream more than
// drainBound after it has relayed an answer with the upstream's drain advice.
func (e evidence) checkLeaving(byID map[string]call, report func(string, string, ...any)) {
	for i, spans := range e.leaving {
		for _, s := range spans {
			// advisedAt is when each VM first relayed the advice.
			advisedAt := make(map[int]time.Time)
			for _, r := range e.executions[i] {
				if c := byID[r.id]; c.drainAdvice && s.contains(r.at) && (advisedAt[c.vm].IsZero() || c.doneAt.Before(advisedAt[c.vm])) {
					advisedAt[c.vm] = c.doneAt
				}
			}
			for _, r := range e.arrivals[i] {
				c, known := byID[r.id]
				if at := advisedAt[c.vm]; known && !at.IsZero() && s.contains(r.at) && c.sentAt.Sub(at) > drainBound {
					report("leaving", "%s reached i-%d from vm-%d, which had relayed its drain advice %v before", r.id, i, c.vm, c.sentAt.Sub(at))
				}
			}
		}
	}
}

// pauseSlack is how long after an upstream asked for a pause requests may still
// arrive, and maxPauseArrivals how many may arrive in the rest of the pause.
const (
	pauseSlack       = 500 * time.Millisecond
	maxPauseArrivals = 2
)

// checkPauses checks in calm spans that a process respects a pause that an upstream
// has asked it for.
func (e evidence) checkPauses(byID map[string]call, report func(string, string, ...any)) {
	for i, arrivals := range e.arrivals {
		for _, refused := range arrivals {
			if refused.pause == 0 || !slices.ContainsFunc(e.calm, func(s span) bool { return s.contains(refused.at) }) {
				continue
			}
			pause, count := span{refused.at.Add(pauseSlack), refused.at.Add(refused.pause)}, 0
			if e.crashedIn(i, span{refused.at, pause.to}) {
				// Its next incarnation has asked for no pause.
				continue
			}
			for _, r := range arrivals {
				if pause.contains(r.at) && byID[r.id].vm == byID[refused.id].vm {
					count++
				}
			}
			if count > maxPauseArrivals {
				report("pauses", "i-%d got %d requests from vm-%d in a pause of %v", i, count, byID[refused.id].vm, refused.pause)
			}
		}
	}
}

// hasKnownKey reports whether every VM has to know the call's key when the call is sent.
func (e evidence) hasKnownKey(c call) bool {
	return e.revokedAt(c.keyVersion).IsZero() && c.sentAt.Sub(e.publishedAt(c.keyVersion)) > configBound
}

// checkRecovery checks that requests with valid, applied keys are served again once
// all disturbances are over.
func (e evidence) checkRecovery(report func(string, string, ...any)) {
	for _, s := range e.calm {
		requests, served := 0, 0
		for _, c := range e.calls {
			if c.deadly == "" && !e.afterCrash(c) && s.contains(c.sentAt) && e.hasKnownKey(c) {
				requests++
				if c.served() {
					served++
				}
			}
		}
		if requests >= minCallsToJudge && float64(served) < minServedFraction*float64(requests) {
			report("recovery", "%d of %d requests served in a calm span", served, requests)
		}
	}
}
