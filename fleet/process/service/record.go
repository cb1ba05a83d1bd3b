package service

import (
	"math"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Record is what one daemon tells another of an account.
type Record struct {
	Account version.AccountID
	Count   Count
	Lift    float64
	// Backlogged is set while the account waits where the record comes from,
	// or, in a home's word to a dispatcher, elsewhere.
	Backlogged bool
}

// Wire encodes a record in whole units.
func (r Record) Wire() wire.ServiceRecord {
	return wire.ServiceRecord{
		Account:    r.Account,
		Charged:    units(r.Count.Charged),
		Returned:   units(r.Count.Returned),
		Lift:       units(r.Lift),
		Backlogged: r.Backlogged,
	}
}

// FromWire decodes a record.
func FromWire(r wire.ServiceRecord) Record {
	return Record{
		Account:    r.Account,
		Count:      Count{Charged: float64(r.Charged), Returned: float64(r.Returned)},
		Lift:       float64(r.Lift),
		Backlogged: r.Backlogged,
	}
}

// rounded returns the record as it arrives after encoding.
func (r Record) rounded() Record { return FromWire(r.Wire()) }

// flagChange is the change of level that a change of Backlogged is worth.
const flagChange = 500.0

// change returns how much two records differ, in weighted cost units.
func (r Record) change(other Record) float64 {
	change := math.Abs(r.Count.Charged-other.Count.Charged) +
		math.Abs(r.Count.Returned-other.Count.Returned) +
		math.Abs(r.Lift-other.Lift)
	if r.Backlogged != other.Backlogged {
		change += flagChange
	}
	return change
}

// claim returns the lift that others should know: that of an account that is
// backlogged, once its home has confirmed that it had been idle.
func (a *metered) claim(now time.Time) float64 {
	if !a.fresh || !a.backlogged(now) {
		return 0
	}
	return a.lift
}

// Reports returns what an account's home should know of the own counts.
func (m *Meter) Reports(now time.Time) []Record {
	ids := m.ids()
	records := make([]Record, 0, len(ids))
	for _, id := range ids {
		a := m.accounts[id]
		records = append(records, Record{
			Account:    id,
			Count:      a.own,
			Lift:       a.claim(now),
			Backlogged: a.backlogged(now),
		}.rounded())
	}
	return records
}

// Exchanges returns what the homes in other data centres should know.
func (h *Home) Exchanges() []Record {
	ids := h.Accounts()
	records := make([]Record, 0, len(ids))
	for _, id := range ids {
		a := h.accounts[id]
		records = append(records, Record{
			Account:    id,
			Count:      a.publish(),
			Lift:       a.liftHere(""),
			Backlogged: a.backloggedHere(),
		}.rounded())
	}
	return records
}

// WordTo is a home's word to one daemon on one account.
type WordTo struct {
	To     Source
	Record Record
	// Partial is set if sums of other data centres may be missing.
	Partial bool
}

// Words returns what the daemons where accounts are backlogged should know.
// others are the other data centres in service; reached is set if all of them
// can be heard.
func (h *Home) Words(now time.Time, others []version.DataCentreID, reached bool) []WordTo {
	var words []WordTo
	for _, id := range h.Accounts() {
		a := h.accounts[id]
		if !a.speaks(now, others) {
			continue
		}
		total, complete := h.Total(id), reached && a.told(others)
		for _, vm := range sortedSources(a.sources) {
			source := a.sources[vm]
			if !source.backlogged {
				continue
			}
			to := Source{VM: vm, Incarnation: source.incarnation}
			words = append(words, WordTo{To: to, Partial: !complete, Record: Record{
				Account:    id,
				Count:      total.Minus(a.tally.Of(to)),
				Lift:       a.liftBeyond(vm),
				Backlogged: a.backloggedBeyond(vm),
			}.rounded()})
		}
	}
	return words
}

// NextSequence numbers the next message of words.
func (h *Home) NextSequence() uint64 {
	h.sequence++
	return h.sequence
}

func units(value float64) uint64 { return uint64(math.Round(math.Max(value, 0))) }
