// Package exchange decides who tells whom of the work that is sent to upstreams,
// so that every VM knows the work of all.
//
// A small fleet is a mesh: each VM tells each other one. In a large fleet, two
// VMs of each data centre are hubs: the others tell both of them, hubs tell the
// hubs of other data centres the sum of their own, and tell each VM the sum of
// everybody else. The messages of a VM that is no hub so do not grow with the
// fleet. Two hubs are there so that the loss of one is not felt.
//
// An Exchange does no I/O and reads no clock.
package exchange

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// MeshMembers is the size up to which a fleet is a mesh. Beyond it a VM would
	// spend more than a hundredth of a processor on reports.
	MeshMembers = 12
	// hubsPerCentre is how many hubs a data centre has.
	hubsPerCentre = 2
	// freshTime is how long a report stands for its sender. It is several times
	// the interval of reports.
	freshTime = 500 * time.Millisecond
)

// Member is one VM of the fleet.
type Member struct {
	VM         version.VMID
	DataCentre version.DataCentreID
	// Capacity is the VM's processor in cores; hubs are those with the most.
	Capacity float64
}

// Message is a report for another VM.
type Message struct {
	To   version.VMID
	Work wire.Work
}

// Exchange is the view of one VM. It is not safe for concurrent use.
type Exchange struct {
	self    version.VMID
	members map[version.VMID]Member
	// hubs are the hubs of each data centre, the preferred one first; empty in a
	// mesh.
	hubs    map[version.DataCentreID][]version.VMID
	sources map[version.VMID]*source
	// local sums the totals of this VM's data centre, foreign those of the
	// others. Only a hub uses them.
	local, foreign totals
	own            *source
	// peers are the VMs to keep links with, in order.
	peers []version.VMID
}

// source is a VM that reports to this one.
type source struct {
	work wire.Work
	at   time.Time
	// counted is what was added to the sums. Only a hub counts.
	counted totals
	// last are the newest totals that the source told a hub, and known is set
	// once there are any.
	last  totals
	known bool
}

// New returns the exchange of a VM that knows no other.
func New(self version.VMID) *Exchange {
	return &Exchange{
		self:    self,
		members: make(map[version.VMID]Member),
		sources: make(map[version.VMID]*source),
		local:   newTotals(),
		foreign: newTotals(),
		own:     newSource(),
	}
}

func newSource() *source { return &source{counted: newTotals(), last: newTotals()} }

// SetMembers takes the VMs of the fleet.
func (e *Exchange) SetMembers(members []Member) {
	clear(e.members)
	byCentre := make(map[version.DataCentreID][]Member)
	for _, member := range members {
		e.members[member.VM] = member
		byCentre[member.DataCentre] = append(byCentre[member.DataCentre], member)
	}
	for vm := range e.sources {
		if _, stays := e.members[vm]; !stays {
			delete(e.sources, vm)
		}
	}
	e.hubs = make(map[version.DataCentreID][]version.VMID)
	defer e.findPeers()
	if len(members) <= MeshMembers {
		return
	}
	for centre, list := range byCentre {
		slices.SortFunc(list, func(a, b Member) int {
			return cmp.Or(
				cmp.Compare(b.Capacity, a.Capacity),
				cmp.Compare(xxhash.Sum64String(string(a.VM)), xxhash.Sum64String(string(b.VM))))
		})
		for _, member := range list[:min(hubsPerCentre, len(list))] {
			e.hubs[centre] = append(e.hubs[centre], member.VM)
		}
	}
}

// Peers returns the VMs to keep links with, in order.
func (e *Exchange) Peers() []version.VMID { return e.peers }

func (e *Exchange) findPeers() {
	e.peers = nil
	for vm, member := range e.members {
		if vm != e.self && e.linked(member) {
			e.peers = append(e.peers, vm)
		}
	}
	slices.Sort(e.peers)
}

// linked reports whether this VM and another one report to each other.
func (e *Exchange) linked(other Member) bool {
	if len(e.hubs) == 0 {
		return true
	}
	self := e.members[e.self]
	sameCentre := other.DataCentre == self.DataCentre
	otherHub, hub := e.isHub(other.VM), e.isHub(e.self)
	return sameCentre && (otherHub || hub) || otherHub && hub
}

func (e *Exchange) isHub(vm version.VMID) bool {
	return slices.Contains(e.hubs[e.members[vm].DataCentre], vm)
}

