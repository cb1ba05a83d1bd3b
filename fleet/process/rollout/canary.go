package rollout

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// shareUsed is the part of the exposure share that requests of the canary use. The rest is for
	// what reaches the version before a verdict does in the shift.
	shareUsed = 0.8
	// minCanaries is the number of upstreams that take part in a canary at least, one after the
	// other if all would get too little load at a time: faults of one upstream must be told from
	// those of the version.
	minCanaries = 3
	// maxCanaries bounds the upstreams of a canary, for the size of reports.
	maxCanaries = 64
	// canarySlice is how long the same upstreams of a small canary get its requests.
	canarySlice = 500 * time.Millisecond
	// catchUp is how much more than its share of the requests that come a VM sends to the canary while
	// it has sent less before, as when the upstreams start after the order: the canaries are not to
	// get in a moment what was meant for seconds.
	catchUp = 1.2
	// reservationTime is how long after the choice of the version an attempt is sent at the latest.
	// A reservation that is older is taken back: the attempt went elsewhere.
	reservationTime = time.Second
	// maxReservations bounds the reservations kept.
	maxReservations = 256
)

// sides are the upstreams of a pool on both sides of an order.
type sides struct {
	// news and olds are the numbers of upstreams in service.
	news, olds int
	// canaries are the upstreams that take part in the canary, in the order in which all VMs rank
	// them; active is how many of them get requests at a time.
	canaries []version.UpstreamID
	active   int
	// warmAt is when the last canary is warm, and readyAt when as many upstreams of the version as
	// serve the old one are, if the pool limits the requests to cold ones.
	warmAt, readyAt time.Time
}

// updateSides determines the upstreams of both versions and the canaries. All VMs choose the same
// ones by rendezvous hashing, so that these have the load that faults under load need.
func (c *Controller) updateSides(now time.Time, o *order) {
	s := sides{}
	type ranked struct {
		id   version.UpstreamID
		rank uint64
	}
	var news []ranked
	var warm []time.Time
	key := o.key()
	for id, u := range c.upstreams {
		switch {
		case u.pool != o.Pool || !u.inService:
		case u.software == o.Software:
			news = append(news, ranked{id, canaryRank(key, u.name)})
			warm = append(warm, u.coldUntil)
		default:
			s.olds++
		}
	}
	s.news = len(news)
	if c.limitsCold[o.Pool] && s.news > 0 {
		slices.SortFunc(warm, time.Time.Compare)
		s.readyAt = warm[max(min(s.news, s.olds)-1, 0)]
	}
	slices.SortFunc(news, func(a, b ranked) int {
		if a.rank < b.rank {
			return -1
		}
		return 1
	})
	s.active = int(math.Round(shareUsed * c.options.ExposureShare * float64(s.olds)))
	s.active = min(max(s.active, 1), s.news, maxCanaries)
	for _, r := range news[:min(max(s.active, minCanaries), s.news)] {
		s.canaries = append(s.canaries, r.id)
		if until := c.upstreams[r.id].coldUntil; until.After(s.warmAt) {
			s.warmAt = until
		}
	}
	o.sides = s
	if !o.sidesKnown && s.news+s.olds > 0 {
		o.sidesKnown, o.sole = true, s.olds == 0
	}
	if !o.budget.begun {
		o.budget.begun, o.budget.tokens = true, c.rounding(o)
	}
	switch {
	case s.news > 0:
		o.lackingSince = time.Time{}
	case o.lackingSince.IsZero():
		o.lackingSince = now
	}
}

// isSole reports whether the version of the order is the one that served already.
func (o *order) isSole() bool { return o.sole && o.sides.olds == 0 }

// canaryRank returns the rank of an upstream among the canaries of an order.
func canaryRank(key uint64, name string) uint64 {
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], key)
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(number[:])
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// activeCanaries returns the upstreams that get the requests of the canary now.
func (o *order) activeCanaries(now time.Time) []version.UpstreamID {
	s := &o.sides
	if s.active >= len(s.canaries) {
		return s.canaries
	}
	first := int(o.elapsed(now)/canarySlice) * s.active
	active := make([]version.UpstreamID, 0, s.active)
	for i := range s.active {
		active = append(active, s.canaries[(first+i)%len(s.canaries)])
	}
	return active
}

// budget bounds the requests that a VM sends to the canary by its own share of the requests.
type budget struct {
	// begun is set once tokens has its first value.
	begun bool
	// tokens is what the present pace allows, 1 at most.
	tokens float64
	// reserved are the times of the choices for the new version that were not sent yet.
	reserved []time.Time
}

// take reserves a request for the canary. It reports false if the VM has used up its share.
//
// The bound of each VM is rounded at another count, by hashing, so that the bounds of hundreds of
// VMs with few requests each add up to the share of all requests.
func (c *Controller) take(now time.Time, o *order) bool {
	o.budget.tokens = min(o.budget.tokens+catchUp*shareUsed*c.options.ExposureShare, 1)
	for len(o.budget.reserved) > 0 && now.Sub(o.budget.reserved[0]) > reservationTime {
		o.budget.reserved = o.budget.reserved[1:]
	}
	spent := float64(o.own.Sent) + float64(len(o.budget.reserved))
	allowed := shareUsed*c.options.ExposureShare*float64(o.own.Requests) + c.rounding(o)
	if o.budget.tokens < 1 || spent+1 > allowed || len(o.budget.reserved) >= maxReservations {
		return false
	}
	o.budget.tokens--
	o.budget.reserved = append(o.budget.reserved, now)
	return true
}

// rounding returns a number from 0 to 1, evenly distributed over the VMs.
func (c *Controller) rounding(o *order) float64 {
	return float64(canaryRank(o.key(), string(c.options.VM))>>11) / (1 << 53)
}
