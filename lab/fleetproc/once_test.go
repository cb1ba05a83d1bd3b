package fleetproc

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/lab/metastore"
	"github.com/trefoilwell/trefoilwell/lab/service"
)

// booking is what the callers of one idempotency key saw.
type booking struct {
	key string

	mu       sync.Mutex
	answers  map[string]int
	refusals map[request.Execution]int
	broken   int
}

// book sends the booking to the daemons in turn until one answers for good.
func (b *booking) book(t *testing.T, daemons *balancer) {
	const tries = 20
	for range tries {
		if b.try(t, daemons.pick()) {
			return
		}
		time.Sleep(20 * pollPause)
	}
}

// try sends the booking once and reports whether asking again is of no use.
func (b *booking) try(t *testing.T, p *Process) bool {
	out, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.Callers+"/booking/visit", strings.NewReader(b.key))
	if err != nil {
		t.Error(err)
		return true
	}
	out.Header.Set("Authorization", "Bearer "+key)
	out.Header.Set(serve.HeaderIdempotencyKey, b.key)
	out.Header.Set(serve.HeaderDeadline, "3000")
	out.Close = true
	response, err := http.DefaultTransport.RoundTrip(out)
	if err != nil {
		b.note(func() { b.broken++ })
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	execution := request.Execution(response.Header.Get(serve.HeaderExecution))
	switch {
	case err != nil:
		b.note(func() { b.broken++ })
	case execution != "":
		b.note(func() { b.refusals[execution]++ })
		return response.StatusCode == http.StatusConflict
	default:
		b.note(func() { b.answers[fmt.Sprint(response.StatusCode, string(body))]++ })
		return true
	}
	return false
}

func (b *booking) note(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

// TestABookingRunsAtMostOnce sends each booking from several callers through
// two daemons, while the store loses answers, the service vanishes at times,
// and one daemon is stopped for a while and the other one killed.
func TestABookingRunsAtMostOnce(t *testing.T) {
	const keys, callersOfKey = 40, 3
	s := service.New(service.Options{Delay: 5 * time.Millisecond})
	s.SetFaults(service.Faults{Vanish: 5, Refuse: 5})
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	document := oneUpstream(server.Listener.Addr().String(), 8)
	document.Pools = []version.PoolSpec{{
		Name: "booking", Kind: version.PoolService, PathPrefix: "/booking/", NonRepeatable: []string{"POST"},
	}}
	document.Upstreams[0].Pool = "booking"
	fleet := New(t, document)
	daemons := &balancer{daemons: make(map[version.VMID]*Process)}
	for _, vm := range []version.VMID{"vm-1", "vm-2"} {
		daemons.add(fleet.Start(t, vm, "north", nil))
	}
	fleet.Platform.SetFaults(metastore.Faults{LoseShare: 0.2, Jitter: 5 * time.Millisecond})
	var bookings []*booking
	var callers sync.WaitGroup
	for range keys {
		b := &booking{
			key:      uuid.Must(uuid.NewV7()).String(),
			answers:  make(map[string]int),
			refusals: make(map[request.Execution]int),
		}
		bookings = append(bookings, b)
		for range callersOfKey {
			callers.Go(func() { b.book(t, daemons) })
		}
	}
	disturb(t, fleet, daemons, s)
	callers.Wait()
	for _, b := range bookings {
		b.check(t, s)
	}
}

// disturb stops one daemon for a while and kills and replaces the other.
func disturb(t *testing.T, fleet *Fleet, daemons *balancer, s *service.Service) {
	const before, pause = 5, 1500 * time.Millisecond
	for len(s.Calls()) < before {
		time.Sleep(pollPause)
	}
	stopped, killed := daemons.find("vm-1"), daemons.find("vm-2")
	stopped.Signal(t, syscall.SIGSTOP)
	time.Sleep(pause)
	stopped.Signal(t, syscall.SIGCONT)
	killed.Signal(t, syscall.SIGKILL)
	daemons.remove(killed)
	killed.Wait()
	daemons.add(fleet.Start(t, "vm-2", "north", nil))
}

func (b *booking) check(t *testing.T, s *service.Service) {
	t.Helper()
	runs := s.Runs(b.key)
	if runs > 1 {
		t.Errorf("%s ran %d times", b.key, runs)
	}
	if len(b.answers) > 1 {
		t.Errorf("%s got different answers: %v", b.key, b.answers)
	}
	if len(b.answers) > 0 && runs != 1 {
		t.Errorf("%s got %v and ran %d times", b.key, b.answers, runs)
	}
	onlyNotRun := len(b.answers) == 0 && b.broken == 0 && b.refusals[request.Unknown] == 0
	if onlyNotRun && runs != 0 {
		t.Errorf("%s was refused as not run %d times, and ran", b.key, b.refusals[request.NotRun])
	}
	if len(b.answers) == 0 && b.refusals[request.Unknown] == 0 {
		t.Errorf("%s got no final answer: %d broken, refusals %v, %d runs", b.key, b.broken, b.refusals, runs)
	}
}
