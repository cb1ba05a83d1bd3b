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
	// handoverDelay is how long a former home keeps an account after it handed
	// it over.
	handoverDelay = 10 * time.Second
	// leastProgress is the least cost at which an entry reports progress.
	leastProgress = 64
)

// sums is a node's part in counting what the accounts were served.
type sums struct {
	meter *service.Meter
	home  *service.Home
	pacer *service.Pacer
	// owners caches the accounts' homes in each data centre for one view.
	owners map[homeKey]version.VMID
	// handed is when an account's state went to its new home.
	handed map[version.AccountID]time.Time
	sent   time.Time
	// streams follows the running attempts of this entry.
	streams map[request.ID]stream
	// estimates are of the requests of this entry.
	estimates *service.Estimates
}

type homeKey struct {
	dataCentre version.DataCentreID
	account    version.AccountID
}

// stream is what a request has cost so far and when to say so next.
type stream struct {
	ticket request.Ticket
	cost   request.Cost
	next   request.Cost
}

func newSums() *sums {
	return &sums{
		meter:     service.NewMeter(),
		home:      service.NewHome(),
		pacer:     service.NewPacer(),
		owners:    make(map[homeKey]version.VMID),
		handed:    make(map[version.AccountID]time.Time),
		streams:   make(map[request.ID]stream),
		estimates: service.NewEstimates(),
	}
}

// Level returns an account's service in weighted cost units, as far as it is
// known here.
func (n *Node) Level(account version.AccountID) float64 { return n.sums.meter.Level(account) }

// charge follows a running attempt and tells its dispatcher when it costs more
// than expected.
func (n *Node) charge(now time.Time, event Charge) {
	s, known := n.sums.streams[event.ID]
	if !known {
		return
	}
	s.cost += event.Cost
	if s.cost >= s.next {
		s.next = s.cost * service.ProgressStep
		n.deliver(now, n.entry.Dispatcher(s.ticket.Pool), wire.Progress{
			Pool:    s.ticket.Pool,
			ID:      event.ID,
			Attempt: s.ticket.Attempt,
			Cost:    uint32(s.cost),
		})
	}
	n.sums.streams[event.ID] = s
}

// streamSubmitted begins to follow an attempt of a request.
func (n *Node) streamSubmitted(ticket request.Ticket) {
	next := max(n.sums.estimates.Of(ticket), leastProgress)
	n.sums.streams[ticket.ID] = stream{ticket: ticket, next: next}
}

// streamEnded ends what streamSubmitted began.
func (n *Node) streamEnded(finish request.Finish) {
	s, known := n.sums.streams[finish.ID]
	if known && finish.Outcome == request.OutcomeDone {
		n.sums.estimates.Learn(s.ticket.Account, s.ticket.Lane, finish.Cost)
	}
	delete(n.sums.streams, finish.ID)
}

// streamDropped forgets a request that ended without running.
func (n *Node) streamDropped(id request.ID) { delete(n.sums.streams, id) }

// serviceViewChanged follows a new picture of the members.
func (n *Node) serviceViewChanged(now time.Time) {
	clear(n.sums.owners)
	n.sums.home.Lapse(n.vmAlive, n.dataCentreAlive)
	n.handOver(now)
}

// servicePeerChanged forgets what was sent to a daemon that came or went.
func (n *Node) servicePeerChanged(vm version.VMID) { n.sums.pacer.Reset(vm) }

// tickService sends what changed, every service.Interval.
func (n *Node) tickService(now time.Time) {
	if now.Sub(n.sums.sent) < service.Interval {
		return
	}
	n.sums.sent = now
	n.sums.meter.Tick(now)
	n.sums.home.Tick(now)
	n.dropHanded(now)
	n.sendRecords(now, n.sums.pacer.Choose(now, n.serviceCandidates(now)))
}

