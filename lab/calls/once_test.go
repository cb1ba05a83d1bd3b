package calls

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/lab/service"
)

const testIdempotencyKey = "019351a5-8c00-7000-8000-000000000001"

// Guards against a call that is executed twice. Go's transport repeats some requests on
// its own if a kept-alive connection breaks before the answer: those with an
// idempotency key, and those without a body.
func TestCallOnABrokenKeepAliveConnectionIsExecutedOnce(t *testing.T) {
	cases := []struct{ name, method, body, key string }{
		{"body", http.MethodPost, "book", ""},
		{"no body", http.MethodPost, "", ""},
		{"body and key", http.MethodPost, "book", testIdempotencyKey},
		{"no body and key", http.MethodPost, "", testIdempotencyKey},
		{"delete", http.MethodDelete, "", ""},
		{"get and key", http.MethodGet, "", testIdempotencyKey},
	}
	for _, c := range cases {
		s := service.New(service.Options{})
		l := permittingLedger()
		r := newRouter(t, routerOptions{services: []http.Handler{s}, ledger: l})
		if got := r.do(t, r.newRequest(t, http.MethodGet, "/booking/warm", "")); got.status != http.StatusOK {
			t.Fatalf("%s: the call that opens a connection to reuse was answered with %+v", c.name, got)
		}
		s.SetFaults(service.Faults{NoAnswer: 1})
		httpRequest := r.newRequest(t, c.method, "/booking/visit", c.body)
		if c.key != "" {
			httpRequest.Header.Set(serve.HeaderIdempotencyKey, c.key)
		}
		checkRefusal(t, r.do(t, httpRequest), request.ReasonUpstreamFailed, request.ExecutionUnknown)
		if runs := len(s.Calls()) - 1; runs != 1 {
			t.Errorf("%s: the call was executed %d times, want 1", c.name, runs)
		}
		if c.key != "" && (len(l.answers) != 1 || l.answers[0] != nil || l.released != 0) {
			t.Errorf("%s: the ledger recorded %+v and released %d claims, want one unknown outcome and no release", c.name, l.answers, l.released)
		}
	}
}

// Guards against a router that follows a redirect, which would execute the call a second
// time.
func TestRedirectIsRelayedAndNotFollowed(t *testing.T) {
	calls := 0
	redirect := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("Location", "/booking/elsewhere")
		w.WriteHeader(http.StatusTemporaryRedirect)
	})
	r := newRouter(t, routerOptions{services: []http.Handler{redirect}})
	got := r.do(t, r.newRequest(t, http.MethodPost, "/booking/visit", "x"))
	if got.status != http.StatusTemporaryRedirect || got.header.Get("Location") != "/booking/elsewhere" || calls != 1 {
		t.Errorf("answer is %+v after %d calls, want the redirect itself after one call", got, calls)
	}
}

// Guards against claims that are released although the call may have been executed, and
// against claims that stay open although it was not.
func TestClaimIsRecordedOrReleasedByOutcome(t *testing.T) {
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedListener.Close()
	expiredLedger := &fakeLedger{verdict: claim.Verdict{Run: &claim.Permit{Deadline: time.Now()}}}
	cases := []struct {
		name      string
		ledger    *fakeLedger
		faults    service.Faults
		address   string
		reason    request.Reason
		execution request.Execution
		runs      int
		recorded  int
		released  int
	}{
		{"answered", permittingLedger(), service.Faults{}, "", "", "", 1, 1, 0},
		{"refused by the service", permittingLedger(), service.Faults{Refuse: 1}, "", request.ReasonUpstreamRefused, request.NotExecuted, 0, 0, 1},
		{"unreachable service", permittingLedger(), service.Faults{}, closedListener.Addr().String(), request.ReasonUpstreamFailed, request.NotExecuted, 0, 0, 1},
		{"permit expired", expiredLedger, service.Faults{}, "", request.ReasonLedgerUnavailable, request.NotExecuted, 0, 0, 1},
		{"answer of another attempt", permittingLedger(), service.Faults{WrongAttempt: 1}, "", request.ReasonUpstreamFailed, request.ExecutionUnknown, 1, 1, 0},
		{"refused by the ledger", &fakeLedger{verdict: claim.Verdict{Refusal: &request.Refusal{
			Reason: request.ReasonOutcomeUnknown, Execution: request.ExecutionUnknown,
		}}}, service.Faults{}, "", request.ReasonOutcomeUnknown, request.ExecutionUnknown, 0, 0, 0},
	}
	for _, c := range cases {
		s := service.New(service.Options{})
		s.SetFaults(c.faults)
		options := routerOptions{ledger: c.ledger, services: []http.Handler{s}}
		if c.address != "" {
			options.services, options.addresses = nil, []string{c.address}
		}
		r := newRouter(t, options)
		got := r.do(t, r.newRequest(t, http.MethodPost, "/booking/visit", "x", serve.HeaderIdempotencyKey, testIdempotencyKey))
		if c.reason != "" {
			checkRefusal(t, got, c.reason, c.execution)
		} else if got.status != http.StatusOK || c.ledger.answers[0] == nil || string(c.ledger.answers[0].Body) != got.body {
			t.Errorf("%s: answer is %+v, recorded answers are %+v", c.name, got, c.ledger.answers)
		}
		l := c.ledger
		if s.Runs(testIdempotencyKey) != c.runs || len(l.answers) != c.recorded || l.released != c.released || l.claims != 1 {
			t.Errorf("%s: %d executions, %d recorded, %d released, %d claims; want %d, %d, %d, 1",
				c.name, s.Runs(testIdempotencyKey), len(l.answers), l.released, l.claims, c.runs, c.recorded, c.released)
		}
		if finishes := r.fleet.waitFinishes(t); len(finishes) != 1 {
			t.Errorf("%s: %d attempts, want 1", c.name, len(finishes))
		}
	}
}

