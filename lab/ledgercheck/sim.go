// Package ledgercheck runs the ledger's decision code of a whole fleet in
// virtual time, under seeded schedules of faults, and checks what it promises
// at the upstream's side: no key runs twice, and no refusal says "not run"
// untruthfully.
package ledgercheck

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/ledger"
	"github.com/trefoilwell/trefoilwell/fleet/process/membership"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Break takes a rule of the protocol away, to show that the checks notice.
type Break struct {
	// Unconditional lets the store ignore preconditions.
	Unconditional bool
	// SendFirst sends an attempt before its verdict.
	SendFirst bool
	// SendAfterRelease sends an attempt that was released.
	SendAfterRelease bool
}

// Options set up a Sim.
type Options struct {
	Seed uint64
	// DataCentres and VMs are the fleet's; the VMs are spread evenly.
	DataCentres int
	VMs         int
	// WritesPerSecond is ledger.Options.WritesPerSecond.
	WritesPerSecond int
	// StoreTime is the time of a call of the store.
	StoreTime time.Duration
	// StoreWritesPerSecond bounds the store's writes; 0 does not.
	StoreWritesPerSecond int
	// Duplicate, Lose and Late are the shares of messages that arrive twice,
	// never, or up to LateBy late.
	Duplicate float64
	Lose      float64
	Late      float64
	LateBy    time.Duration
	// Withhold is the share of permits that are released unused.
	Withhold float64
	// BrokenAnswers is the share of attempts that end without a whole answer.
	BrokenAnswers float64
	// ServiceTime is how long an attempt runs at the upstream.
	ServiceTime time.Duration
	// BodyBytes is the size of an answer.
	BodyBytes int
	// TickInterval is how often cores tick; default ledger.TickInterval.
	TickInterval time.Duration
	// CountBytes counts messages and their bytes, which takes time.
	CountBytes bool
	Break      Break
}

const (
	localDelay  = 500 * time.Microsecond
	remoteDelay = 8 * time.Millisecond
)

// Sim is a fleet in virtual time.
type Sim struct {
	options  Options
	agenda   agenda
	random   *rand.Rand
	store    *store
	upstream *upstream
	daemons  []*daemon
	byName   map[version.VMID]*daemon
	centres  []version.DataCentreID
	// isolated are the data centres cut off from the others.
	isolated map[version.DataCentreID]bool
	// tables holds the writers for each set of VMs that a daemon sees.
	tables map[string]ledger.Owners
	calls  []*call

	hooks      map[Step]func()
	reached    map[Step]int
	violations []string
	messages   int
	bytes      int
}

// start is the virtual time at which every run starts.
var start = time.Date(2026, time.March, 2, 9, 0, 5, 0, time.UTC)

// New returns a fleet whose daemons run.
func New(options Options) *Sim {
	if options.TickInterval == 0 {
		options.TickInterval = ledger.TickInterval
	}
	s := &Sim{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, 1)),
		byName:   make(map[version.VMID]*daemon),
		isolated: make(map[version.DataCentreID]bool),
		tables:   make(map[string]ledger.Owners),
		hooks:    make(map[Step]func()),
		reached:  make(map[Step]int),
	}
	s.agenda.now = start
	s.store = &store{sim: s, objects: make(map[string]object), refilled: start, tokens: float64(options.StoreWritesPerSecond)}
	s.upstream = &upstream{sim: s, runs: make(map[runKey][]run)}
	for i := range options.DataCentres {
		s.centres = append(s.centres, version.DataCentreID(fmt.Sprintf("dc-%d", i)))
	}
	for i := range options.VMs {
		d := &daemon{
			sim:        s,
			index:      i,
			vm:         version.VMID(fmt.Sprintf("vm-%d", i)),
			dataCentre: s.centres[i%options.DataCentres],
			up:         true,
		}
		s.daemons = append(s.daemons, d)
		s.byName[d.vm] = d
	}
	for _, d := range s.daemons {
		d.start()
	}
	return s
}

// Run advances virtual time.
func (s *Sim) Run(length time.Duration) { s.agenda.until(s.agenda.now.Add(length)) }

// Now returns the virtual time.
func (s *Sim) Now() time.Time { return s.agenda.now }

