package placement

import (
	"strings"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// placedAt places a request of an account, completes it and returns its upstream, or the
// refusal.
func (f *fixture) placedAt(account version.AccountID) (version.UpstreamID, *request.Refusal) {
	grant, refusal := f.Place(f.now, f.ticket(account, 1, 100, 50))
	if refusal != nil {
		return 0, refusal
	}
	f.RecordOutcome(f.now, request.Finish{ID: grant.ID, Upstream: grant.Upstream, Outcome: request.OutcomeDone})
	return grant.Upstream, nil
}

// An upstream that has sent drain advice is deregistered and registered again as the same
// incarnation. Guards against an outdated registration that overrides the advice.
func TestDrainAdviceOutlivesRegistration(t *testing.T) {
	f := newFixture(2, nil)
	drained, _ := f.placedAt(1)
	f.RecordAdvice(f.now, drained, f.now, request.Advice{Leaving: true})
	config, without := f.config, *f.config
	without.Upstreams = map[version.UpstreamID]*version.Upstream{}
	for id, u := range config.Upstreams {
		if id != drained {
			without.Upstreams[id] = u
		}
	}
	for range 5 {
		f.Configure(f.now, &without)
		f.now = f.now.Add(3 * time.Second)
		f.Configure(f.now, config)
		if at, refusal := f.placedAt(1); at == drained || refusal != nil {
			t.Fatalf("placed at %v (drained upstream: %v), refusal %v", at, drained, refusal)
		}
		if !f.UpstreamDeclines(f.now, drained) {
			t.Error("the drained upstream is not reported as declining, so an earlier grant would still be sent")
		}
	}
}

// Guards against avoiding the next incarnation of an upstream whose predecessor has sent drain
// advice.
func TestNewIncarnationOfDrainedUpstreamIsUsed(t *testing.T) {
	f := newFixture(1, nil)
	drained, _ := f.placedAt(1)
	f.RecordAdvice(f.now, drained, f.now, request.Advice{Leaving: true})
	next := *f.config
	restarted := *f.config.Upstreams[drained]
	restarted.ID = version.NewUpstreamID("engine-0/reborn")
	next.Upstreams = map[version.UpstreamID]*version.Upstream{restarted.ID: &restarted}
	f.Configure(f.now, &next)
	if at, refusal := f.placedAt(1); at != restarted.ID {
		t.Errorf("placed at %v and not at the new incarnation, refusal %v", at, refusal)
	}
}

// An upstream at capacity asks for pauses again and again while requests keep arriving. Guards
// against first or further attempts during a pause, and against a shorter pause that ends a
// longer one.
func TestNoRequestIsPlacedDuringPause(t *testing.T) {
	f := newFixture(3, nil)
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
			f.RecordAdvice(f.now, p.id, f.now, request.Advice{Pause: pause})
			p.until = later(p.until, f.now.Add(pause))
		}
		ticket := f.ticket(1, 1, 100, 50)
		ticket.Attempt = request.Attempt(1 + step%2)
		grant, refusal := f.Place(f.now, ticket)
		if refusal != nil {
			continue
		}
		f.RecordFirstByte(f.now, grant.ID, grant.Upstream, true, 0)
		f.RecordOutcome(f.now, request.Finish{ID: grant.ID, Upstream: grant.Upstream, Outcome: request.OutcomeDone})
		for _, p := range paused {
			if grant.Upstream == p.id && f.now.Before(p.until) {
				t.Fatalf("request placed %v before the end of a pause", p.until.Sub(f.now))
			}
		}
	}
}

// All upstreams of a pool ask for a pause. Guards against a Retry-After that is not when the
// first pause ends, and against all callers coming back at the same moment.
func TestRetryAfterIsWhenFirstPauseEnds(t *testing.T) {
	f := newFixture(3, nil)
	shortest := 700 * time.Millisecond
	pause := shortest
	for id := range f.config.Upstreams {
		f.RecordAdvice(f.now, id, f.now, request.Advice{Pause: pause})
		pause += time.Second
	}
	seen := make(map[time.Duration]bool)
	for range 16 {
		_, refusal := f.placedAt(1)
		if refusal == nil {
			t.Fatal("request placed while all upstreams are paused")
		}
		seen[refusal.RetryAfter] = true
		if refusal.Execution != request.NotExecuted || refusal.RetryAfter < shortest || refusal.RetryAfter > shortest+retrySpreadSteps*retrySpreadStep {
			t.Errorf("refused with execution %s and Retry-After %v", refusal.Execution, refusal.RetryAfter)
		}
	}
	if len(seen) < 4 {
		t.Errorf("only %d different Retry-After values for 16 callers", len(seen))
	}
	f.now = f.now.Add(shortest)
	if _, refusal := f.placedAt(1); refusal != nil {
		t.Errorf("refused after the first pause: %v", refusal)
	}
}

