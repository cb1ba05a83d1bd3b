package fleetproc

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/lab/service"
)

// newBookingFleet returns a fleet of two data centres and a fake service with
// non-repeatable calls. The upstreams of both data centres are listeners of that one
// service, so that it counts the executions of both.
func newBookingFleet(t *testing.T, delay time.Duration) (*Fleet, *service.Service) {
	s := service.New(service.Options{Delay: delay})
	document := &version.Document{
		DataCentres: []version.DataCentreSpec{{Name: "north", Region: "one"}, {Name: "south", Region: "two"}},
		Accounts:    []version.AccountSpec{{Name: "counters", KeyDigests: []string{version.KeyDigest(apiKey)}}},
		Pools: []version.PoolSpec{{
			Name: "booking", Kind: version.PoolService, PathPrefix: "/booking/", NonRepeatable: []string{http.MethodPost},
		}},
		Presets: []version.PresetSpec{{Name: "ordinary"}},
	}
	for _, dataCentre := range []string{"north", "south"} {
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		document.Upstreams = append(document.Upstreams, version.UpstreamSpec{
			Name: dataCentre + "-1", Pool: "booking", DataCentre: dataCentre,
			Address: server.Listener.Addr().String(), Team: "desk", ColdLimit: 10, WarmLimit: 10,
		})
	}
	return New(t, document), s
}

// bookingAnswer is the answer to a call, or its error.
type bookingAnswer struct {
	status int
	header http.Header
	body   string
	err    error
}

// sendBooking makes a non-repeatable call with an idempotency key.
func sendBooking(t *testing.T, p *Process, idempotencyKey string) bookingAnswer {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.CallersAddress+"/booking/visit", strings.NewReader("visit"))
	if err != nil {
		return bookingAnswer{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Idempotency-Key", idempotencyKey)
	request.GetBody = nil
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return bookingAnswer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return bookingAnswer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

func newIdempotencyKey(t *testing.T) string {
	t.Helper()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return id.String()
}

// A daemon is killed while the upstream executes its call. Retries through other
// daemons must not execute it again and must be answered that its outcome is unknown.
func TestCallOfKilledDaemonIsExecutedOnce(t *testing.T) {
	fleet, s := newBookingFleet(t, time.Second)
	first := fleet.Start(t, "vm-1", "north", nil)
	second := fleet.Start(t, "vm-2", "north", nil)
	third := fleet.Start(t, "vm-3", "south", nil)
	id := newIdempotencyKey(t)
	firstAnswer := make(chan bookingAnswer, 1)
	go func() { firstAnswer <- sendBooking(t, first, id) }()
	for s.Runs(id) == 0 {
		time.Sleep(pollInterval)
	}
	first.Signal(t, syscall.SIGKILL)
	if got := <-firstAnswer; got.err == nil {
		t.Errorf("call of a killed daemon got %+v, want an error", got)
	}
	for _, p := range []*Process{second, third} {
		got := sendBooking(t, p, id)
		if got.status != http.StatusConflict || got.header.Get("X-Trefoilwell-Execution") != "unknown" || got.header.Get("Retry-After") == "" {
			t.Errorf("retry through %s got %+v, want status 409, execution unknown and a Retry-After", p.VM, got)
		}
	}
	if runs := s.Runs(id); runs != 1 {
		t.Errorf("call was executed %d times, want 1", runs)
	}
}

// The answer to a call is recorded in the ledger. After the daemon of the call has shut
// down, retries through other daemons must get the recorded answer.
func TestRetryAfterDaemonShutdownGetsRecordedAnswer(t *testing.T) {
	fleet, s := newBookingFleet(t, 0)
	first := fleet.Start(t, "vm-1", "north", nil)
	second := fleet.Start(t, "vm-2", "north", nil)
	third := fleet.Start(t, "vm-3", "south", nil)
	id := newIdempotencyKey(t)
	answer := sendBooking(t, first, id)
	if answer.err != nil || answer.status != http.StatusOK {
		t.Fatalf("call got %+v, want status 200", answer)
	}
	if claims := first.countEvents(t, timeline.KindClaimed); claims != 1 {
		t.Errorf("%d claims in the timeline, want 1", claims)
	}
	first.Signal(t, syscall.SIGTERM)
	if code := first.Wait(); code != 0 {
		t.Errorf("exit code is %d, want 0", code)
	}
	for _, p := range []*Process{second, third} {
		got := sendBooking(t, p, id)
		if got.status != answer.status || got.body != answer.body || got.header.Get("X-Trefoilwell-Replayed") != "true" {
			t.Errorf("retry through %s got %+v, want the recorded answer %+v", p.VM, got, answer)
		}
	}
	if runs := s.Runs(id); runs != 1 {
		t.Errorf("call was executed %d times, want 1", runs)
	}
}
