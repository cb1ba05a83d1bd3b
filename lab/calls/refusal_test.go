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

// checkRefusal checks that an answer is a well-formed refusal with a reason and an
// execution, and that it has a Retry-After header if its status asks to retry.
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
		t.Errorf("%s: the execution header is %q, want %q", reason, header, execution)
	}
	mayRetry := got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests
	if mayRetry && got.header.Get("Retry-After") == "" {
		t.Errorf("%s: status %d without Retry-After", reason, got.status)
	}
}

// Guards against bad input that reaches an upstream, and against refusals in another
// form than the documented one.
func TestBadInputGetsAWellFormedRefusal(t *testing.T) {
	e, s := fastEngine(), service.New(service.Options{})
	counts := &answerCounter{}
	r := newRouter(t, routerOptions{engines: []http.Handler{e}, services: []http.Handler{s}, serve: serve.Options{Counter: counts}})
	largeBody := strings.Repeat("x", serve.MaxBodyBytes+1)
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
		{"two objects", "POST", serve.PathChat, unstreamedBody + unstreamedBody, nil, request.ReasonBadRequest, 400},
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
		{"large body", "POST", serve.PathChat, largeBody, nil, request.ReasonTooLarge, 413},
		{"large body in chunks", "POST", serve.PathChat, "", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(largeBody)), -1
		}, request.ReasonTooLarge, 413},
		{"no ledger", "POST", "/booking/a", "", func(r *http.Request) { r.Header.Set("Idempotency-Key", testIdempotencyKey) }, request.ReasonLedgerUnavailable, 503},
	}
	for _, c := range cases {
		httpRequest := r.newRequest(t, c.method, c.path, c.body)
		if c.change != nil {
			c.change(httpRequest)
		}
		got := r.do(t, httpRequest)
		if got.status != c.status {
			t.Errorf("%s: status %d, want %d (%v)", c.name, got.status, c.status, got.err)
		}
		checkRefusal(t, got, c.reason, request.NotExecuted)
	}
	if executed := e.Counters().Runs + len(s.Calls()); executed != 0 {
		t.Errorf("%d requests were executed although they were refused as not executed", executed)
	}
	if counts.refused.Load() != int64(len(cases)) || counts.answered.Load() != 0 {
		t.Errorf("counted %d refusals and %d answers of %d refused requests",
			counts.refused.Load(), counts.answered.Load(), len(cases))
	}
}

// sendRaw sends bytes on a new connection and returns all bytes received until it is
// closed.
func (r *router) sendRaw(t *testing.T, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// Errors are ignored: the server may answer and close before it has read everything.
	_, _ = conn.Write([]byte(text))
	got, _ := io.ReadAll(conn)
	return string(got)
}

// Guards against malformed HTTP that reaches an upstream, request smuggling included.
func TestMalformedHTTPIsNotExecuted(t *testing.T) {
	e, s := fastEngine(), service.New(service.Options{})
	r := newRouter(t, routerOptions{engines: []http.Handler{e}, services: []http.Handler{s}})
	head := "POST /booking/visit HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer " + testKey + "\r\n"
	cases := map[string]string{
		"many headers":          head + strings.Repeat("a:\r\n", 20_000) + "\r\n",
		"long header":           head + "X-Long: " + strings.Repeat("x", 100_000) + "\r\n\r\n",
		"two lengths":           head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
		"bad length":            head + "Content-Length: -1\r\n\r\n",
		"bad chunk":             head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
		"unknown encoding":      head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"no host":               "GET /booking/x HTTP/1.1\r\nConnection: close\r\n\r\n",
		"bad header":            head + "X Y: 1\r\n\r\n",
		"not HTTP":              "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n",
		"no absolute path":      "OPTIONS * HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer " + testKey + "\r\n\r\n",
		"proxy to another host": "CONNECT example.org:80 HTTP/1.1\r\nHost: example.org:80\r\nConnection: close\r\nAuthorization: Bearer " + testKey + "\r\n\r\n",
	}
	for name, text := range cases {
		got := r.sendRaw(t, text)
		if !strings.HasPrefix(got, "HTTP/1.1 4") && !strings.HasPrefix(got, "HTTP/1.1 501") {
			t.Errorf("%s: answer is %.60q, want an error", name, got)
		}
	}
	if executed := e.Counters().Runs + len(s.Calls()); executed != 0 {
		t.Errorf("%d malformed requests were executed, want none", executed)
	}
}

// Guards against callers that hold a connection by sending a body slowly.
func TestSlowSenderIsRefused(t *testing.T) {
	r := newRouter(t, routerOptions{engines: []http.Handler{fastEngine()}, serve: serve.Options{BodyTimeout: 20 * time.Millisecond}})
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
		t.Errorf("the slow sender got %q and error %v, want a refusal and a closed connection", got, err)
	}
}

// Guards against callers that hold an upstream's slot by not reading their answer.
func TestSlowReaderIsDisconnectedAndItsSlotReleased(t *testing.T) {
	e := engine.New(engine.Options{FirstToken: time.Nanosecond, TokenInterval: time.Nanosecond, ColdLimit: 1000})
	r := newRouter(t, routerOptions{engines: []http.Handler{e}, relay: relay.Options{CallerWriteTimeout: 50 * time.Millisecond}})
	httpRequest := r.newRequest(t, http.MethodPost, serve.PathChat, strings.Replace(streamBody, "10", "1000000", 1))
	response, err := http.DefaultTransport.RoundTrip(httpRequest)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	// The caller reads nothing, so the router has to give up its answer.
	if finishes := r.fleet.waitFinishes(t); finishes[0].Outcome != request.OutcomeCancelled {
		t.Errorf("finish is %+v, want outcome cancelled", finishes[0])
	}
}

// Guards against one account that uses up all requests or all bytes that a router may
// hold.
func TestOneAccountCannotUseAllRequestsOrBytesOfARouter(t *testing.T) {
	e := engine.New(engine.Options{FirstToken: time.Hour, ColdLimit: 1000})
	r := newRouter(t, routerOptions{engines: []http.Handler{e}, serve: serve.Options{MaxRequests: 4}})
	go r.do(t, r.newRequest(t, http.MethodPost, serve.PathChat, streamBody))
	for e.Running() == 0 {
		time.Sleep(time.Millisecond)
	}
	checkRefusal(t, r.chat(t, streamBody), request.ReasonAccountQueueFull, request.NotExecuted)
	small := newRouter(t, routerOptions{engines: []http.Handler{e}, serve: serve.Options{MaxHeldBytes: 8}})
	checkRefusal(t, small.chat(t, streamBody), request.ReasonAccountQueueFull, request.NotExecuted)
}

// Guards against retries that multiply the load of a failing upstream.
func TestRetriesAreBounded(t *testing.T) {
	const requests = 40
	e := fastEngine()
	r := newRouter(t, routerOptions{engines: []http.Handler{e}})
	e.SetFaults(engine.Faults{Fail: 1000})
	for range requests {
		if got := r.chat(t, streamBody); got.status != http.StatusInternalServerError {
			t.Fatalf("status is %d, want the engine's 500", got.status)
		}
	}
	// retryBudget is the number of retries that a router has saved up at its start.
	const retryBudget = 10
	if runs := e.Counters().Runs; runs > requests+retryBudget {
		t.Errorf("%d executions for %d requests, want at most %d more", runs, requests, retryBudget)
	}
}