// Guards against a repeated call that is executed again although its first answer is
// recorded. An answer too large to be stored is recorded by its digest only and refused.
func TestRecordedAnswerIsReplayed(t *testing.T) {
	digestOfLarge := claim.Digest{1}
	s := service.New(service.Options{})
	l := &fakeLedger{verdict: claim.Verdict{Replay: &claim.Answer{Status: 201, ContentType: "text/plain", Body: []byte("booked")}}}
	r := newRouter(t, routerOptions{services: []http.Handler{s}, ledger: l})
	ask := func() answer {
		return r.do(t, r.newRequest(t, http.MethodPost, "/booking/visit", "x", serve.HeaderIdempotencyKey, testIdempotencyKey))
	}
	got := ask()
	if got.status != 201 || got.body != "booked" || got.header.Get(serve.HeaderReplayed) != "true" {
		t.Errorf("answer is %+v, want the recorded one", got)
	}
	l.verdict.Replay = &claim.Answer{Status: 201, BodyDigest: digestOfLarge}
	checkRefusal(t, ask(), request.ReasonAnswerNotKept, request.ExecutionUnknown)
	if len(s.Calls()) != 0 {
		t.Errorf("the service executed %d calls, want none", len(s.Calls()))
	}
}

// Guards against the loss of an outcome: a call with an idempotency key continues after
// its caller has disconnected, so that its answer can be recorded.
func TestClaimedCallContinuesAfterItsCallerDisconnects(t *testing.T) {
	s := service.New(service.Options{Delay: 50 * time.Millisecond})
	l := permittingLedger()
	r := newRouter(t, routerOptions{services: []http.Handler{s}, ledger: l})
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	head := "POST /booking/visit HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey +
		"\r\nIdempotency-Key: " + testIdempotencyKey + "\r\nContent-Length: 0\r\n\r\n"
	if _, err := conn.Write([]byte(head)); err != nil {
		t.Fatal(err)
	}
	for len(s.Calls()) == 0 {
		time.Sleep(time.Millisecond)
	}
	conn.Close()
	r.fleet.waitFinishes(t)
	if len(l.answers) != 1 || l.answers[0] == nil {
		t.Errorf("recorded answers are %+v, want the one that the caller did not wait for", l.answers)
	}
}

// Guards against the loss of an outcome when the deadline passes before the answer: the
// caller is refused at the deadline, the answer is recorded when it arrives, and a drain
// waits for that.
func TestClaimedAnswerAfterTheDeadlineIsRecorded(t *testing.T) {
	const delay = 200 * time.Millisecond
	s := service.New(service.Options{Delay: delay})
	l := permittingLedger()
	r := newRouter(t, routerOptions{services: []http.Handler{s}, ledger: l})
	httpRequest := r.newRequest(t, http.MethodPost, "/booking/visit", "x",
		serve.HeaderIdempotencyKey, testIdempotencyKey, serve.HeaderDeadline, "20")
	checkRefusal(t, r.do(t, httpRequest), request.ReasonDeadline, request.ExecutionUnknown)
	r.handler.Close()
	if err := r.handler.Wait(t.Context()); err != nil {
		t.Fatal(err)
	}
	if len(l.answers) != 1 || l.answers[0] == nil || s.Runs(testIdempotencyKey) != 1 {
		t.Errorf("recorded answers are %+v after %d executions, want one answer after one execution", l.answers, s.Runs(testIdempotencyKey))
	}
	if finishes := r.fleet.waitFinishes(t); len(finishes) != 1 || finishes[0].Outcome != request.OutcomeDone {
		t.Errorf("finishes are %+v, want a single one with outcome done", finishes)
	}
}

// Guards against headers that reach an upstream although they are for the router or for
// one connection only, or would let a caller forge an attempt or a fencing number.
func TestRouterAndHopByHopHeadersDoNotReachTheUpstream(t *testing.T) {
	s := service.New(service.Options{})
	r := newRouter(t, routerOptions{services: []http.Handler{s}})
	httpRequest := r.newRequest(t, http.MethodPut, "/booking/visit?day=2", "x", "X-Crew", "7", "X-Hop", "1", "Connection", "X-Hop",
		"X-Fencing-Number", "99", serve.HeaderDeadline, "5000", "X-Attempt-Id", "forged")
	if got := r.do(t, httpRequest); got.status != http.StatusOK {
		t.Fatalf("answer is %+v", got)
	}
	call := s.Calls()[0]
	if call.Method != http.MethodPut || call.URI != "/booking/visit?day=2" || call.Header.Get("X-Crew") != "7" {
		t.Errorf("the call arrived as %+v", call)
	}
	for _, name := range []string{"Authorization", "X-Hop", "X-Fencing-Number", serve.HeaderDeadline} {
		if value := call.Header.Get(name); value != "" {
			t.Errorf("%s reached the upstream as %q", name, value)
		}
	}
	if call.Attempt == "forged" {
		t.Errorf("a caller's attempt identifier reached the upstream")
	}
}
