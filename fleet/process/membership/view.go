package membership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// State is a member's state as this daemon sees it. Of two states with the same
// incarnation and refutation number, the higher one applies.
type State uint8

const (
	// Alive is the state of a member that answers.
	Alive State = iota
	// Suspect is the state of a member that did not answer a probe in time.
	Suspect
	// Leaving is the state of a member that drains. It gets no new roles.
	Leaving
	// Lapsed is the state of a member that no longer answers or has shut down.
	Lapsed
	// Listed is the state of a member of the own data centre that is known from the
	// platform's list only. It is never sent.
	Listed
)

// String implements fmt.Stringer.
func (s State) String() string {
	names := [...]string{"alive", "suspect", "leaving", "lapsed", "listed"}
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Member is one daemon of the fleet.
type Member struct {
	VM         version.VMID
	DataCentre version.DataCentreID
	// Incarnation grows with each start of the daemon.
	Incarnation uint64
	State       State
}

// View is an immutable snapshot of the members, sorted by VM.
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

// Owner returns the member of a data centre that owns key by rendezvous hashing over
// the members that have not lapsed. A leaving member owns a key only if all others are
// leaving too. It returns false if the data centre has no such member.
func (v View) Owner(dataCentre version.DataCentreID, key string) (version.VMID, bool) {
	var best candidate
	found := false
	for _, member := range v.Members {
		if member.State > Leaving || member.DataCentre != dataCentre {
			continue
		}
		c := candidateOf(member, key)
		if !found || c.before(best) {
			best, found = c, true
		}
	}
	return best.vm, found
}

// candidate is a member that may own a key, with its hash score for the key.
type candidate struct {
	vm      version.VMID
	leaving bool
	score   uint64
}

func candidateOf(member Member, key string) candidate {
	return candidate{
		vm:      member.VM,
		leaving: member.State == Leaving,
		score:   xxhash.Sum64String(key + "\x00" + string(member.VM)),
	}
}

// before reports whether c ranks before other as the owner of the key.
func (c candidate) before(other candidate) bool {
	if c.leaving != other.leaving {
		return other.leaving
	}
	if c.score != other.score {
		return c.score > other.score
	}
	return c.vm < other.vm
}

// Ranked returns the members of a data centre that may own key, the owner first and
// leaving members last.
func (v View) Ranked(dataCentre version.DataCentreID, key string) []version.VMID {
	var candidates []candidate
	for _, member := range v.Members {
		if member.State <= Leaving && member.DataCentre == dataCentre {
			candidates = append(candidates, candidateOf(member, key))
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	ranked := make([]version.VMID, 0, len(candidates))
	for _, c := range candidates {
		ranked = append(ranked, c.vm)
	}
	return ranked
}

// Member returns the member of a VM, and false if there is none.
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
