package version

import (
	"fmt"
	"math"
	"strconv"
)

// Limits of a document.
const (
	// MaxDataCentres, MaxAccounts, MaxPools, MaxUpstreams and MaxPresets are
	// the maximum numbers of elements in the sections of a document.
	MaxDataCentres = 256
	MaxAccounts    = 10_000
	MaxPools       = 1_000
	MaxUpstreams   = 50_000
	MaxPresets     = 100
	// MaxLimit is the maximum of UpstreamSpec.ColdLimit and
	// UpstreamSpec.WarmLimit, in slots.
	MaxLimit = 100_000
	// MaxWaitingLimit is the maximum of AccountSpec.MaxWaiting, in requests.
	MaxWaitingLimit = 1_000_000
	// MaxKeysPerAccount is the maximum number of API keys of one account.
	MaxKeysPerAccount = 16
	// MaxLimitScale is the maximum of PresetSpec.LimitScale.
	MaxLimitScale = 100.0
	// maxFirstTokenMS is the maximum of PoolSpec.ExpectedFirstTokenMS, in
	// milliseconds.
	maxFirstTokenMS = 600_000
	// maxWeight is the maximum weight of an account.
	maxWeight = 1e6
)

// Problem is a fault that validation found in a document.
type Problem struct {
	// Path locates the invalid value by keys and array indexes, such as
	// ["upstream", "3", "pool"].
	Path []string
	Text string
}

// Validate returns all problems of a document; it is valid if there are none.
func (d *Document) Validate() []Problem {
	v := &validator{document: d}
	v.collectNames()
	v.checkDataCentres()
	v.checkAccounts()
	v.checkPools()
	v.checkUpstreams()
	v.checkPresets()
	return v.problems
}

// validator collects the problems of one document.
type validator struct {
	document *Document
	problems []Problem

	dataCentreNames map[string]bool
	accountNames    map[string]bool
	poolNames       map[string]bool
	// owningTeams are the teams that own an upstream.
	owningTeams map[string]bool
}

// collectNames collects the names that other elements refer to.
func (v *validator) collectNames() {
	v.dataCentreNames = make(map[string]bool)
	for _, spec := range v.document.DataCentres {
		v.dataCentreNames[spec.Name] = true
	}
	v.accountNames = make(map[string]bool)
	for _, spec := range v.document.Accounts {
		v.accountNames[spec.Name] = true
	}
	v.poolNames = make(map[string]bool)
	for _, spec := range v.document.Pools {
		v.poolNames[spec.Name] = true
	}
	v.owningTeams = make(map[string]bool)
	for _, spec := range v.document.Upstreams {
		v.owningTeams[spec.Team] = true
	}
}

func (v *validator) checkDataCentres() {
	const section = "datacentre"
	v.checkCount(section, len(v.document.DataCentres), MaxDataCentres)
	names := newNameSet[uint32](v, section, nil)
	for i, spec := range v.document.DataCentres {
		names.add(i, spec.Name)
		v.checkName(elementPath(section, i, "region"), spec.Region)
	}
}

// elementPath returns the path of an element of a section, or of a key in it.
func elementPath(section string, index int, keys ...string) []string {
	return append([]string{section, strconv.Itoa(index)}, keys...)
}

// addProblem adds a problem of the value at a path.
func (v *validator) addProblem(path []string, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

// checkCount checks the number of elements of a section against a limit.
func (v *validator) checkCount(section string, count, limit int) {
	if count > limit {
		v.addProblem(elementPath(section, limit), "%d of [[%s]] are too many, the limit is %d", count, section, limit)
	}
}

// checkName checks that the value at a path is a valid name.
func (v *validator) checkName(path []string, name string) {
	if problem := nameProblem(name); problem != "" {
		v.addProblem(path, "%s %q %s", path[len(path)-1], name, problem)
	}
}

// checkRange checks that an integer is from 1 to limit, or 0, which stands for a
// value that was left out.
func (v *validator) checkRange(path []string, value, limit int) {
	if value < 0 || value > limit {
		v.addProblem(path, "%s is %d, it must be from 1 to %d", path[len(path)-1], value, limit)
	}
}

// checkPositive checks that a number is above 0 and at most limit, or 0, which
// stands for a value that was left out.
func (v *validator) checkPositive(path []string, value, limit float64) {
	if math.IsNaN(value) || value < 0 || value > limit {
		v.addProblem(path, "%s is %v, it must be above 0 and at most %v", path[len(path)-1], value, limit)
	}
}

// checkFraction checks that a number is from 0 to 1.
func (v *validator) checkFraction(path []string, value float64) {
	if math.IsNaN(value) || value < 0 || value > 1 {
		v.addProblem(path, "%s is %v, it must be from 0 to 1", path[len(path)-1], value)
	}
}

// nameSet detects duplicate names of a section, and names whose identifiers
// collide.
type nameSet[ID comparable] struct {
	validator *validator
	section   string
	// id returns the identifier of a name; nil if the names of the section have
	// no identifiers.
	id       func(string) ID
	seen     map[string]bool
	nameByID map[ID]string
}

func newNameSet[ID comparable](v *validator, section string, id func(string) ID) *nameSet[ID] {
	return &nameSet[ID]{validator: v, section: section, id: id, seen: make(map[string]bool), nameByID: make(map[ID]string)}
}

// add checks the name of the element at index.
func (s *nameSet[ID]) add(index int, name string) {
	path := elementPath(s.section, index, "name")
	s.validator.checkName(path, name)
	if s.seen[name] {
		s.validator.addProblem(path, "the name %q stands twice in [[%s]]", name, s.section)
		return
	}
	s.seen[name] = true
	if s.id == nil {
		return
	}
	if other, exists := s.nameByID[s.id(name)]; exists {
		s.validator.addProblem(path, "the names %q and %q collide in their identifiers, choose another name", other, name)
	}
	s.nameByID[s.id(name)] = name
}
