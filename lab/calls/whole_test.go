package calls

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/trefoilwell/trefoilwell/daemon/request/relay"
	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/lab/engine"
	"github.com/trefoilwell/trefoilwell/lab/service"
)

// fastEngine returns an engine that generates a token each microsecond. Its cold limit is
// above what the tests send at a time.
func fastEngine() *engine.Engine {
	return engine.New(engine.Options{FirstToken: time.Microsecond, TokenInterval: time.Microsecond, ColdLimit: 1000})
}

// checkTokens checks that a stream is complete and has each token once and in order.
func checkTokens(t interface{ Fatalf(string, ...any) }, got answer, tokens int) {
	if !got.complete() {
		t.Fatalf("the answer is incomplete: status %d, error %v, body %q", got.status, got.err, got.body)
	}
	searched := 0
	for i := range tokens {
		found := strings.Index(got.body[searched:], fmt.Sprintf(`"t%d "`, i))
		if found < 0 {
			t.Fatalf("token %d is missing or out of order in %q", i, got.body)
		}
		searched += found
	}
	if n := strings.Count(got.body, `"delta"`); n != tokens {
		t.Fatalf("%d tokens, want %d", n, tokens)
	}
}

// Guards against charges that differ from the usage that the engine reports, and against
// charges that differ from the cost in the finish.
func TestCompleteStreamIsChargedTheUsageThatTheEngineReports(t *testing.T) {
	r := newRouter(t, routerOptions{engines: []http.Handler{fastEngine()}})
	got := r.chat(t, streamBody)
	checkTokens(t, got, 10)
	finishes := r.fleet.waitFinishes(t)
	prompt := len(`[{"role":"user","content":"hello"}]`)
	want := request.Usage{Prompt: request.PromptTokens(prompt), Generated: 10}.Cost()
	if len(finishes) != 1 || finishes[0].Outcome != request.OutcomeDone || finishes[0].FirstToken <= 0 {
		t.Fatalf("finishes are %+v, want a single one with outcome done and a time to first token", finishes)
	}
	// The prompt is first charged by an estimate, which is not refunded if it is too high.
	if got := finishes[0].Cost; got < want || got > want+5 {
		t.Errorf("cost is %g, want %g and at most 5 more", got, want)
	}
	if r.fleet.charged != finishes[0].Cost {
		t.Errorf("charged %g, want the cost %g of the finish", r.fleet.charged, finishes[0].Cost)
	}
}

// Guards against lost or repeated events when an engine's stream is truncated one to three
// times, between two events or inside one, and is resumed at its offset. A saved input in
// testdata is found by the name of this test.
func TestACutStreamIsResumedWithoutALostOrDoubledEvent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		e := fastEngine()
		r := newRouter(t, routerOptions{engines: []http.Handler{e}})
		faults := engine.Faults{
			Truncate:         rapid.IntRange(1, 3).Draw(rt, "cuts"),
			TruncateAfter:    rapid.IntRange(0, 4).Draw(rt, "after"),
			TruncateMidEvent: rapid.Bool().Draw(rt, "inside"),
			EndEarly:         rapid.Bool().Draw(rt, "end early"),
		}
		e.SetFaults(faults)
		checkTokens(rt, r.chat(t, streamBody), 10)
		if runs := e.Counters().Runs; runs != 1 {
			rt.Fatalf("the request was executed %d times, want 1", runs)
		}
		if resumed := e.Counters().Resumed; resumed == 0 {
			rt.Fatalf("nothing was resumed")
		}
	})
}

// Guards against a truncated stream that looks complete to its caller when the engine
// can't resume it.
func TestTruncatedStreamThatCannotBeResumedIsAborted(t *testing.T) {
	e := fastEngine()
	r := newRouter(t, routerOptions{engines: []http.Handler{e, fastEngine()}})
	e.SetFaults(engine.Faults{Truncate: 1, TruncateAfter: 4, TruncateMidEvent: true, NoResume: true})
	got := r.chat(t, streamBody)
	if got.err == nil {
		t.Errorf("the answer ended without an error, want an aborted connection")
	}
	if strings.Contains(got.body, "[DONE]") || !strings.HasSuffix(got.body, "\"execution\":\"unknown\"}}\n\n") {
		t.Errorf("the body is %q, want an error event at its end and no [DONE]", got.body)
	}
	if n := strings.Count(got.body, `"delta"`); n != 4 {
		t.Errorf("%d tokens were relayed, want the 4 complete ones", n)
	}
	if finishes := r.fleet.waitFinishes(t); len(finishes) != 1 || finishes[0].Outcome != request.OutcomeBroken {
		t.Errorf("finishes are %+v, want a single one with outcome broken", finishes)
	}
}

