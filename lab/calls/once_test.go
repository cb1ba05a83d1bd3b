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

// TestAKilledKeepAliveConnectionRunsACallOnce covers what Go's transport would
// send again on its own: a request with an idempotency key, or one without a
// body.
func TestAKilledKeepAliveConnectionRunsACallOnce(t *testing.T) {
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
		l := running()
		r := newRouter(t, setup{services: []http.Handler{s}, ledger: l})
		if got := r.do(t, r.newRequest(t, http.MethodGet, "/booking/warm", "")); got.status != http.StatusOK {
			t.Fatalf("%s: no connection to reuse: %+v", c.name, got)
		}
		s.SetFaults(service.Faults{Vanish: 1})
		out := r.newRequest(t, c.method, "/booking/visit", c.body)
		if c.key != "" {
			out.Header.Set(serve.HeaderIdempotencyKey, c.key)
		}
		checkRefusal(t, r.do(t, out), request.ReasonUpstreamFailed, request.Unknown)
		if runs := len(s.Calls()) - 1; runs != 1 {
			t.Errorf("%s: the call ran %d times, want 1", c.name, runs)
		}
		if c.key != "" && (len(l.answers) != 1 || l.answers[0] != nil || l.released != 0) {
			t.Errorf("%s: the ledger was told %+v and %d released, want one unknown outcome", c.name, l.answers, l.released)
		}
	}
}

func TestARedirectIsRelayedAndNotFollowed(t *testing.T) {
	hits := 0
	redirect := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hits++
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("Location", "/booking/elsewhere")
		w.WriteHeader(http.StatusTemporaryRedirect)
	})
	r := newRouter(t, setup{services: []http.Handler{redirect}})
	got := r.do(t, r.newRequest(t, http.MethodPost, "/booking/visit", "x"))
	if got.status != http.StatusTemporaryRedirect || got.header.Get("Location") != "/booking/elsewhere" || hits != 1 {
		t.Errorf("answer is %+v after %d calls, want the redirect itself after one", got, hits)
	}
}

func TestWhatTheLedgerIsToldOfEachEnd(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	expired := &ledger{verdict: claim.Verdict{Run: &claim.Permit{Deadline: time.Now()}}}
	cases := []struct {
		name      string
		ledger    *ledger
		faults    service.Faults
		address   string
		reason    request.Reason
		execution request.Execution
		runs      int
		recorded  int
		released  int
	}{
		{"answered", running(), service.Faults{}, "", "", "", 1, 1, 0},
		{"refused by the service", running(), service.Faults{Refuse: 1}, "", request.ReasonUpstreamRefused, request.NotRun, 0, 0, 1},
		{"not reached", running(), service.Faults{}, closed.Addr().String(), request.ReasonUpstreamFailed, request.NotRun, 0, 0, 1},
		{"permit over", expired, service.Faults{}, "", request.ReasonLedgerUnavailable, request.NotRun, 0, 0, 1},
		{"crossed", running(), service.Faults{Cross: 1}, "", request.ReasonUpstreamFailed, request.Unknown, 1, 1, 0},
		{"refused by the ledger", &ledger{verdict: claim.Verdict{Refusal: &request.Refusal{
			Reason: request.ReasonOutcomeUnknown, Execution: request.Unknown,
		}}}, service.Faults{}, "", request.ReasonOutcomeUnknown, request.Unknown, 0, 0, 0},
	}
	for _, c := range cases {
		s := service.New(service.Options{})
		s.SetFaults(c.faults)
		options := setup{ledger: c.ledger, services: []http.Handler{s}}
		if c.address != "" {
			options.services, options.addresses = nil, []string{c.address}
		}
		r := newRouter(t, options)
		got := r.do(t, r.newRequest(t, http.MethodPost, "/booking/visit", "x", serve.HeaderIdempotencyKey, testIdempotencyKey))
		if c.reason != "" {
			checkRefusal(t, got, c.reason, c.execution)
		} else if got.status != http.StatusOK || c.ledger.answers[0] == nil || string(c.ledger.answers[0].Body) != got.body {
			t.Errorf("%s: answer is %+v, recorded %+v", c.name, got, c.ledger.answers)
		}
		l := c.ledger
		if s.Runs(testIdempotencyKey) != c.runs || len(l.answers) != c.recorded || l.released != c.released || l.claims != 1 {
			t.Errorf("%s: %d runs, %d recorded, %d released, %d claims; want %d, %d, %d, 1",
				c.name, s.Runs(testIdempotencyKey), len(l.answers), l.released, l.claims, c.runs, c.recorded, c.released)
		}
		if finishes := r.fleet.ended(t); len(finishes) != 1 {
			t.Errorf("%s: %d attempts, want 1", c.name, len(finishes))
		}
	}
}

