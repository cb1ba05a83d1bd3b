package edge

import (
	"log/slog"
	"sync"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/valve"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// admission decides which connections and requests the process admits. It is safe for
// concurrent use.
type admission struct {
	log *slog.Logger
	// accountOf returns the account of a request by the beginning of its head, if it is known, and ahead reports
	// whether an account is ahead of its share. accountOf is nil where accounts are not told apart.
	accountOf func(head []byte) (version.AccountID, bool)
	ahead     func(version.AccountID) bool

	mu      sync.Mutex
	shedder *valve.Shedder
	// parts are what accounts may send whatever the shedder admits.
	parts *valve.Parts
	// arrived counts the admitted connections whose first requests are in parts already.
	arrived map[version.AccountID]int
	// admitted counts connections and further requests that were admitted, refused such requests
	// that were not, rejected such connections.
	admitted, refused, rejected uint64
	// turnedAway counts the rejected connections of known accounts, and unattributed the others, since they were last
	// taken.
	turnedAway   map[version.AccountID]int
	unattributed int
	// overloadedSince is when load shedding began; zero while everything is admitted.
	overloadedSince time.Time
	// longestLag and minFraction are the longest lag and the lowest admitted fraction
	// since overloadedSince. refusedAtStart and rejectedAtStart are the values of refused
	// and rejected at that time.
	longestLag      time.Duration
	minFraction     float64
	refusedAtStart  uint64
	rejectedAtStart uint64
	// lastReport is the state of the counters when the process last logged that it is behind.
	lastReport overloadReport
}

// overloadReportInterval is the time between two log lines of a process that stays behind.
const overloadReportInterval = time.Second

// overloadReport is a time with the counters of admission.
type overloadReport struct {
	at                          time.Time
	admitted, refused, rejected uint64
}

// newAdmission returns an admission that sheds load while the scheduling lag exceeds limit; 0
// is valve.DefaultLagLimit.
func newAdmission(limit time.Duration, log *slog.Logger) *admission {
	return &admission{
		shedder: valve.New(limit), parts: valve.NewParts(), arrived: make(map[version.AccountID]int),
		turnedAway: make(map[version.AccountID]int), log: log,
		ahead: func(version.AccountID) bool { return false },
	}
}

// admitConnection reports whether to admit a new connection, with its first request, of which head was read.
// It counts connections that are not admitted.
func (a *admission) admitConnection(head []byte) bool {
	account, known := a.identify(head)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !known {
		if a.shedder.Admit() {
			a.admitted++
			return true
		}
		a.reject(account, known)
		return false
	}
	now := time.Now()
	a.parts.Arrive(now, account)
	if a.parts.Admits(now, account, a.ahead, a.shedder) {
		a.admitted++
		a.arrived[account]++
		return true
	}
	a.reject(account, known)
	return false
}

// countAdmitted counts a connection that is admitted unread.
func (a *admission) countAdmitted() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admitted++
}

// countRejected counts a connection, of which head was read, that is rejected whatever the load shedder admits.
func (a *admission) countRejected(head []byte) {
	account, known := a.identify(head)
	a.mu.Lock()
	defer a.mu.Unlock()
	if known {
		a.parts.Arrive(time.Now(), account)
	}
	a.reject(account, known)
}

// identify returns the account of a request by the beginning of its head, if it is known.
func (a *admission) identify(head []byte) (version.AccountID, bool) {
	if a.accountOf == nil || len(head) == 0 {
		return 0, false
	}
	return a.accountOf(head)
}

// reject counts a connection that is not admitted. a.mu must be held.
func (a *admission) reject(account version.AccountID, known bool) {
	a.rejected++
	if known {
		a.turnedAway[account]++
	} else {
		a.unattributed++
	}
}

// shedsLoad reports whether the process admits less than all.
func (a *admission) shedsLoad() bool { return a.admittedFraction() < 1 }

// admitRequest reports whether to admit a request of an account on an admitted connection: the first one
// always, a further one as valve.Parts says. It counts requests that are not admitted.
func (a *admission) admitRequest(account version.AccountID, first bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if first && a.arrived[account] > 0 {
		a.arrived[account]--
	} else {
		a.parts.Arrive(now, account)
	}
	switch {
	case first:
	case a.parts.AdmitsFurther(now, account, a.ahead, a.shedder):
		a.admitted++
	default:
		a.refused++
		return false
	}
	return true
}

// admittedFraction returns the fraction of connections and requests that is admitted, 0 to 1.
func (a *admission) admittedFraction() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shedder.AdmittedFraction()
}

// rejectedConnections returns the number of connections that were not admitted.
func (a *admission) rejectedConnections() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rejected
}

// takeTurnedAway returns how many connections of an account, and of unknown ones, were turned away since its last
// calls.
func (a *admission) takeTurnedAway(account version.AccountID) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	turnedAway := a.unattributed + a.turnedAway[account]
	a.unattributed = 0
	delete(a.turnedAway, account)
	return turnedAway
}

// observeLag updates the load shedder with the scheduling lag of the last interval, and logs
// the beginning and the end of load shedding.
func (a *admission) observeLag(lag time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shedder.ObserveLag(lag)
	fraction := a.shedder.AdmittedFraction()
	switch {
	case fraction < 1 && a.overloadedSince.IsZero():
		a.overloadedSince, a.longestLag, a.minFraction = time.Now(), lag, fraction
		a.refusedAtStart, a.rejectedAtStart = a.refused, a.rejected
		a.log.Warn("behind with its work, takes in less", "lag_ms", lag.Milliseconds(),
			"limit_ms", a.shedder.LagLimit().Milliseconds())
		a.lastReport = overloadReport{a.overloadedSince, a.admitted, a.refused, a.rejected}
	case fraction < 1:
		a.longestLag, a.minFraction = max(a.longestLag, lag), min(a.minFraction, fraction)
		a.reportOverload(time.Now(), lag)
	case !a.overloadedSince.IsZero():
		a.log.Info("has caught up", "after_ms", time.Since(a.overloadedSince).Milliseconds(),
			"longest_lag_ms", a.longestLag.Milliseconds(), "least_part", a.minFraction,
			"refused", a.refused-a.refusedAtStart, "turned_away", a.rejected-a.rejectedAtStart)
		a.overloadedSince = time.Time{}
		// Those that remain have sent nothing that was served.
		clear(a.arrived)
	}
}

// reportOverload logs, every overloadReportInterval, what a process that stays behind has done with
// what arrived since the last report. a.mu must be held.
func (a *admission) reportOverload(now time.Time, lag time.Duration) {
	last := a.lastReport
	if now.Sub(last.at) < overloadReportInterval {
		return
	}
	a.lastReport = overloadReport{now, a.admitted, a.refused, a.rejected}
	a.log.Warn("still behind with its work", "for_ms", now.Sub(a.overloadedSince).Milliseconds(),
		"lag_ms", lag.Milliseconds(), "part", a.shedder.AdmittedFraction(), "interval_ms", now.Sub(last.at).Milliseconds(),
		"admitted", a.admitted-last.admitted, "refused", a.refused-last.refused, "turned_away", a.rejected-last.rejected)
}