// Hear takes a report and reports whether it counts. Of the two hubs of a data
// centre, only the first one that is heard does.
func (e *Exchange) Hear(now time.Time, from version.VMID, work wire.Work) bool {
	s := e.sources[from]
	if s == nil {
		s = newSource()
		e.sources[from] = s
	}
	s.work, s.at = work, now
	counts := e.counts(now, from)
	if !e.hub() {
		s.known = false
		return counts
	}
	sums := []*totals{&s.counted, &e.foreign}
	if e.isLocal(from) {
		sums[1] = &e.local
	}
	if !counts {
		sums = nil
	}
	s.advance(work, sums...)
	return counts
}

// advance takes newer totals of a source and adds what they grew by to sums. The
// first ones are only the point from which later ones count.
func (s *source) advance(work wire.Work, sums ...*totals) {
	if !s.known {
		s.known, sums = true, nil
	}
	s.last.advance(work, sums...)
}

// hub reports whether this VM is a hub of a large fleet.
func (e *Exchange) hub() bool { return len(e.hubs) > 0 && e.isHub(e.self) }

// Readers returns the VMs that read the platform's store for this one, the
// preferred one first; none in a small fleet, nor for a hub.
func (e *Exchange) Readers() []version.VMID {
	if len(e.hubs) == 0 || e.hub() {
		return nil
	}
	return e.hubs[e.members[e.self].DataCentre]
}

// Lenders returns the VMs that read the platform's store for themselves and may tell
// this one what they read; none in a large fleet, where readers do that.
func (e *Exchange) Lenders() []version.VMID {
	if len(e.hubs) > 0 {
		return nil
	}
	return e.Peers()
}

// speaks reports whether a VM is the hub that speaks for its data centre: the first
// one does while it is heard.
func (e *Exchange) speaks(now time.Time, vm version.VMID) bool {
	for _, hub := range e.hubs[e.members[vm].DataCentre] {
		if hub == vm {
			return true
		}
		if s := e.sources[hub]; s != nil && now.Sub(s.at) <= freshTime {
			return false
		}
	}
	return false
}

// counts reports whether a source's report is used.
func (e *Exchange) counts(now time.Time, from version.VMID) bool {
	if len(e.hubs) == 0 {
		return true
	}
	if e.isHub(e.self) && e.isLocal(from) {
		// Each VM of the own data centre tells of itself only. The other hub
		// does so too, beside the sums that it tells the others.
		return true
	}
	return e.speaks(now, from)
}

func (e *Exchange) isLocal(vm version.VMID) bool {
	return e.members[vm].DataCentre == e.members[e.self].DataCentre
}

// Outbox returns the reports to send, given this VM's own.
func (e *Exchange) Outbox(now time.Time, own wire.Work) []Message {
	e.own.work, e.own.at = own, now
	hub := e.hub()
	if hub {
		e.own.advance(own, &e.local)
	}
	stands := hub && e.speaks(now, e.self)
	var abroad *wire.Work
	var messages []Message
	for _, vm := range e.peers {
		work := own
		switch {
		case !hub, e.isHub(vm) && e.isLocal(vm):
		case !stands:
			continue
		case e.isLocal(vm):
			work = e.sum(now, vm, true)
		default:
			if abroad == nil {
				sum := e.sum(now, "", false)
				abroad = &sum
			}
			work = *abroad
		}
		messages = append(messages, Message{To: vm, Work: work})
	}
	return messages
}

// sum returns the work of this data centre without that of one VM, and of the
// others too if asked for.
func (e *Exchange) sum(now time.Time, without version.VMID, foreign bool) wire.Work {
	sums := e.local.clone()
	if s := e.sources[without]; s != nil {
		sums.subtract(s.counted)
	}
	if foreign {
		sums.add(e.foreign)
	}
	loads := make(map[version.UpstreamID]wire.UpstreamWork)
	addLoads(loads, e.own.work)
	// The hub's own work is new.
	age, count := time.Duration(0), 1
	for vm, s := range e.sources {
		if vm == without || now.Sub(s.at) > freshTime || !e.counts(now, vm) {
			continue
		}
		if e.isLocal(vm) || foreign {
			addLoads(loads, s.work)
			age += now.Sub(s.at) + time.Duration(s.work.AgeMS)*time.Millisecond
			count++
		}
	}
	work := sums.work(loads)
	work.AgeMS = uint32((age / time.Duration(count)).Milliseconds())
	return work
}

func addLoads(loads map[version.UpstreamID]wire.UpstreamWork, work wire.Work) {
	for _, entry := range work.Upstreams {
		sum := loads[entry.Upstream]
		sum.Running += entry.Running
		sum.Unread += entry.Unread
		sum.Memory += entry.Memory
		loads[entry.Upstream] = sum
	}
}
