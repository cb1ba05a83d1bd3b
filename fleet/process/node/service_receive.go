package node

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/dispatcher"
	"github.com/trefoilwell/trefoilwell/fleet/process/service"
	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// receiveService handles a message about service sums and reports whether it
// was one.
func (n *Node) receiveService(now time.Time, from dispatcher.Entry, message wire.Message) bool {
	switch m := message.(type) {
	case wire.ServiceReport:
		for _, record := range m.Records {
			n.sums.home.Report(now, service.Source(from), service.FromWire(record))
		}
	case wire.ServiceLevels:
		n.hearLevels(from, m)
	case wire.ServiceExchange:
		n.receiveExchange(now, from, m)
	case wire.ServiceRestore:
		n.receiveRestore(now, m)
	case wire.ServiceHandover:
		n.sums.home.TakeOver(now, service.HandoverFromWire(m))
	case wire.Progress:
		key := request.Key{Entry: from.VM, Incarnation: from.Incarnation, ID: m.ID}
		n.sums.meter.Progress(service.Hold{Key: key, Attempt: m.Attempt}, request.Cost(m.Cost))
	default:
		return false
	}
	return true
}

// hearLevels applies a home's words, unless they were meant for an earlier
// process of this VM.
func (n *Node) hearLevels(from dispatcher.Entry, m wire.ServiceLevels) {
	if m.Incarnation != uint32(n.options.Incarnation) {
		return
	}
	for _, record := range m.Records {
		n.hear(service.Source(from), m.Sequence, m.Partial, service.FromWire(record))
	}
}

func (n *Node) hear(home service.Source, sequence uint64, partial bool, record service.Record) {
	n.sums.meter.Hear(record.Account, service.Word{
		Home:      home,
		Sequence:  sequence,
		Elsewhere: record.Count,
		Lift:      record.Lift,
		Contested: record.Backlogged,
		Partial:   partial,
	})
}

// receiveExchange merges the sums of another data centre, or passes those on
// whose home is another daemon here.
func (n *Node) receiveExchange(now time.Time, from dispatcher.Entry, m wire.ServiceExchange) {
	var restore []wire.ServiceRecord
	for _, r := range m.Records {
		if to, elsewhere := n.homeElsewhere(r.Account); elsewhere && !m.Forwarded {
			n.deliver(now, to, wire.ServiceExchange{
				DataCentre: m.DataCentre,
				Forwarded:  true,
				Records:    []wire.ServiceRecord{r},
			})
			continue
		}
		if record, behind := n.sums.home.Exchange(now, m.DataCentre, service.FromWire(r)); behind {
			restore = append(restore, record.Wire())
		}
	}
	if len(restore) > 0 && !m.Forwarded {
		n.deliver(now, from.VM, wire.ServiceRestore{Records: restore})
	}
}

// receiveRestore merges what another data centre knew of this one.
func (n *Node) receiveRestore(now time.Time, m wire.ServiceRestore) {
	for _, r := range m.Records {
		if to, elsewhere := n.homeElsewhere(r.Account); elsewhere && !m.Forwarded {
			n.deliver(now, to, wire.ServiceRestore{Forwarded: true, Records: []wire.ServiceRecord{r}})
			continue
		}
		n.sums.home.Restore(now, service.FromWire(r))
	}
}

// handOver gives accounts whose home moved to their new home.
func (n *Node) handOver(now time.Time) {
	for _, account := range n.sums.home.Accounts() {
		to, elsewhere := n.homeElsewhere(account)
		if !elsewhere {
			delete(n.sums.handed, account)
			continue
		}
		if _, handed := n.sums.handed[account]; handed {
			continue
		}
		n.sums.handed[account] = now
		n.deliver(now, to, n.sums.home.Handover(account).Wire())
	}
}

// dropHanded forgets accounts that were handed over a while ago.
func (n *Node) dropHanded(now time.Time) {
	for account, at := range n.sums.handed {
		if now.Sub(at) >= handoverDelay {
			n.sums.home.Forget(account)
			delete(n.sums.handed, account)
		}
	}
}
