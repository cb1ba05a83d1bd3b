package valve

import (
	"math"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// partsHalfLife is the time after which a request counts half in the parts of accounts.
	partsHalfLife = time.Second
	// activeRequests is the number of requests, so counted, from which an account has a part.
	activeRequests = 0.5
	// maxAdvanced bounds how many further requests of an account are admitted in advance of its new connections.
	maxAdvanced = 16
	// activeInterval is how often the accounts that have a part are counted.
	activeInterval = 20 * time.Millisecond
)

// Parts divides what an overloaded process admits evenly among the accounts that send to it. It answers a
// load in which the callers of one account overload a VM: shedding an even fraction of all requests turns
// away other accounts that send few, and that no other VM serves.
//
// Parts does no I/O and reads no clock. It is not safe for concurrent use.
type Parts struct {
	arrived map[version.AccountID]*decayingCount
	total   decayingCount
	// advanced counts further requests that were admitted in place of new connections that are still to come.
	advanced map[version.AccountID]int
	// active is the number of accounts that have a part, as of countedAt.
	active    int
	countedAt time.Time
}

// decayingCount is a number of events that count half after each partsHalfLife.
type decayingCount struct {
	n  float64
	at time.Time
}

func (c *decayingCount) now(now time.Time) float64 {
	return c.n * math.Exp2(-float64(max(now.Sub(c.at), 0))/float64(partsHalfLife))
}

func (c *decayingCount) add(now time.Time) { c.n, c.at = c.now(now)+1, now }

// NewParts returns parts that no account has used.
func NewParts() *Parts {
	return &Parts{arrived: make(map[version.AccountID]*decayingCount), advanced: make(map[version.AccountID]int)}
}

// Arrive records a request of an account.
func (p *Parts) Arrive(now time.Time, account version.AccountID) {
	count := p.arrived[account]
	if count == nil {
		count = &decayingCount{}
		p.arrived[account] = count
	}
	count.add(now)
	p.total.add(now)
}

// Within reports whether an account has sent no more requests lately than its even part of those that a
// shedder admits with a fraction.
func (p *Parts) Within(now time.Time, account version.AccountID, fraction float64) bool {
	if age := now.Sub(p.countedAt); age < 0 || age >= activeInterval {
		p.countActive(now)
	}
	count := p.arrived[account]
	return count == nil || count.now(now)*float64(max(p.active, 1)) <= fraction*p.total.now(now)
}

// countActive counts the accounts that have a part and drops the others.
func (p *Parts) countActive(now time.Time) {
	p.active, p.countedAt = 0, now
	for id, count := range p.arrived {
		if count.now(now) >= activeRequests {
			p.active++
		} else {
			delete(p.arrived, id)
			delete(p.advanced, id)
		}
	}
}

// Admits reports whether a process that sheds load admits a new connection of an account: if the account is within its
// part, or if the shedder admits it. An account that is ahead of its share over the fleet, so that most of its
// requests are refused after they were read, has to be admitted by the shedder twice: what the
// processor has no time for is first what would come to nothing. ahead is called only if that matters.
func (p *Parts) Admits(now time.Time, account version.AccountID, ahead func(version.AccountID) bool, shedder *Shedder) bool {
	switch {
	case p.Within(now, account, shedder.AdmittedFraction()):
		return true
	case !shedder.Admit():
		return false
	case shedder.AdmittedFraction() >= 1:
		return true
	case p.advanced[account] > 0:
		p.advanced[account]--
		return false
	}
	return !ahead(account) || shedder.Admit()
}

// AdmitsFurther is Admits for a further request on an open connection. It has been read, so to refuse it takes several
// times the processor time of turning a new connection away. What the shedder does not admit of an account that is
// not ahead is admitted in place of one of its next new connections.
func (p *Parts) AdmitsFurther(now time.Time, account version.AccountID, ahead func(version.AccountID) bool, shedder *Shedder) bool {
	if p.Within(now, account, shedder.AdmittedFraction()) {
		return true
	}
	admitted := shedder.Admit()
	switch {
	case shedder.AdmittedFraction() >= 1:
		return true
	case ahead(account):
		return admitted && shedder.Admit()
	case !admitted && p.advanced[account] >= maxAdvanced:
		return false
	case !admitted:
		p.advanced[account]++
	}
	return true
}
