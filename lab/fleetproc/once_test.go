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

// booking is one non-repeatable request, sent by several callers with the same
// idempotency key, and the counts of their answers.
type booking struct {
	key string

	mu sync.Mutex
	// answers counts the complete answers by status and body.
	answers  map[string]int
	refusals map[request.Execution]int
	// broken counts the calls without a complete answer.
	broken int
}

// sendUntilFinal sends the booking to the daemons in turn until it gets a final answer,
// at most 20 times.
func (b *booking) sendUntilFinal(t *testing.T, daemons *balancer) {
	const tries = 20
	for range tries {
		if b.send(t, daemons.pick()) {
			return
		}
		time.Sleep(20 * pollInterval)
	}
}

// send sends the booking once and reports whether the answer is final, so that a retry
// would change nothing.
func (b *booking) send(t *testing.T, p *Process) bool {
	httpRequest, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.CallersAddress+"/booking/visit", strings.NewReader(b.key))
	if err != nil {
		t.Error(err)
		return true
	}
	httpRequest.Header.Set("Authorization", "Bearer "+apiKey)
	httpRequest.Header.Set(serve.HeaderIdempotencyKey, b.key)
	httpRequest.Header.Set(serve.HeaderDeadline, "3000")
	httpRequest.Close = true
	response, err := http.DefaultTransport.RoundTrip(httpRequest)
	if err != nil {
		b.update(func() { b.broken++ })
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	execution := request.Execution(response.Header.Get(serve.HeaderExecution))
	switch {
	case err != nil:
		b.update(func() { b.broken++ })
	case execution != "":
		b.update(func() { b.refusals[execution]++ })
		return response.StatusCode == http.StatusConflict
	default:
		b.update(func() { b.answers[fmt.Sprint(response.StatusCode, string(body))]++ })
		return true
	}
	return false
}

func (b *booking) update(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

// TestBookingIsExecutedAtMostOnce sends each booking from several callers through two
// daemons. Meanwhile the store loses answers to writes, the service closes some
// connections without an answer and refuses some calls, one daemon is paused for a
// while, and the other one is killed and replaced.
func TestBookingIsExecutedAtMostOnce(t *testing.T) {
	const keys, callersPerKey = 40, 3
	s := service.New(service.Options{Delay: 5 * time.Millisecond})
	s.SetFaults(service.Faults{NoAnswer: 5, Refuse: 5})
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	document := documentWithUpstream(server.Listener.Addr().String(), 8)
	document.Pools = []version.PoolSpec{{
		Name: "booking", Kind: version.PoolService, PathPrefix: "/booking/", NonRepeatable: []string{"POST"},
	}}
	document.Upstreams[0].Pool = "booking"
	fleet := New(t, document)
	daemons := &balancer{daemons: make(map[version.VMID]*Process)}
	for _, vm := range []version.VMID{"vm-1", "vm-2"} {
		daemons.add(fleet.Start(t, vm, "north", nil))
	}
	fleet.Platform.SetFaults(metastore.Faults{LoseWriteAnswersFraction: 0.2, Jitter: 5 * time.Millisecond})
	var bookings []*booking
	var callers sync.WaitGroup
	for range keys {
		b := &booking{
			key:      uuid.Must(uuid.NewV7()).String(),
			answers:  make(map[string]int),
			refusals: make(map[request.Execution]int),
		}
		bookings = append(bookings, b)
		for range callersPerKey {
			callers.Go(func() { b.sendUntilFinal(t, daemons) })
		}
	}
	disturbDaemons(t, fleet, daemons, s)
	callers.Wait()
	for _, b := range bookings {
		b.check(t, s)
	}
}

// disturbDaemons pauses one daemon for a while, and kills and replaces the other.
func disturbDaemons(t *testing.T, fleet *Fleet, daemons *balancer, s *service.Service) {
	const minCalls, pause = 5, 1500 * time.Millisecond
	for len(s.Calls()) < minCalls {
		time.Sleep(pollInterval)
	}
	paused, killed := daemons.find("vm-1"), daemons.find("vm-2")
	paused.Signal(t, syscall.SIGSTOP)
	time.Sleep(pause)
	paused.Signal(t, syscall.SIGCONT)
	killed.Signal(t, syscall.SIGKILL)
	daemons.remove(killed)
	killed.Wait()
	daemons.add(fleet.Start(t, "vm-2", "north", nil))
}

// check checks the answers of a booking against each other and against the number of
// its executions by the service.
func (b *booking) check(t *testing.T, s *service.Service) {
	t.Helper()
	executions := s.Runs(b.key)
	if executions > 1 {
		t.Errorf("%s was executed %d times, want at most 1", b.key, executions)
	}
	if len(b.answers) > 1 {
		t.Errorf("%s got several different answers: %v", b.key, b.answers)
	}
	if len(b.answers) > 0 && executions != 1 {
		t.Errorf("%s got answers %v and was executed %d times, want 1", b.key, b.answers, executions)
	}
	onlyNotExecuted := len(b.answers) == 0 && b.broken == 0 && b.refusals[request.ExecutionUnknown] == 0
	if onlyNotExecuted && executions != 0 {
		t.Errorf("%s was refused as not executed %d times, but was executed", b.key, b.refusals[request.NotExecuted])
	}
	if len(b.answers) == 0 && b.refusals[request.ExecutionUnknown] == 0 {
		t.Errorf("%s got no final answer: %d broken answers, refusals %v, %d executions", b.key, b.broken, b.refusals, executions)
	}
}