// serviceCandidates returns every record that another daemon should know. Those
// for this daemon itself are applied at once.
func (n *Node) serviceCandidates(now time.Time) []service.Candidate {
	var candidates []service.Candidate
	for _, record := range n.sums.meter.Reports(now) {
		home, found := n.home(n.options.DataCentre, record.Account)
		if found && home == n.options.VM {
			n.sums.home.Report(now, n.source(), record)
		} else if found {
			candidates = append(candidates, service.Candidate{Channel: service.ChannelReport, To: home, Record: record})
		}
	}
	others := n.othersInService()
	reached := len(n.otherDataCentres()) >= len(others)
	for _, word := range n.sums.home.Words(now, others, reached) {
		if word.To == n.source() {
			n.hear(n.source(), n.sums.home.NextSequence(), word.Partial, word.Record)
		} else if word.To.VM != n.options.VM {
			candidates = append(candidates, service.Candidate{
				Channel:     service.ChannelWord,
				To:          word.To.VM,
				Incarnation: word.To.Incarnation,
				Partial:     word.Partial,
				Record:      word.Record,
			})
		}
	}
	return append(candidates, n.exchangeCandidates()...)
}

// exchangeCandidates returns the sums of this data centre for the others.
func (n *Node) exchangeCandidates() []service.Candidate {
	var candidates []service.Candidate
	others := n.otherDataCentres()
	for _, record := range n.sums.home.Exchanges() {
		if home, _ := n.home(n.options.DataCentre, record.Account); home != n.options.VM {
			continue
		}
		for _, other := range others {
			to, found := n.home(other, record.Account)
			if found {
				candidates = append(candidates, service.Candidate{Channel: service.ChannelExchange, To: to, Record: record})
			}
		}
	}
	return candidates
}

// sendRecords sends chosen records, one message for each channel and receiver.
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

// sameMessage reports whether two records go in one message.
func sameMessage(a, b service.Candidate) bool {
	return a.Channel == b.Channel && a.To == b.To && a.Partial == b.Partial
}

func (n *Node) recordMessage(first service.Candidate, records []wire.ServiceRecord) wire.Message {
	switch first.Channel {
	case service.ChannelReport:
		return wire.ServiceReport{Records: records}
	case service.ChannelWord:
		return wire.ServiceLevels{
			Incarnation: uint32(first.Incarnation),
			Sequence:    n.sums.home.NextSequence(),
			Partial:     first.Partial,
			Records:     records,
		}
	default:
		return wire.ServiceExchange{DataCentre: n.options.DataCentre, Records: records}
	}
}

// home returns the VM that sums an account in a data centre.
func (n *Node) home(dataCentre version.DataCentreID, account version.AccountID) (version.VMID, bool) {
	key := homeKey{dataCentre: dataCentre, account: account}
	if vm, cached := n.sums.owners[key]; cached {
		return vm, vm != ""
	}
	vm, _ := n.view.Owner(dataCentre, "home/"+strconv.FormatUint(uint64(account), 10))
	n.sums.owners[key] = vm
	return vm, vm != ""
}

// homeElsewhere returns the account's home in this data centre if that is
// another daemon.
func (n *Node) homeElsewhere(account version.AccountID) (version.VMID, bool) {
	vm, found := n.home(n.options.DataCentre, account)
	return vm, found && vm != n.options.VM
}

func (n *Node) source() service.Source {
	return service.Source{VM: n.options.VM, Incarnation: n.options.Incarnation}
}

func (n *Node) vmAlive(vm version.VMID) bool {
	member, known := n.view.Member(vm)
	return known && member.State != membership.Lapsed
}

func (n *Node) dataCentreAlive(id version.DataCentreID) bool {
	for _, member := range n.view.Members {
		if member.DataCentre == id && member.State != membership.Lapsed {
			return true
		}
	}
	return false
}

// otherDataCentres returns the other data centres with a living member, in
// order.
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

// othersInService returns the other data centres that operators have in
// service, in order.
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
