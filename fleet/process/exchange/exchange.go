// Package exchange decides which VM sends load reports to which, so that every VM
// knows the load that the whole fleet places on the upstreams.
//
// A small fleet is a full mesh: each VM sends its report to every other VM. In a
// large fleet, two VMs of each data centre are hubs. The VMs of a data centre
// report to both hubs. Hubs report the sum of their data centre to the hubs of other
// data centres, and to each VM of their own the sum of the rest of the fleet. The
// number of messages that a VM other than a hub sends therefore does not grow with
// the fleet. There are two hubs so that the loss of one does not interrupt reports.
//
// A Reporter does no I/O and reads no clock.
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
	// MaxMeshMembers is the maximum number of VMs in a full mesh. In a larger mesh a VM
	// would spend more than 1% of a processor on reports.
	MaxMeshMembers = 12
	// hubsPerDataCentre is the number of hubs of a data centre.
	hubsPerDataCentre = 2
	// reportLifetime is how long a report is valid after it was received. It is
	// several times the report interval.
	reportLifetime = 500 * time.Millisecond
)

// Member is one VM of the fleet.
type Member struct {
	VM         version.VMID
	DataCentre version.DataCentreID
	// Capacity is the number of processor cores of the VM. The VMs with the most
	// become hubs.
	Capacity float64
}

// Message is a load report addressed to another VM.
type Message struct {
	To   version.VMID
	Work wire.LoadReport
}

// Reporter holds the reports that one VM received and builds those that it sends. It
// is not safe for concurrent use.
type Reporter struct {
	self    version.VMID
	members map[version.VMID]Member
	// hubs lists the hubs of each data centre, the preferred hub first; it is empty
	// in a full mesh.
	hubs    map[version.DataCentreID][]version.VMID
	sources map[version.VMID]*source
	// local sums the totals of the VMs of this data centre, remote those of the
	// other data centres. Only a hub uses them.
	local, remote totals
	own           *source
	// rollouts holds what was reported of rollouts, by scope.
	rollouts map[string]*rolloutSource
	// peers lists the VMs to keep links with, sorted by ID.
	peers []version.VMID
}

// source is the state kept for a VM that reports to this one.
type source struct {
	report     wire.LoadReport
	receivedAt time.Time
	// counted is the contribution of the source to the sums. Only a hub maintains it.
	counted totals
	// last holds the newest totals that the source sent to this hub. hasBaseline is
	// set once there are any.
	last        totals
	hasBaseline bool
	// limits is the newest limit report, received at limitsAt.
	limits   wire.LimitReport
	limitsAt time.Time
	// paces is the newest pace report, received at pacesAt.
	paces   wire.PaceReport
	pacesAt time.Time
}

// New returns the reporter of a VM that knows no other members.
func New(self version.VMID) *Reporter {
	return &Reporter{
		self:     self,
		members:  make(map[version.VMID]Member),
		sources:  make(map[version.VMID]*source),
		local:    newTotals(),
		remote:   newTotals(),
		own:      newSource(),
		rollouts: make(map[string]*rolloutSource),
	}
}

func newSource() *source { return &source{counted: newTotals(), last: newTotals()} }

// SetMembers sets the VMs of the fleet, including this one, and elects the hubs. It
// drops the reports of VMs that are no longer members.
func (r *Reporter) SetMembers(members []Member) {
	clear(r.members)
	byDataCentre := make(map[version.DataCentreID][]Member)
	for _, member := range members {
		r.members[member.VM] = member
		byDataCentre[member.DataCentre] = append(byDataCentre[member.DataCentre], member)
	}
	for vm := range r.sources {
		if _, isMember := r.members[vm]; !isMember {
			delete(r.sources, vm)
		}
	}
	r.hubs = make(map[version.DataCentreID][]version.VMID)
	defer r.updatePeers()
	if len(members) <= MaxMeshMembers {
		return
	}
	for dataCentre, candidates := range byDataCentre {
		slices.SortFunc(candidates, func(a, b Member) int {
			return cmp.Or(
				cmp.Compare(b.Capacity, a.Capacity),
				cmp.Compare(xxhash.Sum64String(string(a.VM)), xxhash.Sum64String(string(b.VM))))
		})
		for _, member := range candidates[:min(hubsPerDataCentre, len(candidates))] {
			r.hubs[dataCentre] = append(r.hubs[dataCentre], member.VM)
		}
	}
}

// Peers returns the VMs to keep links with, sorted by ID.
func (r *Reporter) Peers() []version.VMID { return r.peers }

func (r *Reporter) updatePeers() {
	r.peers = nil
	for vm, member := range r.members {
		if vm != r.self && r.hasLink(member) {
			r.peers = append(r.peers, vm)
		}
	}
	slices.Sort(r.peers)
}

// hasLink reports whether this VM and another one report to each other.
func (r *Reporter) hasLink(other Member) bool {
	if len(r.hubs) == 0 {
		return true
	}
	self := r.members[r.self]
	sameDataCentre := other.DataCentre == self.DataCentre
	otherIsHub, selfIsHub := r.isHub(other.VM), r.isHub(r.self)
	return sameDataCentre && (otherIsHub || selfIsHub) || otherIsHub && selfIsHub
}

func (r *Reporter) isHub(vm version.VMID) bool {
	return slices.Contains(r.hubs[r.members[vm].DataCentre], vm)
}