func TestARecordedAnswerIsReplayed(t *testing.T) {
	digestOfLarge := claim.Digest{1}
	s := service.New(service.Options{})
	l := &ledger{verdict: claim.Verdict{Replay: &claim.Answer{Status: 201, ContentType: "text/plain", Body: []byte("booked")}}}
	r := newRouter(t, setup{services: []http.Handler{s}, ledger: l})
	ask := func() answer {
		return r.do(t, r.newRequest(t, http.MethodPost, "/booking/visit", "x", serve.HeaderIdempotencyKey, testIdempotencyKey))
	}
	got := ask()
	if got.status != 201 || got.body != "booked" || got.header.Get(serve.HeaderReplayed) != "true" {
		t.Errorf("answer is %+v, want the recorded one", got)
	}
	l.verdict.Replay = &claim.Answer{Status: 201, BodyDigest: digestOfLarge}
	checkRefusal(t, ask(), request.ReasonAnswerNotKept, request.Unknown)
	if len(s.Calls()) != 0 {
		t.Errorf("the service ran %d calls, want none", len(s.Calls()))
	}
}

func TestAClaimedCallOutlivesItsCaller(t *testing.T) {
	s := service.New(service.Options{Delay: 50 * time.Millisecond})
	l := running()
	r := newRouter(t, setup{services: []http.Handler{s}, ledger: l})
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
	r.fleet.ended(t)
	if len(l.answers) != 1 || l.answers[0] == nil {
		t.Errorf("recorded %+v, want the answer that the caller did not wait for", l.answers)
	}
}

// TestALateClaimedAnswerIsRecorded covers a deadline that comes before the
// answer: the caller is told at once, and a drain waits for the outcome.
func TestALateClaimedAnswerIsRecorded(t *testing.T) {
	const delay = 200 * time.Millisecond
	s := service.New(service.Options{Delay: delay})
	l := running()
	r := newRouter(t, setup{services: []http.Handler{s}, ledger: l})
	out := r.newRequest(t, http.MethodPost, "/booking/visit", "x",
		serve.HeaderIdempotencyKey, testIdempotencyKey, serve.HeaderDeadline, "20")
	checkRefusal(t, r.do(t, out), request.ReasonDeadline, request.Unknown)
	r.handler.Close()
	if err := r.handler.Wait(t.Context()); err != nil {
		t.Fatal(err)
	}
	if len(l.answers) != 1 || l.answers[0] == nil || s.Runs(testIdempotencyKey) != 1 {
		t.Errorf("recorded %+v after %d runs, want the late answer of the only one", l.answers, s.Runs(testIdempotencyKey))
	}
	if finishes := r.fleet.ended(t); len(finishes) != 1 || finishes[0].Outcome != request.OutcomeDone {
		t.Errorf("finishes are %+v, want one that is done", finishes)
	}
}

func TestOnlyWhatIsMeantForAnUpstreamReachesIt(t *testing.T) {
	s := service.New(service.Options{})
	r := newRouter(t, setup{services: []http.Handler{s}})
	out := r.newRequest(t, http.MethodPut, "/booking/visit?day=2", "x", "X-Crew", "7", "X-Hop", "1", "Connection", "X-Hop",
		"X-Fencing-Number", "99", serve.HeaderDeadline, "5000", "X-Attempt-Id", "forged")
	if got := r.do(t, out); got.status != http.StatusOK {
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
