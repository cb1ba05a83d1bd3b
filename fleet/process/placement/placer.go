// Package placement decides which upstream runs a request, or that none can in
// time. It predicts when an answer would begin at each upstream, from the work
// that was sent there and from the prompt parts that it keeps.
//
// A Placer does no I/O and reads no clock: time is passed in.
package placement

import (
	"math"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// othersTime is how long a VM's word on its own work is used.
const othersTime = 800 * time.Millisecond

// Options set up a Placer.
type Options struct {
	VM         version.VMID
	DataCentre version.DataCentreID
	// Regions gives the region of every data centre.
	Regions map[version.DataCentreID]version.RegionID
	// ColdOverage and ColdSlack widen the rate that a cold upstream bears from
	// all VMs together: a factor, and requests in any second.
	ColdOverage float64
	ColdSlack   float64
	// ShareWindow is the time over which accounts share; default
	// defaultShareWindow.
	ShareWindow time.Duration
}

// Placer places the requests of one VM. It is not safe for concurrent use.
type Placer struct {
	options   Options
	config    *version.Config
	upstreams map[version.UpstreamID]*upstream
	byPool    map[version.PoolID][]*upstream
	// members are the VMs that share the bounds of cold upstreams.
	members []version.VMID
	// joined is when this VM was first among them; zero while it is not. left is set once
	// it gives up its part.
	joined time.Time
	left   bool
	// departed are those that have left since, the last one at departedAt.
	departed   []version.VMID
	departedAt time.Time
	accounts   *accounts
	others     map[version.VMID]*told
	// declined holds what upstreams have said of further requests.
	declined map[version.UpstreamID]*declined
	notices  []Notice
	// sizes keeps prompts of all sizes served, by pool.
	sizes map[version.PoolID]*sizes
	// scratch is reused by each decision.
	scratch []candidate
	// turn moves the sample of engines in a large pool.
	turn int
}

// New returns a placer that knows no configuration.
func New(options Options) *Placer {
	return &Placer{
		options:   options,
		upstreams: make(map[version.UpstreamID]*upstream),
		byPool:    make(map[version.PoolID][]*upstream),
		accounts:  newAccounts(options.ShareWindow),
		others:    make(map[version.VMID]*told),
		declined:  make(map[version.UpstreamID]*declined),
		sizes:     make(map[version.PoolID]*sizes),
	}
}

// Configure takes a configuration with its upstreams. What is known of an
// upstream that stays is kept.
func (p *Placer) Configure(now time.Time, config *version.Config) {
	p.config = config
	clear(p.byPool)
	for id, u := range p.upstreams {
		if _, present := config.Upstreams[id]; !present && len(u.flights) == 0 {
			delete(p.upstreams, id)
		}
	}
	for id, described := range config.Upstreams {
		pool, known := config.Pools[described.Pool]
		if !known {
			continue
		}
		u := p.upstreams[id]
		if u == nil {
			u = newUpstream(described, pool, p.options.Regions[described.DataCentre])
			u.declined = p.declined[id]
			p.upstreams[id] = u
		}
		u.Upstream, u.pool = described, pool
		if described.ColdUntil.After(u.gate.until) {
			u.gate.until = described.ColdUntil
		}
		p.byPool[pool.ID] = append(p.byPool[pool.ID], u)
	}
	for _, pool := range p.byPool {
		sortByID(pool)
	}
	p.forgetDeclined(now)
}

// SetMembers sets the VMs that share the bounds of cold upstreams.
func (p *Placer) SetMembers(now time.Time, members []version.VMID) {
	if now.Sub(p.departedAt) >= coldWindow {
		p.departed = nil
	}
	for _, vm := range p.members {
		if !slices.Contains(members, vm) && !slices.Contains(p.departed, vm) {
			p.departed, p.departedAt = append(p.departed, vm), now
		}
	}
	p.departed = slices.DeleteFunc(p.departed, func(vm version.VMID) bool { return slices.Contains(members, vm) })
	p.members = members
	switch present := slices.Contains(members, p.options.VM); {
	case !present:
		p.joined = time.Time{}
	case p.joined.IsZero():
		p.joined = now
	}
}

// Leave gives up this VM's part of the bounds of cold upstreams, which the others take
// over once they know that it has left.
func (p *Placer) Leave() { p.left = true }

// Upstreams returns how many upstreams the placer keeps something of.
func (p *Placer) Upstreams() int { return len(p.upstreams) }

// Place grants the ticket an upstream or refuses it. It reports one of both.
func (p *Placer) Place(now time.Time, ticket request.Ticket) (request.Grant, *request.Refusal) {
	if ticket.Attempt <= 1 {
		p.accounts.ask(now, ticket.Account, cost(ticket))
	}
	best, refusal := p.choose(now, ticket)
	if refusal != nil {
		return request.Grant{}, refusal
	}
	u := best.upstream
	f := &flight{
		ticket:    ticket,
		sent:      now,
		predicted: now.Add(best.begin),
		uncached:  best.uncached,
	}
	u.take(f)
	p.noteUse(now, u)
	if u.pool.SlowStart.PerSecond > 0 {
		u.gate.count(now)
	}
	if u.cache != nil {
		u.free = later(u.free, now).Add(best.read)
		u.readTotal += uint64(best.uncached)
		if ticket.Prompt != nil {
			u.cache.read(ticket.Prompt.Parts)
		}
	}
	p.accounts.serve(now, ticket.Account, cost(ticket))
	return request.Grant{
		ID:        ticket.ID,
		Attempt:   ticket.Attempt,
		Pool:      ticket.Pool,
		Upstream:  u.ID,
		Predicted: best.begin,
		Unread:    best.uncached,
	}, nil
}

// trustedLag is how late this VM may be with its own work for what it sees of
// upstreams to tell of them.
const trustedLag = 5 * time.Millisecond

// Begun notes that the answer of a request has begun. lag is how late this VM is
// with its own work.
func (p *Placer) Begun(now time.Time, id request.ID, at version.UpstreamID, load *request.Load, lag time.Duration) {
	u := p.upstreams[at]
	if u == nil {
		return
	}
	if load != nil {
		u.report, u.reportedAt = *load, now
	}
	f := u.flights[id]
	if f == nil || f.begun {
		return
	}
	u.begin(f)
	if lag <= trustedLag {
		u.learn(now, f, p.network(u))
	}
	u.health.succeeded()
}

// End notes the end of an attempt.
func (p *Placer) End(now time.Time, finish request.Finish) {
	u := p.upstreams[finish.Upstream]
	if u == nil {
		return
	}
	f := u.flights[finish.ID]
	if f != nil {
		u.drop(f)
	}
	switch finish.Outcome {
	case request.OutcomeDone:
		u.health.succeeded()
	case request.OutcomeBroken:
		u.health.broke(now)
	case request.OutcomeUnreachable:
		p.unreachable(now, u)
	case request.OutcomeRefused:
		u.health.broke(now)
		if f != nil && u.cache != nil {
			u.free = u.free.Add(-f.predicted.Sub(f.sent))
		}
	}
	if u.unread == 0 && u.heard(now).unread == 0 {
		u.free = earlier(u.free, now)
	}
}

// unreachable ejects an upstream that took no connection. When it is back it
// may be cold, which its registration tells only later.
func (p *Placer) unreachable(now time.Time, u *upstream) {
	u.health.unreachable(now)
	if cold := u.pool.SlowStart.ColdTime; cold > 0 {
		u.gate.until = later(u.gate.until, u.health.ejected.Add(cold))
	}
}

// halve returns what is left of one after age.
func halve(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

func clamp(x, low, high float64) float64 { return min(max(x, low), high) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
