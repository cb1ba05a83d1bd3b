package rollout

import (
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version/storeera"
)

// Guards against an upstream that counts as one of its earlier version, or as warm, after it was
// registered again under its name, and against attempts at its earlier version that are forgotten.
func TestUpstreamIsRegisteredAgain(t *testing.T) {
	v1, v2 := software("u1", "v1"), software("u2", "v2")
	f := newOrdersFixture(v1, software("u2", "v1"))
	f.read(0, "v2", 5, storeera.Position{Era: 1, Revision: 5}, StateNone)
	sentAt := f.now
	f.Sent(f.now, testPool, "a", v2.ID)
	f.now = f.now.Add(time.Second)
	f.Configure(f.now, configOf(v1, v2))
	o := f.orders[testPool]
	if o.sides.news != 1 || o.sides.olds != 1 {
		t.Errorf("%d upstreams of v2 and %d others, want 1 and 1", o.sides.news, o.sides.olds)
	}
	if f.Permits(f.now, software("u2", "v1")) {
		t.Error("an attempt that was placed by the earlier registration is sent to another version")
	}
	f.Sent(f.now, testPool, "a", v2.ID)
	if n := f.oldRunning(o); n != 1 {
		t.Errorf("%d attempts at the old version, want 1", n)
	}
	f.Ended(f.now, Sample{Pool: testPool, Route: "a", Upstream: v2.ID, SentAt: sentAt, Failed: true})
	if n, total := f.oldRunning(o), o.own.Routes[routeHash("a")]; n != 0 || total.New.Failed != 0 || total.Old.Failed != 1 {
		t.Errorf("%d attempts at the old version after its end, counted as %+v", n, total)
	}
	f.Ended(f.now, Sample{Pool: testPool, Route: "a", Upstream: v2.ID, SentAt: f.now})
	if u := f.upstreams[v2.ID]; u.running != 0 || u.before != nil || f.running[testPool] != 0 {
		t.Errorf("%+v after all attempts have ended", u)
	}
	f.now = f.now.Add(time.Minute)
	again := *v2
	again.ColdUntil = f.now.Add(5 * time.Second)
	f.Configure(f.now, configOf(v1, &again))
	if !f.upstreams[v2.ID].coldUntil.After(f.now) {
		t.Error("an upstream that is cold again counts as warm")
	}
}

// Guards against a VM that gets part of its share again with each configuration after it has spent it,
// and so sends more than the pace to the canary.
func TestConfigurationDoesNotRenewTheShare(t *testing.T) {
	f := newOrdersFixture(software("u1", "v1"), software("u2", "v2"))
	f.read(0, "v2", 5, storeera.Position{Era: 1, Revision: 5}, StateNone)
	o := f.orders[testPool]
	o.own.Requests, o.budget.tokens = 1000, 1
	if !f.take(f.now, o) {
		t.Fatal("the share is spent before the first request")
	}
	f.Configure(f.now, configOf(software("u1", "v1"), software("u2", "v2")))
	if o.budget.tokens != 0 {
		t.Errorf("%g tokens after a configuration, want none", o.budget.tokens)
	}
}
