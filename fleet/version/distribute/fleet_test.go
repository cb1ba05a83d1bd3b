package distribute

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/part"
)

// fleet runs cores in virtual time over links that may lose, repeat and reorder
// messages, beside a platform that may be away.
type fleet struct {
	t      *testing.T
	now    time.Time
	random *rand.Rand
	nodes  []*testNode
	byVM   map[version.VMID]*testNode
	queue  []delivery

	platform *testPlatform
	// loss and repeat are shares of the messages.
	loss, repeat float64
	// cut reports whether a message is lost in a partition.
	cut   func(from, to *testNode) bool
	bytes int
}

type testNode struct {
	vm         version.VMID
	dataCentre version.DataCentreID
	core       *Core
	config     *version.Config
	refused    int
	// seen is the platform's number that this node read last.
	seen version.Number
	// cutOff is set while the platform does not answer this node.
	cutOff bool
}

type delivery struct {
	at       time.Time
	from, to version.VMID
	frame    []byte
}

// testPlatform is the head and the parts in the platform.
type testPlatform struct {
	head  version.Head
	parts map[string][]byte
	down  bool
	// reads counts the reads of heads and parts, polls the watches.
	reads, polls int
}

const (
	step    = 40 * time.Millisecond
	latency = 8 * time.Millisecond
)

func newFleet(t *testing.T, dataCentres, vms int, seed uint64) *fleet {
	f := &fleet{
		t:        t,
		now:      time.Unix(1_000_000, 0),
		random:   rand.New(rand.NewPCG(seed, 0)),
		byVM:     make(map[version.VMID]*testNode),
		platform: &testPlatform{parts: make(map[string][]byte)},
	}
	for d := range dataCentres {
		for v := range vms {
			n := &testNode{vm: version.VMID(fmt.Sprintf("dc%d-vm%d", d, v)), dataCentre: version.DataCentreID(fmt.Sprintf("dc%d", d))}
			f.nodes = append(f.nodes, n)
			f.byVM[n.vm] = n
		}
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	return f
}

// start begins a node anew without anything kept.
func (f *fleet) start(n *testNode) {
	n.core = New(f.now, Options{VM: n.vm, DataCentre: n.dataCentre, Seed: f.random.Uint64()})
	n.config, n.seen = nil, 0
	for _, other := range f.nodes {
		if other != n && other.core != nil && linked(n, other) {
			n.core.Step(f.now, PeerUp{VM: other.vm, DataCentre: other.dataCentre})
			other.core.Step(f.now, PeerUp{VM: n.vm, DataCentre: n.dataCentre})
		}
	}
}

// stop ends a node; its links go down.
func (f *fleet) stop(n *testNode) {
	f.nodes = slices.DeleteFunc(slices.Clone(f.nodes), func(other *testNode) bool { return other == n })
	for _, other := range f.nodes {
		other.core.Step(f.now, PeerDown{VM: n.vm})
	}
}

// linked is a mesh inside a data centre, and links between daemons of the same
// place in different ones.
func linked(a, b *testNode) bool {
	if a.dataCentre == b.dataCentre {
		return true
	}
	return a.vm[len(a.dataCentre):] == b.vm[len(b.dataCentre):]
}

// publish puts the document in force in the platform as one change.
func (f *fleet) publish(document *version.Document, edit func(*version.Head)) {
	parts, err := part.Split(document)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, p := range parts {
		f.platform.parts[p.Ref.SHA256] = p.Data
	}
	head := f.platform.head.Next(fmt.Sprintf("op-%d", f.platform.head.Number))
	head.Parts, head.Preset = part.Refs(parts), document.Presets[0].Name
	if edit != nil {
		edit(&head)
	}
	f.platform.head = head
}

// run advances virtual time.
func (f *fleet) run(d time.Duration) {
	f.t.Helper()
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		f.deliver()
		for _, n := range f.nodes {
			if f.now.UnixNano()%int64(TickInterval) == 0 {
				n.core.Tick(f.now)
				f.read(n)
			}
			f.flush(n)
		}
	}
}

