package exchange

import (
	"maps"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/rollout/tally"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// rolloutSilence is how long after its last report a VM counts as heard: as long as a silent VM
	// keeps an order from being done.
	rolloutSilence = 3 * time.Second
	// rolloutRetention is how long the counts of a VM that is no longer heard are kept. It exceeds
	// the time limits of orders.
	rolloutRetention = 10 * time.Minute
	// maxRolloutSources bounds the sources whose counts are kept beyond the members.
	maxRolloutSources = 64
)

// hopsOverHubs is the number of VMs, after the one that reports, that a report passes through hubs to.
const hopsOverHubs = 3

// RolloutReportLifetime returns how old what a VM has reported of the present can be while another VM
// of the fleet still counts it. Each VM that passes it on may have held it for its whole lifetime.
func RolloutReportLifetime(members int) time.Duration {
	if members > MaxMeshMembers {
		return hopsOverHubs * reportLifetime
	}
	return reportLifetime
}

// RolloutMessage is a rollout report addressed to another VM.
type RolloutMessage struct {
	To     version.VMID
	Report wire.RolloutReport
}

// rolloutSource is what one scope has reported of rollouts. Unlike load, its counts stay when the
// VM dies, since they are evidence.
type rolloutSource struct {
	// vm is the VM that the scope consists of, and dataCentre its data centre. A scope of several
	// VMs has no vm, and a scope of all others no dataCentre.
	vm          version.VMID
	dataCentre  version.DataCentreID
	incarnation uint64
	vms         uint32
	receivedAt  time.Time
	// earlier holds the counts of the VM's ended incarnations, latest those of the present one.
	earlier, latest map[uint64]*tally.Order
	// present are the orders in the last report.
	present map[uint64]bool
}

// receive takes in a report. Counts that another incarnation begins anew are added to those before.
func (s *rolloutSource) receive(now time.Time, report wire.RolloutReport) {
	if s.incarnation != report.Incarnation {
		for key, order := range s.latest {
			order.Drained, order.OldRunning = 0, 0
			if known := s.earlier[key]; known != nil {
				known.Add(order)
			} else {
				s.earlier[key] = order
			}
		}
		s.incarnation, s.latest = report.Incarnation, make(map[uint64]*tally.Order)
	}
	s.vms, s.receivedAt = report.VMs, now
	for _, order := range s.latest {
		order.Drained, order.OldRunning = 0, 0
	}
	s.present = make(map[uint64]bool, len(report.Orders))
	for _, order := range report.Orders[:min(len(report.Orders), wire.MaxRolloutOrders)] {
		s.present[order.Key] = true
		if known := s.latest[order.Key]; known != nil {
			known.Raise(tally.FromWire(order))
		} else {
			s.latest[order.Key] = tally.FromWire(order)
		}
	}
	for _, orders := range []map[uint64]*tally.Order{s.latest, s.earlier} {
		if len(orders) > wire.MaxRolloutOrders {
			maps.DeleteFunc(orders, func(key uint64, _ *tally.Order) bool { return !s.present[key] })
		}
	}
}

// rolloutSum adds up sources.
type rolloutSum struct {
	vms    uint32
	orders map[uint64]*tally.Order
	// present are the orders that a VM reports at present. The counts of the others are kept by
	// those who know them, and not sent on.
	present map[uint64]bool
}

func newRolloutSum() *rolloutSum {
	return &rolloutSum{orders: make(map[uint64]*tally.Order), present: make(map[uint64]bool)}
}

// add adds a source, or takes it away if sign is negative. What describes the present counts only
// while it is recent.
func (sum *rolloutSum) add(now time.Time, s *rolloutSource, sign int) {
	age := now.Sub(s.receivedAt)
	if age <= rolloutSilence {
		sum.vms += uint32(sign) * s.vms
		if sign > 0 {
			for key := range s.present {
				sum.present[key] = true
			}
		}
	}
	for _, orders := range []map[uint64]*tally.Order{s.earlier, s.latest} {
		for key, order := range orders {
			total := sum.orders[key]
			if total == nil {
				total = tally.New()
				sum.orders[key] = total
			}
			present := *order
			if age > reportLifetime {
				present.Drained = 0
			}
			if age > rolloutSilence {
				present.OldRunning = 0
			}
			if age <= rolloutSilence && present.ElapsedMS > 0 {
				present.ElapsedMS += uint32(age.Milliseconds())
			}
			if sign > 0 {
				total.Add(&present)
			} else {
				total.Subtract(&present)
			}
		}
	}
}

// report returns the report of the sum.
func (sum *rolloutSum) report() wire.RolloutReport {
	report := wire.RolloutReport{VMs: sum.vms}
	for _, key := range slices.Sorted(maps.Keys(sum.present)) {
		if len(report.Orders) == wire.MaxRolloutOrders {
			break
		}
		report.Orders = append(report.Orders, sum.orders[key].Wire(key))
	}
	return report
}

