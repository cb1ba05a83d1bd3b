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

// bookings returns a fleet of two data centres whose upstreams are one service
// behind a listener each, so that it counts the runs of both, and the service.
func bookings(t *testing.T, delay time.Duration) (*Fleet, *service.Service) {
	s := service.New(service.Options{Delay: delay})
	document := &version.Document{
		DataCentres: []version.DataCentreSpec{{Name: "north", Region: "one"}, {Name: "south", Region: "two"}},
		Accounts:    []version.AccountSpec{{Name: "counters", KeyDigests: []string{version.KeyDigest(key)}}},
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

// booked is a caller's answer.
type booked struct {
	status int
	header http.Header
	body   string
	err    error
}

// book makes a call with an idempotency key.
func book(t *testing.T, p *Process, idempotencyKey string) booked {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.Callers+"/booking/visit", strings.NewReader("visit"))
	if err != nil {
		return booked{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Idempotency-Key", idempotencyKey)
	request.GetBody = nil
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return booked{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return booked{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

func newIdempotencyKey(t *testing.T) string {
	t.Helper()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return id.String()
}

func TestACallWhoseDaemonIsKilledRunsOnce(t *testing.T) {
	fleet, s := bookings(t, time.Second)
	first := fleet.Start(t, "vm-1", "north", nil)
	second := fleet.Start(t, "vm-2", "north", nil)
	third := fleet.Start(t, "vm-3", "south", nil)
	id := newIdempotencyKey(t)
	ended := make(chan booked, 1)
	go func() { ended <- book(t, first, id) }()
	for s.Runs(id) == 0 {
		time.Sleep(pollPause)
	}
	first.Signal(t, syscall.SIGKILL)
	if got := <-ended; got.err == nil {
		t.Errorf("the call whose daemon was killed got %+v", got)
	}
	for _, p := range []*Process{second, third} {
		got := book(t, p, id)
		if got.status != http.StatusConflict || got.header.Get("X-Trefoilwell-Execution") != "unknown" || got.header.Get("Retry-After") == "" {
			t.Errorf("the retry through %s got %+v, want that the outcome is unknown", p.VM, got)
		}
	}
	if runs := s.Runs(id); runs != 1 {
		t.Errorf("the call ran %d times, want 1", runs)
	}
}

func TestARetryAfterADaemonLeftGetsTheRecordedAnswer(t *testing.T) {
	fleet, s := bookings(t, 0)
	first := fleet.Start(t, "vm-1", "north", nil)
	second := fleet.Start(t, "vm-2", "north", nil)
	third := fleet.Start(t, "vm-3", "south", nil)
	id := newIdempotencyKey(t)
	answer := book(t, first, id)
	if answer.err != nil || answer.status != http.StatusOK {
		t.Fatalf("the call got %+v", answer)
	}
	if claims := first.events(t, timeline.KindClaimed); claims != 1 {
		t.Errorf("%d claims on the time line, want 1", claims)
	}
	first.Signal(t, syscall.SIGTERM)
	if code := first.Wait(); code != 0 {
		t.Errorf("the daemon ended with %d", code)
	}
	for _, p := range []*Process{second, third} {
		got := book(t, p, id)
		if got.status != answer.status || got.body != answer.body || got.header.Get("X-Trefoilwell-Replayed") != "true" {
			t.Errorf("the retry through %s got %+v, want the recorded answer %+v", p.VM, got, answer)
		}
	}
	if runs := s.Runs(id); runs != 1 {
		t.Errorf("the call ran %d times, want 1", runs)
	}
}
