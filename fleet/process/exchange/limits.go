package exchange

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// limitReportLifetime is how long a limit report is passed on after it was received.
const limitReportLifetime = time.Second

// LimitMessage is a limit report addressed to another VM.
type LimitMessage struct {
	To     version.VMID
	Report wire.LimitReport
}

// ReceiveLimits records a limit report that was received from another VM. It returns the scope
// that the report covers, which names the VMs, and whether the report is to be used. Of one scope
// only the newest report counts.
func (r *Reporter) ReceiveLimits(now time.Time, from version.VMID, report wire.LimitReport) (scope string, used bool) {
	s := r.sources[from]
	if s == nil {
		s = newSource()
		r.sources[from] = s
	}
	s.limits, s.limitsAt = report, now
	return r.scope(from), r.isUsed(now, from)
}

// scope names the VMs that the reports of a VM cover: itself, its data centre, or, from a hub of
// this VM's own data centre, all others.
func (r *Reporter) scope(from version.VMID) string {
	switch {
	case len(r.hubs) == 0, r.selfIsHub() && r.isLocal(from):
		return "vm " + string(from)
	case r.selfIsHub():
		return "data centre " + string(r.members[from].DataCentre)
	}
	return "fleet"
}

// LimitOutbox returns the limit reports to send, given this VM's own. There are none while no
// limit is known.
func (r *Reporter) LimitOutbox(now time.Time, own wire.LimitReport) []LimitMessage {
	active := r.selfIsHub() && r.isActiveHub(now, r.self)
	var local, all *limitSum
	if active {
		local, all = newLimitSum(own), newLimitSum(own)
		for vm, s := range r.sources {
			if !s.reportsLimits(now) || !r.isUsed(now, vm) {
				continue
			}
			all.add(s.limits, now.Sub(s.limitsAt))
			if r.isLocal(vm) {
				local.add(s.limits, now.Sub(s.limitsAt))
			}
		}
	}
	var messages []LimitMessage
	for _, vm := range r.peers {
		report := own
		switch {
		case !r.selfIsHub(), r.isHub(vm) && r.isLocal(vm):
		case !active:
			continue
		case r.isLocal(vm):
			report = all.without(r.sources[vm], now)
		default:
			report = local.without(nil, now)
		}
		if len(report.Upstreams) > 0 {
			messages = append(messages, LimitMessage{To: vm, Report: report})
		}
	}
	return messages
}

// reportsLimits reports whether the source's limit report is still passed on.
func (s *source) reportsLimits(now time.Time) bool {
	return len(s.limits.Upstreams) > 0 && now.Sub(s.limitsAt) <= limitReportLifetime
}

// limitSum adds up limit reports. Of an upstream's limit it keeps what was observed last.
type limitSum struct {
	vms       uint32
	demand    map[version.PoolID]uint32
	upstreams map[version.UpstreamID]wire.UpstreamLimit
}

func newLimitSum(own wire.LimitReport) *limitSum {
	sum := &limitSum{
		demand:    make(map[version.PoolID]uint32, len(own.Pools)),
		upstreams: make(map[version.UpstreamID]wire.UpstreamLimit, len(own.Upstreams)),
	}
	sum.add(own, 0)
	return sum
}

// add adds a report that was received age ago.
func (sum *limitSum) add(report wire.LimitReport, age time.Duration) {
	sum.vms += report.VMs
	for _, pool := range report.Pools {
		sum.demand[pool.Pool] += pool.MilliPerSecond
	}
	for _, entry := range report.Upstreams {
		entry.AgeMS += uint32(age.Milliseconds())
		known, present := sum.upstreams[entry.Upstream]
		sent := known.Sent + entry.Sent
		if !present || entry.AgeMS < known.AgeMS {
			known = entry
		}
		known.Sent = sent
		sum.upstreams[entry.Upstream] = known
	}
}

// without returns the sum less the counts of one source, which may be nil. What the source
// observed of limits stays: it does no harm to hear that again.
func (sum *limitSum) without(s *source, now time.Time) wire.LimitReport {
	report := wire.LimitReport{VMs: sum.vms}
	demand := make(map[version.PoolID]uint32)
	sent := make(map[version.UpstreamID]uint32)
	if s != nil && s.reportsLimits(now) {
		report.VMs -= s.limits.VMs
		for _, pool := range s.limits.Pools {
			demand[pool.Pool] = pool.MilliPerSecond
		}
		for _, entry := range s.limits.Upstreams {
			sent[entry.Upstream] = entry.Sent
		}
	}
	for pool, rate := range sum.demand {
		report.Pools = append(report.Pools, wire.PoolDemand{Pool: pool, MilliPerSecond: rate - demand[pool]})
	}
	for id, entry := range sum.upstreams {
		entry.Sent -= sent[id]
		report.Upstreams = append(report.Upstreams, entry)
	}
	return report
}