// without returns the report of the sum without one source, which may be nil.
func (sum *rolloutSum) without(now time.Time, s *rolloutSource) wire.RolloutReport {
	if s == nil {
		return sum.report()
	}
	rest := &rolloutSum{vms: sum.vms, orders: make(map[uint64]*tally.Order, len(sum.orders)), present: sum.present}
	for key, order := range sum.orders {
		rest.orders[key] = order.Clone()
	}
	rest.add(now, s, -1)
	return rest.report()
}

// ReceiveRollout records a rollout report that was received from another VM.
func (r *Reporter) ReceiveRollout(now time.Time, from version.VMID, report wire.RolloutReport) {
	if !r.isUsed(now, from) {
		return
	}
	scope := r.scope(from)
	s := r.rollouts[scope]
	if s == nil {
		s = &rolloutSource{
			incarnation: report.Incarnation,
			earlier:     make(map[uint64]*tally.Order), latest: make(map[uint64]*tally.Order),
		}
		r.rollouts[scope] = s
	}
	s.vm, s.dataCentre = "", ""
	if scope != "fleet" {
		s.dataCentre = r.members[from].DataCentre
	}
	if len(r.hubs) == 0 || r.selfIsHub() && r.isLocal(from) {
		s.vm = from
	}
	s.receive(now, report)
}

// RolloutSum returns the sum of what all other VMs have reported, and the age of the last report; at
// least rolloutRetention if there is none. It is to be computed as often as reports are sent, not for
// each that comes.
func (r *Reporter) RolloutSum(now time.Time) (sum wire.RolloutReport, age time.Duration) {
	r.expireRollouts(now)
	age = rolloutRetention
	for _, s := range r.rollouts {
		if r.rolloutCounts(s) {
			age = min(age, now.Sub(s.receivedAt))
		}
	}
	return r.rolloutSum(now, true).report(), age
}

// rolloutSum returns the sum of what the other VMs have reported, or with remote unset of those of
// this data centre alone.
func (r *Reporter) rolloutSum(now time.Time, remote bool) *rolloutSum {
	sum := newRolloutSum()
	for _, s := range r.rollouts {
		if r.rolloutCounts(s) && (remote || s.vm != "") {
			sum.add(now, s, 1)
		}
	}
	return sum
}

// rolloutCounts reports whether a source belongs to the sums of this VM in its present role. Sources
// of a former role cover VMs that others cover now.
func (r *Reporter) rolloutCounts(s *rolloutSource) bool {
	own := r.members[r.self].DataCentre
	switch {
	case len(r.hubs) == 0:
		return s.vm != ""
	case r.selfIsHub():
		return (s.vm != "") == (s.dataCentre == own) && s.dataCentre != ""
	}
	return s.dataCentre == ""
}

// expireRollouts drops the counts of sources that have not been heard for long.
func (r *Reporter) expireRollouts(now time.Time) {
	retention := rolloutRetention
	if len(r.rollouts) > len(r.members)+maxRolloutSources {
		retention = 2 * rolloutSilence
	}
	maps.DeleteFunc(r.rollouts, func(_ string, s *rolloutSource) bool { return now.Sub(s.receivedAt) > retention })
}

// RolloutOutbox returns the rollout reports to send, given this VM's own. There are none while no
// VM knows an order.
func (r *Reporter) RolloutOutbox(now time.Time, own wire.RolloutReport) []RolloutMessage {
	if own.VMs == 0 || len(own.Orders) == 0 && !r.hearsOrders(now) {
		return nil
	}
	self := &rolloutSource{vm: r.self, vms: own.VMs, receivedAt: now, latest: make(map[uint64]*tally.Order), present: make(map[uint64]bool)}
	for _, order := range own.Orders {
		self.present[order.Key] = true
		self.latest[order.Key] = tally.FromWire(order)
	}
	active := r.selfIsHub() && r.isActiveHub(now, r.self)
	var all *rolloutSum
	var local wire.RolloutReport
	if active {
		all = r.rolloutSum(now, true)
		all.add(now, self, 1)
		sum := r.rolloutSum(now, false)
		sum.add(now, self, 1)
		local = sum.report()
	}
	var messages []RolloutMessage
	for _, vm := range r.peers {
		report := own
		switch {
		case !r.selfIsHub(), r.isHub(vm) && r.isLocal(vm):
		case !active:
			continue
		case r.isLocal(vm):
			report = all.without(now, r.rollouts["vm "+string(vm)])
		default:
			report = local
		}
		messages = append(messages, RolloutMessage{To: vm, Report: report})
	}
	return messages
}

// hearsOrders reports whether another VM has reported an order lately.
func (r *Reporter) hearsOrders(now time.Time) bool {
	for _, s := range r.rollouts {
		if len(s.present) > 0 && now.Sub(s.receivedAt) <= rolloutSilence {
			return true
		}
	}
	return false
}
