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

// recorder is a Handler that records the events of links and checks their order.
type recorder struct {
	mu sync.Mutex
	// open is the number of links to each VM that are up.
	open map[version.VMID]int
	// outOfOrder is set once a LinkUp came during another link to the VM, or a LinkDown
	// without a LinkUp.
	outOfOrder bool
	ups        chan wire.Hello
	received   chan wire.Message
}

func newRecorder() *recorder {
	return &recorder{
		open:     make(map[version.VMID]int),
		ups:      make(chan wire.Hello, 16),
		received: make(chan wire.Message, 16),
	}
}

func (r *recorder) LinkUp(hello wire.Hello) {
	r.mu.Lock()
	r.open[hello.VM]++
	r.outOfOrder = r.outOfOrder || r.open[hello.VM] != 1
	r.mu.Unlock()
	r.ups <- hello
}

func (r *recorder) Receive(_ wire.Hello, messages []wire.Message) {
	for _, message := range messages {
		r.received <- message
	}
}

func (r *recorder) LinkDown(hello wire.Hello) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[hello.VM]--
	r.outOfOrder = r.outOfOrder || r.open[hello.VM] != 0
}

// start returns a Manager of a VM that accepts links, its recorder and its address.
func start(t *testing.T, vm version.VMID, incarnation uint64) (*Manager, *recorder, string) {
	t.Helper()
	r := newRecorder()
	m := New(Options{
		Secret: "secret", Scheme: "ws", Handler: r, Log: slog.New(slog.DiscardHandler),
		Hello: func() wire.Hello { return wire.Hello{VM: vm, DataCentre: "north", Incarnation: incarnation} },
	})
	server := httptest.NewServer(m)
	t.Cleanup(server.Close)
	return m, r, strings.TrimPrefix(server.URL, "http://")
}

func TestMessagesAreDeliveredOverLink(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a, aRecorder, _ := start(t, "a", 1)
	_, bRecorder, bAddress := start(t, "b", 1)
	a.Connect(ctx, "b", bAddress)
	<-aRecorder.ups
	<-bRecorder.ups
	if !a.Send("b", wire.VacancyRequest{Pool: 7}) {
		t.Fatal("Send returned false for a VM with a link")
	}
	if got := <-bRecorder.received; got != (wire.VacancyRequest{Pool: 7}) {
		t.Errorf("got %+v", got)
	}
	if a.Send("c", wire.VacancyRequest{}) {
		t.Error("Send returned true for a VM without a link")
	}
}

// TestReplacedLinkEndsBeforeNewLinkIsUp guards against a LinkUp before the LinkDown of the
// link that it replaces. A VM that restarts several times dials while its old links are
// still open.
func TestReplacedLinkEndsBeforeNewLinkIsUp(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	_, zRecorder, zAddress := start(t, "z", 1)
	for incarnation := uint64(1); incarnation <= 4; incarnation++ {
		m, _, _ := start(t, "a", incarnation)
		m.Connect(ctx, "z", zAddress)
		for hello := range zRecorder.ups {
			if hello.Incarnation == incarnation {
				break
			}
		}
	}
	zRecorder.mu.Lock()
	defer zRecorder.mu.Unlock()
	if zRecorder.outOfOrder {
		t.Error("a link came up before the link that it replaced was down")
	}
}

// TestLaterIncarnationOrLowerVMsLinkIsKept checks which of two links to a VM is kept: that
// of the later incarnation, or that which the end with the lower VM name dialled.
func TestLaterIncarnationOrLowerVMsLinkIsKept(t *testing.T) {
	m, _, _ := start(t, "m", 1)
	later := &link{hello: wire.Hello{VM: "x", Incarnation: 2}}
	earlier := &link{hello: wire.Hello{VM: "x", Incarnation: 1}, dialled: true}
	if m.replaces(earlier, later) || !m.replaces(later, earlier) {
		t.Error("the link of the earlier incarnation is preferred")
	}
	dialled := &link{hello: wire.Hello{VM: "x", Incarnation: 1}, dialled: true}
	accepted := &link{hello: wire.Hello{VM: "x", Incarnation: 1}}
	if m.replaces(accepted, dialled) || !m.replaces(dialled, accepted) {
		t.Error("of two simultaneous links the one dialled by the lower VM name must be kept")
	}
}
