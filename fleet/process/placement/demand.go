package placement

import (
	"math"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// demandHalfLife is the time after which a request counts half in the demand of this VM.
	demandHalfLife = 2 * time.Second
	// limitReportTTL is how long the limit report of other VMs is used.
	limitReportTTL = time.Second
	// limitSumInterval is the least time between two sums of the limit reports.
	limitSumInterval = 50 * time.Millisecond
	// assumedFleetSize is the number of VMs that are assumed until the members are known.
	assumedFleetSize = 16
)

// demandMeter measures the rate at which callers send requests of one pool to this VM, as far as
// the fair shares of their accounts cover them. An account that asks for more than its share, or
// asks again and again, does not draw to its VMs what upstreams take.
type demandMeter struct {
	perSecond float64
	updatedAt time.Time
}

// record counts a request of an account whose share covers a fraction of its requests.
func (m *demandMeter) record(now time.Time, entitledFraction float64) {
	m.perSecond = m.rate(now) + math.Ln2/demandHalfLife.Seconds()*entitledFraction
	m.updatedAt = now
}

// rate returns the demand in requests per second.
func (m *demandMeter) rate(now time.Time) float64 {
	return m.perSecond * decay(max(now.Sub(m.updatedAt), 0), demandHalfLife)
}

// peerLimits is what the newest limit report of a scope says of the VMs that it covers.
type peerLimits struct {
	vms        int
	demand     map[version.PoolID]float64
	sent       map[version.UpstreamID]int
	receivedAt time.Time
}

// demandOf returns the meter of a pool, which it creates if there is none.
func (p *Placer) demandOf(pool version.PoolID) *demandMeter {
	meter := p.demand[pool]
	if meter == nil {
		meter = &demandMeter{}
		p.demand[pool] = meter
	}
	return meter
}

// fleetPart returns the part of what an upstream of a pool takes from the fleet that this VM may
// use, 0 to 1: its part of the callers' requests.
//
// An even part of the VMs that report nothing is left to them, so that the parts of VMs that do
// not hear of each other never add up to more than 1.
func (p *Placer) fleetPart(now time.Time, pool version.PoolID) float64 {
	own := p.demandOf(pool).rate(now)
	if own <= 0 {
		return 0
	}
	peers := p.peerLimitSum(now)
	size := len(p.members)
	if p.joinedAt.IsZero() {
		size = max(size, assumedFleetSize)
	}
	return own / (own + peers.demand[pool]) * min(float64(peers.vms+1)/float64(size), 1)
}

// peerLimitSum returns the sum of the limit reports of other VMs, without those older than
// limitReportTTL, which it drops. It is at most limitSumInterval old, so that placing a request
// costs the same in any fleet.
func (p *Placer) peerLimitSum(now time.Time) peerLimits {
	if age := now.Sub(p.limitSum.receivedAt); age >= 0 && age < limitSumInterval {
		return p.limitSum
	}
	sum := peerLimits{
		demand: make(map[version.PoolID]float64), sent: make(map[version.UpstreamID]int), receivedAt: now,
	}
	for scope, peers := range p.peerLimits {
		if now.Sub(peers.receivedAt) > limitReportTTL {
			delete(p.peerLimits, scope)
			continue
		}
		sum.vms += peers.vms
		for pool, rate := range peers.demand {
			sum.demand[pool] += rate
		}
		for id, count := range peers.sent {
			sum.sent[id] += count
		}
	}
	p.limitSum = sum
	return sum
}

// LimitReport returns this VM's limit report for the other VMs. It has no upstreams while this
// VM knows of no limit.
func (p *Placer) LimitReport(now time.Time) wire.LimitReport {
	report := wire.LimitReport{VMs: 1}
	for _, u := range p.upstreams {
		if u.advice == nil || !u.advice.limit.Reportable(now) {
			continue
		}
		limit := &u.advice.limit
		report.Upstreams = append(report.Upstreams, wire.NewUpstreamLimit(u.ID, limit.RateLimit, now.Sub(limit.ObservedAt), u.sends.Within(now, limitWindow)))
	}
	for pool, meter := range p.demand {
		if rate := meter.rate(now); rate > 0 && len(report.Upstreams) > 0 {
			report.Pools = append(report.Pools, wire.PoolDemand{Pool: pool, MilliPerSecond: wire.Milli(rate)})
		}
	}
	return report
}

// ReceiveLimits processes a limit report that covers the VMs of a scope.
func (p *Placer) ReceiveLimits(now time.Time, scope string, report wire.LimitReport) {
	peers := peerLimits{
		vms:        int(report.VMs),
		demand:     make(map[version.PoolID]float64, len(report.Pools)),
		sent:       make(map[version.UpstreamID]int, len(report.Upstreams)),
		receivedAt: now,
	}
	for _, pool := range report.Pools {
		peers.demand[pool.Pool] = pool.PerSecond()
	}
	for _, entry := range report.Upstreams {
		if p.upstreams[entry.Upstream] == nil {
			continue
		}
		peers.sent[entry.Upstream] = int(entry.Sent)
		p.hearLimit(now, entry.Upstream, entry.RateLimit(), now.Add(-entry.Age()))
	}
	p.peerLimits[scope] = peers
}

// sentByPeers returns how many requests other VMs sent to an upstream in the last limitWindow, as
// far as they reported.
func (p *Placer) sentByPeers(now time.Time, id version.UpstreamID) int {
	return p.peerLimitSum(now).sent[id]
}
