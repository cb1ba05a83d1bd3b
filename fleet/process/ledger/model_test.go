package ledger

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// faultBudget limits the faults on one path through the model.
type faultBudget struct {
	// StoreFaults are lost answers, calls without effect and late writes.
	StoreFaults int
	// MessageFaults are messages lost or delivered twice.
	MessageFaults int
	Crashes       int
	// Returns are returns of the store from an older copy, which is empty.
	Returns int
	// TimeJumps are advances of the time.
	TimeJumps int
	// WithheldPermits are permits released unused.
	WithheldPermits int
}

// defect removes a rule of the protocol.
type defect uint8

const (
	noDefect defect = iota
	// unconditionalWrites makes the store ignore preconditions.
	unconditionalWrites
	// unverifiedWrites treats a write without an answer as one that took effect.
	unverifiedWrites
	// sendBeforeVerdict sends an attempt before its verdict.
	sendBeforeVerdict
	// sendAfterRelease sends an attempt after it was released.
	sendAfterRelease
	// unnoticedReturns keeps the daemons from learning of the store's return.
	unnoticedReturns
)

// packet is a message in transit.
type packet struct {
	From, To version.VMID
	Message  wire.Message
	// SortKey orders packets.
	SortKey string
}

// modelStoreCall is a store call in progress.
type modelStoreCall struct {
	Daemon      int
	Incarnation int
	Read        *Read
	Write       *Write
	// Outcome is set once the call took effect at the store.
	Outcome *storeOutcome
	// TimedOut is set once the daemon was notified that the call got no answer.
	TimedOut bool
}

type storeOutcome struct {
	Result  Result
	Version uint64
	Value   []byte
}

type storedObject struct {
	Version uint64
	Value   []byte
}

// modelRequest is a caller's request.
type modelRequest struct {
	Daemon      int
	Incarnation int
	Submitted   bool
	Permit      *claim.Permit
	Executed    bool
	Completed   bool
	// ExecutionsBefore is how many attempts had executed when the request was
	// submitted.
	ExecutionsBefore int
}

// model is one state of a small fleet: two daemons, one key, one store.
type model struct {
	Now          time.Time
	Cores        [2]*Ledger
	Incarnations [2]int
	Owners       Owners
	Packets      []packet
	Calls        []*modelStoreCall
	Objects      map[string]storedObject
	Version      uint64
	Requests     []*modelRequest
	Executions   int
	Replayed     bool
	Budget       faultBudget
	Defect       defect
	Violation    string
}

var (
	modelStart = time.Date(2026, time.March, 2, 9, 0, 5, 0, time.UTC)
	modelKey   = claim.NewKey(modelStart, [10]byte{1})
	modelVMs   = [2]version.VMID{"a", "b"}
	modelBody  = claim.Answer{Status: 201, Body: []byte("booked")}
)

// newModel returns a fleet in which the daemon entries[i] receives the i-th
// request. If owner is empty, each daemon is its own writer.
func newModel(owner version.VMID, budget faultBudget, d defect, entries ...int) *model {
	m := &model{Now: modelStart, Objects: make(map[string]storedObject), Budget: budget, Defect: d}
	for shard := range m.Owners {
		m.Owners[shard] = Owner{VM: owner}
	}
	for i := range m.Cores {
		m.startCore(i)
	}
	for _, daemon := range entries {
		m.Requests = append(m.Requests, &modelRequest{Daemon: daemon})
	}
	return m
}

func (m *model) startCore(i int) {
	m.Cores[i] = New(Options{VM: modelVMs[i], Start: m.Now})
	m.Cores[i].Step(m.Now, OwnersChanged{Owners: m.Owners})
}

func modelClaim(number int) claim.Claim {
	return claim.Claim{Account: 1, Key: modelKey, Attempt: uuid.UUID{byte(number + 1)}}
}

// step passes an event to a daemon's core and performs its actions.
func (m *model) step(daemon int, event Event) {
	m.Cores[daemon].Step(m.Now, event)
	m.performActions(daemon)
}

func (m *model) performActions(daemon int) {
	for _, action := range m.Cores[daemon].Ready() {
		switch a := action.(type) {
		case Send:
			m.enqueue(modelVMs[daemon], a.To, a.Message)
		case Read:
			m.Calls = append(m.Calls, &modelStoreCall{Daemon: daemon, Incarnation: m.Incarnations[daemon], Read: &a})
		case Write:
			m.Calls = append(m.Calls, &modelStoreCall{Daemon: daemon, Incarnation: m.Incarnations[daemon], Write: &a})
		case Decide:
			m.checkVerdict(int(a.Attempt[0])-1, a.Verdict)
		}
	}
}

// enqueue puts a message in transit. The order of the packets does not depend on
// when they were sent, so that equal states have equal fingerprints.
func (m *model) enqueue(from, to version.VMID, message wire.Message) {
	frame, err := wire.Encode([]wire.Message{message})
	if err != nil {
		m.violate("encode message: %v", err)
	}
	p := packet{From: from, To: to, Message: message, SortKey: string(from) + string(to) + string(frame)}
	i, _ := slices.BinarySearchFunc(m.Packets, p, func(a, b packet) int { return strings.Compare(a.SortKey, b.SortKey) })
	m.Packets = slices.Insert(m.Packets, i, p)
}

// checkVerdict checks a verdict against the executions so far.
func (m *model) checkVerdict(number int, verdict claim.Verdict) {
	r := m.Requests[number]
	switch {
	case r.Permit != nil || r.Completed:
		m.violate("request %d was decided twice", number)
	case verdict.Run != nil:
		r.Permit = verdict.Run
	case verdict.Replay != nil:
		r.Completed = true
		m.Replayed = true
		if m.Executions != 1 || string(verdict.Replay.Body) != string(modelBody.Body) {
			m.violate("request %d got a replay after %d executions", number, m.Executions)
		}
	default:
		r.Completed = true
		m.checkRefusal(number, verdict.Refusal)
	}
}

