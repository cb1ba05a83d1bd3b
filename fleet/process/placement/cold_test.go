package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Cold engine: all VMs together stay within what it bears in any second.
func TestVMsTogetherStayWithinAColdLimit(t *testing.T) {
	const perSecond, overage, slack = 22.0, 1.5, 5.0
	for _, vms := range []int{1, 6, 7, 69} {
		var members []version.VMID
		for i := range vms {
			members = append(members, version.VMID("vm-"+string(rune('A'+i))))
		}
		var sent []time.Time
		var placers []*fleet
		for _, vm := range members {
			f := newFleet(1, func(pool *version.Pool, upstreams map[version.UpstreamID]*version.Upstream) {
				pool.SlowStart = version.SlowStart{ColdTime: 3 * time.Second, PerSecond: perSecond}
				for _, upstream := range upstreams {
					upstream.ColdUntil = time.Unix(1010, 0)
				}
			})
			f.options.VM = vm
			f.SetMembers(f.now.Add(-joinTime), nil)
			f.SetMembers(f.now.Add(-joinTime), members)
			placers = append(placers, f)
		}
		for step := range 300 {
			now := time.Unix(1000, 0).Add(time.Duration(step) * 10 * time.Millisecond)
			for _, f := range placers {
				if grant, refusal := f.Place(now, f.ticket(1, 1, 0, 10)); refusal == nil {
					sent = append(sent, now)
					f.Begun(now, grant.ID, grant.Upstream, nil, 0)
					f.End(now, request.Finish{ID: grant.ID, Upstream: grant.Upstream, Outcome: request.OutcomeDone})
				}
			}
		}
		for i, at := range sent {
			last, _ := slices.BinarySearchFunc(sent, at.Add(time.Second), time.Time.Compare)
			if n := last - i; float64(n) > perSecond*overage+slack {
				t.Fatalf("%d VMs sent %d requests in a second", vms, n)
			}
		}
		if len(sent) < 30 {
			t.Errorf("%d VMs sent only %d requests in 3 s", vms, len(sent))
		}
	}
}

// An engine that answers nothing any more gets nothing new; one that takes no
// connection is left alone and counts as cold when it is back.
// VMs stop and start again while all want to use a cold upstream, and learn of each other up
// to 1.7 s late. Those that stay take over the part of one that stops before it has ended,
// and one that starts uses its part before they give it back (soak, seed 21003: 15 requests
// of 11 in a second).
func TestVMsThatComeAndGoStayWithinAColdLimit(t *testing.T) {
	const (
		perSecond, overage, slack = 4.0, 1.5, 5.0
		vms                       = 3
		step                      = 10 * time.Millisecond
		learning                  = 1700 * time.Millisecond
		drains                    = 2 * time.Second
	)
	type vm struct {
		*fleet
		// until is when the process that stops ends, from when the next one starts.
		until, from time.Time
	}
	start := time.Unix(1000, 0)
	newVM := func(i int) *fleet {
		f := newFleet(1, func(pool *version.Pool, upstreams map[version.UpstreamID]*version.Upstream) {
			pool.SlowStart = version.SlowStart{ColdTime: time.Hour, PerSecond: perSecond}
			for _, upstream := range upstreams {
				upstream.ColdUntil = start.Add(time.Hour)
			}
		})
		f.options.VM = version.VMID(fmt.Sprintf("vm-%d", i))
		f.SetMembers(start, nil)
		return f
	}
	// listed is who is registered, by time; each VM learns of a state learning later at most.
	type state struct {
		at      time.Time
		members []version.VMID
	}
	var listed []state
	registered := map[version.VMID]bool{}
	register := func(now time.Time, name version.VMID, present bool) {
		registered[name] = present
		var members []version.VMID
		for i := range vms {
			if member := version.VMID(fmt.Sprintf("vm-%d", i)); registered[member] {
				members = append(members, member)
			}
		}
		listed = append(listed, state{now, members})
	}
	var all [vms]vm
	for i := range all {
		all[i].fleet = newVM(i)
		register(start, all[i].options.VM, true)
	}
	var sent []time.Time
	random := rand.New(rand.NewPCG(21003, 0))
	for elapsed := time.Duration(0); elapsed < 3*time.Minute; elapsed += step {
		now := start.Add(elapsed)
		for i := range all {
			v := &all[i]
			switch {
			case !v.until.IsZero() && !now.Before(v.until):
				v.until, v.from = time.Time{}, now.Add(500*time.Millisecond)
				v.fleet = nil
			case v.fleet == nil && !now.Before(v.from):
				v.fleet = newVM(i)
				register(now, v.options.VM, true)
			case v.fleet != nil && v.until.IsZero() && random.IntN(500) == 0:
				v.Leave()
				register(now, v.options.VM, false)
				v.until = now.Add(drains)
			}
			if v.fleet == nil {
				continue
			}
			// Each VM learns with a delay of its own.
			late := learning * time.Duration(i) / (vms - 1)
			for _, s := range slices.Backward(listed) {
				if now.Sub(s.at) >= late {
					v.SetMembers(now, s.members)
					break
				}
			}
			if grant, refusal := v.Place(now, v.ticket(1, 1, 0, 10)); refusal == nil {
				sent = append(sent, now)
				v.Begun(now, grant.ID, grant.Upstream, nil, 0)
				v.End(now, request.Finish{ID: grant.ID, Upstream: grant.Upstream, Outcome: request.OutcomeDone})
			}
		}
	}
	worst := 0
	for i, at := range sent {
		last, _ := slices.BinarySearchFunc(sent, at.Add(time.Second), time.Time.Compare)
		worst = max(worst, last-i)
	}
	if float64(worst) > perSecond*overage+slack {
		t.Errorf("%d requests in a second", worst)
	}
	if len(sent) < 200 {
		t.Errorf("only %d requests in three minutes", len(sent))
	}
}
