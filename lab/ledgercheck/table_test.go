package ledgercheck

import (
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/ledger"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
)

// The VMs of the table's scenario: the caller's first call goes through
// entryVM, its shard is written by writerVM in the other data centre, and it
// comes back through retryVM and at last through lastVM.
const (
	entryVM  = 0
	writerVM = 1
	lastVM   = 2
	retryVM  = 3
)

// fault is put in when a step is reached.
type fault struct {
	name  string
	apply func(*Sim, claim.Key)
	// setUp changes the whole run.
	setUp func(*Options)
	// losesOutcome is set if the caller may never learn the outcome.
	losesOutcome bool
}

func storeFault(name string, faults StoreFaults, length time.Duration) fault {
	return fault{name: name, apply: func(s *Sim, _ claim.Key) {
		s.SetStoreFaults(faults)
		s.agenda.after(length, func() { s.SetStoreFaults(StoreFaults{}) })
	}}
}

var faults = []fault{
	storeFault("store down", StoreFaults{Down: true}, 2*time.Second),
	storeFault("store slow", StoreFaults{Delay: 2 * time.Second}, 4*time.Second),
	storeFault("store slower than a call may take", StoreFaults{Delay: 6 * time.Second}, 8*time.Second),
	storeFault("answers lost", StoreFaults{LoseAnswers: true}, time.Second),
	storeFault("writes late", StoreFaults{LateWrites: true}, time.Second),
	storeFault("rate limited", StoreFaults{Limited: true}, 3*time.Second),
	storeFault("long outage and return", StoreFaults{Down: true}, time.Minute),
	{name: "entry paused past the permit", apply: func(s *Sim, _ claim.Key) {
		s.Pause(entryVM, ledger.PermitValidity+time.Second)
	}},
	{name: "writer paused", apply: func(s *Sim, _ claim.Key) { s.Pause(writerVM, 15*time.Second) }},
	{name: "entry killed", apply: func(s *Sim, _ claim.Key) { s.Kill(entryVM, time.Second) }, losesOutcome: true},
	{name: "writer killed", apply: func(s *Sim, _ claim.Key) { s.Kill(writerVM, time.Second) }},
	{name: "entry and writer killed", apply: func(s *Sim, _ claim.Key) {
		s.Kill(entryVM, time.Second)
		s.Kill(writerVM, 2*time.Second)
	}, losesOutcome: true},
	{name: "another daemon races", apply: func(s *Sim, key claim.Key) { s.Call(retryVM, key, 0, func(Answer) {}) }},
	{name: "messages duplicate and late", setUp: func(o *Options) {
		o.Duplicate, o.Late, o.LateBy = 1, 1, 3*time.Second
	}, apply: func(*Sim, claim.Key) {}},
	{name: "data centres partitioned", apply: func(s *Sim, _ claim.Key) {
		s.Isolate(0, true)
		s.agenda.after(10*time.Second, func() { s.Isolate(0, false) })
	}},
	{name: "partitioned while the store is down", apply: func(s *Sim, _ claim.Key) {
		s.Isolate(0, true)
		s.SetStoreFaults(StoreFaults{Down: true})
		s.agenda.after(10*time.Second, func() { s.Isolate(0, false) })
		s.agenda.after(20*time.Second, func() { s.SetStoreFaults(StoreFaults{}) })
	}},
}

func TestStepsAndFaults(t *testing.T) {
	for step := range Steps {
		for _, f := range faults {
			t.Run(step.String()+"/"+f.name, func(t *testing.T) { testCell(t, step, f) })
		}
	}
}

func testCell(t *testing.T, step Step, f fault) {
	options := Options{DataCentres: 2, VMs: 4, StoreTime: 5 * time.Millisecond, ServiceTime: 200 * time.Millisecond, BodyBytes: 100}
	if f.setUp != nil {
		f.setUp(&options)
	}
	s := New(options)
	key := s.keyOf(writerVM)
	struck := false
	s.At(step, func() {
		struck = true
		f.apply(s, key)
	})
	known := s.comeBack(key, entryVM)
	s.Run(3 * time.Minute)
	if !struck {
		t.Fatal("the step was not reached")
	}
	last := Answer{}
	s.Call(lastVM, key, 0, func(a Answer) { last = a })
	s.Run(30 * time.Second)
	for _, violation := range s.Finish() {
		t.Error(violation)
	}
	if !last.settled() {
		t.Errorf("after all faults the last call got %s", last)
	}
	if !*known && !last.final() && !f.losesOutcome {
		t.Errorf("the outcome was lost: the last call got %s", last)
	}
}

// settled reports whether an answer is one that a fleet without faults gives.
func (a Answer) settled() bool {
	return a.final() || a.Kind == AnswerRefusal && a.Refusal.Reason == request.ReasonOutcomeUnknown
}

// comeBack calls until the outcome is known, each time through another daemon
// after 3 s of patience, and reports whether it is known.
func (s *Sim) comeBack(key claim.Key, vm int) *bool {
	known := false
	var try func(vm, tries int)
	try = func(vm, tries int) {
		c := s.call(vm, key, 0, func(c *call) {
			known = known || c.got.final()
			if known || tries == 0 {
				return
			}
			s.agenda.after(3*time.Second, func() { try(retryVM, tries-1) })
		})
		s.agenda.after(3*time.Second, func() { c.answer(nil, Answer{}) })
	}
	try(vm, 5)
	return &known
}

// keyOf returns a key whose shard a VM writes.
func (s *Sim) keyOf(vm int) claim.Key {
	for {
		key := s.NewKey()
		shard := ledger.PlaceOf(1, key).Shard
		if s.owners(s.daemons[vm])[shard] == (ledger.Owner{VM: s.daemons[vm].vm}) {
			return key
		}
	}
}
