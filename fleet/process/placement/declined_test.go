package placement

import (
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// placedAt returns where a request of an account goes, or the refusal.
func (f *fleet) placedAt(account version.AccountID) (version.UpstreamID, *request.Refusal) {
	grant, refusal := f.Place(f.now, f.ticket(account, 1, 100, 50))
	if refusal != nil {
		return 0, refusal
	}
	f.End(f.now, request.Finish{ID: grant.ID, Upstream: grant.Upstream, Outcome: request.OutcomeDone})
	return grant.Upstream, nil
}

// Guards against a registration from before that overrides what an upstream itself has
// said: it is listed, goes and comes back under the same life.
func TestAnUpstreamsWordOutlivesItsRegistration(t *testing.T) {
	f := newFleet(2, nil)
	left, _ := f.placedAt(1)
	f.Advise(f.now, left, request.Advice{Leaving: true})
	config, without := f.config, *f.config
	without.Upstreams = map[version.UpstreamID]*version.Upstream{}
	for id, u := range config.Upstreams {
		if id != left {
			without.Upstreams[id] = u
		}
	}
	for range 5 {
		f.Configure(f.now, &without)
		f.now = f.now.Add(3 * time.Second)
		f.Configure(f.now, config)
		if at, refusal := f.placedAt(1); at == left || refusal != nil {
			t.Fatalf("placed at %v (left: %v), refusal %v", at, left, refusal)
		}
		if !f.Declines(f.now, left) {
			t.Error("a grant that was given before would still be sent")
		}
	}
}

// Guards against leaving alone the next process under a name that has left.
func TestANewLifeOfAnUpstreamIsUsed(t *testing.T) {
	f := newFleet(1, nil)
	left, _ := f.placedAt(1)
	f.Advise(f.now, left, request.Advice{Leaving: true})
	next := *f.config
	reborn := *f.config.Upstreams[left]
	reborn.ID = version.NewUpstreamID("engine-0/reborn")
	next.Upstreams = map[version.UpstreamID]*version.Upstream{reborn.ID: &reborn}
	f.Configure(f.now, &next)
	if at, refusal := f.placedAt(1); at != reborn.ID {
		t.Errorf("placed at %v, refusal %v", at, refusal)
	}
}

// Load: an upstream is full and asks for pauses again and again while callers keep
// coming. Guards against requests in the midst of one, by first and by further attempts,
// and against a shorter pause that ends a longer one.
func TestNothingIsPlacedDuringAPause(t *testing.T) {
	f := newFleet(3, nil)
	var paused [3]struct {
		id    version.UpstreamID
		until time.Time
	}
	i := 0
	for id := range f.config.Upstreams {
		paused[i].id = id
		i++
	}
	for step := range 4000 {
		f.now = f.now.Add(5 * time.Millisecond)
		if step%50 == 0 {
			p := &paused[step/50%3]
			pause := time.Duration(step%7) * 100 * time.Millisecond
			f.Advise(f.now, p.id, request.Advice{Pause: pause})
			p.until = later(p.until, f.now.Add(pause))
		}
		ticket := f.ticket(1, 1, 100, 50)
		ticket.Attempt = request.Attempt(1 + step%2)
		grant, refusal := f.Place(f.now, ticket)
		if refusal != nil {
			continue
		}
		f.Begun(f.now, grant.ID, grant.Upstream, nil, 0)
		f.End(f.now, request.Finish{ID: grant.ID, Upstream: grant.Upstream, Outcome: request.OutcomeDone})
		for _, p := range paused {
			if grant.Upstream == p.id && f.now.Before(p.until) {
				t.Fatalf("placed %v before the end of a pause", p.until.Sub(f.now))
			}
		}
	}
}

// Load: all upstreams of a pool ask for a pause. Callers are told when the first one ends
// and do not all come back in the same moment.
func TestCallersAreToldWhenTheFirstPauseEnds(t *testing.T) {
	f := newFleet(3, nil)
	shortest := 700 * time.Millisecond
	pause := shortest
	for id := range f.config.Upstreams {
		f.Advise(f.now, id, request.Advice{Pause: pause})
		pause += time.Second
	}
	seen := make(map[time.Duration]bool)
	for range 16 {
		_, refusal := f.placedAt(1)
		if refusal == nil {
			t.Fatal("placed during the pauses of all")
		}
		seen[refusal.RetryAfter] = true
		if refusal.Execution != request.NotRun || refusal.RetryAfter < shortest || refusal.RetryAfter > shortest+returnSteps*returnStep {
			t.Errorf("refused %s, to come back after %v", refusal.Execution, refusal.RetryAfter)
		}
	}
	if len(seen) < 4 {
		t.Errorf("callers come back at %d moments only", len(seen))
	}
	f.now = f.now.Add(shortest)
	if _, refusal := f.placedAt(1); refusal != nil {
		t.Errorf("refused after the first pause: %v", refusal)
	}
}

// Load: half of a pool asks for a pause under full load. Guards against sending the
// others what all together could bear.
func TestAPausedHalfDoesNotOverloadTheRest(t *testing.T) {
	f := newFleet(6, nil)
	half := 0
	for id := range f.config.Upstreams {
		if half++; half <= 3 {
			f.Advise(f.now, id, request.Advice{Pause: 2 * time.Second})
		}
	}
	placed := 0
	for i := range 400 {
		if _, refusal := f.Place(f.now, f.ticket(version.AccountID(i%5), uint64(i), 3000, 3000)); refusal == nil {
			placed++
		}
	}
	// What three engines read within the objective, and one prompt each on top.
	read := 3 * (readShare*testTokensPerSecond*testObjective.Seconds()/6000 + 1)
	if float64(placed) > read {
		t.Errorf("%d prompts were sent to three engines, which read %.0f in time", placed, read)
	}
}
