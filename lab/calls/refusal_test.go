package calls

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/request/relay"
	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/lab/engine"
	"github.com/trefoilwell/trefoilwell/lab/service"
)

// checkRefusal checks a refusal's one form.
func checkRefusal(t *testing.T, got answer, reason request.Reason, execution request.Execution) {
	t.Helper()
	var body struct {
		Error struct {
			Type      request.Reason    `json:"type"`
			Message   string            `json:"message"`
			Execution request.Execution `json:"execution"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(got.body), &body); err != nil {
		t.Errorf("%s: body %q is not JSON: %v (%v)", reason, got.body, err, got.err)
		return
	}
	if body.Error.Type != reason || body.Error.Execution != execution || body.Error.Message == "" {
		t.Errorf("refusal is %+v, want %s and %s with a message", body.Error, reason, execution)
	}
	if header := got.header.Get(serve.HeaderExecution); header != string(execution) {
		t.Errorf("%s: the header says %q, want %q", reason, header, execution)
	}
	later := got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests
	if later && got.header.Get("Retry-After") == "" {
		t.Errorf("%s: status %d without Retry-After", reason, got.status)
	}
}

func TestBadInputIsRefusedInOneForm(t *testing.T) {
	e, s := fast(), service.New(service.Options{})
	counts := &counter{}
	r := newRouter(t, setup{engines: []http.Handler{e}, services: []http.Handler{s}, serve: serve.Options{Counter: counts}})
	big := strings.Repeat("x", serve.MaxBodyBytes+1)
	cases := []struct {
		name               string
		method, path, body string
		change             func(*http.Request)
		reason             request.Reason
		status             int
	}{
		{"no key", "POST", serve.PathChat, streamBody, func(r *http.Request) { r.Header.Del("Authorization") }, request.ReasonUnauthorised, 401},
		{"empty key", "POST", serve.PathChat, streamBody, func(r *http.Request) { r.Header.Set("Authorization", "Bearer ") }, request.ReasonUnauthorised, 401},
		{"other scheme", "GET", serve.PathModels, "", func(r *http.Request) { r.Header.Set("Authorization", "Basic "+testKey) }, request.ReasonUnauthorised, 401},
		{"two keys", "POST", serve.PathChat, streamBody, func(r *http.Request) { r.Header.Add("Authorization", "Bearer b") }, request.ReasonBadRequest, 400},
		{"two deadlines", "POST", serve.PathChat, streamBody, func(r *http.Request) { r.Header[serve.HeaderDeadline] = []string{"1000", "2000"} }, request.ReasonBadRequest, 400},
		{"two idempotency keys", "POST", "/booking/a", "", func(r *http.Request) { r.Header["Idempotency-Key"] = []string{"a", "b"} }, request.ReasonBadRequest, 400},
		{"bad deadline", "POST", serve.PathChat, streamBody, func(r *http.Request) { r.Header.Set(serve.HeaderDeadline, "-1") }, request.ReasonBadRequest, 400},
		{"bad hint", "POST", serve.PathChat, streamBody, func(r *http.Request) { r.Header.Set(serve.HeaderCostHint, "1e9") }, request.ReasonBadRequest, 400},
		{"bad idempotency key", "POST", "/booking/a", "", func(r *http.Request) { r.Header.Set("Idempotency-Key", "x") }, request.ReasonBadIdempotencyKey, 400},
		{"random idempotency key", "POST", "/booking/a", "", func(r *http.Request) {
			r.Header.Set("Idempotency-Key", "7e0f1c5e-5d0c-4f6e-9d7c-1f0d5c6b7a89")
		}, request.ReasonBadIdempotencyKey, 400},
		{"header count", "GET", serve.PathModels, "", func(r *http.Request) { r.Header["X-Many"] = make([]string, 200) }, request.ReasonBadRequest, 400},
		{"not JSON", "POST", serve.PathChat, "{", nil, request.ReasonBadRequest, 400},
		{"a key twice", "POST", serve.PathChat, `{"model":"polish-7b","model":"other"}`, nil, request.ReasonBadRequest, 400},
		{"a key in capitals", "POST", serve.PathChat, `{"MODEL":"polish-7b"}`, nil, request.ReasonBadRequest, 400},
		{"two objects", "POST", serve.PathChat, wholeBody + wholeBody, nil, request.ReasonBadRequest, 400},
		{"a list", "POST", serve.PathChat, `[1]`, nil, request.ReasonBadRequest, 400},
		{"an object without end", "POST", serve.PathChat, `{"model":"polish-7b"`, nil, request.ReasonBadRequest, 400},
		{"deep nesting", "POST", serve.PathChat, `{"x":` + strings.Repeat("[", 1_000_000), nil, request.ReasonBadRequest, 400},
		{"no model", "POST", serve.PathChat, "{}", nil, request.ReasonBadRequest, 400},
		{"bad bound", "POST", serve.PathCompletions, `{"model":"polish-7b","max_tokens":-4}`, nil, request.ReasonBadRequest, 400},
		{"unknown model", "POST", serve.PathChat, `{"model":"none"}`, nil, request.ReasonUnknownModel, 404},
		{"unknown path", "GET", "/nowhere", "", nil, request.ReasonUnknownService, 404},
		{"dot segment", "GET", "/booking/%2e%2e/orders", "", nil, request.ReasonBadRequest, 400},
		{"wrong method", "GET", serve.PathChat, "", nil, request.ReasonMethodNotAllowed, 405},
		{"wrong method of models", "DELETE", serve.PathModels, "", nil, request.ReasonMethodNotAllowed, 405},
		{"trace", "TRACE", "/booking/a", "", nil, request.ReasonMethodNotAllowed, 405},
		{"large body", "POST", serve.PathChat, big, nil, request.ReasonTooLarge, 413},
		{"large body in chunks", "POST", serve.PathChat, "", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(big)), -1
		}, request.ReasonTooLarge, 413},
		{"no ledger", "POST", "/booking/a", "", func(r *http.Request) { r.Header.Set("Idempotency-Key", testIdempotencyKey) }, request.ReasonLedgerUnavailable, 503},
	}
	for _, c := range cases {
		out := r.newRequest(t, c.method, c.path, c.body)
		if c.change != nil {
			c.change(out)
		}
		got := r.do(t, out)
		if got.status != c.status {
			t.Errorf("%s: status %d, want %d (%v)", c.name, got.status, c.status, got.err)
		}
		checkRefusal(t, got, c.reason, request.NotRun)
	}
	if ran := e.Counters().Runs + len(s.Calls()); ran != 0 {
		t.Errorf("%d requests ran that were refused as not run", ran)
	}
	if counts.refused.Load() != int64(len(cases)) || counts.answered.Load() != 0 {
		t.Errorf("counted %d refusals and %d answers of %d refused requests",
			counts.refused.Load(), counts.answered.Load(), len(cases))
	}
}

// raw sends bytes on a connection of its own and returns all that comes back.
func (r *router) raw(t *testing.T, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// The server may answer and close before it has read everything.
	_, _ = conn.Write([]byte(text))
	got, _ := io.ReadAll(conn)
	return string(got)
}

func TestMalformedHTTPRunsNothing(t *testing.T) {
	e, s := fast(), service.New(service.Options{})
	r := newRouter(t, setup{engines: []http.Handler{e}, services: []http.Handler{s}})
	start := "POST /booking/visit HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer " + testKey + "\r\n"
	cases := map[string]string{
		"many headers":       start + strings.Repeat("a:\r\n", 20_000) + "\r\n",
		"long header":        start + "X-Long: " + strings.Repeat("x", 100_000) + "\r\n\r\n",
		"two lengths":        start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
		"bad length":         start + "Content-Length: -1\r\n\r\n",
		"bad chunk":          start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		"unknown encoding":   start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"no host":            "GET /booking/x HTTP/1.1\r\nConnection: close\r\n\r\n",
		"bad header":         start + "X Y: 1\r\n\r\n",
		"not HTTP":           "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n",
		"no absolute path":   "OPTIONS * HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer " + testKey + "\r\n\r\n",
		"another's proxying": "CONNECT example.org:80 HTTP/1.1\r\nHost: example.org:80\r\nConnection: close\r\nAuthorization: Bearer " + testKey + "\r\n\r\n",
	}
	for name, text := range cases {
		got := r.raw(t, text)
		if !strings.HasPrefix(got, "HTTP/1.1 4") && !strings.HasPrefix(got, "HTTP/1.1 501") {
			t.Errorf("%s: answer is %.60q, want an error", name, got)
		}
	}
	if ran := e.Counters().Runs + len(s.Calls()); ran != 0 {
		t.Errorf("%d malformed requests ran", ran)
	}
}

func TestASlowSenderIsRefused(t *testing.T) {
	r := newRouter(t, setup{engines: []http.Handler{fast()}, serve: serve.Options{BodyTimeout: 20 * time.Millisecond}})
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	head := "POST " + serve.PathChat + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 1000\r\n\r\n{"
	if _, err := conn.Write([]byte(head)); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(conn)
	if err != nil || !bytes.Contains(got, []byte("400 Bad Request")) || !bytes.Contains(got, []byte("not-run")) {
		t.Errorf("the slow sender got %q and %v, want a refusal and the end of the connection", got, err)
	}
}

func TestASlowReaderIsCutOffAndItsSlotFreed(t *testing.T) {
	e := engine.New(engine.Options{FirstToken: time.Nanosecond, TokenInterval: time.Nanosecond, ColdLimit: 1000})
	r := newRouter(t, setup{engines: []http.Handler{e}, relay: relay.Options{SlowReader: 50 * time.Millisecond}})
	out := r.newRequest(t, http.MethodPost, serve.PathChat, strings.Replace(streamBody, "10", "1000000", 1))
	response, err := http.DefaultTransport.RoundTrip(out)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	// Nothing is read: the answer must not be held for this caller for ever.
	if finishes := r.fleet.ended(t); finishes[0].Outcome != request.OutcomeCancelled {
		t.Errorf("finish is %+v, want a cancelled one", finishes[0])
	}
}

func TestAnAccountCannotHoldAllThatARouterHolds(t *testing.T) {
	e := engine.New(engine.Options{FirstToken: time.Hour, ColdLimit: 1000})
	r := newRouter(t, setup{engines: []http.Handler{e}, serve: serve.Options{MaxRequests: 4}})
	go r.do(t, r.newRequest(t, http.MethodPost, serve.PathChat, streamBody))
	for e.Running() == 0 {
		time.Sleep(time.Millisecond)
	}
	checkRefusal(t, r.chat(t, streamBody), request.ReasonAccountQueueFull, request.NotRun)
	small := newRouter(t, setup{engines: []http.Handler{e}, serve: serve.Options{MaxHeldBytes: 8}})
	checkRefusal(t, small.chat(t, streamBody), request.ReasonAccountQueueFull, request.NotRun)
}

func TestRetriesAreBounded(t *testing.T) {
	const requests = 40
	e := fast()
	r := newRouter(t, setup{engines: []http.Handler{e}})
	e.SetFaults(engine.Faults{Fail: 1000})
	for range requests {
		if got := r.chat(t, streamBody); got.status != http.StatusInternalServerError {
			t.Fatalf("status is %d, want the engine's own", got.status)
		}
	}
	const saved = 10
	if runs := e.Counters().Runs; runs > requests+saved {
		t.Errorf("%d runs for %d requests, want at most %d more", runs, requests, saved)
	}
}
