package dispatcher

import (
	"math"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/queue"
	"github.com/trefoilwell/trefoilwell/fleet/process/service"
	"github.com/trefoilwell/trefoilwell/fleet/request"
)

const (
	// SpillThreshold is the minimum lead of a peer's lowest waiting service level
	// over the lowest level that waits here at which a ticket is moved to the
	// peer although the peer has no free slot, in weighted cost units.
	SpillThreshold = 500.0
	// SpillLevelAge scales the same threshold with the rate at which the lowest
	// level here rises: it is at least the rise within SpillLevelAge. The levels
	// known of other data centres are about that old.
	SpillLevelAge = 3 * time.Second
	// riseInterval is the period over which the rise of the lowest level is
	// measured, and riseGain the weight of the latest measurement in the moving
	// average.
	riseInterval = time.Second
	riseGain     = 0.3
	// minRefusalBackoff and maxRefusalBackoff bound the time without balancing
	// to a peer after it refused a ticket. The time doubles with each refusal
	// until the peer grants one.
	minRefusalBackoff = time.Second
	maxRefusalBackoff = 30 * time.Second
	// minLevelInterval is the minimum time between two vacancy messages that
	// report only a change of the lowest waiting level.
	minLevelInterval = 2 * time.Second
	// minLevelChange is the minimum change of the lowest waiting level that is
	// reported, in weighted cost units.
	minLevelChange = SpillThreshold / 4
	// levelValidity is how long a peer's reported level is used.
	levelValidity = 6 * time.Second
	// minBalanceWait is how long the first ticket in fair order waits before it
	// may move to a peer for fairness.
	minBalanceWait = 2 * time.Second
	// maxOfferedPerPeer is the number of tickets on offer to one peer at which
	// balancing to it stops.
	maxOfferedPerPeer = 4
	// maxRemoteQueued bounds the tickets of other data centres in the queue
	// here.
	maxRemoteQueued = 32
)

// lowestLevel is a peer's report of the lowest service level that waits there,
// in weighted cost units, and when it was received.
type lowestLevel struct {
	level      float64
	receivedAt time.Time
}

// refusalBackoff delays balancing to a peer that refused a ticket.
type refusalBackoff struct {
	delay time.Duration
	until time.Time
}

// extend doubles the delay, within its bounds, and restarts it.
func (r *refusalBackoff) extend(now time.Time) {
	r.delay = min(max(2*r.delay, minRefusalBackoff), maxRefusalBackoff)
	r.until = now.Add(r.delay)
}

// levelRise measures how fast the lowest waiting level rises, in weighted cost
// units per second.
type levelRise struct {
	level     float64
	at        time.Time
	perSecond float64
}

