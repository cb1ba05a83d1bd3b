// Package ledgercheck simulates a whole fleet with the ledger's decision code in
// virtual time, under seeded schedules of faults. It checks the ledger's guarantees
// against the attempts that the upstream executed: no key is executed twice, and no
// call is refused as not executed if it was executed.
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

// ProtocolDefects disables rules of the protocol, to show that the checks detect
// violations.
type ProtocolDefects struct {
	// UnconditionalWrites lets the store ignore preconditions.
	UnconditionalWrites bool
	// SendBeforeVerdict sends an attempt before its verdict.
	SendBeforeVerdict bool
	// SendAfterRelease sends an attempt whose permit was released.
	SendAfterRelease bool
}

// Options set up a Sim.
type Options struct {
	Seed uint64
	// DataCentres and VMs are the numbers of each. The VMs are spread evenly over
	// the data centres, and each runs one daemon.
	DataCentres int
	VMs         int
	// WritesPerSecond is ledger.Options.WritesPerSecond.
	WritesPerSecond int
	// StoreTime is the round-trip time of a call of the store.
	StoreTime time.Duration
	// StoreWritesPerSecond limits the rate of writes that the store accepts; 0 is
	// no limit.
	StoreWritesPerSecond int
	// DuplicateFraction of the messages between daemons are delivered twice,
	// LossFraction are lost, and DelayFraction are delayed by a further time of up
	// to MaxExtraDelay.
	DuplicateFraction float64
	LossFraction      float64
	DelayFraction     float64
	MaxExtraDelay     time.Duration
	// WithholdFraction is the fraction of permits that are released unused.
	WithholdFraction float64
	// BrokenAnswerFraction is the fraction of attempts that end without a whole
	// answer.
	BrokenAnswerFraction float64
	// ServiceTime is how long the upstream takes to execute an attempt.
	ServiceTime time.Duration
	// BodyBytes is the size of an answer's body.
	BodyBytes int
	// TickInterval is the interval at which the decision cores tick; default
	// ledger.TickInterval.
	TickInterval time.Duration
	// CountBytes counts the messages between daemons and their bytes. It slows the
	// run down.
	CountBytes bool
	Defects    ProtocolDefects
}

// Network latencies between daemons within a data centre and of different ones.
const (
	localLatency  = 500 * time.Microsecond
	remoteLatency = 8 * time.Millisecond
)

// Sim is a fleet in virtual time.
type Sim struct {
	options     Options
	queue       eventQueue
	random      *rand.Rand
	store       *store
	upstream    *upstream
	daemons     []*daemon
	daemonOfVM  map[version.VMID]*daemon
	dataCentres []version.DataCentreID
	// isolated are the data centres that are partitioned from all others.
	isolated map[version.DataCentreID]bool
	// ownerTables caches the writers of the shards by the observing daemon and the
	// VMs that it has links to.
	ownerTables map[string]ledger.Owners
	calls       []*call

	stepHooks  map[Step]func()
	stepCounts map[Step]int
	violations []string
	// messages and messageBytes count the messages between daemons, if
	// Options.CountBytes is set.
	messages     int
	messageBytes int
}

// startTime is the virtual time at which every run starts.
var startTime = time.Date(2026, time.March, 2, 9, 0, 5, 0, time.UTC)

// New returns a fleet with all its daemons running.
func New(options Options) *Sim {
	if options.TickInterval == 0 {
		options.TickInterval = ledger.TickInterval
	}
	s := &Sim{
		options:     options,
		random:      rand.New(rand.NewPCG(options.Seed, 1)),
		daemonOfVM:  make(map[version.VMID]*daemon),
		isolated:    make(map[version.DataCentreID]bool),
		ownerTables: make(map[string]ledger.Owners),
		stepHooks:   make(map[Step]func()),
		stepCounts:  make(map[Step]int),
	}
	s.queue.now = startTime
	s.store = &store{sim: s, objects: make(map[string]object), refilledAt: startTime, writeTokens: float64(options.StoreWritesPerSecond)}
	s.upstream = &upstream{sim: s, executions: make(map[executionKey][]execution)}
	for i := range options.DataCentres {
		s.dataCentres = append(s.dataCentres, version.DataCentreID(fmt.Sprintf("dc-%d", i)))
	}
	for i := range options.VMs {
		d := &daemon{
			sim:        s,
			index:      i,
			vm:         version.VMID(fmt.Sprintf("vm-%d", i)),
			dataCentre: s.dataCentres[i%options.DataCentres],
			up:         true,
		}
		s.daemons = append(s.daemons, d)
		s.daemonOfVM[d.vm] = d
	}
	for _, d := range s.daemons {
		d.start()
	}
	return s
}

