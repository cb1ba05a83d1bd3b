package peer

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// watcher notes what happens on links, in order.
type watcher struct {
	mu     sync.Mutex
	open   map[version.VMID]int
	broken bool
	ups    chan wire.Hello
	got    chan wire.Message
}

func newWatcher() *watcher {
	return &watcher{
		open: make(map[version.VMID]int),
		ups:  make(chan wire.Hello, 16),
		got:  make(chan wire.Message, 16),
	}
}

func (w *watcher) LinkUp(hello wire.Hello) {
	w.mu.Lock()
	w.open[hello.VM]++
	w.broken = w.broken || w.open[hello.VM] != 1
	w.mu.Unlock()
	w.ups <- hello
}

func (w *watcher) Receive(_ wire.Hello, messages []wire.Message) {
	for _, message := range messages {
		w.got <- message
	}
}

func (w *watcher) LinkDown(hello wire.Hello) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open[hello.VM]--
	w.broken = w.broken || w.open[hello.VM] != 0
}

// start serves a manager and returns its address.
func start(t *testing.T, vm version.VMID, incarnation uint64) (*Manager, *watcher, string) {
	t.Helper()
	w := newWatcher()
	m := New(Options{
		Secret: "secret", Scheme: "ws", Handler: w, Log: slog.New(slog.DiscardHandler),
		Hello: func() wire.Hello { return wire.Hello{VM: vm, DataCentre: "north", Incarnation: incarnation} },
	})
	server := httptest.NewServer(m)
	t.Cleanup(server.Close)
	return m, w, strings.TrimPrefix(server.URL, "http://")
}

func TestMessagesPassOverALink(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a, aSeen, _ := start(t, "a", 1)
	_, bSeen, bAddress := start(t, "b", 1)
	a.Connect(ctx, "b", bAddress)
	<-aSeen.ups
	<-bSeen.ups
	if !a.Send("b", wire.Need{Pool: 7}) {
		t.Fatal("not sent")
	}
	if got := <-bSeen.got; got != (wire.Need{Pool: 7}) {
		t.Errorf("got %+v", got)
	}
	if a.Send("c", wire.Need{}) {
		t.Error("sent to a VM without a link")
	}
}

func TestReplacedLinkEndsBeforeTheNewOneIsUp(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	_, seen, address := start(t, "z", 1)
	for incarnation := uint64(1); incarnation <= 4; incarnation++ {
		m, _, _ := start(t, "a", incarnation)
		m.Connect(ctx, "z", address)
		for hello := range seen.ups {
			if hello.Incarnation == incarnation {
				break
			}
		}
	}
	seen.mu.Lock()
	defer seen.mu.Unlock()
	if seen.broken {
		t.Error("a link came up before the one that it replaced had ended")
	}
}

func TestLinkOfAnEarlierProcessDoesNotReplaceALaterOne(t *testing.T) {
	m, _, _ := start(t, "m", 1)
	later := &link{hello: wire.Hello{VM: "x", Incarnation: 2}}
	earlier := &link{hello: wire.Hello{VM: "x", Incarnation: 1}, dialled: true}
	if m.replaces(earlier, later) || !m.replaces(later, earlier) {
		t.Error("the earlier process's link won")
	}
	dialled := &link{hello: wire.Hello{VM: "x", Incarnation: 1}, dialled: true}
	accepted := &link{hello: wire.Hello{VM: "x", Incarnation: 1}}
	if m.replaces(accepted, dialled) || !m.replaces(dialled, accepted) {
		t.Error("of two links at once the one that the lower VM dialled must stay")
	}
}