// observe records the present lowest level, at most once per riseInterval. If
// two intervals or more have passed, the rate is kept and the measurement
// restarts.
func (r *levelRise) observe(now time.Time, lowest float64) {
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

// threshold returns the lead that a peer's lowest level needs over the one here
// before a ticket moves, in weighted cost units.
func (r *levelRise) threshold() float64 {
	return max(SpillThreshold, r.perSecond*SpillLevelAge.Seconds())
}

// balance moves tickets of the accounts that are furthest behind to the peer
// whose lowest waiting level leads most, if its lead is above the threshold.
func (d *Dispatcher) balance(now time.Time) {
	lowest, waiting := d.queue.LowestLevel()
	if !waiting {
		return
	}
	d.levelRise.observe(now, lowest)
	p := d.furthestAhead(now)
	for p != nil && p.offeredCount(d) < maxOfferedPerPeer {
		lowest, waiting = d.queue.LowestLevel()
		behind := waiting && lowest+d.levelRise.threshold() < p.lowest.level
		if !behind || !d.headWaitedEnough(now) || !d.offerNext(now, p) {
			return
		}
	}
}

// headWaitedEnough reports whether the first ticket in fair order has waited
// for minBalanceWait. One that soon gets a slot here waits for less.
func (d *Dispatcher) headWaitedEnough(now time.Time) bool {
	item, waiting := d.queue.Next(now)
	return waiting && now.Sub(item.Arrived) >= minBalanceWait
}

// furthestAhead returns the peer with the highest reported level among those
// that tickets may be balanced to, or nil.
func (d *Dispatcher) furthestAhead(now time.Time) *peer {
	var furthest *peer
	for _, p := range d.peers {
		if d.canBalanceTo(now, p) && (furthest == nil || p.lowest.level > furthest.lowest.level) {
			furthest = p
		}
	}
	return furthest
}

// canBalanceTo reports whether tickets may be offered to a peer that has
// reported no free slot: the peer is registered with, its reported level is
// valid, and no refusal delays offers to it.
func (d *Dispatcher) canBalanceTo(now time.Time, p *peer) bool {
	linked := p.proxy.Dispatcher(d.options.Pool) != ""
	return linked && now.Sub(p.lowest.receivedAt) <= levelValidity && !now.Before(p.backoff.until)
}

// offeredCount returns the number of tickets on offer to the peer.
func (p *peer) offeredCount(d *Dispatcher) int {
	total := 0
	for _, placed := range p.placed {
		if r := d.registrationOf(placed.key); r != nil && r.held[placed.key.ID].state == offered {
			total++
		}
	}
	return total
}

// recall takes back the ticket that has been on offer to a peer for longest, if
// a slot is free here. The caller makes sure that the queue is empty. It
// reports whether there was such a ticket.
func (d *Dispatcher) recall(now time.Time) bool {
	if d.slots.Free(now) == 0 {
		return false
	}
	var from *peer
	var oldest request.ID
	for _, p := range d.peers {
		for _, id := range p.ids() {
			offer := p.placed[id]
			r := d.registrationOf(offer.key)
			if r == nil || r.held[offer.key.ID].state != offered || now.Sub(offer.placedAt) < minOfferTime {
				continue
			}
			if from == nil || offer.placedAt.Before(from.placed[oldest].placedAt) {
				from, oldest = p, id
			}
		}
	}
	if from == nil {
		return false
	}
	offer := from.placed[oldest]
	from.abandon(oldest)
	from.backoff.extend(now)
	d.push(now, d.registrationOf(offer.key), offer.item)
	return true
}

// minOfferTime is how long a ticket stays on offer to a peer before a free slot
// here may end the offer.
const minOfferTime = 100 * time.Millisecond

// enqueueRemote handles a ticket of another data centre. It is queued if its
// account is behind the accounts that wait here; else it is granted a free slot
// or refused.
func (d *Dispatcher) enqueueRemote(now time.Time, r *registration, item queue.Item) {
	lowest, waiting := d.queue.LowestLevel()
	behind := waiting && d.options.Meter.Level(item.Ticket.Account) < lowest
	if behind && d.remoteQueued() < maxRemoteQueued {
		d.push(now, r, item)
		return
	}
	d.grantRemote(now, r, item)
}

// remoteQueued returns the number of tickets of other data centres in the
// queue.
func (d *Dispatcher) remoteQueued() int {
	total := 0
	for _, r := range d.order {
		if !r.remote {
			continue
		}
		for _, held := range r.held {
			if held.state == queued {
				total++
			}
		}
	}
	return total
}

// encodedLowest returns the lowest waiting level in the encoding of
// wire.Vacancy: 0 if no ticket waits, else 1 plus the level.
func (d *Dispatcher) encodedLowest() uint64 {
	lowest, waiting := d.queue.LowestLevel()
	if !waiting {
		return 0
	}
	return uint64(math.Max(lowest, 0)) + 1
}

// charge charges a granted ticket to its account, unless no other account waits
// for the pool here or at a peer: service that no other account wanted does not
// count against the account.
func (d *Dispatcher) charge(now time.Time, key request.Key, ticket request.Ticket) {
	contended := d.queue.OtherAccountsWait(ticket.Account)
	for _, p := range d.peers {
		contended = contended || now.Sub(p.lowest.receivedAt) <= levelValidity
	}
	if contended {
		d.options.Meter.Grant(now, service.AttemptKey{Key: key, Attempt: ticket.Attempt}, ticket)
	}
}

// receiveLowest applies the lowest waiting level that a peer reported and
// passes the lowest one of all peers to the queue.
func (d *Dispatcher) receiveLowest(now time.Time, p *peer, encoded uint64) {
	p.lowest = lowestLevel{}
	if encoded > 0 {
		p.lowest = lowestLevel{level: float64(encoded - 1), receivedAt: now}
	}
	lowestElsewhere := math.Inf(1)
	for _, other := range d.peers {
		if now.Sub(other.lowest.receivedAt) <= levelValidity {
			lowestElsewhere = min(lowestElsewhere, other.lowest.level)
		}
	}
	d.queue.SetRemoteLowestLevel(lowestElsewhere)
}

// freeSlotsFor returns how many of the free slots are reported to a peer. They
// are divided among all peers that want such reports, and the remainder
// rotates, so that a slot is not offered to all of them at once.
func (d *Dispatcher) freeSlotsFor(now time.Time, p *peer, free int) int {
	subscribers, index := 0, 0
	for _, other := range d.peers {
		if other.VM == "" || now.After(other.vacancyReportsUntil) {
			continue
		}
		if other == p {
			index = subscribers
		}
		subscribers++
	}
	if subscribers == 0 {
		return 0
	}
	d.rotation++
	count := free / subscribers
	if (index+d.rotation)%subscribers < free%subscribers {
		count++
	}
	return count
}

// levelReportDue reports whether the lowest waiting level should be sent to a
// peer again: it changed by minLevelChange, or the last report is about to
// expire.
func (d *Dispatcher) levelReportDue(now time.Time, p *peer, lowest uint64) bool {
	if now.Sub(p.reportedAt) < minLevelInterval {
		return false
	}
	change := math.Abs(float64(lowest) - float64(p.reportedLowest))
	return change >= minLevelChange || now.Sub(p.reportedAt) >= levelValidity-minLevelInterval
}
