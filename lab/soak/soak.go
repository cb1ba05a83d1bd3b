// Package soak runs daemons as separate processes, disturbs them by signals, network
// proxies and faults of the store and the upstreams, and checks the fleet's promises
// against the observations of callers and upstreams.
//
// A seed determines the disturbances and their times. The state that they meet
// depends on the speed of the machine, so a seed that has failed may have to be run
// several times until it fails again.
package soak

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Options set up a run.
type Options struct {
	Seed   uint64
	Length time.Duration
	// VMs, Upstreams and Callers are the numbers of each; default 3, 4 and 6.
	VMs, Upstreams, Callers int
	// Binary is the path of the daemon's executable.
	Binary string
	// Dir is the directory for the daemons' settings and logs.
	Dir string
	// CheckTiming also checks the promises with a time limit. They can be broken merely
	// because the machine is busy.
	CheckTiming bool
	// NoDeadly leaves out prompts that crash upstreams.
	NoDeadly bool
	// NoRestores leaves out returns of the store from older copies.
	NoRestores bool
	// NoLimits leaves out upstreams that name rate limits.
	NoLimits bool
	// NoOdd leaves out streams without end, versions without accounts and upstreams that start
	// again unseen.
	NoOdd bool
	// NoRollouts leaves out rollouts of software versions.
	NoRollouts bool
	Log        *slog.Logger
}

// Report is the result of a run. Requests counts the ended calls, Served those with a
// complete answer, Executions the executions at upstreams, and Crashes their crashes by deadly
// prompts.
type Report struct {
	Requests, Served, Executions, Disturbances, Crashes int
	// Limits counts the limits that upstreams named, Restores the store's returns from older
	// copies.
	Limits, Restores int
	// Odd counts the odd faults, and PeakMemory is the highest memory of a process, in bytes.
	Odd        int
	PeakMemory int64
	// Rollouts counts the orders that were carried out, and RolledBack those of them that were
	// rolled back.
	Rollouts, RolledBack int
	Violations           []Violation
}

const (
	// stormLength and calmLength are the lengths of the alternating phases with and
	// without disturbances.
	stormLength = 6 * time.Second
	calmLength  = 10 * time.Second
	// settleTime is the time from the start of a calm phase until the promises of
	// service must hold.
	settleTime = 6 * time.Second
	// checkInterval is the interval at which the observations are checked during a
	// run.
	checkInterval = 5 * time.Second
	// deadlyStream is the stream of the seed's random numbers for deadly prompts. Those of the
	// callers begin with 1.
	deadlyStream = 1 << 32
)

// Run runs and disturbs the daemons for Options.Length, or until a promise is broken.
// It returns an error only if the daemons cannot be started.
func Run(ctx context.Context, options Options) (Report, error) {
	options.VMs = orDefault(options.VMs, 3)
	options.Upstreams = orDefault(options.Upstreams, 4)
	options.Callers = orDefault(options.Callers, 6)
	f, err := newFleet(options)
	if err != nil {
		return Report{}, err
	}
	defer f.close()
	ctx, cancel := context.WithTimeout(ctx, options.Length)
	defer cancel()
	var calls callLog
	var background sync.WaitGroup
	for caller := range options.Callers {
		random := rand.New(rand.NewPCG(options.Seed, uint64(1+caller)))
		background.Go(func() { f.runCaller(ctx, &calls, caller, random) })
	}
	s := newScenario(f, options)
	defer s.ended.Store(true)
	background.Go(func() { s.run(ctx) })
	if !options.NoDeadly {
		random := rand.New(rand.NewPCG(options.Seed, deadlyStream))
		background.Go(func() { s.runDeadly(ctx, random) })
	}
	if !options.NoRestores {
		random := rand.New(rand.NewPCG(options.Seed, restoreStream))
		background.Go(func() { s.runRestores(ctx, random) })
	}
	if !options.NoOdd {
		random := rand.New(rand.NewPCG(options.Seed, oddStream))
		background.Go(func() { s.runOdd(ctx, random) })
	}
	var moves *moves
	if !options.NoRollouts {
		moves = newMoves(f, options)
		defer moves.close()
		background.Go(func() { moves.run(ctx) })
	}
	background.Go(func() { f.watchMemory(ctx) })
	var report Report
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for done := false; !done; {
		select {
		case <-ctx.Done():
			done = true
			background.Wait()
		case <-ticker.C:
		}
		report = examine(f, s, calls.all(), options.CheckTiming)
		moves.report(&report)
		if len(report.Violations) > 0 {
			cancel()
			background.Wait()
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

// examine checks the observations so far.
func examine(f *fleet, s *scenario, calls []call, timing bool) Report {
	e := evidence{calls: calls, endless: make(map[string]bool), revokedAt: f.revokedAt, publishedAt: f.publishedAt}
	e.peakMemory = f.peakMemory()
	report := Report{Requests: len(calls), PeakMemory: slices.Max(e.peakMemory)}
	for _, u := range f.upstreams {
		var executions, arrivals []upstreamRequest
		for _, r := range u.Runs() {
			executions = append(executions, upstreamRequest{id: r.ID, at: r.At})
			if r.EndlessBody {
				e.endless[r.ID] = true
			}
		}
		for _, a := range u.Arrivals() {
			arrivals = append(arrivals, upstreamRequest{id: a.ID, at: a.At, pause: a.Pause})
		}
		crashes := u.Crashes()
		e.crashes, e.crashesByUpstream = append(e.crashes, crashes...), append(e.crashesByUpstream, crashes)
		e.executions, e.arrivals = append(e.executions, executions), append(e.arrivals, arrivals)
		report.Executions += len(executions)
	}
	for _, c := range calls {
		if c.served() {
			report.Served++
		}
	}
	s.mu.Lock()
	report.Restores, report.Odd = s.restores, s.odd
	s.mu.Unlock()
	report.Disturbances, e.calm, e.drained, e.cold, e.leaving = s.observed()
	e.deadly = s.observedDeadly()
	e.disturbed, e.heldUp = s.observedDisturbances()
	e.limits = s.observedLimits()
	for _, phases := range e.limits {
		report.Limits += len(phases)
	}
	report.Crashes = len(e.crashes)
	report.Violations = e.violations(timing)
	return report
}
