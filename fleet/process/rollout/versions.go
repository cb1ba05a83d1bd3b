package rollout

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// versionMemory is how long a version is remembered after its last upstream has gone, so that a
// version which was rolled back stays excluded while its registrations come and go.
const versionMemory = time.Minute

const (
	// retireWindow is how long after an order was first known to be done the versions that appear
	// still count as those that it replaced: a process that starts learns both at about once.
	retireWindow = 3 * time.Second
	// retireTime is how long the replaced versions get nothing even if the new one has no upstream.
	// After it they serve rather than nobody: an operator has gone back without an order.
	retireTime = 30 * time.Second
	// defaultColdTime is how long an upstream that registers as cold counts as slow if its pool
	// does not say how long it is cold.
	defaultColdTime = 4 * time.Second
)

// poolVersion is a software version of a pool.
type poolVersion struct {
	pool     version.PoolID
	software string
}

// versionState is what is known of a software version.
type versionState struct {
	// seenAt is when its first upstream was registered; zero if it has none now. goneAt is when
	// its last one had gone.
	seenAt, goneAt time.Time
	// confirmed is set once a read sent after seenAt has shown the orders.
	confirmed bool
	// blocked is set once an order for it has ended other than done; another order resets it.
	blocked bool
	// retired is set once the order that replaces the version is done; an order for the version
	// resets it.
	retired bool
}

// upstream is what is known of an upstream.
type upstream struct {
	name     string
	pool     version.PoolID
	software string
	instance string
	// expectsCold is until when the registration says that it is cold, and coldUntil the upstream is warm, by the clock of the controller.
	expectsCold, coldUntil time.Time
	// since is when it was registered with this pool, software version and instance. before is what it
	// was until then, while attempts are in flight that were sent before; nil if there are none.
	since      time.Time
	before     *upstream
	registered bool
	// inService is set if the upstream may get requests.
	inService bool
	// running is the number of attempts that this VM has at the upstream.
	running int
}

// Configure applies a configuration with its upstreams. It has to be called before requests are
// placed by the configuration: no upstream is permitted that the controller does not know.
func (c *Controller) Configure(now time.Time, config *version.Config) {
	if !c.enabled() {
		return
	}
	for _, u := range c.upstreams {
		u.registered, u.inService = false, false
	}
	present := make(map[poolVersion]bool)
	for id, spec := range config.Upstreams {
		u := c.upstreams[id]
		if u == nil || !u.isRegisteredAs(spec) {
			u = &upstream{
				name: spec.Name, pool: spec.Pool, software: spec.Software, instance: spec.Instance, since: now, before: u.inUse(),
				coldUntil: now.Add(c.coldTime(config.Pools[spec.Pool], spec)),
			}
			c.upstreams[id] = u
		} else if spec.ColdUntil.After(u.expectsCold) {
			u.coldUntil = now.Add(c.coldTime(config.Pools[spec.Pool], spec))
		}
		u.expectsCold = spec.ColdUntil
		u.registered, u.inService = true, !spec.Draining && !config.UpstreamOut(spec)
		present[poolVersion{spec.Pool, spec.Software}] = true
	}
	for id, u := range c.upstreams {
		if !u.registered && u.inUse() == nil {
			delete(c.upstreams, id)
		}
	}
	for key := range present {
		state := c.versions[key]
		if state == nil {
			state = &versionState{}
			c.versions[key] = state
		}
		if state.seenAt.IsZero() {
			state.seenAt, state.confirmed = now, key.software == ""
		}
	}
	for key, state := range c.versions {
		switch {
		case present[key]:
		case !state.seenAt.IsZero():
			state.seenAt, state.goneAt = time.Time{}, now
		case now.Sub(state.goneAt) > versionMemory:
			delete(c.versions, key)
		}
	}
	for id, pool := range config.Pools {
		c.limitsCold[id] = pool.SlowStart.RequestsPerSecond > 0
	}
	clear(c.routeNames)
	for _, route := range config.Routes.All() {
		c.routeNames[routeHash(route.Name)] = route.Name
	}
	c.configured = true
	for _, o := range c.orders {
		c.updateSides(now, o)
	}
	c.updateExcluded(now)
}

// isRegisteredAs reports whether a registration is of the same process at the upstream's address.
func (u *upstream) isRegisteredAs(spec *version.Upstream) bool {
	return u.pool == spec.Pool && u.software == spec.Software && u.instance == spec.Instance
}

// inUse returns the upstream, without what it was before if nothing is in flight there; nil if nothing
// is in flight at all.
func (u *upstream) inUse() *upstream {
	if u == nil {
		return nil
	}
	u.before = u.before.inUse()
	if u.running == 0 {
		return u.before
	}
	return u
}

// at returns what the upstream was when an attempt was sent that has not ended.
func (u *upstream) at(sentAt time.Time) *upstream {
	for u.before != nil && (sentAt.Before(u.since) || u.running == 0) {
		u = u.before
	}
	return u
}

// coldTime returns how long an upstream that has just been registered is cold. The time at which it
// expects to be warm is not used, which is by another clock.
func (c *Controller) coldTime(pool *version.Pool, spec *version.Upstream) time.Duration {
	switch {
	case spec.ColdUntil.IsZero() && !c.configured, pool == nil:
		return 0
	case !spec.ColdUntil.IsZero() && pool.SlowStart.ColdTime == 0:
		return defaultColdTime
	}
	return pool.SlowStart.ColdTime
}

// routeHash returns the hash that stands for a route in reports; it is not 0.
func routeHash(name string) uint32 { return max(uint32(xxhash.Sum64String(name)), 1) }

// updateExcluded updates the versions that get no request whatever an order says: those that an
// order has ended or replaced, and those that may be named by an order which this VM has not read
// yet.
func (c *Controller) updateExcluded(now time.Time) {
	clear(c.excluded)
	// present counts the versions that are registered, and lasting those of them that were not
	// replaced or rolled back.
	present, lasting := make(map[version.PoolID]int), make(map[version.PoolID]int)
	for key, state := range c.versions {
		o := c.orders[key.pool]
		if o != nil && o.progress == progressDone && o.Software != key.software &&
			!state.seenAt.IsZero() && !state.seenAt.After(o.finalAt.Add(retireWindow)) {
			state.retired = true
		}
		if !state.seenAt.IsZero() {
			present[key.pool]++
			if !state.retired && !state.blocked {
				lasting[key.pool]++
			}
		}
	}
	for key, state := range c.versions {
		o := c.orders[key.pool]
		if o != nil && o.Software == key.software {
			continue
		}
		// The only version of a service is the one that served it before.
		unread := !state.confirmed && present[key.pool] > 1
		replaced := state.retired && (lasting[key.pool] > 0 || o != nil && now.Sub(o.finalAt) < retireTime)
		if unread || state.blocked || replaced {
			c.excluded[key.pool] = append(c.excluded[key.pool], key.software)
		}
	}
	for _, list := range c.excluded {
		slices.Sort(list)
	}
}

// confirmVersions records that a read sent at readAt has shown the orders.
func (c *Controller) confirmVersions(readAt time.Time) {
	for _, state := range c.versions {
		if !state.seenAt.IsZero() && !readAt.Before(state.seenAt) {
			state.confirmed = true
		}
	}
}
