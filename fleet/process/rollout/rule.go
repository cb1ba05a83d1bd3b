package rollout

import (
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// mode is which versions run the requests of a service under an order.
type mode uint8

const (
	// modeOld sends all requests to the old version.
	modeOld mode = iota
	// modeCanary sends a share of them to the new version.
	modeCanary
	// modeNew sends all to the new version, but for streams that the old one began, and new ones as long
	// as none may begin at the new version.
	modeNew
	// modeHold sends none: the order may be done, but its version is bad.
	modeHold
	// modeDone sends all to the new version.
	modeDone
)

// holdTime is how long a VM that learns in the shift that the version is bad sends nothing if the
// order may have been done at that moment: until the write of either has an outcome.
const holdTime = 1500 * time.Millisecond

// unreadTime is how long after the order may have been done a VM that has read nothing since keeps
// away from the old upstreams: a store that answers nothing may apply the write of done meanwhile.
const unreadTime = 4 * time.Second

// mode returns which versions run the requests now.
func (c *Controller) mode(now time.Time, o *order) mode {
	switch {
	case o.progress == progressDone:
		return modeDone
	case o.progress == progressRolledBack:
		return modeOld
	case o.condemned != "":
		if o.held && now.Sub(o.condemnedAt) < holdTime || c.mayHaveBeenDone(now, o) || c.countsAsDrained(now, o) {
			return modeHold
		}
		return modeOld
	case o.isSole() && o.progress != progressShifting:
		return modeDone
	case !c.isFresh(now, freshFor) || o.sides.news == 0:
		if o.isSole() {
			return modeDone
		}
		if c.mayHaveBeenDone(now, o) || c.countsAsDrained(now, o) {
			return modeHold
		}
		return modeOld
	case o.progress == progressShifting:
		return modeNew
	case o.elapsed(now) >= o.Duration:
		return modeOld
	}
	return modeCanary
}

// Rule returns which versions may run an attempt. It is called once for each attempt, before it is
// placed.
func (c *Controller) Rule(now time.Time, ticket request.Ticket) request.SoftwareRule {
	if !c.enabled() {
		return request.SoftwareRule{}
	}
	except := c.excluded[ticket.Pool]
	o := c.orders[ticket.Pool]
	if o == nil {
		return request.SoftwareRule{Except: except}
	}
	if ticket.Attempt <= 1 {
		o.own.Requests++
	}
	withoutNew := request.SoftwareRule{Except: append(slices.Clip(except), o.Software)}
	switch c.mode(now, o) {
	case modeDone:
		return request.SoftwareRule{Except: except}
	case modeHold:
		return request.SoftwareRule{Only: o.Software, Except: []string{o.Software}}
	case modeNew:
		mayBegin := !ticket.Resumable || c.streamsMayBegin(o)
		if ticket.Software == "" && mayBegin || ticket.Software == o.Software {
			return request.SoftwareRule{Only: o.Software}
		}
		if c.keepsFromOld(now, o) {
			return request.SoftwareRule{Only: o.Software}
		}
		o.neededOldAt = now
		if c.countsAsDrained(now, o) {
			// The caller comes back, and this VM reports meanwhile that it needs the old upstreams.
			return request.SoftwareRule{Only: o.Software}
		}
		return withoutNew
	case modeCanary:
		switch {
		case ticket.Software == o.Software:
			if c.mayContinue(o) {
				return request.SoftwareRule{Only: o.Software}
			}
		case ticket.Software == "" && ticket.Attempt <= 1 && c.take(now, o):
			return request.SoftwareRule{Only: o.Software, Except: except, Among: o.activeCanaries(now)}
		}
	}
	return withoutNew
}

// Foresee returns the rule that Rule would return now, and counts nothing. It restores the whole order,
// so that it also covers what Rule comes to record.
func (c *Controller) Foresee(now time.Time, ticket request.Ticket) request.SoftwareRule {
	if o := c.orders[ticket.Pool]; o != nil {
		before, requests := *o, o.own.Requests
		defer func() { *o, before.own.Requests = before, requests }()
	}
	return c.Rule(now, ticket)
}

// SetStreamVersions sets the software versions, by pool, at which streams may begin that callers may
// take up: those in the record of versions. Without a call streams may begin at all.
func (c *Controller) SetStreamVersions(versions map[version.PoolID][]string) {
	c.streamVersions = versions
}

// streamsMayBegin reports whether streams that callers may take up may begin at the order's version.
func (c *Controller) streamsMayBegin(o *order) bool {
	return c.streamVersions == nil || slices.Contains(c.streamVersions[o.Pool], o.Software)
}

// takeUpSlack is the number of streams of the new version that a VM continues in a canary beyond
// its share.
const takeUpSlack = 2

// mayContinue reports whether a stream that the new version began may be continued there in the
// canary. The continuations of streams that a bad version breaks off, again and again, stay within
// the whole exposure share.
func (c *Controller) mayContinue(o *order) bool {
	return float64(o.own.Sent) < c.options.ExposureShare*float64(o.own.Requests)+takeUpSlack
}

// Permits reports whether an attempt may be sent to an upstream now. It is asked right before the
// first byte. If it permits, Sent follows before any other call.
func (c *Controller) Permits(now time.Time, u *version.Upstream) bool {
	if !c.enabled() {
		return true
	}
	if slices.Contains(c.excluded[u.Pool], u.Software) || c.versions[poolVersion{u.Pool, u.Software}] == nil {
		return false
	}
	if known := c.upstreams[u.ID]; known != nil && !known.isRegisteredAs(u) {
		// Another process has been registered since the attempt was placed.
		return false
	}
	o := c.orders[u.Pool]
	if o == nil {
		return true
	}
	isNew := u.Software == o.Software
	switch c.mode(now, o) {
	case modeDone:
		return true
	case modeHold:
		return false
	case modeNew:
		return isNew || !c.keepsFromOld(now, o) && !c.countsAsDrained(now, o)
	case modeCanary:
		return true
	}
	return !isNew
}

// Sent records that an attempt is sent to an upstream.
func (c *Controller) Sent(now time.Time, pool version.PoolID, route string, id version.UpstreamID) {
	u := c.upstreams[id]
	if !c.enabled() || u == nil {
		return
	}
	c.addRunning(u, 1)
	if o := c.orders[pool]; o != nil && u.software == o.Software {
		o.own.Sent++
		if len(o.budget.reserved) > 0 {
			o.budget.reserved = o.budget.reserved[1:]
		}
	}
}

// Ended records the end of an attempt that was sent.
func (c *Controller) Ended(now time.Time, sample Sample) {
	present := c.upstreams[sample.Upstream]
	if !c.enabled() || present == nil {
		return
	}
	sentAt := sample.SentAt
	if sentAt.IsZero() {
		sentAt = now
	}
	u := present.at(sentAt)
	if u.running > 0 {
		c.addRunning(u, -1)
	}
	o := c.orders[sample.Pool]
	if o != nil && sample.Unfinished && u.software != o.Software {
		o.neededOldAt = now
	}
	c.record(now, o, u, sample)
	if present.inUse() == nil && !present.registered {
		delete(c.upstreams, sample.Upstream)
	}
}

// oldRunning returns the number of attempts that this VM has at old upstreams of the order.
func (c *Controller) oldRunning(o *order) int {
	return c.running[o.Pool] - c.runningAt[poolVersion{o.Pool, o.Software}]
}

// addRunning adds to the attempts that this VM has at an upstream.
func (c *Controller) addRunning(u *upstream, change int) {
	u.running += change
	c.running[u.pool] += change
	key := poolVersion{u.pool, u.software}
	if c.runningAt[key] += change; c.runningAt[key] == 0 {
		delete(c.runningAt, key)
	}
}