// Run advances the virtual time by length.
func (s *Sim) Run(length time.Duration) { s.queue.runUntil(s.queue.now.Add(length)) }

// Now returns the current virtual time.
func (s *Sim) Now() time.Time { return s.queue.now }

// SetStoreFaults replaces the store's faults.
func (s *Sim) SetStoreFaults(faults StoreFaults) { s.store.faults = faults }

// Usage returns the use of the store so far.
func (s *Sim) Usage() Usage { return s.store.usage }

// Isolate starts or ends the partition of a data centre from all others.
func (s *Sim) Isolate(dataCentre int, isolated bool) {
	s.isolated[s.dataCentres[dataCentre]] = isolated
	s.updateOwners()
}

// Kill ends a daemon and restarts it with empty memory after downtime. It does
// nothing if the daemon is down already.
func (s *Sim) Kill(vm int, downtime time.Duration) {
	d := s.daemons[vm]
	if !d.up {
		return
	}
	linked := s.daemonsLinkedTo(d)
	d.kill()
	for _, other := range linked {
		s.loseLink(other, d)
	}
	s.updateOwners()
	s.queue.after(downtime, func() {
		d.start()
		s.updateOwners()
	})
}

// daemonsLinkedTo returns the daemons that have a link to d.
func (s *Sim) daemonsLinkedTo(d *daemon) []*daemon {
	var linked []*daemon
	for _, other := range s.daemons {
		if other != d && s.linked(d, other) {
			linked = append(linked, other)
		}
	}
	return linked
}

// loseLink informs a daemon, after the network latency, that the process at the
// other end of a link ended. The daemon first updates its table of the shards'
// writers.
func (s *Sim) loseLink(d, lost *daemon) {
	incarnation := d.incarnation
	s.queue.after(s.latency(d, lost), func() {
		d.step(incarnation, ledger.OwnersChanged{Owners: s.owners(d)})
		d.step(incarnation, ledger.LinkLost{VM: lost.vm})
	})
}

// Pause suspends a daemon for length, like a stopped process.
func (s *Sim) Pause(vm int, length time.Duration) { s.daemons[vm].pause(length) }

// updateOwners updates the table of the shards' writers in every daemon, each after
// a random lag of up to 2 s, because daemons learn of a change at different times.
func (s *Sim) updateOwners() {
	for _, d := range s.daemons {
		incarnation := d.incarnation
		lag := time.Duration(s.random.Int64N(int64(2 * time.Second)))
		s.queue.after(lag, func() { d.step(incarnation, ledger.OwnersChanged{Owners: s.owners(d)}) })
	}
}

// owners returns the writer of each shard as seen by a daemon now.
func (s *Sim) owners(d *daemon) ledger.Owners {
	var linked []membership.Member
	var tableKey strings.Builder
	tableKey.WriteString(string(d.vm) + ":")
	for _, other := range s.daemons {
		if other == d || s.linked(d, other) {
			linked = append(linked, other.member())
			tableKey.WriteString(string(other.vm) + " ")
		}
	}
	owners, cached := s.ownerTables[tableKey.String()]
	if !cached {
		owners = ledger.NewOwners(d.member(), s.dataCentres, membership.NewView(linked))
		s.ownerTables[tableKey.String()] = owners
	}
	return owners
}

// linked reports whether two daemons have a link. All daemons of a data centre are
// linked, and each daemon has a link to one contact in each other data centre.
func (s *Sim) linked(a, b *daemon) bool {
	if !a.up || !b.up || s.partitioned(a, b) {
		return false
	}
	return a.dataCentre == b.dataCentre || s.contact(a, b.dataCentre) == b || s.contact(b, a.dataCentre) == a
}

// contact returns a daemon's contact in another data centre, or nil if no daemon
// runs there.
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

// partitioned reports whether a partition separates two daemons.
func (s *Sim) partitioned(a, b *daemon) bool {
	return a.dataCentre != b.dataCentre && (s.isolated[a.dataCentre] || s.isolated[b.dataCentre])
}

// latency returns the network latency between two daemons.
func (s *Sim) latency(a, b *daemon) time.Duration {
	if a.dataCentre == b.dataCentre {
		return localLatency
	}
	return remoteLatency
}

// countMessage counts a message and its encoded size, if Options.CountBytes is set.
func (s *Sim) countMessage(message wire.Message) {
	if !s.options.CountBytes {
		return
	}
	frame, err := wire.Encode([]wire.Message{message})
	if err != nil {
		s.reportViolation("encode a message: %v", err)
		return
	}
	s.messages++
	s.messageBytes += len(frame)
}

func (s *Sim) reportViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}
