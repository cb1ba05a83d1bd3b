// Package membership keeps which VMs of the fleet take part, as one daemon
// sees it.
package membership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// State is a member's state as seen from here.
type State uint8

const (
	// Alive is a member that answers.
	Alive State = iota
	// Leaving is a member that drains; it gets no new role.
	Leaving
	// Lapsed is a member that no longer answers.
	Lapsed
)

// Member is one daemon of the fleet.
type Member struct {
	VM          version.VMID
	DataCentre  version.DataCentreID
	Incarnation uint64
	State       State
}

// View is an immutable picture of the members, ordered by VM.
type View struct {
	Members []Member
}

// NewView returns a view of the members.
func NewView(members []Member) View {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		return strings.Compare(string(a.VM), string(b.VM))
	})
	return View{Members: sorted}
}

// Owner returns the living member of a data centre that rendezvous hashing
// gives for key. It reports false if the data centre has none.
func (v View) Owner(dataCentre version.DataCentreID, key string) (version.VMID, bool) {
	var owner version.VMID
	var best uint64
	found := false
	for _, member := range v.Members {
		if member.State != Alive || member.DataCentre != dataCentre {
			continue
		}
		score := xxhash.Sum64String(key + "\x00" + string(member.VM))
		if !found || score > best {
			owner, best, found = member.VM, score, true
		}
	}
	return owner, found
}

// Member returns the member of a VM.
func (v View) Member(vm version.VMID) (Member, bool) {
	i, found := slices.BinarySearchFunc(v.Members, vm, func(m Member, vm version.VMID) int {
		return strings.Compare(string(m.VM), string(vm))
	})
	if !found {
		return Member{}, false
	}
	return v.Members[i], true
}

// With returns a view in which member replaces any member of the same VM.
func (v View) With(member Member) View {
	return NewView(append(v.Without(member.VM).Members, member))
}

// Without returns a view without the member of vm.
func (v View) Without(vm version.VMID) View {
	kept := make([]Member, 0, len(v.Members))
	for _, member := range v.Members {
		if member.VM != vm {
			kept = append(kept, member)
		}
	}
	return View{Members: kept}
}