func (m *model) checkRefusal(number int, refusal *request.Refusal) {
	r := m.Requests[number]
	if refusal.Execution == request.NotExecuted && (r.ExecutionsBefore > 0 || r.Executed) {
		m.violate("request %d was refused as not run, but an attempt had executed", number)
	}
}

func (m *model) violate(format string, args ...any) {
	if m.Violation == "" {
		m.Violation = fmt.Sprintf(format, args...)
	}
}

// execute counts an execution at the upstream.
func (m *model) execute(r *modelRequest) {
	r.Executed = true
	m.Executions++
	if m.Executions > 1 {
		m.violate("the key was executed %d times", m.Executions)
	}
}

// explorer visits every reachable state once.
type explorer struct {
	visited   map[uint64]bool
	violating *model
	// executedStates sums the executions of all states; replayedStates counts the
	// states in which a request got its outcome replayed.
	executedStates int
	replayedStates int
}

func (e *explorer) visit(m *model) {
	if e.violating != nil {
		return
	}
	hash := fingerprint(m)
	if e.visited[hash] {
		return
	}
	e.visited[hash] = true
	e.executedStates += m.Executions
	if m.Replayed {
		e.replayedStates++
	}
	if m.Violation != "" {
		e.violating = m
		return
	}
	for i := range m.transitions() {
		next := deepCopy(m)
		next.transitions()[i]()
		e.visit(next)
	}
}

func explore(m *model) *explorer {
	e := &explorer{visited: make(map[uint64]bool)}
	e.visit(m)
	return e
}

// deepExploration adds the explorations that take minutes.
var deepExploration = flag.Bool("deep", false, "also run the explorations that take minutes")

// minStates guards against an exploration that visits almost nothing.
const minStates = 1_000

// exploration is one small fleet and the faults that may occur in it.
type exploration struct {
	name string
	// owner writes the shard; if it is empty, each daemon is its own writer.
	owner   version.VMID
	budget  faultBudget
	entries []int
}

// smallExplorations take seconds even under the race detector.
var smallExplorations = []exploration{
	{"crashes", "", faultBudget{Crashes: 2, StoreFaults: 1}, []int{0, 1}},
	{"message faults, one writer", "a", faultBudget{MessageFaults: 2}, []int{0, 1}},
}

var explorations = append([]exploration{
	{"store faults", "", faultBudget{StoreFaults: 2, TimeJumps: 1}, []int{0, 1}},
	{"withheld permits", "", faultBudget{WithheldPermits: 1, TimeJumps: 1}, []int{0, 1}},
	{"withheld permits, one writer", "a", faultBudget{WithheldPermits: 1, TimeJumps: 1}, []int{0, 1}},
	{"returns of the store", "", faultBudget{Returns: 1, TimeJumps: 1}, []int{0, 1}},
	{"returns of the store, one writer", "a", faultBudget{Returns: 1, TimeJumps: 1}, []int{0, 1}},
}, smallExplorations...)

var deepExplorations = []exploration{
	{"store faults and time", "", faultBudget{StoreFaults: 1, TimeJumps: 2}, []int{0, 1}},
	{"store faults and time, one writer", "a", faultBudget{StoreFaults: 1, TimeJumps: 2}, []int{0, 1}},
	{"crashes and time, one writer", "a", faultBudget{Crashes: 1, StoreFaults: 1, TimeJumps: 1}, []int{0, 1}},
	{"message faults and time, one request", "a", faultBudget{MessageFaults: 2, TimeJumps: 2}, []int{1}},
	{"returns of the store and time", "", faultBudget{Returns: 1, TimeJumps: 2}, []int{0, 1}},
	{"three requests", "", faultBudget{Crashes: 1, StoreFaults: 1}, []int{0, 1, 1}},
}

// TestModel guards against a key that is executed twice, and against a refusal
// that wrongly says "not run". It visits every state that a small fleet can reach
// with a limited number of store faults, message faults, crashes, returns of the
// store from an older copy, time jumps and withheld permits.
func TestModel(t *testing.T) {
	chosen := explorations
	switch {
	case raceDetector:
		chosen = smallExplorations
	case *deepExploration:
		chosen = append(chosen, deepExplorations...)
	}
	for _, x := range chosen {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			e := explore(newModel(x.owner, x.budget, noDefect, x.entries...))
			t.Logf("%s: %d states, of these %d with an execution and %d with a replay", x.name, len(e.visited), e.executedStates, e.replayedStates)
			if e.violating != nil {
				t.Error(e.violating.Violation)
			}
			replays := len(x.entries) > 1
			if len(e.visited) < minStates || e.executedStates == 0 || replays && e.replayedStates == 0 {
				t.Error("the exploration visited too few states to prove anything")
			}
		})
	}
}

// TestModelDetectsDefects checks that the model is strict enough: with a rule of
// the protocol removed, the exploration must reach a violation.
func TestModelDetectsDefects(t *testing.T) {
	for name, d := range map[string]defect{
		"unconditional writes": unconditionalWrites,
		"no read-back":         unverifiedWrites,
		"sent before claimed":  sendBeforeVerdict,
		"sent after released":  sendAfterRelease,
		"unnoticed returns":    unnoticedReturns,
	} {
		budget := faultBudget{StoreFaults: 1, WithheldPermits: 1, TimeJumps: 1}
		if d == unnoticedReturns {
			budget.Returns = 1
		}
		e := explore(newModel("", budget, d, 0, 1))
		if e.violating == nil {
			t.Errorf("%s: defect not detected in %d states", name, len(e.visited))
		}
	}
}
