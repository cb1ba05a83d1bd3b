package membership

import (
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// ProbeInterval is the time between two probes of a daemon.
	ProbeInterval = time.Second
	// ackTimeout is how long a member may take to answer a ping. An indirect probe may
	// take twice as long.
	ackTimeout = 300 * time.Millisecond
	// helperCount is the number of members asked to probe one that did not answer.
	helperCount = 2
)

// probe is a ping that waits for its acknowledgement.
type probe struct {
	sequence uint32
	target   version.VMID
	// deadline is when the probe times out.
	deadline time.Time
	// indirect is set if other members were asked to probe the target.
	indirect bool
	// requester is the member on whose behalf the target is probed, or empty for this
	// daemon itself. requesterSequence is the requester's sequence number.
	requester         version.VMID
	requesterSequence uint32
}

// probes holds the pending probes and the order of the next ones.
type probes struct {
	pending []probe
	// sequence is the sequence number of the last probe.
	sequence uint32
	// next is when the next probe starts.
	next time.Time
	// round lists the members still to be probed in the current round.
	round []version.VMID
}

// Tick probes the next member if it is time, suspects members whose probes timed out and
// marks suspects as lapsed that did not refute in time.
func (t *Tracker) Tick(now time.Time) {
	t.expireProbes(now)
	t.lapseSuspects(now)
	if now.Before(t.probes.next) {
		return
	}
	t.probes.next = now.Add(ProbeInterval)
	if target := t.nextTarget(); target != nil {
		t.probe(now, target)
	}
}

// nextTarget returns the next member to probe, or nil if there is none. Every member is
// probed once in a round, before any is probed again.
func (t *Tracker) nextTarget() *record {
	for range 2 {
		for len(t.probes.round) > 0 {
			vm := t.probes.round[0]
			t.probes.round = t.probes.round[1:]
			if r, present := t.members[vm]; present && t.probed(r) {
				return r
			}
		}
		t.probes.round = t.shuffled()
	}
	return nil
}

// shuffled returns the members to probe in a random order.
func (t *Tracker) shuffled() []version.VMID {
	var round []version.VMID
	for _, r := range t.sorted {
		if t.probed(r) {
			round = append(round, r.VM)
		}
	}
	t.random.Shuffle(len(round), func(i, j int) { round[i], round[j] = round[j], round[i] })
	return round
}

// probed reports whether a member is to be probed.
func (t *Tracker) probed(r *record) bool {
	return t.inOwnDataCentre(r) && r.observed && r.State != Lapsed && r.VM != t.options.Self.VM
}

// probe starts a probe of a member, a direct one if it is linked.
func (t *Tracker) probe(now time.Time, r *record) {
	if r.linked {
		t.ping(now, r.VM)
		return
	}
	t.probeIndirectly(now, r)
}

// ping sends a direct probe to a linked member.
func (t *Tracker) ping(now time.Time, vm version.VMID) {
	sequence := t.addProbe(probe{target: vm, deadline: now.Add(ackTimeout)})
	t.send(vm, wire.Ping{Sequence: sequence, Changes: t.changesFor(vm)})
}

// probeIndirectly asks other members to probe a member, or suspects it if there are
// none.
func (t *Tracker) probeIndirectly(now time.Time, r *record) {
	asked := t.askHelpers(now, r.VM)
	if !asked {
		t.suspect(now, r)
	}
}

// askHelpers asks random linked members to probe a target and reports whether there were
// any.
func (t *Tracker) askHelpers(now time.Time, target version.VMID) bool {
	linked := t.linkedMembers()
	linked = slices.DeleteFunc(linked, func(r *record) bool { return r.VM == target })
	t.random.Shuffle(len(linked), func(i, j int) { linked[i], linked[j] = linked[j], linked[i] })
	linked = linked[:min(helperCount, len(linked))]
	if len(linked) == 0 {
		return false
	}
	sequence := t.addProbe(probe{target: target, deadline: now.Add(2 * ackTimeout), indirect: true})
	for _, helper := range linked {
		t.send(helper.VM, wire.PingRequest{Sequence: sequence, Target: target})
	}
	return true
}

