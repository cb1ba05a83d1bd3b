package ledgercheck

import (
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/ledger"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
)

// The indexes of the VMs in the scenario of the table: the first call goes through
// entryVM, its shard is written by writerVM in the other data centre, and the call
// is retried through retryVM and finally through lastVM.
const (
	entryVM  = 0
	writerVM = 1
	lastVM   = 2
	retryVM  = 3
)

// fault is a fault that is injected when a step is reached.
type fault struct {
	name  string
	apply func(*Sim, claim.Key)
	// setUp changes the options of the whole run; it may be nil.
	setUp func(*Options)
	// mayLoseOutcome is set if the caller may never learn the outcome.
	mayLoseOutcome bool
}

// storeFault returns a fault that sets faults of the store for a duration.
func storeFault(name string, faults StoreFaults, length time.Duration) fault {
	return fault{name: name, apply: func(s *Sim, _ claim.Key) {
		s.SetStoreFaults(faults)
		s.queue.after(length, func() { s.SetStoreFaults(StoreFaults{}) })
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
	{name: "entry killed", apply: func(s *Sim, _ claim.Key) { s.Kill(entryVM, time.Second) }, mayLoseOutcome: true},
	{name: "writer killed", apply: func(s *Sim, _ claim.Key) { s.Kill(writerVM, time.Second) }},
	{name: "entry and writer killed", apply: func(s *Sim, _ claim.Key) {
		s.Kill(entryVM, time.Second)
		s.Kill(writerVM, 2*time.Second)
	}, mayLoseOutcome: true},
	{name: "another daemon races", apply: func(s *Sim, key claim.Key) { s.Call(retryVM, key, 0, func(Answer) {}) }},
	{name: "messages duplicate and late", setUp: func(o *Options) {
		o.DuplicateFraction, o.DelayFraction, o.MaxExtraDelay = 1, 1, 3*time.Second
	}, apply: func(*Sim, claim.Key) {}},
	{name: "data centres partitioned", apply: func(s *Sim, _ claim.Key) {
		s.Isolate(0, true)
		s.queue.after(10*time.Second, func() { s.Isolate(0, false) })
	}},
	{name: "partitioned while the store is down", apply: func(s *Sim, _ claim.Key) {
		s.Isolate(0, true)
		s.SetStoreFaults(StoreFaults{Down: true})
		s.queue.after(10*time.Second, func() { s.Isolate(0, false) })
		s.queue.after(20*time.Second, func() { s.SetStoreFaults(StoreFaults{}) })
	}},
}

// Each fault is injected at each step of the protocol. No guarantee of the ledger may
// be violated, and after the faults a retry must get a definite answer.
func TestFaultsAtEachStep(t *testing.T) {
	for step := range StepCount {
		for _, f := range faults {
			t.Run(step.String()+"/"+f.name, func(t *testing.T) { testFaultAtStep(t, step, f) })
		}
	}
}

func testFaultAtStep(t *testing.T, step Step, f fault) {
	options := Options{DataCentres: 2, VMs: 4, StoreTime: 5 * time.Millisecond, ServiceTime: 200 * time.Millisecond, BodyBytes: 100}
	if f.setUp != nil {
		f.setUp(&options)
	}
	s := New(options)
	key := s.newKeyWrittenBy(writerVM)
	injected := false
	s.OnStep(step, func() {
		injected = true
		f.apply(s, key)
	})
	outcomeKnown := s.callAndRetry(key, entryVM)
	s.Run(3 * time.Minute)
	if !injected {
		t.Fatal("the step was not reached")
	}
	last := Answer{}
	s.Call(lastVM, key, 0, func(a Answer) { last = a })
	s.Run(30 * time.Second)
	for _, violation := range s.Finish() {
		t.Error(violation)
	}
	if !last.definite() {
		t.Errorf("after all faults the last call got %s, want the outcome or that it is unknown", last)
	}
	if !*outcomeKnown && !last.outcomeKnown() && !f.mayLoseOutcome {
		t.Errorf("the caller never learned the outcome; the last call got %s", last)
	}
}

// definite reports whether an answer is one that a fleet without faults gives: the
// outcome, or that the outcome is unknown.
func (a Answer) definite() bool {
	return a.outcomeKnown() || a.Kind == AnswerRefusal && a.Refusal.Reason == request.ReasonOutcomeUnknown
}

// callAndRetry makes a call through a VM and retries it through retryVM until the
// outcome is known, up to 5 times. Each call is given up after 3 s. It returns a
// variable that is set once the outcome is known.
func (s *Sim) callAndRetry(key claim.Key, vm int) *bool {
	known := false
	var try func(vm, retries int)
	try = func(vm, retries int) {
		c := s.call(vm, key, 0, func(c *call) {
			known = known || c.result.outcomeKnown()
			if known || retries == 0 {
				return
			}
			s.queue.after(3*time.Second, func() { try(retryVM, retries-1) })
		})
		s.queue.after(3*time.Second, func() { c.end(nil, Answer{}) })
	}
	try(vm, 5)
	return &known
}

// newKeyWrittenBy returns an unused key whose shard is written by a VM.
func (s *Sim) newKeyWrittenBy(vm int) claim.Key {
	for {
		key := s.NewKey()
		shard := ledger.LogIDOf(1, key).Shard
		if s.owners(s.daemons[vm])[shard] == (ledger.Owner{VM: s.daemons[vm].vm}) {
			return key
		}
	}
}
