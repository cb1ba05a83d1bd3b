package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// candidate is an upstream that could run a request.
type candidate struct {
	*upstream
	// begin is the predicted time until the answer begins here.
	begin time.Duration
	// wait is the part of it in which the engine reads what came before, and read that in
	// which it reads the prompt.
	wait time.Duration
	read time.Duration
	// least is begin at an engine that keeps the shared parts and at which nothing waits.
	least    time.Duration
	uncached int
	// score is begin with penalties; the lowest is chosen.
	score time.Duration
	// full is set if the upstream has no room for the request.
	full bool
	// home is set at the first home of the prompt's shared parts.
	home bool
	// keptShare is the part of the prompt's shared parts that the engine keeps,
	// 0 to 1; 1 at the home, which is where they are read first.
	keptShare float64
	// limit is the latest beginning with which the request is admitted here.
	limit time.Duration
}

// choose returns the best upstream for a ticket.
func (p *Placer) choose(now time.Time, ticket request.Ticket) (candidate, *request.Refusal) {
	if p.config == nil {
		return candidate{}, &request.Refusal{Reason: request.ReasonNotReady, Execution: request.NotRun}
	}
	candidates := p.candidates(now, ticket)
	if len(candidates) == 0 {
		candidates = p.suspects(now, ticket)
	}
	if len(candidates) == 0 {
		return candidate{}, p.nobody(now, ticket)
	}
	had := p.accounts.standing(now, ticket.Account)
	sizes, long, slack := p.sizesOf(ticket.Pool), p.isLong(candidates[0].pool, ticket), 0.0
	if long {
		slack = sizes.slack
	}
	for i := range candidates {
		candidates[i].limit = beginLimit(ticket, candidates[i], had, slack)
	}
	best := slices.MinFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.score, b.score))
	})
	refusal := p.admit(ticket, best, had.used)
	if ticket.Attempt <= 1 && had.used <= 1 {
		sizes.note(long, refusal == nil)
	}
	if refusal != nil {
		return candidate{}, refusal
	}
	return best, nil
}

// rank orders candidates before their score does: those that begin in time, then
// those that begin late, then those without room.
func (c candidate) rank() int {
	switch {
	case c.full:
		return 2
	case c.begin > c.limit:
		return 1
	}
	return 0
}

// nobody is the refusal where no upstream may run the ticket.
func (p *Placer) nobody(now time.Time, ticket request.Ticket) *request.Refusal {
	if after, paused := p.pauseEnds(now, ticket); paused {
		return &request.Refusal{
			Reason: request.ReasonUpstreamRefused, Execution: request.NotRun, RetryAfter: after,
			Detail: "every upstream has asked for a pause",
		}
	}
	return &request.Refusal{
		Reason: request.ReasonNoUpstream, Execution: request.NotRun, RetryAfter: noUpstreamRetryAfter,
	}
}

// noUpstreamRetryAfter is when to come back if no upstream may be used.
const noUpstreamRetryAfter = 500 * time.Millisecond

// candidates returns the upstreams that may run the ticket.
func (p *Placer) candidates(now time.Time, ticket request.Ticket) []candidate {
	pool := p.byPool[ticket.Pool]
	homes := p.homes(ticket)
	list := p.scratch[:0]
	defer func() { p.scratch = list }()
	if len(pool) <= sampled {
		return p.assessAll(now, list, pool, ticket, homes[0])
	}
	for _, u := range homes {
		if u != nil && p.usable(now, u, ticket) {
			list = append(list, p.assess(now, u, ticket, u == homes[0]))
		}
	}
	for range sampled {
		p.turn = (p.turn + sampleStep) % len(pool)
		if u := pool[p.turn]; !slices.Contains(homes[:], u) && p.usable(now, u, ticket) {
			list = append(list, p.assess(now, u, ticket, false))
		}
	}
	if len(list) == 0 {
		return p.assessAll(now, list, pool, ticket, homes[0])
	}
	return list
}

const (
	// sampled is how many upstreams of a large pool are looked at beside the
	// homes. All VMs see much the same loads; a sample keeps them from all
	// choosing the same upstream.
	sampled = 16
	// sampleStep walks through the pool in another order than its own. It is a
	// prime.
	sampleStep = 29
)

func (p *Placer) assessAll(now time.Time, list []candidate, pool []*upstream, ticket request.Ticket, home *upstream) []candidate {
	for _, u := range pool {
		if p.usable(now, u, ticket) {
			list = append(list, p.assess(now, u, ticket, u == home))
		}
	}
	return list
}

// suspects returns the upstreams that may run the ticket but for what this VM
// itself suspects of them. If that is all there is, the suspicion is more likely
// wrong than every upstream down.
func (p *Placer) suspects(now time.Time, ticket request.Ticket) []candidate {
	var list []candidate
	for _, u := range p.byPool[ticket.Pool] {
		if p.permitted(now, u, ticket) && u.health.ok(now) {
			list = append(list, p.assess(now, u, ticket, false))
		}
	}
	return list
}

// usable reports whether an upstream may run the ticket.
func (p *Placer) usable(now time.Time, u *upstream, ticket request.Ticket) bool {
	return p.permitted(now, u, ticket) && u.health.ok(now) && !u.silent(now)
}

// permitted reports whether others than this VM have nothing against an upstream, the
// upstream itself among them.
func (p *Placer) permitted(now time.Time, u *upstream, ticket request.Ticket) bool {
	if !p.allowed(u, ticket) || u.declined.now(now) {
		return false
	}
	return !u.gate.cold(now) || u.gate.allows(now, p.coldLimit(now, u))
}

// allowed reports whether the configuration and the ticket allow an upstream.
func (p *Placer) allowed(u *upstream, ticket request.Ticket) bool {
	switch {
	case u.Draining, p.config.UpstreamOut(u.Upstream):
		return false
	case ticket.Avoid == u.ID, slices.Contains(ticket.Avoided, u.ID):
		return false
	case ticket.Regions != nil && !slices.Contains(ticket.Regions, u.region):
		return false
	}
	return true
}

func (p *Placer) region() version.RegionID { return p.options.Regions[p.options.DataCentre] }

func sortByID(list []*upstream) {
	slices.SortFunc(list, func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
}
