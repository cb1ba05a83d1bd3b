package placement

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// figures returns what callers and upstreams have seen, by unit.
func (s *staleStats) figures() map[string]float64 {
	var wait time.Duration
	for _, w := range s.waits {
		wait += w
	}
	answered, samples := float64(max(len(s.waits), 1)), float64(max(s.samples, 1))
	figures := map[string]float64{
		"spread": s.spread / samples, "highest": s.highest, "over-beside-idle": float64(s.imbalanced) / samples,
		"mean-wait-ms": wait.Seconds() * 1000 / answered, "late": float64(s.late) / answered,
		"refused": float64(s.refused) / float64(max(s.sent, 1)), "uncached/op": float64(s.uncached) / answered,
	}
	if n := len(s.waits); n > 0 {
		figures["p99-wait-ms"] = s.waits[n*99/100].Seconds() * 1000
	}
	return figures
}

// staleScenarios are the events during which the spread of requests is measured.
var staleScenarios = []struct {
	name string
	set  func(*staleOptions)
}{
	{"steady", func(*staleOptions) {}},
	{"burst", func(o *staleOptions) {
		o.loadAt = func(elapsed time.Duration) float64 {
			if elapsed%time.Second < 200*time.Millisecond {
				return 2.5
			}
			return 0.7
		}
	}},
	{"return", func(o *staleOptions) {
		o.change = func(f *staleFleet, elapsed time.Duration) {
			if !at(elapsed, 0) && !at(elapsed, 800*time.Millisecond) {
				return
			}
			for _, vm := range f.vms {
				upstreams := maps.Clone(vm.config.Upstreams)
				if at(elapsed, 0) {
					delete(upstreams, f.upstreams[0].id)
				} else {
					upstreams[f.upstreams[0].id] = f.spec
				}
				vm.Configure(f.now, vm.config.WithUpstreams(upstreams, version.OutOfService{}))
			}
		}
	}},
	{"restart", func(o *staleOptions) {
		o.change = func(f *staleFleet, elapsed time.Duration) {
			for i := 0; i < len(f.vms) && at(elapsed, 200*time.Millisecond); i += 3 {
				f.startVM(i)
			}
		}
	}},
	{"silence", func(o *staleOptions) {
		o.change = func(f *staleFleet, elapsed time.Duration) {
			for _, vm := range f.vms {
				vm.cut = elapsed >= staleWarmUp
			}
		}
	}},
	{"news=5ms", func(o *staleOptions) { o.interval, o.delay = 5*time.Millisecond, time.Millisecond }},
	{"news=1s", func(o *staleOptions) { o.interval, o.delay = 500*time.Millisecond, 200*time.Millisecond }},
	{"news=2s", func(o *staleOptions) { o.interval, o.delay = 700*time.Millisecond, 500*time.Millisecond }},
	{"lie=idle", func(o *staleOptions) { o.lie = &request.Load{Slots: staleSlots, PacePercent: 1} }},
	{"lie=full", func(o *staleOptions) {
		o.lie = &request.Load{Running: 1 << 30, Waiting: 1 << 30, Slots: 1, PacePercent: 1 << 30}
	}},
	{"paced", func(o *staleOptions) { o.paced = true }},
	{"paced-reported", func(o *staleOptions) { o.paced, o.reportsPace = true, true }},
}

// BenchmarkStaleLoad measures how evenly VMs spread requests by what they know of each other:
//
//	go test -run xxx -bench StaleLoad -benchtime 1x ./fleet/process/placement
func BenchmarkStaleLoad(b *testing.B) {
	// A single VM stands for one dispatcher that decides for all.
	for _, size := range []struct{ vms, upstreams, seeds int }{{8, 8, 3}, {81, 81, 2}, {300, 60, 1}, {1, 81, 1}} {
		for _, engines := range []bool{false, true} {
			for _, scenario := range staleScenarios {
				if size.vms > 8 && scenario.name == "news=5ms" || size.vms == 1 && scenario.name != "steady" {
					continue
				}
				b.Run(fmt.Sprintf("vms=%d/engines=%v/%s", size.vms, engines, scenario.name), func(b *testing.B) {
					for b.Loop() {
						sum, firstShare := make(map[string]float64), 0.0
						seeds := float64(size.seeds)
						for seed := range uint64(size.seeds) {
							o := staleOptions{vms: size.vms, upstreams: size.upstreams, engines: engines, load: 0.7, duration: 2 * time.Second, seed: 7 + seed}
							scenario.set(&o)
							f := newStaleFleet(o)
							for unit, figure := range f.run().figures() {
								sum[unit] += figure / seeds
							}
							firstShare += float64(f.upstreams[0].got) * float64(size.upstreams) / float64(max(f.stats.sent-f.stats.refused, 1)) / seeds
						}
						for unit, figure := range sum {
							b.ReportMetric(figure, unit)
						}
						b.ReportMetric(firstShare, "share-of-first")
					}
				})
			}
		}
	}
}

// BenchmarkPlacePlain measures a decision for a plain service of which other VMs have reported load.
func BenchmarkPlacePlain(b *testing.B) {
	f := plainFixture(90)
	var report wire.LoadReport
	for id := range f.upstreams {
		report.Upstreams = append(report.Upstreams, wire.UpstreamLoad{Upstream: id, Running: uint32(id % 8)})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		f.now = f.now.Add(500 * time.Microsecond)
		if i%240 == 0 {
			f.ReceiveReport(f.now, "vm-1", report, true)
		}
		ticket := f.ticket(version.AccountID(i%30), 0, 0, 0)
		ticket.Prompt, ticket.BodyBytes = nil, 2000
		grant, refusal := f.Place(f.now, ticket)
		if refusal != nil {
			b.Fatal(refusal)
		}
		f.RecordFirstByte(f.now, grant.ID, grant.Upstream, true, 0)
		f.RecordOutcome(f.now, request.Finish{ID: grant.ID, Upstream: grant.Upstream, Outcome: request.OutcomeDone})
	}
}
