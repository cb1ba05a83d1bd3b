package node

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/dispatcher"
	"github.com/trefoilwell/trefoilwell/fleet/process/service"
	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// receiveService handles a message of service accounting and reports whether
// the message was one.
func (n *Node) receiveService(now time.Time, from dispatcher.EntryID, message wire.Message) bool {
	switch m := message.(type) {
	case wire.ServiceReport:
		for _, record := range m.Records {
			n.accounting.home.Report(now, service.Source(from), service.RecordFromWire(record))
		}
	case wire.ServiceLevels:
		n.receiveLevels(from, m)
	case wire.ServiceDataCentreReport:
		n.receiveDataCentreReport(now, from, m)
	case wire.ServiceRestore:
		n.receiveRestore(now, m)
	case wire.ServiceHandover:
		n.accounting.home.TakeOver(now, service.HandoverFromWire(m))
	case wire.Progress:
		key := request.Key{Entry: from.VM, Incarnation: from.Incarnation, ID: m.ID}
		n.accounting.meter.Progress(service.AttemptKey{Key: key, Attempt: m.Attempt}, request.Cost(m.Cost))
	default:
		return false
	}
	return true
}

// receiveLevels applies a home's reports, unless they were addressed to an
// earlier process of this VM.
func (n *Node) receiveLevels(from dispatcher.EntryID, m wire.ServiceLevels) {
	if m.Incarnation != uint32(n.options.Incarnation) {
		return
	}
	for _, record := range m.Records {
		n.applyLevelReport(service.Source(from), m.Sequence, m.Partial, service.RecordFromWire(record))
	}
}

// applyLevelReport applies a home's report on one account to the meter.
func (n *Node) applyLevelReport(home service.Source, sequence uint64, partial bool, record service.Record) {
	n.accounting.meter.ApplyLevelReport(record.Account, service.LevelReport{
		Home:      home,
		Sequence:  sequence,
		Elsewhere: record.Count,
		Lift:      record.Lift,
		Contested: record.Backlogged,
		Partial:   partial,
	})
}

// receiveDataCentreReport merges the sums that another data centre sent, and
// forwards those of accounts whose home is another daemon here.
func (n *Node) receiveDataCentreReport(now time.Time, from dispatcher.EntryID, m wire.ServiceDataCentreReport) {
	var restore []wire.ServiceRecord
	for _, r := range m.Records {
		if to, elsewhere := n.homeElsewhere(r.Account); elsewhere && !m.Forwarded {
			n.deliver(now, to, wire.ServiceDataCentreReport{
				DataCentre: m.DataCentre,
				Forwarded:  true,
				Records:    []wire.ServiceRecord{r},
			})
			continue
		}
		if record, behind := n.accounting.home.MergeDataCentreSum(now, m.DataCentre, service.RecordFromWire(r)); behind {
			restore = append(restore, record.Wire())
		}
	}
	if len(restore) > 0 && !m.Forwarded {
		n.deliver(now, from.VM, wire.ServiceRestore{Records: restore})
	}
}

// receiveRestore merges the sums of this data centre that another one kept, and
// forwards those of accounts whose home is another daemon here.
func (n *Node) receiveRestore(now time.Time, m wire.ServiceRestore) {
	for _, r := range m.Records {
		if to, elsewhere := n.homeElsewhere(r.Account); elsewhere && !m.Forwarded {
			n.deliver(now, to, wire.ServiceRestore{Forwarded: true, Records: []wire.ServiceRecord{r}})
			continue
		}
		n.accounting.home.Restore(now, service.RecordFromWire(r))
	}
}

// handOver sends the state of the accounts whose home has moved to their new
// home.
func (n *Node) handOver(now time.Time) {
	for _, account := range n.accounting.home.Accounts() {
		to, elsewhere := n.homeElsewhere(account)
		if !elsewhere {
			delete(n.accounting.handedOverAt, account)
			continue
		}
		if _, handed := n.accounting.handedOverAt[account]; handed {
			continue
		}
		n.accounting.handedOverAt[account] = now
		n.deliver(now, to, n.accounting.home.Handover(account).Wire())
	}
}

// forgetHandedOver drops the state of accounts that were handed over at least
// handoverRetention ago.
func (n *Node) forgetHandedOver(now time.Time) {
	for account, at := range n.accounting.handedOverAt {
		if now.Sub(at) >= handoverRetention {
			n.accounting.home.Forget(account)
			delete(n.accounting.handedOverAt, account)
		}
	}
}