// Guards against failures that reach a caller although another upstream could have
// answered: a completion may be retried until its first byte is relayed.
func TestFailedAnswerIsRetriedBeforeAnythingIsRelayed(t *testing.T) {
	faults := map[string]engine.Faults{
		"stream truncated before its first event": {Truncate: 1, NoResume: true},
		"answer of another attempt":               {WrongAttempt: 1},
		"refused before execution":                {Refuse: 1},
		"failed":                                  {Fail: 1},
	}
	for name, injected := range faults {
		for _, body := range []string{streamBody, unstreamedBody} {
			e := fastEngine()
			r := newRouter(t, routerOptions{engines: []http.Handler{e, fastEngine()}})
			e.SetFaults(injected)
			got := r.chat(t, body)
			complete := got.complete() || strings.Contains(got.body, `"completion_tokens":10}}`)
			if got.status != http.StatusOK || got.err != nil || !complete {
				t.Errorf("%s, %s: answer is %+v, want a complete one", name, body, got)
			}
			if finishes := r.fleet.waitFinishes(t); len(finishes) != 2 || finishes[1].Outcome != request.OutcomeDone {
				t.Errorf("%s, %s: finishes are %+v, want two, the second one with outcome done", name, body, finishes)
			}
		}
	}
}

// Guards against a caller that gets the answer to another request: an answer with a wrong
// attempt identifier is refused, and a non-repeatable call isn't executed again.
func TestAnswerOfAnotherAttemptIsNotRelayed(t *testing.T) {
	e, s := fastEngine(), service.New(service.Options{})
	r := newRouter(t, routerOptions{engines: []http.Handler{e}, services: []http.Handler{s}})
	e.SetFaults(engine.Faults{WrongAttempt: 100})
	s.SetFaults(service.Faults{WrongAttempt: 100})
	checkRefusal(t, r.chat(t, streamBody), request.ReasonUpstreamFailed, request.ExecutionUnknown)
	got := r.do(t, r.newRequest(t, http.MethodPost, "/booking/visit", "x"))
	checkRefusal(t, got, request.ReasonUpstreamFailed, request.ExecutionUnknown)
	if runs := len(s.Calls()); runs != 1 {
		t.Errorf("the booking was executed %d times, want 1", runs)
	}
}

// Guards against attempts that keep an engine busy after their caller has disconnected.
func TestDisconnectedCallersAttemptIsCancelledAtTheEngine(t *testing.T) {
	e := engine.New(engine.Options{FirstToken: time.Microsecond, TokenInterval: time.Millisecond, ColdLimit: 1000})
	r := newRouter(t, routerOptions{engines: []http.Handler{e}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	httpRequest := r.newRequest(t, http.MethodPost, serve.PathChat, strings.Replace(streamBody, "10", "100000", 1))
	response, err := http.DefaultTransport.RoundTrip(httpRequest.WithContext(ctx))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(response.Body, make([]byte, 500)); err != nil {
		t.Fatal(err)
	}
	cancel()
	response.Body.Close()
	finishes := r.fleet.waitFinishes(t)
	if finishes[0].Outcome != request.OutcomeCancelled || finishes[0].Cost <= 1 {
		t.Errorf("finish is %+v, want outcome cancelled and a cost above 1", finishes[0])
	}
	if e.Counters().Cancelled != 1 || e.Counters().Served != 0 {
		t.Errorf("counters are %+v, want one cancelled attempt", e.Counters())
	}
}

// Guards against a truncated answer of a service that looks complete, and against a
// non-repeatable call that is executed again because of it. A repeatable call is retried
// if its answer is small enough to be buffered; a larger one is relayed as it arrives.
func TestTruncatedServiceAnswerNeverLooksComplete(t *testing.T) {
	for _, size := range []int{100, 1 << 20} {
		s := service.New(service.Options{AnswerBytes: size})
		r := newRouter(t, routerOptions{services: []http.Handler{s}})
		s.SetFaults(service.Faults{Truncate: 1})
		got := r.do(t, r.newRequest(t, http.MethodPost, "/booking/visit", "x"))
		if got.err == nil && got.status == http.StatusOK {
			t.Errorf("%d bytes: the truncated answer looks complete", size)
		}
		if runs := len(s.Calls()); runs != 1 {
			t.Errorf("%d bytes: the booking was executed %d times, want 1", size, runs)
		}
		s.SetFaults(service.Faults{Truncate: 1})
		got = r.do(t, r.newRequest(t, http.MethodGet, "/booking/visit", ""))
		if complete := got.err == nil && len(got.body) == size; complete != (size == 100) {
			t.Errorf("%d bytes: answer of the repeatable call is complete: %t; want that only for a buffered answer", size, complete)
		}
	}
}

// Guards against relaying an answer without a length, whose truncation could not be
// detected.
func TestAnswerWithoutLengthIsRefused(t *testing.T) {
	s := service.New(service.Options{})
	r := newRouter(t, routerOptions{services: []http.Handler{s}})
	s.SetFaults(service.Faults{NoLength: 1})
	got := r.do(t, r.newRequest(t, http.MethodPost, "/booking/visit", "x"))
	checkRefusal(t, got, request.ReasonUpstreamFailed, request.ExecutionUnknown)
}

// Guards against truncated answers that look complete in HTTP/1.0, which has no chunked
// encoding: an answer that fits the buffer gets a Content-Length, a larger one is refused.
func TestHTTP10CallerGetsAContentLengthOrARefusal(t *testing.T) {
	size := 0
	unsized := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		for range size {
			_, _ = w.Write([]byte("x"))
		}
		_ = http.NewResponseController(w).Flush()
	})
	r := newRouter(t, routerOptions{services: []http.Handler{unsized}})
	text := "POST /booking/visit HTTP/1.0\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 0\r\n\r\n"
	size = 1000
	if got := r.sendRaw(t, text); !strings.Contains(got, "Content-Length: 1000\r\n") {
		t.Errorf("the answer is %.200q, want one with its Content-Length", got)
	}
	size = 1 << 20
	if got := r.sendRaw(t, text); !strings.Contains(got, "502 Bad Gateway") {
		t.Errorf("the answer is %.200q, want a refusal", got)
	}
}

