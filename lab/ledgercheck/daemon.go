package ledgercheck

import (
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/ledger"
	"github.com/trefoilwell/trefoilwell/fleet/process/membership"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// daemon is one simulated daemon: the decision core under test, and around it the
// steps that a real daemon takes for a claimed request.
type daemon struct {
	sim         *Sim
	index       int
	vm          version.VMID
	dataCentre  version.DataCentreID
	core        *ledger.Ledger
	incarnation uint64
	up          bool
	// pausedUntil is the end of the latest pause.
	pausedUntil time.Time
	// tickScheduled is set while the next tick is in the event queue.
	tickScheduled bool
	// calls are the calls that wait for a verdict, by attempt.
	calls map[uuid.UUID]*call
}

// start starts a new incarnation of the daemon with empty memory.
func (d *daemon) start() {
	d.incarnation++
	d.up = true
	d.pausedUntil = time.Time{}
	d.calls = make(map[uuid.UUID]*call)
	d.core = ledger.New(ledger.Options{
		VM:              d.vm,
		Start:           d.sim.queue.now,
		Seed:            d.sim.random.Uint64(),
		WritesPerSecond: d.sim.options.WritesPerSecond,
	})
	d.tickScheduled = false
	d.core.Step(d.sim.queue.now, ledger.OwnersChanged{Owners: d.sim.owners(d)})
}

func (d *daemon) member() membership.Member {
	return membership.Member{VM: d.vm, DataCentre: d.dataCentre, Incarnation: d.incarnation}
}

// kill ends the daemon. Its memory is lost; messages and calls that it has sent are
// still delivered.
func (d *daemon) kill() {
	d.up = false
	d.incarnation++
}

// pause suspends the daemon like a stopped process: events for it wait until the
// pause ends, and its timers fire late.
func (d *daemon) pause(length time.Duration) { d.pausedUntil = d.sim.queue.now.Add(length) }

// runUnpaused runs f now or at the end of the daemon's pause, unless the
// incarnation has ended by then.
func (d *daemon) runUnpaused(incarnation uint64, f func()) {
	if !d.up || d.incarnation != incarnation {
		return
	}
	if d.sim.queue.now.Before(d.pausedUntil) {
		d.sim.queue.at(d.pausedUntil, func() { d.runUnpaused(incarnation, f) })
		return
	}
	f()
}

// step passes an event to the decision core of an incarnation and executes the
// resulting actions.
func (d *daemon) step(incarnation uint64, event ledger.Event) {
	d.runUnpaused(incarnation, func() {
		d.core.Step(d.sim.queue.now, event)
		d.executeActions()
	})
}

// scheduleTick schedules the next tick while the core needs one. Ticks fall on
// multiples of Options.TickInterval, as those of a ticker do.
func (d *daemon) scheduleTick() {
	if d.tickScheduled || !d.core.NeedsTick() {
		return
	}
	d.tickScheduled = true
	interval := d.sim.options.TickInterval
	next := d.sim.queue.now.Truncate(interval).Add(interval)
	incarnation := d.incarnation
	d.sim.queue.at(next, func() {
		d.runUnpaused(incarnation, func() {
			d.tickScheduled = false
			d.core.Tick(d.sim.queue.now)
			d.executeActions()
		})
	})
}

// executeActions executes the actions that the core has decided on.
func (d *daemon) executeActions() {
	for _, action := range d.core.Ready() {
		switch a := action.(type) {
		case ledger.Send:
			d.sim.send(d, a.To, a.Message)
		case ledger.Read:
			d.sim.store.read(d, a)
		case ledger.Write:
			d.sim.store.write(d, a)
		case ledger.Decide:
			d.handleVerdict(a)
		}
	}
	d.scheduleTick()
}

// submit asks the core for a claim for a call, as a daemon does after the grant.
func (d *daemon) submit(c *call) {
	d.runUnpaused(d.incarnation, func() {
		d.calls[c.claim.Attempt] = c
		d.core.Step(d.sim.queue.now, ledger.Submit{Claim: c.claim, Deadline: c.deadline})
		d.executeActions()
		if d.sim.options.Defects.SendBeforeVerdict {
			d.sim.upstream.execute(d, c, d.incarnation)
		}
	})
}

// handleVerdict sends, answers or refuses the call that a verdict is for.
func (d *daemon) handleVerdict(a ledger.Decide) {
	c, present := d.calls[a.Attempt]
	if !present {
		d.sim.reportViolation("verdict for attempt %s, which does not wait for one", a.Attempt)
		return
	}
	delete(d.calls, a.Attempt)
	verdict := a.Verdict
	switch {
	case verdict.Run != nil:
		d.handlePermit(c, *verdict.Run)
	case verdict.Replay != nil:
		c.end(d, Answer{Kind: AnswerReplay, Digest: verdict.Replay.BodyDigest})
	default:
		c.end(d, Answer{Kind: AnswerRefusal, Refusal: verdict.Refusal})
	}
}

// handlePermit uses the permit 1 ms later, so that faults can come between.
func (d *daemon) handlePermit(c *call, permit claim.Permit) {
	c.permittedAt = d.sim.queue.now
	d.sim.reachStep(StepPermit)
	incarnation := d.incarnation
	d.sim.queue.after(time.Millisecond, func() {
		d.runUnpaused(incarnation, func() { d.usePermit(c, permit, incarnation) })
	})
}

// usePermit sends the attempt if the permit is still valid. It releases an expired
// permit, and a random fraction of the valid ones, Options.WithholdFraction.
func (d *daemon) usePermit(c *call, permit claim.Permit, incarnation uint64) {
	expired := !d.sim.queue.now.Before(permit.Deadline)
	withheld := d.sim.random.Float64() < d.sim.options.WithholdFraction
	if expired || withheld {
		d.core.Step(d.sim.queue.now, ledger.Release{Claim: c.claim})
		d.executeActions()
		c.end(d, Answer{Kind: AnswerRefusal, Refusal: notSent()})
		if !d.sim.options.Defects.SendAfterRelease {
			return
		}
	}
	d.sim.upstream.execute(d, c, incarnation)
}

// handleAnswer records the end of an attempt and answers the call. answer is nil if
// the upstream gave no whole answer.
func (d *daemon) handleAnswer(c *call, answer *claim.Answer) {
	d.core.Step(d.sim.queue.now, ledger.Finish{Claim: c.claim, Answer: answer})
	d.executeActions()
	d.sim.reachStep(StepOutcome)
	if answer == nil {
		c.end(d, Answer{Kind: AnswerBroken})
		return
	}
	c.end(d, Answer{Kind: AnswerExecuted, Digest: answer.BodyDigest})
}

// send delivers a message to another daemon, after the network latency and with
// the faults of Options. Without a link, the sender gets ledger.Undelivered.
func (s *Sim) send(from *daemon, to version.VMID, message wire.Message) {
	target, known := s.daemonOfVM[to]
	incarnation := from.incarnation
	if !known || !s.linked(from, target) {
		s.queue.after(0, func() { from.step(incarnation, ledger.Undelivered{To: to, Message: message}) })
		return
	}
	s.countMessage(message)
	s.reachMessageStep(message)
	copies := 1
	if s.random.Float64() < s.options.DuplicateFraction {
		copies = 2
	}
	for range copies {
		s.deliver(from, target, message)
	}
}

// deliver delivers one copy of a message, or loses or delays it.
func (s *Sim) deliver(from, target *daemon, message wire.Message) {
	if s.random.Float64() < s.options.LossFraction {
		return
	}
	delay := s.latency(from, target)
	if s.random.Float64() < s.options.DelayFraction {
		delay += time.Duration(s.random.Int64N(int64(s.options.MaxExtraDelay)))
	}
	incarnation := target.incarnation
	vm := from.vm
	s.queue.after(delay, func() {
		target.step(incarnation, ledger.Receive{From: vm, Message: message})
	})
}
