package service

import (
	"math"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Record is the report of one account's service from one daemon to another.
// Lift is in weighted cost units.
type Record struct {
	Account version.AccountID
	Count   Count
	Lift    float64
	// Backlogged is set while the account is backlogged at the sender; in a
	// home's report to a dispatcher, while it is backlogged anywhere but at the
	// receiver.
	Backlogged bool
}

// Wire encodes a record in whole cost units.
func (r Record) Wire() wire.ServiceRecord {
	return wire.ServiceRecord{
		Account:    r.Account,
		Charged:    units(r.Count.Charged),
		Returned:   units(r.Count.Returned),
		Lift:       units(r.Lift),
		Backlogged: r.Backlogged,
	}
}

// RecordFromWire decodes a record.
func RecordFromWire(r wire.ServiceRecord) Record {
	return Record{
		Account:    r.Account,
		Count:      Count{Charged: float64(r.Charged), Returned: float64(r.Returned)},
		Lift:       float64(r.Lift),
		Backlogged: r.Backlogged,
	}
}

// rounded returns the record as its receiver decodes it.
func (r Record) rounded() Record { return RecordFromWire(r.Wire()) }

// backlogFlagChange is the change of level that a change of Backlogged counts
// as, in weighted cost units.
const backlogFlagChange = 500.0

// difference returns by how much two records differ, in weighted cost units.
func (r Record) difference(other Record) float64 {
	change := math.Abs(r.Count.Charged-other.Count.Charged) +
		math.Abs(r.Count.Returned-other.Count.Returned) +
		math.Abs(r.Lift-other.Lift)
	if r.Backlogged != other.Backlogged {
		change += backlogFlagChange
	}
	return change
}

// reportedLift returns the lift to report to other daemons. It is 0 unless the
// account is backlogged and its home has reported since: only then is it
// confirmed that the account had been idle.
func (a *meteredAccount) reportedLift(now time.Time) float64 {
	if !a.homeReported || !a.backlogged(now) {
		return 0
	}
	return a.lift
}

// Reports returns the records of this meter's own counts for the accounts'
// homes.
func (m *Meter) Reports(now time.Time) []Record {
	ids := m.ids()
	records := make([]Record, 0, len(ids))
	for _, id := range ids {
		a := m.accounts[id]
		records = append(records, Record{
			Account:    id,
			Count:      a.own,
			Lift:       a.reportedLift(now),
			Backlogged: a.backlogged(now),
		}.rounded())
	}
	return records
}

// DataCentreSums returns the records of this data centre's sums for the homes in
// other data centres.
func (h *Home) DataCentreSums() []Record {
	ids := h.Accounts()
	records := make([]Record, 0, len(ids))
	for _, id := range ids {
		a := h.accounts[id]
		records = append(records, Record{
			Account:    id,
			Count:      a.publish(),
			Lift:       a.localLift(""),
			Backlogged: a.backloggedLocally(),
		}.rounded())
	}
	return records
}

// OutgoingReport is a home's report on one account and the daemon to send it
// to.
type OutgoingReport struct {
	To     Source
	Record Record
	// Partial is set if the sums of other data centres may be missing.
	Partial bool
}

// LevelReports returns the reports for the daemons at which accounts are
// backlogged. others are the other data centres in service; reached is set if all
// of them can be reached.
func (h *Home) LevelReports(now time.Time, others []version.DataCentreID, reached bool) []OutgoingReport {
	var reports []OutgoingReport
	for _, id := range h.Accounts() {
		a := h.accounts[id]
		if !a.mayReport(now, others) {
			continue
		}
		total, complete := h.Total(id), reached && a.remotesKnown(others)
		for _, vm := range sortedVMs(a.sources) {
			source := a.sources[vm]
			if !source.backlogged {
				continue
			}
			to := Source{VM: vm, Incarnation: source.incarnation}
			reports = append(reports, OutgoingReport{To: to, Partial: !complete, Record: Record{
				Account:    id,
				Count:      total.Minus(a.tally.CountOf(to)),
				Lift:       a.liftElsewhere(vm),
				Backlogged: a.backloggedElsewhere(vm),
			}.rounded()})
		}
	}
	return reports
}

// NextSequence returns the sequence number of the next message of reports.
func (h *Home) NextSequence() uint64 {
	h.sequence++
	return h.sequence
}

// units rounds a value to whole cost units, at least 0.
func units(value float64) uint64 { return uint64(math.Round(math.Max(value, 0))) }