// read lets a watching node read the platform.
func (f *fleet) read(n *testNode) {
	if !n.core.Watching() {
		return
	}
	f.platform.polls++
	if f.platform.down || n.cutOff {
		return
	}
	n.core.Step(f.now, PlatformContact{})
	if f.platform.head.Number <= n.seen {
		return
	}
	n.seen = f.platform.head.Number
	f.platform.reads++
	encoded, err := json.Marshal(f.platform.head)
	if err != nil {
		f.t.Fatal(err)
	}
	parts := make(map[string][]byte)
	for _, ref := range f.platform.head.Parts {
		if _, held := n.core.Part(ref.SHA256); !held {
			parts[ref.SHA256] = f.platform.parts[ref.SHA256]
			f.platform.reads++
		}
	}
	n.core.Step(f.now, PlatformHead{Encoded: encoded, Parts: parts})
}

// flush carries out a node's actions and checks that nothing reverts.
func (f *fleet) flush(n *testNode) {
	for _, action := range n.core.Ready() {
		switch a := action.(type) {
		case Send:
			f.send(n, a)
		case Apply:
			if n.config != nil && a.Config.Number <= n.config.Number {
				f.t.Errorf("%s: version %d after %d", n.vm, a.Config.Number, n.config.Number)
			}
			n.config = a.Config
		case Refuse:
			n.refused++
			f.t.Logf("%s refused %d: %v", n.vm, a.Number, a.Err)
		}
	}
}

func (f *fleet) send(from *testNode, a Send) {
	frame, err := wire.Encode([]wire.Message{a.Message})
	if err != nil {
		f.t.Fatal(err)
	}
	f.bytes += len(frame)
	copies := 1
	if f.random.Float64() < f.repeat {
		copies = 2
	}
	for range copies {
		if f.random.Float64() < f.loss || f.cut != nil && f.cut(from, f.byVM[a.To]) {
			continue
		}
		delay := latency + time.Duration(f.random.Int64N(int64(2*latency)))
		f.queue = append(f.queue, delivery{at: f.now.Add(delay), from: from.vm, to: a.To, frame: frame})
	}
}

func (f *fleet) deliver() {
	due := f.queue
	f.queue = nil
	for _, d := range due {
		if d.at.After(f.now) {
			f.queue = append(f.queue, d)
			continue
		}
		messages, err := wire.Decode(d.frame)
		if err != nil {
			f.t.Fatal(err)
		}
		for _, message := range messages {
			f.byVM[d.to].core.Step(f.now, Receive{From: d.from, Message: message})
		}
	}
}

// lagging returns the nodes that do not hold a number.
func (f *fleet) lagging(number version.Number) []version.VMID {
	var lagging []version.VMID
	for _, n := range f.nodes {
		if n.config == nil || n.config.Number < number {
			lagging = append(lagging, n.vm)
		}
	}
	return lagging
}

// wantEverywhere fails unless every node holds at least a number.
func (f *fleet) wantEverywhere(number version.Number, when string) {
	f.t.Helper()
	if lagging := f.lagging(number); len(lagging) > 0 {
		f.t.Errorf("%s: %d daemons lack version %d, such as %s", when, len(lagging), number, lagging[0])
	}
}

// watchers returns how many nodes watch the platform.
func (f *fleet) watchers() int {
	return len(slices.DeleteFunc(slices.Clone(f.nodes), func(n *testNode) bool { return !n.core.Watching() }))
}

// testDocument returns a small valid document with an account for each weight.
func testDocument(weights ...float64) *version.Document {
	document := &version.Document{
		DataCentres: []version.DataCentreSpec{{Name: "north", Region: "one"}, {Name: "south", Region: "two"}},
		Presets:     []version.PresetSpec{{Name: "ordinary"}},
	}
	for i, weight := range weights {
		document.Accounts = append(document.Accounts, version.AccountSpec{Name: fmt.Sprintf("account-%d", i), Weight: weight})
	}
	return document
}
