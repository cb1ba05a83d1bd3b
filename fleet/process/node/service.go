package node

import (
	"slices"
	"strconv"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/membership"
	"github.com/trefoilwell/trefoilwell/fleet/process/service"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// handoverRetention is how long a former home keeps an account's state
	// after the handover.
	handoverRetention = 10 * time.Second
	// minProgressCost is the minimum cost at which an entry reports the progress
	// of an attempt, in cost units.
	minProgressCost = 64
)

// serviceAccounting is a node's state for service accounting, as a dispatcher's
// daemon, a home and an entry.
type serviceAccounting struct {
	meter *service.Meter
	home  *service.Home
	pacer *service.Pacer
	// homes caches the accounts' homes in each data centre for the present
	// view.
	homes map[homeKey]version.VMID
	// handedOverAt is when an account's state was sent to its new home.
	handedOverAt map[version.AccountID]time.Time
	lastSent     time.Time
	// runningAttempts holds the attempts of this daemon's entry that have not
	// completed.
	runningAttempts map[request.ID]runningAttempt
	// estimates are those of the requests of this daemon's entry.
	estimates *service.Estimates
}

// homeKey identifies an account's home in a data centre.
type homeKey struct {
	dataCentre version.DataCentreID
	account    version.AccountID
}

// runningAttempt holds what an attempt has cost so far and the cost at which
// its progress is reported next, in cost units.
type runningAttempt struct {
	ticket   request.Ticket
	cost     request.Cost
	reportAt request.Cost
}

// newServiceAccounting returns service accounting without any counts.
func newServiceAccounting() *serviceAccounting {
	return &serviceAccounting{
		meter:           service.NewMeter(),
		home:            service.NewHome(),
		pacer:           service.NewPacer(),
		homes:           make(map[homeKey]version.VMID),
		handedOverAt:    make(map[version.AccountID]time.Time),
		runningAttempts: make(map[request.ID]runningAttempt),
		estimates:       service.NewEstimates(),
	}
}

// Level returns an account's service level in weighted cost units, as far as it
// is known here.
func (n *Node) Level(account version.AccountID) float64 { return n.accounting.meter.Level(account) }

// charge adds to the cost of a running attempt and reports it to the dispatcher
// if it exceeds what was charged there.
func (n *Node) charge(now time.Time, event Charge) {
	attempt, tracked := n.accounting.runningAttempts[event.ID]
	if !tracked {
		return
	}
	attempt.cost += event.Cost
	if attempt.cost >= attempt.reportAt {
		attempt.reportAt = attempt.cost * service.ProgressFactor
		n.deliver(now, n.entry.Dispatcher(attempt.ticket.Pool), wire.Progress{
			Pool:    attempt.ticket.Pool,
			ID:      event.ID,
			Attempt: attempt.ticket.Attempt,
			Cost:    uint32(attempt.cost),
		})
	}
	n.accounting.runningAttempts[event.ID] = attempt
}

// trackAttempt starts tracking the cost of an attempt.
func (n *Node) trackAttempt(ticket request.Ticket) {
	next := max(n.accounting.estimates.Of(ticket), minProgressCost)
	n.accounting.runningAttempts[ticket.ID] = runningAttempt{ticket: ticket, reportAt: next}
}

// finishAttempt ends the tracking of an attempt and, if it was done, adds its
// cost to the estimates.
func (n *Node) finishAttempt(finish request.Finish) {
	attempt, tracked := n.accounting.runningAttempts[finish.ID]
	if tracked && finish.Outcome == request.OutcomeDone {
		n.accounting.estimates.Observe(attempt.ticket.Account, attempt.ticket.Lane, finish.Cost)
	}
	delete(n.accounting.runningAttempts, finish.ID)
}

// dropAttempt ends the tracking of a request that was not executed.
func (n *Node) dropAttempt(id request.ID) { delete(n.accounting.runningAttempts, id) }

// serviceViewChanged adapts service accounting to a new view of the members.
func (n *Node) serviceViewChanged(now time.Time) {
	clear(n.accounting.homes)
	n.accounting.home.ClearLostBacklogs(n.vmAlive, n.dataCentreAlive)
	n.handOver(now)
}

// servicePeerChanged makes all records be sent again to a daemon whose link
// changed.
func (n *Node) servicePeerChanged(vm version.VMID) { n.accounting.pacer.Reset(vm) }

// tickService sends the records that changed, every service.ReportInterval.
func (n *Node) tickService(now time.Time) {
	if now.Sub(n.accounting.lastSent) < service.ReportInterval {
		return
	}
	n.accounting.lastSent = now
	n.accounting.meter.Tick(now)
	n.accounting.home.Tick(now)
	n.forgetHandedOver(now)
	n.sendRecords(now, n.accounting.pacer.Choose(now, n.serviceCandidates(now)))
}

