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
	// centre has to be ahead of ours, at least, before a ticket moves there
	// although it has no free slot, in weighted cost units.
	SpillThreshold = 500.0
	// SpillTime is the same as the time in which our lowest level rises by so
	// much: what is known of levels elsewhere is about that old.
	SpillTime = 3 * time.Second
	// riseInterval is the time over which that rise is measured, and riseGain
	// the weight of the latest measurement.
	riseInterval = time.Second
	riseGain     = 0.3
	// refusedMin and refusedMax bound the pause after a peer refused a ticket;
	// it doubles until one is granted.
	refusedMin = time.Second
	refusedMax = 30 * time.Second
	// levelInterval is the least time between two vacancies that only tell the
	// lowest waiting level.
	levelInterval = 2 * time.Second
	// levelChange is the least change of that level worth telling.
	levelChange = SpillThreshold / 4
	// levelTime is how long a told level is believed.
	levelTime = 6 * time.Second
	// stuckTime is how long the first ticket in fair order waits before it may
	// move for fairness.
	stuckTime = 2 * time.Second
	// queuedThere bounds the tickets that wait in the queue of one peer.
	queuedThere = 4
	// queuedHere bounds the tickets of other data centres in the own queue.
	queuedHere = 32
)

// lowestWaiting is the lowest level that waits at a peer, as it was told.
type lowestWaiting struct {
	level float64
	heard time.Time
}

// refusals paces what is offered to a peer that has no free slot.
type refusals struct {
	pause time.Duration
	until time.Time
}

func (r *refusals) refused(now time.Time) {
	r.pause = min(max(2*r.pause, refusedMin), refusedMax)
	r.until = now.Add(r.pause)
}

// rise follows how fast the lowest waiting level rises.
type rise struct {
	level     float64
	at        time.Time
	perSecond float64
}

func (r *rise) follow(now time.Time, lowest float64) {
	age := now.Sub(r.at)
	if age < riseInterval {
		return
	}
	if !r.at.IsZero() && age < 2*riseInterval {
		latest := max(lowest-r.level, 0) / age.Seconds()
		r.perSecond += riseGain * (latest - r.perSecond)
	}
	r.level, r.at = lowest, now
}

// threshold returns how far a peer's lowest level has to be ahead of ours.
func (r *rise) threshold() float64 {
	return max(SpillThreshold, r.perSecond*SpillTime.Seconds())
}

// balance moves tickets of accounts that are behind to the peer where those
// that wait are furthest ahead, if that is by more than a threshold.
func (d *Dispatcher) balance(now time.Time) {
	lowest, waits := d.queue.Lowest()
	if !waits {
		return
	}
	d.rise.follow(now, lowest)
	p := d.furthestAhead(now)
	for p != nil && p.waiting(d) < queuedThere {
		lowest, waits = d.queue.Lowest()
		behind := waits && lowest+d.rise.threshold() < p.lowest.level
		if !behind || !d.stuck(now) || !d.offerNext(now, p) {
			return
		}
	}
}

// stuck reports whether the first ticket in fair order has waited for longer
// than one that soon gets a slot here.
func (d *Dispatcher) stuck(now time.Time) bool {
	item, waits := d.queue.Next(now)
	return waits && now.Sub(item.Arrived) >= stuckTime
}

// furthestAhead returns the peer with the highest lowest level of those that
// may be offered tickets, or nil.
func (d *Dispatcher) furthestAhead(now time.Time) *peer {
	var furthest *peer
	for _, p := range d.peers {
		if d.mayBalance(now, p) && (furthest == nil || p.lowest.level > furthest.lowest.level) {
			furthest = p
		}
	}
	return furthest
}

// mayBalance reports whether a peer may be offered tickets for which it has no
// free slot.
func (d *Dispatcher) mayBalance(now time.Time, p *peer) bool {
	linked := p.proxy.Dispatcher(d.options.Pool) != ""
	return linked && now.Sub(p.lowest.heard) <= levelTime && !now.Before(p.refusals.until)
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
	from.refusals.refused(now)
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

// shareOf returns how many of the free slots a peer is told of: those that want
// any share them, in turns if there are fewer, so that a slot is not offered to
// all of them at once.
func (d *Dispatcher) shareOf(now time.Time, p *peer, free int) int {
	wanting, place := 0, 0
	for _, other := range d.peers {
		if other.VM == "" || now.After(other.wanted) {
			continue
		}
		if other == p {
			place = wanting
		}
		wanting++
	}
	if wanting == 0 {
		return 0
	}
	d.turn++
	share := free / wanting
	if (place+d.turn)%wanting < free%wanting {
		share++
	}
	return share
}

// levelNews reports whether the lowest level is worth telling a peer again.
func (d *Dispatcher) levelNews(now time.Time, p *peer, lowest uint64) bool {
	if now.Sub(p.toldTime) < levelInterval {
		return false
	}
	change := math.Abs(float64(lowest) - float64(p.toldLowest))
	return change >= levelChange || now.Sub(p.toldTime) >= levelTime-levelInterval
}
