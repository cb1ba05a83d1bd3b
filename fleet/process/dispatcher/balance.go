package dispatcher

import (
	"math"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/queue"
	"github.com/trefoilwell/trefoilwell/fleet/process/service"
	"github.com/trefoilwell/trefoilwell/fleet/request"
)

const (
	// SpillThreshold is how far the lowest level that waits in another data
	// centre has to be ahead of ours before a ticket moves there although it
	// has no free slot, in weighted cost units.
	SpillThreshold = 500.0
	// levelInterval is the least time between two vacancies that only tell the
	// lowest waiting level.
	levelInterval = time.Second
	// levelChange is the least change of that level worth telling.
	levelChange = SpillThreshold / 4
	// levelTime is how long a told level is believed.
	levelTime = 5 * time.Second
	// queuedThere bounds the tickets that wait in the queue of one peer.
	queuedThere = 4
	// queuedHere bounds the tickets of other data centres in the own queue.
	queuedHere = 32
)

// lowestWaiting is the lowest level that waits at a peer, as it was told.
type lowestWaiting struct {
	level float64
	heard time.Time
	// refused is set once the peer has refused a ticket, or one was recalled,
	// since it told the level.
	refused bool
}

// balance moves tickets of accounts that are behind to peers where those that
// wait are ahead of them by more than SpillThreshold.
func (d *Dispatcher) balance(now time.Time) {
	for _, p := range d.peers {
		linked := p.proxy.Dispatcher(d.options.Pool) != ""
		if !linked || p.lowest.refused || now.Sub(p.lowest.heard) > levelTime {
			continue
		}
		for p.waiting(d) < queuedThere {
			lowest, waits := d.queue.Lowest()
			if !waits || lowest+SpillThreshold >= p.lowest.level || !d.offerNext(now, p) {
				break
			}
		}
	}
}

// waiting returns how many tickets are on offer to the peer.
func (p *peer) waiting(d *Dispatcher) int {
	total := 0
	for _, placed := range p.placed {
		if r := d.registrationOf(placed.key); r != nil && r.held[placed.key.ID].place == offered {
			total++
		}
	}
	return total
}

// recall takes the ticket that has waited longest at a peer back, if a slot is
// free here and nobody waits for it. It reports whether there was one.
func (d *Dispatcher) recall(now time.Time) bool {
	if d.slots.Free(now) == 0 {
		return false
	}
	var from *peer
	var oldest request.ID
	for _, p := range d.peers {
		for _, id := range p.ids() {
			placed := p.placed[id]
			r := d.registrationOf(placed.key)
			if r == nil || r.held[placed.key.ID].place != offered || now.Sub(placed.since) < recallTime {
				continue
			}
			if from == nil || placed.since.Before(from.placed[oldest].since) {
				from, oldest = p, id
			}
		}
	}
	if from == nil {
		return false
	}
	placed := from.placed[oldest]
	from.abandon(oldest)
	from.lowest.refused = true
	d.push(now, d.registrationOf(placed.key), placed.item)
	return true
}

// recallTime is how long an offer may take before a free slot ends it.
const recallTime = 100 * time.Millisecond

// enqueueRemote takes a ticket of another data centre: it gets a free slot, or
// waits here if its account is behind those that do, or is refused.
func (d *Dispatcher) enqueueRemote(now time.Time, r *registration, item queue.Item) {
	lowest, waits := d.queue.Lowest()
	behind := waits && d.options.Meter.Level(item.Ticket.Account) < lowest
	if behind && d.remoteWaiting() < queuedHere {
		d.push(now, r, item)
		return
	}
	d.grantRemote(now, r, item)
}

// remoteWaiting returns how many tickets of other data centres wait here.
func (d *Dispatcher) remoteWaiting() int {
	total := 0
	for _, r := range d.order {
		if !r.remote {
			continue
		}
		for _, known := range r.held {
			if known.place == queued {
				total++
			}
		}
	}
	return total
}

// lowestTold returns the lowest waiting level as it is told to peers: 0 if
// nobody waits, else the level plus 1.
func (d *Dispatcher) lowestTold() uint64 {
	lowest, waits := d.queue.Lowest()
	if !waits {
		return 0
	}
	return uint64(math.Max(lowest, 0)) + 1
}

// charge counts a granted ticket, unless nobody else waits for the pool: service
// that would have gone to nobody is not held against the account.
func (d *Dispatcher) charge(now time.Time, key request.Key, ticket request.Ticket) {
	contended := d.queue.OthersWait(ticket.Account)
	for _, p := range d.peers {
		contended = contended || now.Sub(p.lowest.heard) <= levelTime
	}
	if contended {
		d.options.Meter.Grant(now, service.Hold{Key: key, Attempt: ticket.Attempt}, ticket)
	}
}

// hearLowest notes the lowest level that waits at a peer.
func (d *Dispatcher) hearLowest(now time.Time, p *peer, told uint64) {
	p.lowest = lowestWaiting{}
	if told > 0 {
		p.lowest = lowestWaiting{level: float64(told - 1), heard: now}
	}
	elsewhere := math.Inf(1)
	for _, other := range d.peers {
		if now.Sub(other.lowest.heard) <= levelTime {
			elsewhere = min(elsewhere, other.lowest.level)
		}
	}
	d.queue.SetElsewhere(elsewhere)
}

// levelNews reports whether the lowest level is worth telling a peer again.
func (d *Dispatcher) levelNews(now time.Time, p *peer, lowest uint64) bool {
	if now.Sub(p.toldTime) < levelInterval {
		return false
	}
	change := math.Abs(float64(lowest) - float64(p.toldLowest))
	return change >= levelChange || now.Sub(p.toldTime) >= levelTime-levelInterval
}
