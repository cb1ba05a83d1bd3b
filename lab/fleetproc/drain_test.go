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
	apiKey = "a-key"
	model  = "polish-7b"
)

// newFleetWithEngine returns a fleet with one model engine, and the engine.
func newFleetWithEngine(t *testing.T) (*Fleet, *engine.Engine) {
	e := engine.New(engine.Options{TokenInterval: 5 * time.Millisecond, ColdLimit: 100})
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return New(t, documentWithUpstream(server.Listener.Addr().String(), 10)), e
}

// documentWithUpstream returns the configuration of a fleet with one model engine at
// an address and its number of slots.
func documentWithUpstream(address string, slots int) *version.Document {
	return &version.Document{
		DataCentres: []version.DataCentreSpec{{Name: "north", Region: "one"}},
		Accounts:    []version.AccountSpec{{Name: "counters", KeyDigests: []string{version.KeyDigest(apiKey)}, MaxWaiting: 10_000}},
		Pools:       []version.PoolSpec{{Name: "polish", Kind: version.PoolModel, Models: []string{model}}},
		Upstreams: []version.UpstreamSpec{{
			Name: "north-1", Pool: "polish", DataCentre: "north", Address: address, Team: "advice",
			ColdLimit: slots, WarmLimit: slots,
		}},
		Presets: []version.PresetSpec{{Name: "ordinary"}},
	}
}

// startChat sends a streaming request for a number of tokens and returns the response,
// whose body is not read yet.
func startChat(t *testing.T, p *Process, maxTokens string) *http.Response {
	t.Helper()
	body := `{"model":"` + model + `","stream":true,"max_tokens":` + maxTokens + `}`
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.CallersAddress+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return response
}

// A daemon that receives SIGTERM must refuse new requests as not executed, complete the
// answers that it relays, and exit with code 0.
func TestTerminatedDaemonCompletesRunningRequests(t *testing.T) {
	fleet, _ := newFleetWithEngine(t)
	daemon := fleet.Start(t, "vm-1", "north", nil)
	response := startChat(t, daemon, "100")
	stream := bufio.NewReader(response.Body)
	if _, err := stream.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	daemon.Signal(t, syscall.SIGTERM)
	daemon.AwaitReady(t, false)
	refused := startChat(t, daemon, "1")
	for refused.StatusCode == http.StatusOK {
		// The daemon is not ready but still serves new requests until its grace ends.
		refused = startChat(t, daemon, "1")
	}
	if refused.StatusCode != http.StatusServiceUnavailable || refused.Header.Get("X-Trefoilwell-Execution") != "not-run" ||
		refused.Header.Get("Retry-After") == "" {
		t.Errorf("new request got status %d and header %v, want a refusal as not executed", refused.StatusCode, refused.Header)
	}
	rest, err := io.ReadAll(stream)
	if err != nil || !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
		t.Errorf("running answer ended with error %v after %d bytes, want it complete", err, len(rest))
	}
	if code := daemon.Wait(); code != 0 {
		t.Errorf("exit code is %d, want 0", code)
	}
}

// A request that waits in the queue of a daemon when it receives SIGTERM must still be
// served, and only once.
func TestQueuedRequestIsServedWhileDaemonDrains(t *testing.T) {
	fleet, e := newFleetWithEngine(t)
	daemon := fleet.Start(t, "vm-1", "north", nil)
	var answers []*http.Response
	for range 10 {
		answers = append(answers, startChat(t, daemon, "100"))
	}
	// All slots are in use now, so the next request is queued.
	waiting := make(chan *http.Response)
	go func() { waiting <- startChat(t, daemon, "5") }()
	daemon.AwaitEvents(t, timeline.KindQueued, len(answers)+1)
	daemon.Signal(t, syscall.SIGTERM)
	answers = append(answers, <-waiting)
	for i, answer := range answers {
		text, err := io.ReadAll(answer.Body)
		if err != nil || !strings.HasSuffix(string(text), "data: [DONE]\n\n") {
			t.Errorf("answer %d ended with error %v after %d bytes, want it complete", i, err, len(text))
		}
	}
	if code := daemon.Wait(); code != 0 {
		t.Errorf("exit code is %d, want 0", code)
	}
	if e.MaxRuns() != 1 || e.Served() != len(answers) {
		t.Errorf("%d answers and up to %d executions of one attempt, want %d and 1", e.Served(), e.MaxRuns(), len(answers))
	}
}

// The answers of a killed daemon must end with an error, so that callers cannot take
// them for complete ones.
func TestKilledDaemonTruncatesAnswersDetectably(t *testing.T) {
	fleet, _ := newFleetWithEngine(t)
	daemon := fleet.Start(t, "vm-1", "north", nil)
	response := startChat(t, daemon, "1000")
	stream := bufio.NewReader(response.Body)
	if _, err := stream.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	daemon.Signal(t, syscall.SIGKILL)
	rest, err := io.ReadAll(stream)
	if err == nil || errors.Is(err, io.EOF) || strings.Contains(string(rest), "[DONE]") {
		t.Errorf("answer of a killed daemon ended with error %v, want an unexpected end", err)
	}
	if code := daemon.Wait(); code == 0 {
		t.Errorf("exit code of a killed daemon is 0")
	}
}
