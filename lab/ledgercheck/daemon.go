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

// daemon is one daemon: the decision core under test, and around it what a
// real one does for a claimed request.
type daemon struct {
	sim         *Sim
	index       int
	vm          version.VMID
	dataCentre  version.DataCentreID
	core        *ledger.Ledger
	incarnation uint64
	up          bool
	// resume is when a pause ends.
	resume time.Time
	// ticking is set while the next tick is on the agenda.
	ticking bool
	calls   map[uuid.UUID]*call
}

// start runs the daemon with empty memory.
func (d *daemon) start() {
	d.incarnation++
	d.up = true
	d.resume = time.Time{}
	d.calls = make(map[uuid.UUID]*call)
	d.core = ledger.New(ledger.Options{
		VM:              d.vm,
		Start:           d.sim.agenda.now,
		Seed:            d.sim.random.Uint64(),
		WritesPerSecond: d.sim.options.WritesPerSecond,
	})
	d.ticking = false
	d.core.Step(d.sim.agenda.now, ledger.Route{Owners: d.sim.owners(d)})
}

func (d *daemon) member() membership.Member {
	return membership.Member{VM: d.vm, DataCentre: d.dataCentre, Incarnation: d.incarnation}
}

// kill ends the daemon. Its memory is gone; what it sent is under way.
func (d *daemon) kill() {
	d.up = false
	d.incarnation++
}

// pause stops the daemon for a while, as a stopped process: what reaches it
// waits, and its timers fire late.
func (d *daemon) pause(length time.Duration) { d.resume = d.sim.agenda.now.Add(length) }

// when runs f in the daemon now, or after its pause, unless it was killed.
func (d *daemon) when(incarnation uint64, f func()) {
	if !d.up || d.incarnation != incarnation {
		return
	}
	if d.sim.agenda.now.Before(d.resume) {
		d.sim.agenda.at(d.resume, func() { d.when(incarnation, f) })
		return
	}
	f()
}

func (d *daemon) step(incarnation uint64, event ledger.Event) {
	d.when(incarnation, func() {
		d.core.Step(d.sim.agenda.now, event)
		d.carryOut()
	})
}

// wake sees to the next tick, on the grid that a ticker would follow, while
// there is something to do.
func (d *daemon) wake() {
	if d.ticking || !d.core.Busy() {
		return
	}
	d.ticking = true
	interval := d.sim.options.TickInterval
	next := d.sim.agenda.now.Truncate(interval).Add(interval)
	incarnation := d.incarnation
	d.sim.agenda.at(next, func() {
		d.when(incarnation, func() {
			d.ticking = false
			d.core.Tick(d.sim.agenda.now)
			d.carryOut()
		})
	})
}

func (d *daemon) carryOut() {
	for _, action := range d.core.Ready() {
		switch a := action.(type) {
		case ledger.Send:
			d.sim.send(d, a.To, a.Message)
		case ledger.Read:
			d.sim.store.read(d, a)
		case ledger.Write:
			d.sim.store.write(d, a)
		case ledger.Decide:
			d.decided(a)
		}
	}
	d.wake()
}

// submit claims for a call, as a daemon does after the grant.
func (d *daemon) submit(c *call) {
	d.when(d.incarnation, func() {
		d.calls[c.claim.Attempt] = c
		d.core.Step(d.sim.agenda.now, ledger.Submit{Claim: c.claim, Deadline: c.deadline})
		d.carryOut()
		if d.sim.options.Break.SendFirst {
			d.sim.upstream.run(d, c, d.incarnation)
		}
	})
}

// decided acts on a verdict.
func (d *daemon) decided(a ledger.Decide) {
	c, present := d.calls[a.Attempt]
	if !present {
		d.sim.violate("a verdict for an attempt that waits for none: %s", a.Attempt)
		return
	}
	delete(d.calls, a.Attempt)
	v := a.Verdict
	switch {
	case v.Run != nil:
		d.permitted(c, *v.Run)
	case v.Replay != nil:
		c.answer(d, Answer{Kind: AnswerReplay, Digest: v.Replay.BodyDigest})
	default:
		c.answer(d, Answer{Kind: AnswerRefusal, Refusal: v.Refusal})
	}
}

// permitted sends the attempt a moment later, if the permit still holds then.
func (d *daemon) permitted(c *call, permit claim.Permit) {
	c.permitted = d.sim.agenda.now
	d.sim.reach(StepPermit)
	incarnation := d.incarnation
	d.sim.agenda.after(time.Millisecond, func() {
		d.when(incarnation, func() { d.use(c, permit, incarnation) })
	})
}

func (d *daemon) use(c *call, permit claim.Permit, incarnation uint64) {
	late := !d.sim.agenda.now.Before(permit.Deadline)
	withheld := d.sim.random.Float64() < d.sim.options.Withhold
	if late || withheld {
		d.core.Step(d.sim.agenda.now, ledger.Release{Claim: c.claim})
		d.carryOut()
		c.answer(d, Answer{Kind: AnswerRefusal, Refusal: notSent()})
		if !d.sim.options.Break.SendAfterRelease {
			return
		}
	}
	d.sim.upstream.run(d, c, incarnation)
}

// finish takes the upstream's answer, or its absence.
func (d *daemon) finish(c *call, answer *claim.Answer) {
	d.core.Step(d.sim.agenda.now, ledger.Finish{Claim: c.claim, Answer: answer})
	d.carryOut()
	d.sim.reach(StepOutcome)
	if answer == nil {
		c.answer(d, Answer{Kind: AnswerBroken})
		return
	}
	c.answer(d, Answer{Kind: AnswerRun, Digest: answer.BodyDigest})
}

// send takes a message to another daemon. Without a link it comes back.
func (s *Sim) send(from *daemon, to version.VMID, message wire.Message) {
	target, known := s.byName[to]
	incarnation := from.incarnation
	if !known || !s.linked(from, target) {
		s.agenda.after(0, func() { from.step(incarnation, ledger.Undelivered{To: to, Message: message}) })
		return
	}
	s.count(message)
	s.reachMessage(message)
	copies := 1
	if s.random.Float64() < s.options.Duplicate {
		copies = 2
	}
	for range copies {
		s.deliver(from, target, message)
	}
}

func (s *Sim) deliver(from, target *daemon, message wire.Message) {
	if s.random.Float64() < s.options.Lose {
		return
	}
	delay := s.distance(from, target)
	if s.random.Float64() < s.options.Late {
		delay += time.Duration(s.random.Int64N(int64(s.options.LateBy)))
	}
	incarnation := target.incarnation
	vm := from.vm
	s.agenda.after(delay, func() {
		target.step(incarnation, ledger.Receive{From: vm, Message: message})
	})
}
