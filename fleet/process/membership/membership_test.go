package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const tick = 50 * time.Millisecond

// mesh is a group of trackers of one data centre whose links deliver without delay.
type mesh struct {
	now      time.Time
	trackers []*Tracker
	// down is the set of VMs that neither send nor receive.
	down map[version.VMID]bool
	// cut is the set of pairs of VMs, sender first, whose link is cut.
	cut map[[2]version.VMID]bool
	// messages and bytes count what was sent.
	messages int
	bytes    int
}

func vmOf(i int) version.VMID { return version.VMID(fmt.Sprintf("vm-%03d", i)) }

func newMesh(size int) *mesh {
	m := &mesh{now: time.UnixMilli(0), down: make(map[version.VMID]bool), cut: make(map[[2]version.VMID]bool)}
	for i := range size {
		self := Member{VM: vmOf(i), DataCentre: "north", Incarnation: 1}
		m.trackers = append(m.trackers, New(Options{Self: self, Seed: uint64(i)}))
	}
	for _, a := range m.trackers {
		for _, b := range m.trackers {
			if a != b {
				a.LinkUp(m.now, m.hello(b))
			}
		}
	}
	m.deliver()
	return m
}

func (m *mesh) hello(t *Tracker) wire.Hello {
	self := t.options.Self
	return wire.Hello{VM: self.VM, DataCentre: self.DataCentre, Incarnation: self.Incarnation}
}

func (m *mesh) tracker(vm version.VMID) *Tracker {
	for _, t := range m.trackers {
		if t.options.Self.VM == vm {
			return t
		}
	}
	return nil
}

// deliver passes on messages until no tracker sends any more.
func (m *mesh) deliver() {
	for sent := true; sent; {
		sent = false
		for _, t := range m.trackers {
			for _, send := range t.Outbox() {
				sent = true
				m.pass(t.options.Self.VM, send)
			}
		}
	}
}

func (m *mesh) pass(from version.VMID, send Send) {
	m.messages++
	frame, err := wire.Encode([]wire.Message{send.Message})
	if err != nil {
		panic(err)
	}
	m.bytes += len(frame)
	if m.down[from] || m.down[send.To] || m.cut[[2]version.VMID{from, send.To}] {
		return
	}
	to := m.tracker(send.To)
	switch message := send.Message.(type) {
	case wire.Ping:
		to.Ping(m.now, from, message)
	case wire.PingRequest:
		to.PingRequest(m.now, from, message)
	case wire.Ack:
		to.Ack(m.now, from, message)
	}
}

func (m *mesh) run(duration time.Duration) {
	for end := m.now.Add(duration); m.now.Before(end); {
		m.now = m.now.Add(tick)
		for _, t := range m.trackers {
			if !m.down[t.options.Self.VM] {
				t.Tick(m.now)
			}
		}
		m.deliver()
	}
}

// states counts the other members by the state in which they see a VM.
func (m *mesh) states(vm version.VMID) map[State]int {
	states := make(map[State]int)
	for _, t := range m.trackers {
		if t.options.Self.VM == vm || m.down[t.options.Self.VM] {
			continue
		}
		member, _ := t.View(m.now).Member(vm)
		states[member.State]++
	}
	return states
}

func (m *mesh) cutLink(a, b version.VMID) {
	m.cut[[2]version.VMID{a, b}], m.cut[[2]version.VMID{b, a}] = true, true
	m.tracker(a).LinkDown(m.now, m.hello(m.tracker(b)))
	m.tracker(b).LinkDown(m.now, m.hello(m.tracker(a)))
}

func TestProbingCostDoesNotGrowWithTheMembers(t *testing.T) {
	const seconds = 60
	perDaemon := func(size int) int {
		m := newMesh(size)
		m.run(20 * time.Second)
		m.bytes = 0
		m.run(seconds * time.Second)
		return m.bytes / size / seconds
	}
	small, large := perDaemon(4), perDaemon(40)
	t.Logf("each of 4 members sent %d bytes a second, each of 40 sent %d", small, large)
	if large > 2*small {
		t.Errorf("each member sent %d bytes a second with 40 members but %d with 4, want at most twice as many",
			large, small)
	}
	const limit = 100
	if large > limit {
		t.Errorf("each of 40 members sent %d bytes a second, want at most %d", large, limit)
	}
}

func TestSilentMemberLapsesEverywhere(t *testing.T) {
	m := newMesh(12)
	m.run(5 * time.Second)
	lost := vmOf(3)
	m.down[lost] = true
	m.run(12*ProbeInterval + SuspectTimeout + 10*time.Second)
	if states := m.states(lost); states[Lapsed] != 11 {
		t.Errorf("seen as %v, want lapsed by all 11", states)
	}
}

func TestMemberWhoseLinksAllBreakLapsesWithoutAProbeInterval(t *testing.T) {
	m := newMesh(6)
	m.run(5 * time.Second)
	lost := vmOf(2)
	m.down[lost] = true
	for _, tracker := range m.trackers {
		tracker.LinkDown(m.now, m.hello(m.tracker(lost)))
	}
	m.run(2*ackTimeout + SuspectTimeout + 2*tick)
	if states := m.states(lost); states[Lapsed] != 5 {
		t.Errorf("seen as %v, want lapsed by all 5", states)
	}
}

func TestOneBrokenLinkMakesNoMemberLapse(t *testing.T) {
	m := newMesh(6)
	m.run(5 * time.Second)
	m.cutLink(vmOf(0), vmOf(1))
	m.run(60 * time.Second)
	for _, vm := range []version.VMID{vmOf(0), vmOf(1)} {
		if states := m.states(vm); states[Alive] != 5 {
			t.Errorf("%s seen as %v, want alive by all 5", vm, states)
		}
	}
}