// Guards against a caller that gets events of another request after a resumption.
func TestResumedStreamOfAnotherAttemptIsNotRelayed(t *testing.T) {
	const own, foreign = "data: {\"own\":1}\n\n", "data: {\"foreign\":1}\n\n"
	wrongAttempt := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if r.Method == http.MethodGet {
			w.Header().Set("X-Attempt-Id", "00000000-0000-4000-8000-000000000000")
			fmt.Fprint(w, foreign+"data: [DONE]\n\n")
			return
		}
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		fmt.Fprint(w, own)
	})
	r := newRouter(t, routerOptions{engines: []http.Handler{wrongAttempt}})
	got := r.chat(t, streamBody)
	if got.err == nil || !strings.HasPrefix(got.body, own) || strings.Contains(got.body, "foreign") || strings.Contains(got.body, "[DONE]") {
		t.Errorf("the caller got %q and error %v, want its own event and an aborted connection", got.body, got.err)
	}
}

// Guards against callers that wait for an upstream that accepts a request and sends
// nothing: after the stall timeout the attempt is cancelled and another upstream tried.
func TestStreamWithoutFirstByteIsRetriedOnAnotherUpstream(t *testing.T) {
	hungEngine, otherEngine := fastEngine(), fastEngine()
	r := newRouter(t, routerOptions{engines: []http.Handler{hungEngine, otherEngine}, relay: relay.Options{StallTimeout: time.Second}})
	hungEngine.SetFaults(engine.Faults{Delay: 1, DelayBy: time.Hour})
	checkTokens(t, r.chat(t, streamBody), 10)
	if hungEngine.Counters().Cancelled != 1 || otherEngine.Counters().Served != 1 {
		t.Errorf("counters are %+v and %+v, want one attempt cancelled by the first engine and one served by the other", hungEngine.Counters(), otherEngine.Counters())
	}
}

// Guards against callers that wait beyond their deadline, and against an engine that goes
// on generating for them.
func TestAnswerAfterTheDeadlineIsRefused(t *testing.T) {
	e := fastEngine()
	r := newRouter(t, routerOptions{engines: []http.Handler{e}})
	e.SetFaults(engine.Faults{Delay: 1, DelayBy: time.Hour})
	httpRequest := r.newRequest(t, http.MethodPost, serve.PathChat, streamBody, serve.HeaderDeadline, "1000")
	checkRefusal(t, r.do(t, httpRequest), request.ReasonDeadline, request.ExecutionUnknown)
	if finishes := r.fleet.waitFinishes(t); finishes[0].Outcome != request.OutcomeCancelled {
		t.Errorf("finish is %+v, want outcome cancelled", finishes[0])
	}
	if e.Counters().Cancelled != 1 {
		t.Errorf("the attempt was not cancelled at the engine")
	}
}
