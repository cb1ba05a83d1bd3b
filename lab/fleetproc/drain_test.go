package fleetproc

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/lab/engine"
)

const (
	key   = "a-key"
	model = "polish-7b"
)

// oneEngine returns a fleet with one model engine, and the engine.
func oneEngine(t *testing.T) (*Fleet, *engine.Engine) {
	e := engine.New(engine.Options{TokenInterval: 5 * time.Millisecond, ColdLimit: 100})
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return New(t, oneUpstream(server.Listener.Addr().String(), 10)), e
}

// oneUpstream describes a fleet with one model engine of so many slots.
func oneUpstream(address string, slots int) *version.Document {
	return &version.Document{
		DataCentres: []version.DataCentreSpec{{Name: "north", Region: "one"}},
		Accounts:    []version.AccountSpec{{Name: "counters", KeyDigests: []string{version.KeyDigest(key)}, MaxWaiting: 10_000}},
		Pools:       []version.PoolSpec{{Name: "polish", Kind: version.PoolModel, Models: []string{model}}},
		Upstreams: []version.UpstreamSpec{{
			Name: "north-1", Pool: "polish", DataCentre: "north", Address: address, Team: "advice",
			ColdLimit: slots, WarmLimit: slots,
		}},
		Presets: []version.PresetSpec{{Name: "ordinary"}},
	}
}

func chat(t *testing.T, p *Process, tokens string) *http.Response {
	t.Helper()
	body := `{"model":"` + model + `","stream":true,"max_tokens":` + tokens + `}`
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.Callers+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return response
}

func TestATerminatedDaemonCutsNoRequest(t *testing.T) {
	fleet, _ := oneEngine(t)
	daemon := fleet.Start(t, "vm-1", "north", nil)
	response := chat(t, daemon, "100")
	stream := bufio.NewReader(response.Body)
	if _, err := stream.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	daemon.Signal(t, syscall.SIGTERM)
	daemon.AwaitReady(t, false)
	refused := chat(t, daemon, "1")
	for refused.StatusCode == http.StatusOK {
		// The daemon is not ready yet still serves until its grace ends.
		refused = chat(t, daemon, "1")
	}
	if refused.StatusCode != http.StatusServiceUnavailable || refused.Header.Get("X-Trefoilwell-Execution") != "not-run" ||
		refused.Header.Get("Retry-After") == "" {
		t.Errorf("a new request got %d %v, want a refusal that did not run", refused.StatusCode, refused.Header)
	}
	rest, err := io.ReadAll(stream)
	if err != nil || !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
		t.Errorf("the running answer ended with %v and %d bytes, want it whole", err, len(rest))
	}
	if code := daemon.Wait(); code != 0 {
		t.Errorf("exit code is %d, want 0", code)
	}
}

func TestARequestThatWaitsIsServedWhileItsDaemonDrains(t *testing.T) {
	fleet, e := oneEngine(t)
	daemon := fleet.Start(t, "vm-1", "north", nil)
	var answers []*http.Response
	for range 10 {
		answers = append(answers, chat(t, daemon, "100"))
	}
	// All slots are taken now, so this one waits.
	waiting := make(chan *http.Response)
	go func() { waiting <- chat(t, daemon, "5") }()
	daemon.AwaitEvents(t, timeline.KindQueued, len(answers)+1)
	daemon.Signal(t, syscall.SIGTERM)
	answers = append(answers, <-waiting)
	for i, answer := range answers {
		text, err := io.ReadAll(answer.Body)
		if err != nil || !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
			t.Errorf("answer %d ended with %v after %d bytes, want it whole", i, err, len(text))
		}
	}
	if code := daemon.Wait(); code != 0 {
		t.Errorf("exit code is %d, want 0", code)
	}
	if e.MaxRuns() != 1 || e.Served() != len(answers) {
		t.Errorf("%d answers and at most %d runs of one attempt, want %d and 1", e.Served(), e.MaxRuns(), len(answers))
	}
}

func TestAKilledDaemonEndsItsAnswersVisiblyBroken(t *testing.T) {
	fleet, _ := oneEngine(t)
	daemon := fleet.Start(t, "vm-1", "north", nil)
	response := chat(t, daemon, "1000")
	stream := bufio.NewReader(response.Body)
	if _, err := stream.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	daemon.Signal(t, syscall.SIGKILL)
	rest, err := io.ReadAll(stream)
	if err == nil || errors.Is(err, io.EOF) || strings.Contains(string(rest), "[DONE]") {
		t.Errorf("the answer of a killed daemon ended with %v, want it visibly broken", err)
	}
	if code := daemon.Wait(); code == 0 {
		t.Errorf("exit code is 0, want that of a kill")
	}
}
