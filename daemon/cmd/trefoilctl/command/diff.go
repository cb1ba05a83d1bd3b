package command

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// difference is an item that differs between two configuration documents.
type difference struct {
	// Change is "add", "remove" or "change".
	Change string `json:"change"`
	// Section is the kind of item, and Name its name.
	Section string `json:"section"`
	Name    string `json:"name"`
}

// String returns the difference as one line.
func (d difference) String() string {
	signs := map[string]string{"add": "+", "remove": "-", "change": "~"}
	return fmt.Sprintf("%s %s %s", signs[d.Change], d.Section, d.Name)
}

// differences returns the differences between two documents, ordered by section and
// name. A nil from counts as an empty document.
func differences(from, to *version.Document) []difference {
	if from == nil {
		from = &version.Document{}
	}
	var all []difference
	all = append(all, compareSection("account", from.Accounts, to.Accounts, func(s version.AccountSpec) string { return s.Name })...)
	all = append(all, compareSection("datacentre", from.DataCentres, to.DataCentres, func(s version.DataCentreSpec) string { return s.Name })...)
	all = append(all, compareSection("pool", from.Pools, to.Pools, func(s version.PoolSpec) string { return s.Name })...)
	all = append(all, compareSection("preset", from.Presets, to.Presets, func(s version.PresetSpec) string { return s.Name })...)
	all = append(all, compareSection("upstream", from.Upstreams, to.Upstreams, func(s version.UpstreamSpec) string { return s.Name })...)
	return all
}

// compareSection returns the differences between two versions of one section, ordered by
// name.
func compareSection[S any](section string, from, to []S, name func(S) string) []difference {
	before, after := byName(from, name), byName(to, name)
	var found []difference
	for n, spec := range after {
		old, present := before[n]
		switch {
		case !present:
			found = append(found, difference{Change: "add", Section: section, Name: n})
		case !reflect.DeepEqual(old, spec):
			found = append(found, difference{Change: "change", Section: section, Name: n})
		}
	}
	for n := range maps.Keys(before) {
		if _, present := after[n]; !present {
			found = append(found, difference{Change: "remove", Section: section, Name: n})
		}
	}
	slices.SortFunc(found, func(a, b difference) int { return cmp.Compare(a.Name, b.Name) })
	return found
}

// byName indexes the items of a section by name.
func byName[S any](specs []S, name func(S) string) map[string]S {
	named := make(map[string]S, len(specs))
	for _, spec := range specs {
		named[name(spec)] = spec
	}
	return named
}
