package service

import (
	"maps"
	"slices"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Tally holds an account's counts by source. Merging tallies is commutative,
// associative and idempotent.
type Tally struct {
	vms map[version.VMID]vmTally
}

// vmTally holds the counts of one VM's incarnations.
//
// Invariant: counts contains no incarnation up to folded.
type vmTally struct {
	// folded is the last incarnation whose count is included in base; 0 if
	// there is none.
	folded uint64
	base   Count
	counts map[uint64]Count
}

// NewTally returns an empty tally.
func NewTally() *Tally { return &Tally{vms: make(map[version.VMID]vmTally)} }

// Add merges the count of one source.
func (t *Tally) Add(source Source, count Count) {
	t.merge(source.VM, vmTally{counts: map[uint64]Count{source.Incarnation: count}})
}

// Merge merges all counts of another tally.
func (t *Tally) Merge(other *Tally) {
	for vm, counts := range other.vms {
		t.merge(vm, counts)
	}
}

// Sum returns the sum of the counts of all sources.
func (t *Tally) Sum() Count {
	var sum Count
	for _, v := range t.vms {
		sum = sum.Plus(v.base)
		for _, count := range v.counts {
			sum = sum.Plus(count)
		}
	}
	return sum
}

// CountOf returns the count of one source, or a zero count if it is unknown or
// folded.
func (t *Tally) CountOf(source Source) Count {
	return t.vms[source.VM].counts[source.Incarnation]
}

// Fold adds the counts of a VM's incarnations before current to the VM's base,
// which bounds the state to two counts per VM. Counts of folded incarnations
// that arrive later are ignored, so it must be called only when they have
// arrived.
func (t *Tally) Fold(vm version.VMID, current uint64) {
	v, present := t.vms[vm]
	if !present || current <= v.folded+1 {
		return
	}
	remaining := vmTally{folded: current - 1, base: v.base, counts: make(map[uint64]Count)}
	for incarnation, count := range v.counts {
		if incarnation < current {
			remaining.base = remaining.base.Plus(count)
		} else {
			remaining.counts[incarnation] = count
		}
	}
	t.vms[vm] = remaining
}

// Len returns the number of counts held, where each VM's base is one.
func (t *Tally) Len() int {
	total := 0
	for _, v := range t.vms {
		total += len(v.counts)
		if v.folded > 0 {
			total++
		}
	}
	return total
}

// merge merges the counts of one VM: the base that covers more incarnations, or
// the larger of two that cover the same, and the maximum of each other
// incarnation.
func (t *Tally) merge(vm version.VMID, other vmTally) {
	current := t.vms[vm]
	merged := vmTally{counts: make(map[uint64]Count, len(current.counts)+1)}
	switch {
	case current.folded > other.folded:
		merged.folded, merged.base = current.folded, current.base
	case current.folded < other.folded:
		merged.folded, merged.base = other.folded, other.base
	default:
		merged.folded, merged.base = current.folded, current.base.Merge(other.base)
	}
	maps.Copy(merged.counts, current.counts)
	for incarnation, count := range other.counts {
		merged.counts[incarnation] = merged.counts[incarnation].Merge(count)
	}
	maps.DeleteFunc(merged.counts, func(incarnation uint64, _ Count) bool {
		return incarnation <= merged.folded
	})
	t.vms[vm] = merged
}

// Wire encodes a tally in whole cost units.
func (t *Tally) Wire() []wire.ServiceSource {
	sources := make([]wire.ServiceSource, 0, len(t.vms))
	for _, vm := range slices.Sorted(maps.Keys(t.vms)) {
		v := t.vms[vm]
		source := wire.ServiceSource{VM: vm, Folded: v.folded, Base: v.base.wire()}
		for _, incarnation := range slices.Sorted(maps.Keys(v.counts)) {
			source.Incarnations = append(source.Incarnations, wire.ServiceIncarnation{
				Incarnation: incarnation,
				Count:       v.counts[incarnation].wire(),
			})
		}
		sources = append(sources, source)
	}
	return sources
}

// TallyFromWire decodes a tally.
func TallyFromWire(sources []wire.ServiceSource) *Tally {
	t := NewTally()
	for _, source := range sources {
		v := vmTally{folded: source.Folded, base: countFromWire(source.Base), counts: make(map[uint64]Count)}
		for _, incarnation := range source.Incarnations {
			v.counts[incarnation.Incarnation] = countFromWire(incarnation.Count)
		}
		t.merge(source.VM, v)
	}
	return t
}

// Wire encodes a handover.
func (h Handover) Wire() wire.ServiceHandover {
	m := wire.ServiceHandover{Account: h.Account, VMs: h.Tally.Wire()}
	for _, dataCentre := range slices.Sorted(maps.Keys(h.Remotes)) {
		m.Remotes = append(m.Remotes, wire.ServiceRemote{
			DataCentre: dataCentre,
			Count:      h.Remotes[dataCentre].wire(),
		})
	}
	return m
}

// HandoverFromWire decodes a handover.
func HandoverFromWire(m wire.ServiceHandover) Handover {
	h := Handover{
		Account: m.Account,
		Tally:   TallyFromWire(m.VMs),
		Remotes: make(map[version.DataCentreID]Count),
	}
	for _, remote := range m.Remotes {
		h.Remotes[remote.DataCentre] = countFromWire(remote.Count)
	}
	return h
}

func (c Count) wire() wire.ServiceCount {
	return wire.ServiceCount{Charged: units(c.Charged), Returned: units(c.Returned)}
}

func countFromWire(c wire.ServiceCount) Count {
	return Count{Charged: float64(c.Charged), Returned: float64(c.Returned)}
}