// SetStoreFaults replaces the store's faults.
func (s *Sim) SetStoreFaults(faults StoreFaults) { s.store.faults = faults }

// Usage returns what the store was asked so far.
func (s *Sim) Usage() Usage { return s.store.usage }

// Isolate cuts a data centre off from the others, or joins it again.
func (s *Sim) Isolate(dataCentre int, cut bool) {
	s.isolated[s.centres[dataCentre]] = cut
	s.reroute()
}

// Kill ends a daemon and starts it again with empty memory after a while.
func (s *Sim) Kill(vm int, down time.Duration) {
	d := s.daemons[vm]
	if !d.up {
		return
	}
	linked := s.linkedTo(d)
	d.kill()
	for _, other := range linked {
		s.linkLost(other, d)
	}
	s.reroute()
	s.agenda.after(down, func() {
		d.start()
		s.reroute()
	})
}

// linkedTo returns the daemons that have a link to d.
func (s *Sim) linkedTo(d *daemon) []*daemon {
	var linked []*daemon
	for _, other := range s.daemons {
		if other != d && s.linked(d, other) {
			linked = append(linked, other)
		}
	}
	return linked
}

// linkLost tells a daemon that the process at the other end of a link ended. It
// works out anew who writes the shards.
func (s *Sim) linkLost(d, lost *daemon) {
	incarnation := d.incarnation
	s.agenda.after(s.distance(d, lost), func() {
		d.step(incarnation, ledger.Route{Owners: s.owners(d)})
		d.step(incarnation, ledger.LinkLost{VM: lost.vm})
	})
}

// Pause stops a daemon for a while.
func (s *Sim) Pause(vm int, length time.Duration) { s.daemons[vm].pause(length) }

// reroute tells every daemon who writes the shards, each some time later.
func (s *Sim) reroute() {
	for _, d := range s.daemons {
		incarnation := d.incarnation
		lag := time.Duration(s.random.Int64N(int64(2 * time.Second)))
		s.agenda.after(lag, func() { d.step(incarnation, ledger.Route{Owners: s.owners(d)}) })
	}
}

// owners returns the writers as a daemon sees the fleet now.
func (s *Sim) owners(d *daemon) ledger.Owners {
	var linked []membership.Member
	var seen strings.Builder
	seen.WriteString(string(d.vm) + ":")
	for _, other := range s.daemons {
		if other == d || s.linked(d, other) {
			linked = append(linked, other.member())
			seen.WriteString(string(other.vm) + " ")
		}
	}
	owners, known := s.tables[seen.String()]
	if !known {
		owners = ledger.NewOwners(d.member(), s.centres, membership.NewView(linked))
		s.tables[seen.String()] = owners
	}
	return owners
}

// linked reports whether two daemons have a link: those of a data centre do,
// and each daemon has a link to one contact in each other data centre.
func (s *Sim) linked(a, b *daemon) bool {
	if !a.up || !b.up || s.cut(a, b) {
		return false
	}
	return a.dataCentre == b.dataCentre || s.contact(a, b.dataCentre) == b || s.contact(b, a.dataCentre) == a
}

// contact returns a daemon's contact in another data centre, or nil.
func (s *Sim) contact(d *daemon, dataCentre version.DataCentreID) *daemon {
	var candidates []*daemon
	for _, other := range s.daemons {
		if other.dataCentre == dataCentre && other.up {
			candidates = append(candidates, other)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[d.index%len(candidates)]
}

// cut reports whether no message gets from one daemon to another.
func (s *Sim) cut(a, b *daemon) bool {
	return a.dataCentre != b.dataCentre && (s.isolated[a.dataCentre] || s.isolated[b.dataCentre])
}

func (s *Sim) distance(a, b *daemon) time.Duration {
	if a.dataCentre == b.dataCentre {
		return localDelay
	}
	return remoteDelay
}

// count adds a message's bytes as the codec encodes it.
func (s *Sim) count(message wire.Message) {
	if !s.options.CountBytes {
		return
	}
	frame, err := wire.Encode([]wire.Message{message})
	if err != nil {
		s.violate("a message cannot be encoded: %v", err)
		return
	}
	s.messages++
	s.bytes += len(frame)
}

func (s *Sim) violate(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}
