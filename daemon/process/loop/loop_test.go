package loop

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/node"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// fakeNetwork is a Sender, Linker and Poller that records what it is given.
type fakeNetwork struct {
	sent      []wire.Message
	reachable bool
	polls     int
}

func (n *fakeNetwork) Send(_ version.VMID, message wire.Message) bool {
	if n.reachable {
		n.sent = append(n.sent, message)
	}
	return n.reachable
}

func (n *fakeNetwork) Connect(context.Context, version.VMID, string) {}
func (n *fakeNetwork) Disconnect(version.VMID)                       {}
func (n *fakeNetwork) Poll(version.UpstreamID, string)               { n.polls++ }

func newLoop() (*Loop, *fakeNetwork) {
	core := node.New(node.Options{VM: "vm-1", DataCentre: "north", Incarnation: 1, Timeline: timeline.New("vm-1", 16)})
	network := &fakeNetwork{reachable: true}
	return New(Options{Node: core, Sender: network, Linker: network, Poller: network, Log: slog.New(slog.DiscardHandler)}), network
}

// step handles the events in the queue.
func (l *Loop) step() {
	for len(l.events) > 0 {
		l.options.Node.Step(time.Now(), <-l.events)
		l.performActions(context.Background())
	}
}

func configOf(t *testing.T) *version.Config {
	t.Helper()
	config, err := version.Compile(&version.Document{
		DataCentres: []version.DataCentreSpec{{Name: "north", Region: "one"}},
		Accounts:    []version.AccountSpec{{Name: "x"}},
		Pools:       []version.PoolSpec{{Name: "p", Kind: version.PoolModel, Models: []string{"m"}}},
		Upstreams:   []version.UpstreamSpec{{Name: "u", Pool: "p", DataCentre: "north", Address: "x:1"}},
		Presets:     []version.PresetSpec{{Name: "day"}},
	}, version.Head{Number: 1, Preset: "day"})
	if err != nil {
		t.Fatal(err)
	}
	return config
}

func ticketOf(l *Loop) request.Ticket {
	return request.Ticket{
		ID: l.NewID(), Account: version.NewAccountID("x"), Pool: version.NewPoolID("p"),
		Wait: time.Minute, Attempt: 1,
	}
}

// Guards against a leaked slot: a grant can arrive between the end of the caller's context
// and the end of the wait.
func TestGrantAtTheEndOfTheWaitIsHandedBack(t *testing.T) {
	l, _ := newLoop()
	l.Post(node.Configure{Config: configOf(t)})
	l.step()
	ticket := ticketOf(l)
	decided := l.pending.Await(ticket.ID)
	grant := request.Grant{ID: ticket.ID, Attempt: 1, Pool: ticket.Pool, Upstream: version.NewUpstreamID("u")}
	l.resolve(ticket.ID, decision{grant: &grant})
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, refusal := l.abandon(ended, ticket.ID, decided)
	if refusal == nil || refusal.Reason != request.ReasonCallerGone {
		t.Errorf("refusal %+v, want reason caller-gone", refusal)
	}
	event, isFinish := (<-l.events).(node.Finish)
	if !isFinish || event.Finish.Outcome != request.OutcomeUnused {
		t.Errorf("event %+v, want a node.Finish with outcome unused", event)
	}
}

func TestExpiredWaitIsRefusedWithReasonDeadline(t *testing.T) {
	l, _ := newLoop()
	ctx, cancel := context.WithDeadline(t.Context(), time.Now())
	defer cancel()
	_, refusal := l.Acquire(ctx, ticketOf(l))
	if refusal == nil || refusal.Reason != request.ReasonDeadline || refusal.Execution != request.NotExecuted {
		t.Errorf("refusal %+v, want reason deadline and execution not-run", refusal)
	}
}

// Guards against requests that wait for ever: if a message to a pool's owner cannot be
// sent, the entry must register the request again.
func TestFailedSendMakesTheEntryRegisterAgain(t *testing.T) {
	l, network := newLoop()
	l.Post(node.Configure{Config: configOf(t)})
	registers := func() int {
		total := 0
		for _, message := range network.sent {
			if _, isRegister := message.(wire.Register); isRegister {
				total++
			}
		}
		return total
	}
	for i := 0; registers() == 0 && i < 50; i++ {
		// Adds peers until one of them owns the pool.
		vm := version.VMID(fmt.Sprintf("peer-%d", i))
		l.LinkUp(wire.Hello{VM: vm, DataCentre: "north", Incarnation: 1})
		l.step()
	}
	before := registers()
	if before == 0 {
		t.Fatal("no peer owns the pool")
	}
	network.reachable = false
	l.Post(node.Submit{Ticket: ticketOf(l)})
	l.step()
	network.reachable = true
	l.options.Node.Tick(time.Now().Add(time.Second))
	l.performActions(t.Context())
	if registers() == before {
		t.Error("no new registration after a message was not sent")
	}
}

// Guards against goroutines that block for ever: after Run nothing empties the queue.
func TestPostAfterRunReturns(t *testing.T) {
	l, _ := newLoop()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := l.Run(ctx); err == nil {
		t.Error("Run ended without an error")
	}
	for range 2 * eventQueueCapacity {
		l.Post(node.Withdraw{})
	}
}
