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

// outside stands for the links and the poller.
type outside struct {
	sent  []wire.Message
	up    bool
	polls int
}

func (o *outside) Send(_ version.VMID, message wire.Message) bool {
	if o.up {
		o.sent = append(o.sent, message)
	}
	return o.up
}

func (o *outside) Connect(context.Context, version.VMID, string) {}
func (o *outside) Disconnect(version.VMID)                       {}
func (o *outside) Poll(version.UpstreamID, string)               { o.polls++ }

func newLoop() (*Loop, *outside) {
	n := node.New(node.Options{VM: "vm-1", DataCentre: "north", Incarnation: 1, Timeline: timeline.New("vm-1", 16)})
	o := &outside{up: true}
	return New(Options{Node: n, Sender: o, Linker: o, Poller: o, Log: slog.New(slog.DiscardHandler)}), o
}

// step handles the events in the ring.
func (l *Loop) step() {
	for len(l.events) > 0 {
		l.options.Node.Step(time.Now(), <-l.events)
		l.carryOut(context.Background())
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

func TestGrantThatComesAsTheWaitEndsIsHandedBack(t *testing.T) {
	l, _ := newLoop()
	l.Post(node.Configure{Config: configOf(t)})
	l.step()
	ticket := ticketOf(l)
	decided := l.waiters.Await(ticket.ID)
	grant := request.Grant{ID: ticket.ID, Attempt: 1, Pool: ticket.Pool, Upstream: version.NewUpstreamID("u")}
	l.resolve(ticket.ID, decision{grant: &grant})
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, refusal := l.abandon(ended, ticket.ID, decided)
	if refusal == nil || refusal.Reason != request.ReasonCallerGone {
		t.Errorf("refusal %+v, want that the caller left", refusal)
	}
	event, isEnd := (<-l.events).(node.End)
	if !isEnd || event.Finish.Outcome != request.OutcomeUnused {
		t.Errorf("event %+v, want the grant handed back", event)
	}
}

func TestWaitThatEndsAtItsDeadlineSaysSo(t *testing.T) {
	l, _ := newLoop()
	ctx, cancel := context.WithDeadline(t.Context(), time.Now())
	defer cancel()
	_, refusal := l.Acquire(ctx, ticketOf(l))
	if refusal == nil || refusal.Reason != request.ReasonDeadline || refusal.Execution != request.NotRun {
		t.Errorf("refusal %+v, want the deadline", refusal)
	}
}

func TestFailedSendMakesTheEntryRegisterAgain(t *testing.T) {
	l, o := newLoop()
	l.Post(node.Configure{Config: configOf(t)})
	registers := func() int {
		total := 0
		for _, message := range o.sent {
			if _, isRegister := message.(wire.Register); isRegister {
				total++
			}
		}
		return total
	}
	for i := 0; registers() == 0 && i < 50; i++ {
		// One of them owns the pool.
		vm := version.VMID(fmt.Sprintf("peer-%d", i))
		l.LinkUp(wire.Hello{VM: vm, DataCentre: "north", Incarnation: 1})
		l.step()
	}
	before := registers()
	if before == 0 {
		t.Fatal("no peer owns the pool")
	}
	o.up = false
	l.Post(node.Submit{Ticket: ticketOf(l)})
	l.step()
	o.up = true
	l.options.Node.Tick(time.Now().Add(time.Second))
	l.carryOut(t.Context())
	if registers() == before {
		t.Error("no new registration after a message was not sent")
	}
}

func TestPostAfterRunReturns(t *testing.T) {
	l, _ := newLoop()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := l.Run(ctx); err == nil {
		t.Error("Run ended without an error")
	}
	for range 2 * ringEvents {
		l.Post(node.Withdraw{})
	}
}