// addProbe adds a pending probe and returns its sequence number.
func (t *Tracker) addProbe(p probe) uint32 {
	t.probes.sequence++
	p.sequence = t.probes.sequence
	t.probes.pending = append(t.probes.pending, p)
	return p.sequence
}

// expireProbes removes and handles the probes that timed out.
func (t *Tracker) expireProbes(now time.Time) {
	pending := t.probes.pending
	t.probes.pending = nil
	for _, p := range pending {
		if now.Before(p.deadline) {
			t.probes.pending = append(t.probes.pending, p)
			continue
		}
		t.timedOut(now, p)
	}
}

// timedOut handles a probe without an answer: after a direct probe, other members are
// asked to probe the target; after an indirect one, the target becomes suspect. Probes
// on behalf of another member are left to that member.
func (t *Tracker) timedOut(now time.Time, p probe) {
	r, present := t.members[p.target]
	if !present || p.requester != "" || r.State == Lapsed {
		return
	}
	if !p.indirect && t.askHelpers(now, p.target) {
		return
	}
	t.suspect(now, r)
}

// suspect marks a member as suspect. A leaving member lapses at once.
func (t *Tracker) suspect(now time.Time, r *record) {
	if r.State == Lapsed || r.State == Suspect {
		return
	}
	if r.State == Leaving {
		t.setState(now, r, Lapsed)
	} else {
		t.setState(now, r, Suspect)
	}
	t.spread(r)
}

// lapseSuspects marks suspects as lapsed that did not refute within SuspectTimeout.
func (t *Tracker) lapseSuspects(now time.Time) {
	for _, r := range t.sorted {
		if r.State == Suspect && now.Sub(r.stateSince) >= SuspectTimeout {
			t.setState(now, r, Lapsed)
			t.spread(r)
		}
	}
}

// Ping handles a ping from another member and acknowledges it.
func (t *Tracker) Ping(now time.Time, from version.VMID, ping wire.Ping) {
	t.merge(now, ping.Changes)
	t.send(from, wire.Ack{Sequence: ping.Sequence, Changes: t.changesFor(from)})
}

// PingRequest handles a request to probe a member on behalf of another one.
func (t *Tracker) PingRequest(now time.Time, from version.VMID, request wire.PingRequest) {
	r, present := t.members[request.Target]
	if !present || !r.linked {
		return
	}
	sequence := t.addProbe(probe{
		target:            request.Target,
		deadline:          now.Add(2 * ackTimeout),
		requester:         from,
		requesterSequence: request.Sequence,
	})
	t.send(request.Target, wire.Ping{Sequence: sequence, Changes: t.changesFor(request.Target)})
}

// Ack handles the acknowledgement of a probe.
func (t *Tracker) Ack(now time.Time, from version.VMID, ack wire.Ack) {
	t.merge(now, ack.Changes)
	i := slices.IndexFunc(t.probes.pending, func(p probe) bool { return p.sequence == ack.Sequence })
	if i < 0 {
		return
	}
	p := t.probes.pending[i]
	if p.target != from && !p.indirect {
		return
	}
	t.probes.pending = slices.Delete(t.probes.pending, i, i+1)
	if p.requester != "" {
		t.send(p.requester, wire.Ack{Sequence: p.requesterSequence, Changes: t.changesFor(p.requester)})
	}
	if r, present := t.members[p.target]; present && r.State == Suspect {
		t.setState(now, r, Alive)
	}
}

// pingLinked pings a member of the own data centre whose link came up, so that a member
// that was believed to have lapsed can refute it.
func (t *Tracker) pingLinked(now time.Time, r *record) {
	if t.inOwnDataCentre(r) {
		t.ping(now, r.VM)
	}
}
