package placement

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// paceMemory is the weight of the newest answer in an upstream's pace.
	paceMemory = 0.15
	// ratioMin and ratioMax bound what a single answer says of the pace: one
	// that was preempted is late by any factor.
	ratioMin = 0.4
	ratioMax = 3
	// paceMin and paceMax bound the pace.
	paceMin = 0.6
	paceMax = 8
	// paceHalfLife is how long it takes until half of a slow pace is forgotten,
	// so that an upstream without work is tried again.
	paceHalfLife = 2 * time.Second
	// backlogGain is how far an answer's beginning corrects the backlog, and
	// backlogStep bounds the correction.
	backlogGain = 0.3
	backlogStep = 60 * time.Millisecond
	// reportTime is how long a report of load is used.
	reportTime = 500 * time.Millisecond
)

// flight is a granted attempt.
type flight struct {
	ticket    request.Ticket
	sent      time.Time
	predicted time.Time
	begun     bool
	// uncached is how many prompt tokens the engine has to read.
	uncached int
}

// upstream is what this VM knows of one upstream.
type upstream struct {
	*version.Upstream
	pool    *version.Pool
	region  version.RegionID
	flights map[request.ID]*flight
	cache   *cache
	gate    coldGate
	health  health
	// declined is what the upstream has said of further requests; nil is nothing.
	declined *declined
	// free is when the engine has read every prompt that was sent to it.
	free time.Time
	// pace is the time that answers take to begin, relative to prediction.
	pace   float64
	paceAt time.Time
	// report is the newest load that the upstream told.
	report     request.Load
	reportedAt time.Time
	// unread is the prompt tokens of flights whose answer has not begun, and
	// memory the tokens that all flights may take.
	unread, memory int
	// worked is when the engine got its first work that this VM knows of.
	worked time.Time
	// readTotal is all prompt tokens that this VM gave the engine to read.
	readTotal uint64
	// flow is how fast other VMs send prompt tokens that the engine has to read.
	flow flow
	// others is the work that other VMs told of.
	others map[version.VMID]load
	// othersSum is the sum of others, which holds until othersUntil.
	othersSum   load
	othersUntil time.Time
}

func newUpstream(described *version.Upstream, pool *version.Pool, region version.RegionID) *upstream {
	u := &upstream{
		Upstream: described,
		pool:     pool,
		region:   region,
		flights:  make(map[request.ID]*flight),
		pace:     1,
		others:   make(map[version.VMID]load),
	}
	if pool.Engine != nil {
		u.cache = newCache(pool.Engine.KVTokens)
	}
	return u
}

// slots is how many requests the upstream runs at once.
func (u *upstream) slots() int {
	if u.Slots > 0 {
		return u.Slots
	}
	return 1
}

// running estimates the requests at the upstream from all VMs.
func (u *upstream) running(now time.Time) int {
	total := len(u.flights)
	heard := u.heard(now)
	total += heard.running
	if heard.running == 0 && now.Sub(u.reportedAt) <= reportTime {
		return max(total, u.report.Running+u.report.Waiting)
	}
	return total
}

// hear takes what another VM told of its work here.
func (u *upstream) hear(from version.VMID, told load) {
	if u.worked.IsZero() && told.running > 0 {
		u.worked = told.at
	}
	u.others[from] = told
	u.othersUntil = time.Time{}
}

// heard sums what other VMs told of their work here.
func (u *upstream) heard(now time.Time) load {
	if now.Before(u.othersUntil) {
		return u.othersSum
	}
	u.othersSum, u.othersUntil = load{}, now.Add(othersTime)
	for vm, told := range u.others {
		until := told.at.Add(othersTime)
		if !until.After(now) {
			delete(u.others, vm)
			continue
		}
		u.othersUntil = earlier(u.othersUntil, until)
		u.othersSum.running += told.running
		u.othersSum.unread += told.unread
		u.othersSum.memory += told.memory
	}
	return u.othersSum
}

// currentPace returns the pace, with what is old forgotten.
func (u *upstream) currentPace(now time.Time) float64 {
	age := now.Sub(u.paceAt)
	if age <= 0 {
		return u.pace
	}
	return 1 + (u.pace-1)*halve(age, paceHalfLife)
}

// learn corrects pace and backlog by an answer that began.
func (u *upstream) learn(now time.Time, f *flight, net time.Duration) {
	expected := f.predicted.Sub(f.sent)
	took := now.Sub(f.sent)
	if expected <= 0 {
		return
	}
	pace := u.currentPace(now)
	ratio := float64(took-net) / max(float64(expected-net), float64(time.Millisecond))
	ratio = clamp(ratio, ratioMin, ratioMax)
	// The prediction contains the pace of then; what is new is the ratio to it.
	u.pace = clamp(pace*(1-paceMemory)+pace*ratio*paceMemory, paceMin, paceMax)
	u.paceAt = now
	late := backlogGain * float64(now.Sub(f.predicted))
	u.free = u.free.Add(time.Duration(clamp(late, -float64(backlogStep), float64(backlogStep))))
	if u.unread == 0 && u.heard(now).unread == 0 {
		u.free = earlier(u.free, now)
	}
}

// silent reports whether an answer is long overdue.
func (u *upstream) silent(now time.Time) bool {
	for _, f := range u.flights {
		if f.begun {
			continue
		}
		if now.Sub(f.sent) > silenceFactor*f.predicted.Sub(f.sent)+silenceSlack {
			return true
		}
	}
	return false
}

// take adds a flight.
func (u *upstream) take(f *flight) {
	if u.worked.IsZero() {
		u.worked = f.sent
	}
	u.flights[f.ticket.ID] = f
	u.unread += f.uncached
	u.memory += promptTokens(f.ticket) + outputTokens(f.ticket)
}

// trusted reports whether the engine had work for long enough to keep the parts
// whose home it is.
func (u *upstream) trusted(now time.Time) bool {
	return !u.worked.IsZero() && now.Sub(u.worked) >= homeTrustTime
}

// begin notes that a flight's answer has begun.
func (u *upstream) begin(f *flight) {
	f.begun = true
	u.unread -= f.uncached
}

// drop removes a flight.
func (u *upstream) drop(f *flight) {
	if !f.begun {
		u.begin(f)
	}
	u.memory -= promptTokens(f.ticket) + outputTokens(f.ticket)
	delete(u.flights, f.ticket.ID)
}
