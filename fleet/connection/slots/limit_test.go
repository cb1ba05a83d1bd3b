package slots

import (
	"slices"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/ratelimit"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Guards against an upstream that gets more than the rate that it names: from the dispatcher of
// its pool, from two that each consider themselves the only one, or from one that has just taken
// over. Requests end at once, so slots are always free.
func TestDispatchersTogetherStayWithinNamedLimit(t *testing.T) {
	const perSecond = 8
	vms := []version.VMID{"vm-0", "vm-1", "vm-2", "vm-3"}
	newDispatcher := func(registered ...version.VMID) (*Table, time.Time) {
		table, now := newTable(upstreamOf(40, 40), vms...)
		var members []Member
		for _, vm := range vms {
			present := slices.Contains(registered, vm)
			members = append(members, Member{VM: vm, Live: true, Lapsed: !present})
			if !present {
				table.Leave(now, vm, false)
			}
		}
		table.SetMembers(now, members)
		return table, now
	}
	one, now := newDispatcher(vms[:3]...)
	two, _ := newDispatcher(vms[3:]...)
	var sent []time.Time
	id, granted := 0, map[*Table]int{}
	for range 1500 {
		now = now.Add(10 * time.Millisecond)
		for _, table := range []*Table{one, two} {
			table.Tick(now)
			table.ObserveLimit(now, upstreamID, 0, request.RateLimit{State: request.LimitNamed, PerSecond: perSecond})
			for range 4 {
				id++
				if serve(table, now, id, done(time.Millisecond)) {
					sent = append(sent, now)
					granted[table]++
				}
			}
		}
		if now.Sub(epoch) == 9*time.Second {
			// Another dispatcher takes over from the first one.
			one, _ = newDispatcher(vms[:3]...)
			one.startedAt = now
		}
	}
	const allowed = 1.5*perSecond*4 + 5
	for i, from := range sent {
		count := 0
		for _, at := range sent[i:] {
			if at.Sub(from) < ratelimit.Window {
				count++
			}
		}
		if float64(count) > allowed {
			t.Fatalf("%d requests in 4 s, allowed %v", count, allowed)
		}
	}
	if used := float64(len(sent)) / 15; used < 0.6*perSecond {
		t.Errorf("%.1f requests a second are granted, the limit is %d", used, perSecond)
	}
	if granted[two] == 0 {
		t.Error("the second dispatcher granted nothing")
	}
}

// Guards against a limit that outlives its end, or an end that a late answer reverts.
func TestNamedLimitEnds(t *testing.T) {
	table, now := newTable(upstreamOf(40, 40), "vm-0")
	now = now.Add(ratelimit.Window)
	observe := func(age time.Duration, limit request.RateLimit) { table.ObserveLimit(now, upstreamID, age, limit) }
	count := func() int {
		granted := 0
		for id := range 20 {
			if serve(table, now, id, done(time.Millisecond)) {
				granted++
			}
		}
		return granted
	}
	observe(0, request.RateLimit{State: request.LimitNamed, PerSecond: 1})
	if granted := count(); granted != 4 {
		t.Errorf("%d requests at a limit of one a second, want 4", granted)
	}
	observe(0, request.RateLimit{State: request.LimitNone})
	observe(time.Second, request.RateLimit{State: request.LimitNamed, PerSecond: 1})
	if granted := count(); granted != 20 {
		t.Errorf("%d requests after the limit ended, want all 20", granted)
	}
}