// Receive records a report that was received from another VM and returns whether it is
// to be used. Of the two hubs of a data centre, only the reports of the active hub are
// used, so that no load is counted twice.
func (r *Reporter) Receive(now time.Time, from version.VMID, report wire.LoadReport) bool {
	s := r.sources[from]
	if s == nil {
		s = newSource()
		r.sources[from] = s
	}
	s.report, s.receivedAt = report, now
	used := r.isUsed(now, from)
	if !r.selfIsHub() {
		s.hasBaseline = false
		return used
	}
	sums := []*totals{&s.counted, &r.remote}
	if r.isLocal(from) {
		sums[1] = &r.local
	}
	if !used {
		sums = nil
	}
	s.advance(report, sums...)
	return used
}

// advance records newer totals of a source and adds their growth to sums. The first
// totals are only the baseline for later ones and add nothing.
func (s *source) advance(report wire.LoadReport, sums ...*totals) {
	if !s.hasBaseline {
		s.hasBaseline, sums = true, nil
	}
	s.last.advance(report, sums...)
}

// Relays returns the VMs to which a message for the whole fleet is passed on that came from
// another VM, or is this VM's own. In a full mesh its sender has told all. With hubs, those of a
// data centre pass on what its VMs tell to all others, and what other data centres' hubs tell to
// its VMs.
func (r *Reporter) Relays(from version.VMID) []version.VMID {
	switch {
	case from == r.self:
		return r.peers
	case !r.selfIsHub():
		return nil
	}
	fromLocal := r.isLocal(from)
	return slices.DeleteFunc(slices.Clone(r.peers), func(vm version.VMID) bool {
		localHub := r.isLocal(vm) && r.isHub(vm)
		return vm == from || localHub || r.isHub(from) && (fromLocal || !r.isLocal(vm))
	})
}

// selfIsHub reports whether this VM is a hub. A full mesh has no hubs.
func (r *Reporter) selfIsHub() bool { return len(r.hubs) > 0 && r.isHub(r.self) }

// StoreReaders returns the VMs that read the platform's store on behalf of this one, the
// preferred VM first. There are none in a full mesh and none for a hub.
func (r *Reporter) StoreReaders() []version.VMID {
	if len(r.hubs) == 0 || r.selfIsHub() {
		return nil
	}
	return r.hubs[r.members[r.self].DataCentre]
}

// StoreSources returns the VMs that read the platform's store for themselves and may pass
// on the content to this one. There are none in a fleet with hubs, where StoreReaders do
// this.
func (r *Reporter) StoreSources() []version.VMID {
	if len(r.hubs) > 0 {
		return nil
	}
	return r.Peers()
}

// isActiveHub reports whether a VM is the active hub of its data centre, whose sums
// are used. A hub is active while no hub that is preferred to it has a valid report.
func (r *Reporter) isActiveHub(now time.Time, vm version.VMID) bool {
	for _, hub := range r.hubs[r.members[vm].DataCentre] {
		if hub == vm {
			return true
		}
		if s := r.sources[hub]; s != nil && now.Sub(s.receivedAt) <= reportLifetime {
			return false
		}
	}
	return false
}

// isUsed reports whether the reports of a source are used.
func (r *Reporter) isUsed(now time.Time, from version.VMID) bool {
	if len(r.hubs) == 0 {
		return true
	}
	if r.isHub(r.self) && r.isLocal(from) {
		// The VMs of this data centre report only their own load to a hub. So does
		// the other hub; its sums go to other VMs.
		return true
	}
	return r.isActiveHub(now, from)
}

func (r *Reporter) isLocal(vm version.VMID) bool {
	return r.members[vm].DataCentre == r.members[r.self].DataCentre
}

// Outbox returns the reports to send, given this VM's own load.
func (r *Reporter) Outbox(now time.Time, own wire.LoadReport) []Message {
	r.own.report, r.own.receivedAt = own, now
	hub := r.selfIsHub()
	if hub {
		r.own.advance(own, &r.local)
	}
	active := hub && r.isActiveHub(now, r.self)
	var localSum *wire.LoadReport
	var messages []Message
	for _, vm := range r.peers {
		report := own
		switch {
		case !hub, r.isHub(vm) && r.isLocal(vm):
		case !active:
			continue
		case r.isLocal(vm):
			report = r.sum(now, vm, true)
		default:
			if localSum == nil {
				sum := r.sum(now, "", false)
				localSum = &sum
			}
			report = *localSum
		}
		messages = append(messages, Message{To: vm, Work: report})
	}
	return messages
}

// sum returns the load of this data centre except that of one VM. It includes the load
// of the other data centres if remote is set.
func (r *Reporter) sum(now time.Time, except version.VMID, remote bool) wire.LoadReport {
	sums := r.local.clone()
	if s := r.sources[except]; s != nil {
		sums.subtract(s.counted)
	}
	if remote {
		sums.add(r.remote)
	}
	loads := make(map[version.UpstreamID]wire.UpstreamLoad)
	addLoads(loads, r.own.report)
	// The hub's own load is current, so its age is 0.
	age, count := time.Duration(0), 1
	for vm, s := range r.sources {
		if vm == except || now.Sub(s.receivedAt) > reportLifetime || !r.isUsed(now, vm) {
			continue
		}
		if r.isLocal(vm) || remote {
			addLoads(loads, s.report)
			age += now.Sub(s.receivedAt) + time.Duration(s.report.AgeMS)*time.Millisecond
			count++
		}
	}
	report := sums.report(loads)
	report.AgeMS = uint32((age / time.Duration(count)).Milliseconds())
	return report
}

func addLoads(loads map[version.UpstreamID]wire.UpstreamLoad, report wire.LoadReport) {
	for _, entry := range report.Upstreams {
		sum := loads[entry.Upstream]
		sum.Running += entry.Running
		sum.PendingPromptTokens += entry.PendingPromptTokens
		sum.KVTokens += entry.KVTokens
		loads[entry.Upstream] = sum
	}
}
