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

// fleet simulates daemons in virtual time, over links that may lose, duplicate and
// reorder messages, and with a platform that may be unreachable.
type fleet struct {
	t      *testing.T
	now    time.Time
	random *rand.Rand
	nodes  []*testNode
	byVM   map[version.VMID]*testNode
	queue  []delivery

	platform *testPlatform
	// lossFraction and duplicateFraction are the fractions of messages that are
	// lost and duplicated.
	lossFraction, duplicateFraction float64
	// partitioned reports whether a partition separates two nodes; nil if there
	// is none.
	partitioned func(from, to *testNode) bool
	// sentBytes counts the bytes of all messages sent.
	sentBytes int
}

// testNode is a simulated daemon.
type testNode struct {
	vm         version.VMID
	dataCentre version.DataCentreID
	core       *Core
	config     *version.Config
	// rejections counts the heads that this node rejected.
	rejections int
	// lastRead is the number of the platform's head that this node read last.
	lastRead version.Number
	// cutOff is set while the platform does not answer this node.
	cutOff bool
}

// delivery is a message in flight.
type delivery struct {
	due      time.Time
	from, to version.VMID
	frame    []byte
}

// testPlatform is a fake platform: it stores the head and the parts.
type testPlatform struct {
	head        version.Head
	parts       map[string][]byte
	unreachable bool
	// reads counts the reads of heads and parts, and polls the attempts of
	// watchers to read the platform.
	reads, polls int
}

const (
	timeStep   = 40 * time.Millisecond
	minLatency = 8 * time.Millisecond
)

// newFleet returns a fleet with the given number of VMs in each data centre.
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

// start starts or restarts a node without a configuration and links it to its
// peers.
func (f *fleet) start(n *testNode) {
	n.core = New(f.now, Options{VM: n.vm, DataCentre: n.dataCentre, Seed: f.random.Uint64()})
	n.config, n.lastRead = nil, 0
	for _, other := range f.nodes {
		if other != n && other.core != nil && linked(n, other) {
			n.core.Step(f.now, PeerUp{VM: other.vm, DataCentre: other.dataCentre})
			other.core.Step(f.now, PeerUp{VM: n.vm, DataCentre: n.dataCentre})
		}
	}
}

// stop stops a node, which breaks its links.
func (f *fleet) stop(n *testNode) {
	f.nodes = slices.DeleteFunc(slices.Clone(f.nodes), func(other *testNode) bool { return other == n })
	for _, other := range f.nodes {
		other.core.Step(f.now, PeerDown{VM: n.vm})
	}
}

// linked reports whether two nodes are linked: all nodes in a data centre are, and
// nodes with the same VM number in different data centres.
func linked(a, b *testNode) bool {
	if a.dataCentre == b.dataCentre {
		return true
	}
	return a.vm[len(a.dataCentre):] == b.vm[len(b.dataCentre):]
}

// publish writes the document to the platform as one change of the head. edit, if
// not nil, edits the head before.
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

// run advances virtual time by d.
func (f *fleet) run(d time.Duration) {
	f.t.Helper()
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(timeStep)
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

// read reads the platform for a node that is a watcher.
func (f *fleet) read(n *testNode) {
	if !n.core.Watching() {
		return
	}
	f.platform.polls++
	if f.platform.unreachable || n.cutOff {
		return
	}
	n.core.Step(f.now, PlatformContact{})
	if f.platform.head.Number <= n.lastRead {
		return
	}
	n.lastRead = f.platform.head.Number
	f.platform.reads++
	encoded, err := json.Marshal(f.platform.head)
	if err != nil {
		f.t.Fatal(err)
	}
	parts := make(map[string][]byte)
	for _, ref := range f.platform.head.Parts {
		if _, present := n.core.Part(ref.SHA256); !present {
			parts[ref.SHA256] = f.platform.parts[ref.SHA256]
			f.platform.reads++
		}
	}
	n.core.Step(f.now, PlatformHead{Encoded: encoded, Parts: parts})
}

// flush carries out a node's actions and checks that the number of the applied
// configuration only rises.
func (f *fleet) flush(n *testNode) {
	for _, action := range n.core.Ready() {
		switch a := action.(type) {
		case Send:
			f.send(n, a)
		case Apply:
			if n.config != nil && a.Config.Number <= n.config.Number {
				f.t.Errorf("%s applied version %d after version %d", n.vm, a.Config.Number, n.config.Number)
			}
			n.config = a.Config
		case ReportRejectedHead:
			n.rejections++
			f.t.Logf("%s rejected head %d: %v", n.vm, a.Number, a.Err)
		}
	}
}

// send puts a message in flight, unless it is lost.
func (f *fleet) send(from *testNode, a Send) {
	frame, err := wire.Encode([]wire.Message{a.Message})
	if err != nil {
		f.t.Fatal(err)
	}
	f.sentBytes += len(frame)
	copies := 1
	if f.random.Float64() < f.duplicateFraction {
		copies = 2
	}
	for range copies {
		if f.random.Float64() < f.lossFraction || f.partitioned != nil && f.partitioned(from, f.byVM[a.To]) {
			continue
		}
		delay := minLatency + time.Duration(f.random.Int64N(int64(2*minLatency)))
		f.queue = append(f.queue, delivery{due: f.now.Add(delay), from: from.vm, to: a.To, frame: frame})
	}
}

// deliver delivers the messages that are due.
func (f *fleet) deliver() {
	due := f.queue
	f.queue = nil
	for _, d := range due {
		if d.due.After(f.now) {
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

// nodesBehind returns the nodes that have not applied a version or a later one.
func (f *fleet) nodesBehind(number version.Number) []version.VMID {
	var behind []version.VMID
	for _, n := range f.nodes {
		if n.config == nil || n.config.Number < number {
			behind = append(behind, n.vm)
		}
	}
	return behind
}

// wantEverywhere fails the test unless every node has applied a version or a later
// one.
func (f *fleet) wantEverywhere(number version.Number, when string) {
	f.t.Helper()
	if behind := f.nodesBehind(number); len(behind) > 0 {
		f.t.Errorf("%s: %d daemons have not applied version %d, such as %s", when, len(behind), number, behind[0])
	}
}

// watchers returns the number of nodes that are watchers.
func (f *fleet) watchers() int {
	return len(slices.DeleteFunc(slices.Clone(f.nodes), func(n *testNode) bool { return !n.core.Watching() }))
}

// testDocument returns a small valid document with an account of each weight.
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
