package engine

import (
	"bufio"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
)

// never is a duration that outlasts every test.
const never = time.Hour

// listen serves a new engine over loopback and returns it with its URL.
func listen(t *testing.T, options Options) (*Engine, string) {
	t.Helper()
	e := New(options)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return e, server.URL
}

// send sends a request with pairs of header names and values.
func send(t *testing.T, method, url, body string, header ...string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return response
}

// ask sends a completion request as an attempt.
func ask(t *testing.T, url, attempt string, tokens int) *http.Response {
	t.Helper()
	body := `{"model":"m","max_tokens":` + strconv.Itoa(tokens) + `}`
	return send(t, http.MethodPost, url+"/v1/completions", body, upstream.HeaderAttempt, attempt)
}

// hang starts an attempt and waits until it is running. It is for engines whose
// first token never comes.
func hang(t *testing.T, e *Engine, url, attempt string) {
	t.Helper()
	running := e.Running()
	go func() {
		body := strings.NewReader(`{"model":"m"}`)
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/completions", body)
		if err != nil {
			return
		}
		request.Header.Set(upstream.HeaderAttempt, attempt)
		if response, err := http.DefaultTransport.RoundTrip(request); err == nil {
			response.Body.Close()
		}
	}()
	for e.Running() == running {
		time.Sleep(time.Millisecond)
	}
}

func TestColdEngineCrashesOverItsLimitAndRefusesWhileItRestarts(t *testing.T) {
	e, url := listen(t, Options{FirstToken: never, ColdLimit: 2, RestartTime: never})
	hang(t, e, url, "a")
	hang(t, e, url, "b")
	if response := ask(t, url, "c", 1); response.StatusCode != http.StatusInternalServerError {
		t.Errorf("the request over the cold limit got status %d, want 500", response.StatusCode)
	}
	for e.Running() > 0 {
		time.Sleep(time.Millisecond)
	}
	response := ask(t, url, "d", 1)
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get(upstream.HeaderNotRun) != "true" {
		t.Errorf("a restarting engine answered %d, want a refusal before execution", response.StatusCode)
	}
	if counters := e.Counters(); counters.Overloads != 1 || counters.Served != 0 || counters.Refused != 1 {
		t.Errorf("counters are %+v, want one overload, one refusal and no answer", counters)
	}
}

func TestLimitRisesAsAnEngineWarmsAndFallsWhenItIsCold(t *testing.T) {
	e, url := listen(t, Options{FirstToken: time.Microsecond, ColdLimit: 1, WarmAfter: 3})
	for i := range 3 {
		if response := ask(t, url, strconv.Itoa(i), 1); response.StatusCode != http.StatusOK {
			t.Fatalf("answer %d has status %d", i, response.StatusCode)
		}
	}
	e.options.FirstToken = never
	for _, attempt := range []string{"a", "b", "c", "d", "e"} {
		hang(t, e, url, attempt)
	}
	if e.Overloads() != 0 {
		t.Errorf("a warm engine crashed")
	}
	e.MakeCold()
	ask(t, url, "f", 1)
	if e.Overloads() != 1 {
		t.Errorf("an engine made cold again did not crash when it got as many requests as a warm one")
	}
}

func TestLoadReportLags(t *testing.T) {
	e, url := listen(t, Options{FirstToken: never, LoadLag: never})
	hang(t, e, url, "a")
	var first, second upstream.Load
	for _, load := range []*upstream.Load{&first, &second} {
		if err := json.NewDecoder(send(t, http.MethodGet, url+upstream.PathLoad, "").Body).Decode(load); err != nil {
			t.Fatal(err)
		}
	}
	if first.Running != 0 || second.Running != 0 || !first.Cold {
		t.Errorf("reports are %+v and %+v, want the load from before the lag: cold and idle", first, second)
	}
}

func TestStaleOrderIsRefusedOnlyIfFencingIsChecked(t *testing.T) {
	for _, checks := range []bool{true, false} {
		_, url := listen(t, Options{ChecksFencing: checks})
		send(t, http.MethodPost, url+"/v1/orders", "", upstream.HeaderFencing, "7")
		response := send(t, http.MethodPost, url+"/v1/orders", "", upstream.HeaderFencing, "6")
		if refused := response.StatusCode == http.StatusConflict; refused != checks {
			t.Errorf("checks fencing %t: the stale order got status %d", checks, response.StatusCode)
		}
	}
}

func TestCachedPrefixIsFasterUntilItIsEvicted(t *testing.T) {
	e := New(Options{CachedPrefixes: 2})
	uncached, cached := e.firstToken(1), e.firstToken(1)
	e.firstToken(2)
	e.firstToken(3)
	if afterEviction := e.firstToken(1); cached >= uncached || afterEviction != uncached {
		t.Errorf("first tokens take %s, then %s, then %s; want the second one alone faster", uncached, cached, afterEviction)
	}
}

func TestCancelledAttemptCannotBeResumed(t *testing.T) {
	e, url := listen(t, Options{FirstToken: never})
	hang(t, e, url, "a")
	path := url + upstream.PathAttempts + "a"
	if response := send(t, http.MethodDelete, path, ""); response.StatusCode != http.StatusNoContent || e.Running() != 0 {
		t.Errorf("cancel got status %d and left %d attempts running, want 204 and none", response.StatusCode, e.Running())
	}
	if response := send(t, http.MethodGet, path+"?offset=0", ""); response.StatusCode != http.StatusNotFound {
		t.Errorf("resume got status %d, want 404", response.StatusCode)
	}
}

func TestResumedStreamStartsAtItsOffset(t *testing.T) {
	_, url := listen(t, Options{FirstToken: time.Microsecond})
	ask(t, url, "a", 3)
	lines := bufio.NewScanner(send(t, http.MethodGet, url+upstream.PathAttempts+"a?offset=2", "").Body)
	if !lines.Scan() || !strings.Contains(lines.Text(), `"t2 "`) {
		t.Errorf("the resumed stream starts with %q, want the third token", lines.Text())
	}
}
