package command

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// difference is one item that a new document adds, removes or changes.
type difference struct {
	// Change is "add", "remove" or "change".
	Change  string `json:"change"`
	Section string `json:"section"`
	Name    string `json:"name"`
}

// String returns the difference as one line.
func (d difference) String() string {
	signs := map[string]string{"add": "+", "remove": "-", "change": "~"}
	return fmt.Sprintf("%s %s %s", signs[d.Change], d.Section, d.Name)
}

// differences returns what leads from one document to another, by section and
// name.
func differences(from, to *version.Document) []difference {
	if from == nil {
		from = &version.Document{}
	}
	var all []difference
	all = append(all, compare("account", from.Accounts, to.Accounts, func(s version.AccountSpec) string { return s.Name })...)
	all = append(all, compare("datacentre", from.DataCentres, to.DataCentres, func(s version.DataCentreSpec) string { return s.Name })...)
	all = append(all, compare("pool", from.Pools, to.Pools, func(s version.PoolSpec) string { return s.Name })...)
	all = append(all, compare("preset", from.Presets, to.Presets, func(s version.PresetSpec) string { return s.Name })...)
	all = append(all, compare("upstream", from.Upstreams, to.Upstreams, func(s version.UpstreamSpec) string { return s.Name })...)
	return all
}

func compare[S any](section string, from, to []S, name func(S) string) []difference {
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

func byName[S any](specs []S, name func(S) string) map[string]S {
	named := make(map[string]S, len(specs))
	for _, spec := range specs {
		named[name(spec)] = spec
	}
	return named
}
