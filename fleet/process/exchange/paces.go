package exchange

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// paceLifetime is the age up to which a hub passes a pace on. Later it says little of the present.
const paceLifetime = 500 * time.Millisecond

// PaceMessage is a pace report addressed to another VM.
type PaceMessage struct {
	To     version.VMID
	Report wire.PaceReport
}

// ReceivePaces records a pace report that was received from another VM and returns whether it is
// to be used.
func (r *Reporter) ReceivePaces(now time.Time, from version.VMID, report wire.PaceReport) bool {
	s := r.sources[from]
	if s == nil {
		s = newSource()
		r.sources[from] = s
	}
	s.paces, s.pacesAt = report, now
	return r.isUsed(now, from)
}

// PaceOutbox returns the pace reports to send, given the paces that this VM has heard from
// upstreams itself. There are none while no pace is known. Only hubs pass on what others have
// heard, and what a hub of another data centre has sent only to VMs of their own data centre, so no
// pace travels in a circle and grows younger by the time that its messages take.
func (r *Reporter) PaceOutbox(now time.Time, own wire.PaceReport) []PaceMessage {
	active := r.selfIsHub() && r.isActiveHub(now, r.self)
	var local, all wire.PaceReport
	if active {
		local, all = r.newestPaces(now, own, false), r.newestPaces(now, own, true)
	}
	var messages []PaceMessage
	for _, vm := range r.peers {
		report := own
		switch {
		case !r.selfIsHub(), r.isHub(vm) && r.isLocal(vm):
		case !active:
			continue
		case r.isLocal(vm):
			report = all
		default:
			report = local
		}
		if len(report.Upstreams) > 0 {
			messages = append(messages, PaceMessage{To: vm, Report: report})
		}
	}
	return messages
}

// newestPaces returns the newest pace of each upstream that this VM or another one of its data
// centre has heard; of any data centre if remote is set.
func (r *Reporter) newestPaces(now time.Time, own wire.PaceReport, remote bool) wire.PaceReport {
	newest := make(map[version.UpstreamID]wire.UpstreamPace, len(own.Upstreams))
	add := func(report wire.PaceReport, age time.Duration) {
		for _, entry := range report.Upstreams {
			total := entry.Age() + age
			if known, present := newest[entry.Upstream]; total > paceLifetime || present && known.Age() <= total {
				continue
			}
			newest[entry.Upstream] = wire.NewUpstreamPace(entry.Upstream, int(entry.Percent), total)
		}
	}
	add(own, 0)
	for vm, s := range r.sources {
		if age := now.Sub(s.pacesAt); age <= paceLifetime && (remote || r.isLocal(vm)) && r.isUsed(now, vm) {
			add(s.paces, age)
		}
	}
	var report wire.PaceReport
	for _, entry := range newest {
		report.Upstreams = append(report.Upstreams, entry)
	}
	return report
}
