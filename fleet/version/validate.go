package version

import (
	"fmt"
	"math"
	"strconv"
)

// Bounds of a document.
const (
	// MaxDataCentres, MaxAccounts, MaxPools, MaxUpstreams and MaxPresets bound
	// the counts of a document.
	MaxDataCentres = 256
	MaxAccounts    = 10_000
	MaxPools       = 1_000
	MaxUpstreams   = 50_000
	MaxPresets     = 100
	// MaxLimit bounds an upstream's limits, in slots.
	MaxLimit = 100_000
	// MaxWaitingLimit bounds AccountSpec.MaxWaiting.
	MaxWaitingLimit = 1_000_000
	// MaxKeysPerAccount bounds the API keys of one account.
	MaxKeysPerAccount = 16
	// MaxLimitScale bounds PresetSpec.LimitScale.
	MaxLimitScale = 100.0
	// maxFirstTokenMS bounds PoolSpec.ExpectedFirstTokenMS.
	maxFirstTokenMS = 600_000
	// maxWeight bounds an account's weight.
	maxWeight = 1e6
)

// Problem is something wrong in a document.
type Problem struct {
	// Path leads to the value by keys and array indexes, such as
	// ["upstream", "3", "pool"].
	Path []string
	Text string
}

// Validate returns everything that is wrong with a document.
func (d *Document) Validate() []Problem {
	v := &validator{document: d}
	v.collect()
	v.dataCentres()
	v.accounts()
	v.pools()
	v.upstreams()
	v.presets()
	return v.problems
}

// validator gathers the problems of one document.
type validator struct {
	document *Document
	problems []Problem

	dataCentreNames map[string]bool
	accountNames    map[string]bool
	poolNames       map[string]bool
	// owningTeams are the teams that own an upstream.
	owningTeams map[string]bool
}

// collect gathers the names that others refer to.
func (v *validator) collect() {
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

func (v *validator) dataCentres() {
	const section = "datacentre"
	v.count(section, len(v.document.DataCentres), MaxDataCentres)
	names := newNameSet[uint32](v, section, nil)
	for i, spec := range v.document.DataCentres {
		names.add(i, spec.Name)
		v.name(element(section, i, "region"), spec.Region)
	}
}

// element is the path of a key of one element.
func element(section string, index int, keys ...string) []string {
	return append([]string{section, strconv.Itoa(index)}, keys...)
}

func (v *validator) problem(path []string, format string, args ...any) {
	v.problems = append(v.problems, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

func (v *validator) count(section string, count, limit int) {
	if count > limit {
		v.problem(element(section, limit), "%d of [[%s]] are too many, the limit is %d", count, section, limit)
	}
}

func (v *validator) name(path []string, name string) {
	if problem := nameProblem(name); problem != "" {
		v.problem(path, "%s %q %s", path[len(path)-1], name, problem)
	}
}

// between checks a whole number that is 0 if it was left out.
func (v *validator) between(path []string, value, limit int) {
	if value < 0 || value > limit {
		v.problem(path, "%s is %d, it must be from 1 to %d", path[len(path)-1], value, limit)
	}
}

// positive checks a number that is 0 if it was left out.
func (v *validator) positive(path []string, value, limit float64) {
	if math.IsNaN(value) || value < 0 || value > limit {
		v.problem(path, "%s is %v, it must be above 0 and at most %v", path[len(path)-1], value, limit)
	}
}

// share checks a fraction.
func (v *validator) share(path []string, value float64) {
	if math.IsNaN(value) || value < 0 || value > 1 {
		v.problem(path, "%s is %v, it must be from 0 to 1", path[len(path)-1], value)
	}
}

// nameSet finds names that stand twice and identifiers that collide.
type nameSet[ID comparable] struct {
	validator *validator
	section   string
	// id derives an identifier from a name; nil if names have none.
	id    func(string) ID
	first map[string]bool
	owner map[ID]string
}

func newNameSet[ID comparable](v *validator, section string, id func(string) ID) *nameSet[ID] {
	return &nameSet[ID]{validator: v, section: section, id: id, first: make(map[string]bool), owner: make(map[ID]string)}
}

func (s *nameSet[ID]) add(index int, name string) {
	path := element(s.section, index, "name")
	s.validator.name(path, name)
	if s.first[name] {
		s.validator.problem(path, "the name %q stands twice in [[%s]]", name, s.section)
		return
	}
	s.first[name] = true
	if s.id == nil {
		return
	}
	if other, taken := s.owner[s.id(name)]; taken {
		s.validator.problem(path, "the names %q and %q collide in their identifiers, choose another name", other, name)
	}
	s.owner[s.id(name)] = name
}