// One upstream asks for a long pause and the others name limits. Guards against callers that are told to
// stay away until the pause ends although the others take requests again before, or the reverse.
func TestRetryAfterIsTheEarlierOfPauseAndLimit(t *testing.T) {
	for _, c := range []struct {
		pause, earliest, latest time.Duration
		reason                  request.Reason
		detail                  string
	}{
		{30 * time.Second, minRetryAfter, maxRetryAfter, request.ReasonQueueFull, "gets as many requests as it has named"},
		{300 * time.Millisecond, 300 * time.Millisecond, 300 * time.Millisecond, request.ReasonUpstreamRefused, "has asked for a pause"},
	} {
		f := newFixture(3, nil)
		pool := f.upstreamsByPool[f.pool]
		f.RecordAdvice(f.now, pool[0].ID, f.now, request.Advice{Pause: c.pause})
		for _, u := range pool[1:] {
			f.RecordAdvice(f.now, u.ID, f.now, request.Advice{Limit: request.RateLimit{State: request.LimitNamed, PerSecond: 1}})
		}
		var refusal *request.Refusal
		for n := 0; n < 100 && refusal == nil; n++ {
			_, refusal = f.placedAt(1)
		}
		if refusal == nil {
			t.Fatal("100 requests placed at two upstreams that take 1 a second")
		}
		if refusal.Reason != c.reason || !strings.Contains(refusal.Detail, c.detail) ||
			refusal.RetryAfter < c.earliest || refusal.RetryAfter > c.latest+retrySpreadSteps*retrySpreadStep {
			t.Errorf("pause of %v: refused for %s (%s), Retry-After %v", c.pause, refusal.Reason, refusal.Detail, refusal.RetryAfter)
		}
	}
}

// Half of a pool asks for a pause under full load. Guards against sending the other half the
// load that the whole pool could serve.
func TestPausedUpstreamsDoNotOverloadTheRest(t *testing.T) {
	f := newFixture(6, nil)
	seen := 0
	for id := range f.config.Upstreams {
		if seen++; seen <= 3 {
			f.RecordAdvice(f.now, id, f.now, request.Advice{Pause: 2 * time.Second})
		}
	}
	placed := 0
	for i := range 400 {
		if _, refusal := f.Place(f.now, f.ticket(version.AccountID(i%5), uint64(i), 3000, 3000)); refusal == nil {
			placed++
		}
	}
	// The prompts that three engines prefill within the objective, plus one prompt each.
	capacity := 3 * (prefillRateFactor*testTokensPerSecond*testObjective.Seconds()/6000 + 1)
	if float64(placed) > capacity {
		t.Errorf("%d prompts were sent to three engines, which can prefill %.0f in time", placed, capacity)
	}
}

// Guards against a log line on the end of a pause with the age of a later answer, which gave no
// advice.
func TestEndOfAPauseIsReportedWithItsAge(t *testing.T) {
	f := newFixture(1, nil)
	paused, _ := f.placedAt(1)
	f.RecordAdvice(f.now, paused, f.now, request.Advice{Pause: time.Second})
	f.now = f.now.Add(900 * time.Millisecond)
	f.RecordAdvice(f.now, paused, f.now, request.Advice{Limit: request.RateLimit{State: request.LimitNone}})
	f.now = f.now.Add(200 * time.Millisecond)
	f.Notices()
	if _, refusal := f.placedAt(1); refusal != nil {
		t.Fatal(refusal)
	}
	if notices := f.Notices(); len(notices) != 1 || notices[0].Age != 1100*time.Millisecond {
		t.Errorf("%+v, want the end of a pause of 1.1 s ago", notices)
	}
}