func TestReturningMemberRefutesThatItLapsed(t *testing.T) {
	m := newMesh(6)
	m.run(5 * time.Second)
	paused := vmOf(4)
	m.down[paused] = true
	m.run(40 * time.Second)
	m.down[paused] = false
	for _, tracker := range m.trackers {
		if tracker.options.Self.VM != paused {
			tracker.LinkUp(m.now, m.hello(m.tracker(paused)))
		}
	}
	m.run(20 * time.Second)
	if states := m.states(paused); states[Alive] != 5 {
		t.Errorf("seen as %v, want alive by all 5", states)
	}
}

func TestLeavingMemberIsSeenAtOnceAndOwnsNothing(t *testing.T) {
	m := newMesh(5)
	m.run(5 * time.Second)
	leaving := vmOf(1)
	m.tracker(leaving).Leave(m.now)
	m.run(3 * tick)
	if states := m.states(leaving); states[Leaving] != 4 {
		t.Errorf("seen as %v, want leaving by all 4", states)
	}
	view := m.tracker(vmOf(0)).View(m.now)
	for key := range 50 {
		if owner, _ := view.Owner("north", fmt.Sprint(key)); owner == leaving {
			t.Fatal("a leaving member owns a key")
		}
	}
	for _, tracker := range m.trackers {
		tracker.LinkDown(m.now, m.hello(m.tracker(leaving)))
	}
	for _, member := range m.trackers[0].SlotMembers(m.now) {
		if member.VM == leaving {
			t.Error("a member that left still owns slots")
		}
	}
}

func TestLapsedMemberOwnsColdSlotsWhileListed(t *testing.T) {
	m := newMesh(2)
	tracker, lost := m.trackers[0], vmOf(1)
	listed := []VM{{ID: vmOf(0), DataCentre: "north"}, {ID: lost, DataCentre: "north"}}
	tracker.ApplyList(m.now, listed)
	tracker.LinkDown(m.now, m.hello(m.trackers[1]))
	m.down[lost] = true
	m.run(SuspectTimeout + WarmSlotGrace + time.Second)
	members := tracker.SlotMembers(m.now)
	if len(members) != 2 || members[1].Live || !members[1].Lapsed {
		t.Errorf("slot members %+v, want the lapsed member to count for cold upstreams", members)
	}
	tracker.ApplyList(m.now, listed[:1])
	if members := tracker.SlotMembers(m.now); len(members) != 1 {
		t.Errorf("slot members %+v after the list dropped the lapsed member, want one", members)
	}
}

func TestOlderIncarnationIsIgnored(t *testing.T) {
	m := newMesh(2)
	restarted := wire.Hello{VM: vmOf(1), DataCentre: "north", Incarnation: 7}
	m.trackers[0].LinkUp(m.now, restarted)
	m.trackers[0].LinkDown(m.now, m.hello(m.trackers[1]))
	member, _ := m.trackers[0].View(m.now).Member(vmOf(1))
	if member.State != Alive || member.Incarnation != 7 {
		t.Errorf("member %+v, want the later incarnation alive", member)
	}
}

func TestUnreachableDaemonOfAnotherDataCentreOwnsNothing(t *testing.T) {
	tracker := New(Options{Self: Member{VM: "a", DataCentre: "north"}})
	now := time.UnixMilli(0)
	tracker.ApplyList(now, []VM{{ID: "x", DataCentre: "south"}, {ID: "y", DataCentre: "south"}})
	owner, _ := tracker.View(now).Owner("south", "key")
	tracker.LinkWanted(now, owner)
	next, found := tracker.View(now.Add(unreachableTimeout)).Owner("south", "key")
	if !found || next == owner {
		t.Errorf("owner is %q, want another one than the unreachable %q", next, owner)
	}
}

// Guards against daemons that were started together, do not know of one another yet and
// therefore each use all slots.
func TestDaemonThatIsNotListedYetOwnsNothing(t *testing.T) {
	now := time.UnixMilli(0)
	self := VM{ID: vmOf(0), DataCentre: "north"}
	other := VM{ID: vmOf(1), DataCentre: "north"}
	tracker := New(Options{Self: Member{VM: self.ID, DataCentre: "north", Incarnation: 1}})
	if tracker.MayOwnRoles(now) {
		t.Error("daemon may own roles before it received any list")
	}
	tracker.ApplyList(now, []VM{other})
	if tracker.MayOwnRoles(now) {
		t.Error("daemon may own roles although the list is from before its start")
	}
	tracker.ApplyList(now, []VM{self, other})
	if !tracker.MayOwnRoles(now) {
		t.Error("daemon may not own roles although the list contains it")
	}
	tracker.ApplyList(now, nil)
	if !tracker.MayOwnRoles(now) {
		t.Error("daemon may not own roles any more after a list without it")
	}
}

func TestDaemonThatIsNeverListedMayOwnRolesAfterATimeout(t *testing.T) {
	now := time.UnixMilli(0)
	tracker := New(Options{Self: Member{VM: vmOf(0), DataCentre: "north", Incarnation: 1}})
	if tracker.MayOwnRoles(now) || tracker.MayOwnRoles(now.Add(UnlistedTimeout-1)) {
		t.Error("unlisted daemon may own roles before the timeout")
	}
	if !tracker.MayOwnRoles(now.Add(UnlistedTimeout)) {
		t.Errorf("unlisted daemon may not own roles after %v", UnlistedTimeout)
	}
}
