// Package soak runs daemons as separate processes, disturbs them from outside by
// signals, proxies and a store and upstreams that fail, and checks what callers and
// upstreams see.
//
// A seed gives the same disturbances at the same times. What meets them depends on
// the machine, so a seed that has failed once may have to be run more than once.
package soak

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"
)

// Options set up a run.
type Options struct {
	Seed   uint64
	Length time.Duration
	// VMs, Upstreams and Callers are how many there are of each; default 3, 4, 6.
	VMs, Upstreams, Callers int
	// Binary is the daemon's program.
	Binary string
	// Dir takes the daemons' settings and logs.
	Dir string
	// Timing also checks the promises with a bound in time, which a machine that
	// is too busy breaks by itself.
	Timing bool
	Log    *slog.Logger
}

// Report tells what came of a run.
type Report struct {
	Requests, Served, Runs, Disturbances int
	Violations                           []Violation
}

const (
	// stormTime and calmTime take turns. In the calm nothing is disturbed.
	stormTime = 6 * time.Second
	calmTime  = 10 * time.Second
	// settleTime is how much of a calm passes before promises of service hold.
	settleTime = 6 * time.Second
	// checkInterval is how often what was seen is checked during a run.
	checkInterval = 5 * time.Second
)

// Run runs the daemons until the length is over or a promise was not kept.
func Run(ctx context.Context, options Options) (Report, error) {
	options.VMs = orDefault(options.VMs, 3)
	options.Upstreams = orDefault(options.Upstreams, 4)
	options.Callers = orDefault(options.Callers, 6)
	w, err := newWorld(options)
	if err != nil {
		return Report{}, err
	}
	defer w.close()
	ctx, cancel := context.WithTimeout(ctx, options.Length)
	defer cancel()
	var calls ledger
	var duties sync.WaitGroup
	for caller := range options.Callers {
		random := rand.New(rand.NewPCG(options.Seed, uint64(1+caller)))
		duties.Go(func() { w.callFor(ctx, &calls, caller, random) })
	}
	s := newStorm(w, options)
	duties.Go(func() { s.run(ctx) })
	var report Report
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for done := false; !done; {
		select {
		case <-ctx.Done():
			done = true
			duties.Wait()
		case <-ticker.C:
		}
		report = examine(w, s, calls.all(), options.Timing)
		if len(report.Violations) > 0 {
			cancel()
			duties.Wait()
			break
		}
	}
	return report, nil
}

func orDefault(n, fallback int) int {
	if n == 0 {
		return fallback
	}
	return n
}

// examine checks what was seen so far.
func examine(w *world, s *storm, calls []call, timing bool) Report {
	e := evidence{calls: calls, revoked: w.revokedAt, brought: w.broughtAt}
	report := Report{Requests: len(calls)}
	for _, u := range w.upstreams {
		var runs, arrivals []run
		for _, r := range u.Runs() {
			runs = append(runs, run{id: r.ID, at: r.At})
		}
		for _, a := range u.Arrivals() {
			arrivals = append(arrivals, run{id: a.ID, at: a.At, pause: a.Pause})
		}
		e.runs, e.arrivals = append(e.runs, runs), append(e.arrivals, arrivals)
		report.Runs += len(runs)
	}
	for _, c := range calls {
		if c.served() {
			report.Served++
		}
	}
	report.Disturbances, e.calm, e.drained, e.cold, e.leaving = s.seen()
	report.Violations = e.check(timing)
	return report
}
