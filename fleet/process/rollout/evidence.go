package rollout

import (
	"math"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/rollout/tally"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// slowFactor is how many times longer than at the old version a response takes that counts as
	// slow. Machines that others load take up to 2.5 times as long at any version.
	slowFactor = 2.8
	// slowTTFB and slowPace are by how much a slow response exceeds the old version at least:
	// callers do not notice less, and the VM's own lag reaches it.
	slowTTFB = 20 * time.Millisecond
	slowPace = 10 * time.Millisecond
	// minLevelSamples is the number of responses of the old version that a level needs.
	minLevelSamples = 4
	// levelWeight is the weight of the newest response in a level.
	levelWeight = 1.0 / 16
	// maxLevels bounds the levels kept.
	maxLevels = 1024
)

// levelKey identifies what takes comparable times: a route, with or without an expected time by
// which its times are divided.
type levelKey struct {
	pool     version.PoolID
	route    uint32
	expected bool
}

// level is what sound responses of the old version take now: the mean of the logarithms to base 2,
// which single slow ones hardly move.
type level struct {
	firstByte, pace mean
}

// mean is a moving mean.
type mean struct {
	value   float64
	samples int
}

func (m *mean) add(value float64) {
	m.samples++
	m.value += (value - m.value) * max(levelWeight, 1/float64(m.samples))
}

// exceededBy reports whether a time is several times the level, and by at least slack. unit is the
// time that the level counts in.
func (m *mean) exceededBy(measured, unit, slack time.Duration) bool {
	usual := time.Duration(math.Exp2(m.value) * float64(unit))
	return float64(measured) > slowFactor*float64(usual) && measured-usual >= slack
}

// unit returns what a sample's time to first byte counts in.
func (s Sample) unit() time.Duration {
	if s.Expected > 0 {
		return s.Expected
	}
	return time.Millisecond
}

// record adds an attempt that has ended to the evidence on an order, if there is one in force, and
// to the times of the old version.
func (c *Controller) record(now time.Time, o *order, u *upstream, sample Sample) {
	hash := routeHash(sample.Route)
	key := levelKey{sample.Pool, hash, sample.Expected > 0}
	known := c.levels[key]
	if known == nil {
		if len(c.levels) >= maxLevels {
			clear(c.levels)
		}
		known = &level{}
		c.levels[key] = known
	}
	sentAt := sample.SentAt
	if sentAt.IsZero() {
		sentAt = now
	}
	// A cold upstream is slow whatever its version.
	isCold := sentAt.Before(u.coldUntil)
	timed := !sample.Failed && sample.FirstByte > 0 && !isCold
	isNew := o != nil && u.software == o.Software
	if o != nil && !o.isFinal() {
		counts := tally.Counts{Ended: 1}
		if sample.Failed && !(sample.Overdue && isCold) {
			counts.Failed = 1
		}
		if timed && known.firstByte.samples >= minLevelSamples && (!isNew || c.loadIsComparable(now, o)) {
			counts.Timed = 1
			if known.firstByte.exceededBy(sample.FirstByte, sample.unit(), slowTTFB) ||
				known.pace.samples >= minLevelSamples && known.pace.exceededBy(sample.EventPace, time.Millisecond, slowPace) {
				counts.Slow = 1
			}
		}
		o.count(hash, sample.Upstream, counts, isNew)
	}
	if !isNew && timed {
		known.firstByte.add(math.Log2(float64(sample.FirstByte) / float64(sample.unit())))
		if sample.EventPace > 0 {
			known.pace.add(math.Log2(float64(sample.EventPace) / float64(time.Millisecond)))
		}
	}
}

// count adds counts to this VM's evidence.
func (o *order) count(route uint32, id version.UpstreamID, counts tally.Counts, isNew bool) {
	if _, present := o.own.Routes[route]; !present && len(o.own.Routes) >= wire.MaxRolloutRoutes-1 {
		route = 0
	}
	total := o.own.Routes[route]
	if isNew {
		total.New = total.New.Plus(counts)
		if _, present := o.own.Upstreams[id]; present || len(o.own.Upstreams) < wire.MaxRolloutUpstreams {
			o.own.Upstreams[id] = o.own.Upstreams[id].Plus(counts)
		}
	} else {
		total.Old = total.Old.Plus(counts)
	}
	o.own.Routes[route] = total
}

// comparableLoad is by how much the load of an upstream may exceed that of an old one in the canary
// while the times of both are compared: in the shift there is no old upstream at the same time.
const comparableLoad = 1.3

// loadIsComparable reports whether slow responses of the new version can be put down to the version.
// It can be overloaded in the shift, as the old one would be.
func (c *Controller) loadIsComparable(now time.Time, o *order) bool {
	if o.progress != progressShifting || o.canaryElapsed <= 0 || o.sides.news == 0 {
		return true
	}
	recent := o.history.since(now, time.Second)
	over := now.Sub(recent.at)
	if over <= 0 {
		return true
	}
	total := o.own.Requests + o.others.Requests
	rate := float64(total-min(recent.total.Requests, total)) / over.Seconds() / float64(o.sides.news)
	before := float64(o.canaryRequests) / o.canaryElapsed.Seconds() / float64(max(o.canaryOlds, 1))
	return rate <= comparableLoad*before
}

const (
	// historyStep is the time between two snapshots of the evidence, and historySteps their number.
	historyStep  = 500 * time.Millisecond
	historySteps = 9
)

// history holds snapshots of the evidence of all VMs, the oldest first.
type history struct{ snapshots []snapshot }

type snapshot struct {
	at    time.Time
	total *tally.Order
	// events counts the steps in which each upstream had bad responses. An upstream that crashes
	// breaks off all that it has at once, which says no more than one of them.
	events map[version.UpstreamID]tally.Counts
}

// next returns the snapshot of the evidence at a time.
func (h *history) next(now time.Time, total *tally.Order) snapshot {
	last := snapshot{total: tally.New()}
	if n := len(h.snapshots); n > 0 {
		last = h.snapshots[n-1]
	}
	s := snapshot{now, total, make(map[version.UpstreamID]tally.Counts, len(total.Upstreams))}
	for id, counts := range total.Upstreams {
		more := counts.Minus(last.total.Upstreams[id])
		s.events[id] = last.events[id].Plus(tally.Counts{Failed: min(more.Failed, 1), Slow: min(more.Slow, 1)})
	}
	return s
}

// add keeps a snapshot if one is due.
func (h *history) add(s snapshot) {
	if n := len(h.snapshots); n > 0 && s.at.Sub(h.snapshots[n-1].at) < historyStep {
		return
	}
	if len(h.snapshots) == historySteps {
		h.snapshots = append(h.snapshots[:0], h.snapshots[1:]...)
	}
	h.snapshots = append(h.snapshots, s)
}

// since returns the newest snapshot that is at least age old, or the oldest one. It is empty if
// there is none.
func (h *history) since(now time.Time, age time.Duration) snapshot {
	for i := len(h.snapshots) - 1; i >= 0; i-- {
		if s := h.snapshots[i]; now.Sub(s.at) >= age || i == 0 {
			return s
		}
	}
	return snapshot{at: now, total: tally.New()}
}

// total returns the evidence of all VMs.
func (o *order) total() *tally.Order {
	total := o.own.Clone()
	total.Add(o.others)
	return total
}