// serviceCandidates returns every record that other daemons should have.
// Records for this daemon itself are applied at once.
func (n *Node) serviceCandidates(now time.Time) []service.Candidate {
	var candidates []service.Candidate
	for _, record := range n.accounting.meter.Reports(now) {
		home, found := n.accountHome(n.options.DataCentre, record.Account)
		if found && home == n.options.VM {
			n.accounting.home.Report(now, n.source(), record)
		} else if found {
			candidates = append(candidates, service.Candidate{Channel: service.ChannelReport, To: home, Record: record})
		}
	}
	others := n.othersInService()
	reached := len(n.otherDataCentres()) >= len(others)
	for _, report := range n.accounting.home.LevelReports(now, others, reached) {
		if report.To == n.source() {
			n.applyLevelReport(n.source(), n.accounting.home.NextSequence(), report.Partial, report.Record)
		} else if report.To.VM != n.options.VM {
			candidates = append(candidates, service.Candidate{
				Channel:     service.ChannelLevels,
				To:          report.To.VM,
				Incarnation: report.To.Incarnation,
				Partial:     report.Partial,
				Record:      report.Record,
			})
		}
	}
	return append(candidates, n.dataCentreSumCandidates()...)
}

// dataCentreSumCandidates returns the sums of this data centre for the homes in
// the other data centres.
func (n *Node) dataCentreSumCandidates() []service.Candidate {
	var candidates []service.Candidate
	others := n.otherDataCentres()
	for _, record := range n.accounting.home.DataCentreSums() {
		if home, _ := n.accountHome(n.options.DataCentre, record.Account); home != n.options.VM {
			continue
		}
		for _, other := range others {
			to, found := n.accountHome(other, record.Account)
			if found {
				candidates = append(candidates, service.Candidate{Channel: service.ChannelDataCentreSum, To: to, Record: record})
			}
		}
	}
	return candidates
}

// sendRecords sends the chosen records, in one message per channel and
// receiver.
func (n *Node) sendRecords(now time.Time, chosen []service.Candidate) {
	for len(chosen) > 0 {
		first := chosen[0]
		var records []wire.ServiceRecord
		for len(chosen) > 0 && sameMessage(chosen[0], first) {
			records = append(records, chosen[0].Record.Wire())
			chosen = chosen[1:]
		}
		n.deliver(now, first.To, n.recordMessage(first, records))
	}
}

// sameMessage reports whether two records belong in the same message.
func sameMessage(a, b service.Candidate) bool {
	return a.Channel == b.Channel && a.To == b.To && a.Partial == b.Partial
}

// recordMessage returns the message that carries records of the same channel
// and receiver as first.
func (n *Node) recordMessage(first service.Candidate, records []wire.ServiceRecord) wire.Message {
	switch first.Channel {
	case service.ChannelReport:
		return wire.ServiceReport{Records: records}
	case service.ChannelLevels:
		return wire.ServiceLevels{
			Incarnation: uint32(first.Incarnation),
			Sequence:    n.accounting.home.NextSequence(),
			Partial:     first.Partial,
			Records:     records,
		}
	default:
		return wire.ServiceDataCentreReport{DataCentre: n.options.DataCentre, Records: records}
	}
}

// accountHome returns the VM that is an account's home in a data centre, and
// whether there is one.
func (n *Node) accountHome(dataCentre version.DataCentreID, account version.AccountID) (version.VMID, bool) {
	key := homeKey{dataCentre: dataCentre, account: account}
	if vm, cached := n.accounting.homes[key]; cached {
		return vm, vm != ""
	}
	vm, _ := n.view.Owner(dataCentre, "home/"+strconv.FormatUint(uint64(account), 10))
	n.accounting.homes[key] = vm
	return vm, vm != ""
}

// homeElsewhere returns the account's home in this data centre, and whether
// that is another daemon.
func (n *Node) homeElsewhere(account version.AccountID) (version.VMID, bool) {
	vm, found := n.accountHome(n.options.DataCentre, account)
	return vm, found && vm != n.options.VM
}

// source identifies this daemon's meter.
func (n *Node) source() service.Source {
	return service.Source{VM: n.options.VM, Incarnation: n.options.Incarnation}
}

// vmAlive reports whether a VM is a member that has not lapsed.
func (n *Node) vmAlive(vm version.VMID) bool {
	member, known := n.view.Member(vm)
	return known && member.State != membership.Lapsed
}

// dataCentreAlive reports whether a data centre has a member that has not
// lapsed.
func (n *Node) dataCentreAlive(id version.DataCentreID) bool {
	for _, member := range n.view.Members {
		if member.DataCentre == id && member.State != membership.Lapsed {
			return true
		}
	}
	return false
}

// otherDataCentres returns the other data centres with a member that is alive,
// in the order of their first VM.
func (n *Node) otherDataCentres() []version.DataCentreID {
	seen := make(map[version.DataCentreID]bool)
	var others []version.DataCentreID
	for _, member := range n.view.Members {
		id := member.DataCentre
		if id == n.options.DataCentre || seen[id] || member.State != membership.Alive {
			continue
		}
		seen[id] = true
		others = append(others, id)
	}
	return others
}

// othersInService returns the other data centres that operators have not taken
// out of service, in order.
func (n *Node) othersInService() []version.DataCentreID {
	if n.config == nil {
		return nil
	}
	var others []version.DataCentreID
	for id := range n.config.DataCentres {
		if id != n.options.DataCentre && !n.config.DataCentreOut(id) {
			others = append(others, id)
		}
	}
	slices.Sort(others)
	return others
}
