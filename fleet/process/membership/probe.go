package membership

import (
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// ProbeInterval is how often a member is probed.
	ProbeInterval = time.Second
	// ackTime is how long a member has for its answer.
	ackTime = 300 * time.Millisecond
	// helpers is the number of members asked to probe one that did not answer.
	helpers = 2
)

// probe is a question that waits for its answer.
type probe struct {
	sequence uint32
	target   version.VMID
	// until is when the answer is late.
	until time.Time
	// indirect is set once others were asked to probe.
	indirect bool
	// asker is the member on whose behalf the probe is, and its sequence
	// number there; empty is this daemon itself.
	asker         version.VMID
	askerSequence uint32
}

// probes holds the open probes and the order of the next ones.
type probes struct {
	open     []probe
	sequence uint32
	next     time.Time
	// turn lists the members still to be probed in this turn.
	turn []version.VMID
}

// Tick probes the next member, and suspects those whose answer is late.
func (t *Tracker) Tick(now time.Time) {
	t.closeProbes(now)
	t.lapseSuspects(now)
	if now.Before(t.probes.next) {
		return
	}
	t.probes.next = now.Add(ProbeInterval)
	if target := t.nextTarget(); target != nil {
		t.probe(now, target)
	}
}

// nextTarget returns the next member to probe. Each is probed once before any
// is probed again.
func (t *Tracker) nextTarget() *record {
	for range 2 {
		for len(t.probes.turn) > 0 {
			vm := t.probes.turn[0]
			t.probes.turn = t.probes.turn[1:]
			if r, present := t.members[vm]; present && t.probed(r) {
				return r
			}
		}
		t.probes.turn = t.shuffled()
	}
	return nil
}

func (t *Tracker) shuffled() []version.VMID {
	var turn []version.VMID
	for _, r := range t.order {
		if t.probed(r) {
			turn = append(turn, r.VM)
		}
	}
	t.random.Shuffle(len(turn), func(i, j int) { turn[i], turn[j] = turn[j], turn[i] })
	return turn
}

// probed reports whether a member takes part in probing.
func (t *Tracker) probed(r *record) bool {
	return t.own(r) && r.known && r.State != Lapsed && r.VM != t.options.Self.VM
}

func (t *Tracker) probe(now time.Time, r *record) {
	if r.linked {
		t.ping(now, r.VM)
		return
	}
	t.probeNow(now, r)
}

// ping asks a linked member for an answer.
func (t *Tracker) ping(now time.Time, vm version.VMID) {
	sequence := t.open(probe{target: vm, until: now.Add(ackTime)})
	t.send(vm, wire.Ping{Sequence: sequence, Changes: t.changesFor(vm)})
}

// probeNow asks others to probe a member, or suspects it if there are none.
func (t *Tracker) probeNow(now time.Time, r *record) {
	asked := t.askHelpers(now, r.VM)
	if !asked {
		t.suspect(now, r)
	}
}

func (t *Tracker) askHelpers(now time.Time, target version.VMID) bool {
	linked := t.linkedMembers()
	linked = slices.DeleteFunc(linked, func(r *record) bool { return r.VM == target })
	t.random.Shuffle(len(linked), func(i, j int) { linked[i], linked[j] = linked[j], linked[i] })
	linked = linked[:min(helpers, len(linked))]
	if len(linked) == 0 {
		return false
	}
	sequence := t.open(probe{target: target, until: now.Add(2 * ackTime), indirect: true})
	for _, helper := range linked {
		t.send(helper.VM, wire.PingRequest{Sequence: sequence, Target: target})
	}
	return true
}

func (t *Tracker) open(p probe) uint32 {
	t.probes.sequence++
	p.sequence = t.probes.sequence
	t.probes.open = append(t.probes.open, p)
	return p.sequence
}

// closeProbes handles the probes whose answer is late.
func (t *Tracker) closeProbes(now time.Time) {
	late := t.probes.open
	t.probes.open = nil
	for _, p := range late {
		if now.Before(p.until) {
			t.probes.open = append(t.probes.open, p)
			continue
		}
		t.late(now, p)
	}
}

func (t *Tracker) late(now time.Time, p probe) {
	r, present := t.members[p.target]
	if !present || p.asker != "" || r.State == Lapsed {
		return
	}
	if !p.indirect && t.askHelpers(now, p.target) {
		return
	}
	t.suspect(now, r)
}

func (t *Tracker) suspect(now time.Time, r *record) {
	if r.State == Lapsed || r.State == Suspect {
		return
	}
	if r.State == Leaving {
		t.set(now, r, Lapsed)
	} else {
		t.set(now, r, Suspect)
	}
	t.spread(r)
}

// lapseSuspects gives up on the members that did not deny in time.
func (t *Tracker) lapseSuspects(now time.Time) {
	for _, r := range t.order {
		if r.State == Suspect && now.Sub(r.since) >= SuspectTime {
			t.set(now, r, Lapsed)
			t.spread(r)
		}
	}
}

// Ping answers a member's probe.
func (t *Tracker) Ping(now time.Time, from version.VMID, ping wire.Ping) {
	t.merge(now, ping.Changes)
	t.send(from, wire.Ack{Sequence: ping.Sequence, Changes: t.changesFor(from)})
}

// PingRequest probes a member on another one's behalf.
func (t *Tracker) PingRequest(now time.Time, from version.VMID, request wire.PingRequest) {
	r, present := t.members[request.Target]
	if !present || !r.linked {
		return
	}
	sequence := t.open(probe{
		target:        request.Target,
		until:         now.Add(2 * ackTime),
		asker:         from,
		askerSequence: request.Sequence,
	})
	t.send(request.Target, wire.Ping{Sequence: sequence, Changes: t.changesFor(request.Target)})
}

// Ack handles a member's answer.
func (t *Tracker) Ack(now time.Time, from version.VMID, ack wire.Ack) {
	t.merge(now, ack.Changes)
	i := slices.IndexFunc(t.probes.open, func(p probe) bool { return p.sequence == ack.Sequence })
	if i < 0 {
		return
	}
	p := t.probes.open[i]
	if p.target != from && !p.indirect {
		return
	}
	t.probes.open = slices.Delete(t.probes.open, i, i+1)
	if p.asker != "" {
		t.send(p.asker, wire.Ack{Sequence: p.askerSequence, Changes: t.changesFor(p.asker)})
	}
	if r, present := t.members[p.target]; present && r.State == Suspect {
		t.set(now, r, Alive)
	}
}

// greet tells a member that was thought to be gone, so that it denies.
func (t *Tracker) greet(now time.Time, r *record) {
	if t.own(r) {
		t.ping(now, r.VM)
	}
}
