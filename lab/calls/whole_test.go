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

// fast is an engine without waits worth mentioning.
func fast() *engine.Engine {
	return engine.New(engine.Options{FirstToken: time.Microsecond, TokenInterval: time.Microsecond, ColdLimit: 1000})
}

// checkTokens checks that an answer has each token once and in order.
func checkTokens(t interface{ Fatalf(string, ...any) }, got answer, tokens int) {
	if !got.whole() {
		t.Fatalf("the answer is not whole: status %d, error %v, body %q", got.status, got.err, got.body)
	}
	at := 0
	for i := range tokens {
		found := strings.Index(got.body[at:], fmt.Sprintf(`"t%d "`, i))
		if found < 0 {
			t.Fatalf("token %d is missing or out of order in %q", i, got.body)
		}
		at += found
	}
	if n := strings.Count(got.body, `"delta"`); n != tokens {
		t.Fatalf("%d tokens, want %d", n, tokens)
	}
}

func TestAWholeStreamIsChargedWhatTheEngineReports(t *testing.T) {
	r := newRouter(t, setup{engines: []http.Handler{fast()}})
	got := r.chat(t, streamBody)
	checkTokens(t, got, 10)
	finishes := r.fleet.ended(t)
	prompt := len(`[{"role":"user","content":"hello"}]`)
	want := request.Usage{Prompt: request.PromptTokens(prompt), Generated: 10}.Cost()
	if len(finishes) != 1 || finishes[0].Outcome != request.OutcomeDone || finishes[0].FirstToken <= 0 {
		t.Fatalf("finishes are %+v, want one that is done with a first token", finishes)
	}
	// The prompt is charged by an estimate first, which is not taken back.
	if got := finishes[0].Cost; got < want || got > want+5 {
		t.Errorf("cost is %g, want %g and at most 5 more", got, want)
	}
	if r.fleet.charged != finishes[0].Cost {
		t.Errorf("charged %g, want the finish's cost %g", r.fleet.charged, finishes[0].Cost)
	}
}

func TestACutStreamIsResumedWithoutALostOrDoubledEvent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		e := fast()
		r := newRouter(t, setup{engines: []http.Handler{e}})
		faults := engine.Faults{
			Cut:       rapid.IntRange(1, 3).Draw(rt, "cuts"),
			CutAfter:  rapid.IntRange(0, 4).Draw(rt, "after"),
			CutInside: rapid.Bool().Draw(rt, "inside"),
			EndEarly:  rapid.Bool().Draw(rt, "end early"),
		}
		e.SetFaults(faults)
		checkTokens(rt, r.chat(t, streamBody), 10)
		if runs := e.Counters().Runs; runs != 1 {
			rt.Fatalf("the request ran %d times, want 1", runs)
		}
		if resumed := e.Counters().Resumed; resumed == 0 {
			rt.Fatalf("nothing was resumed")
		}
	})
}

func TestACutStreamThatCannotBeResumedEndsVisiblyBroken(t *testing.T) {
	e := fast()
	r := newRouter(t, setup{engines: []http.Handler{e, fast()}})
	e.SetFaults(engine.Faults{Cut: 1, CutAfter: 4, CutInside: true, NoResume: true})
	got := r.chat(t, streamBody)
	if got.err == nil {
		t.Errorf("the connection ended properly, want it aborted")
	}
	if strings.Contains(got.body, "[DONE]") || !strings.HasSuffix(got.body, "\"execution\":\"unknown\"}}\n\n") {
		t.Errorf("the body ends %q, want an error event and no [DONE]", got.body)
	}
	if n := strings.Count(got.body, `"delta"`); n != 4 {
		t.Errorf("%d tokens were relayed, want the 4 whole ones", n)
	}
	if finishes := r.fleet.ended(t); len(finishes) != 1 || finishes[0].Outcome != request.OutcomeBroken {
		t.Errorf("finishes are %+v, want one that is broken", finishes)
	}
}

func TestAnAnswerIsRetriedWhileNothingWasRelayed(t *testing.T) {
	faults := map[string]engine.Faults{
		"stream cut before its first event": {Cut: 1, NoResume: true},
		"crossed answer":                    {Cross: 1},
		"refused before running":            {Refuse: 1},
		"failed":                            {Fail: 1},
	}
	for name, fault := range faults {
		for _, body := range []string{streamBody, wholeBody} {
			e := fast()
			r := newRouter(t, setup{engines: []http.Handler{e, fast()}})
			e.SetFaults(fault)
			got := r.chat(t, body)
			complete := got.whole() || strings.Contains(got.body, `"completion_tokens":10}}`)
			if got.status != http.StatusOK || got.err != nil || !complete {
				t.Errorf("%s, %s: answer is %+v, want a whole one", name, body, got)
			}
			if finishes := r.fleet.ended(t); len(finishes) != 2 || finishes[1].Outcome != request.OutcomeDone {
				t.Errorf("%s, %s: finishes are %+v, want the second one done", name, body, finishes)
			}
		}
	}
}

func TestACrossedAnswerGoesToNoCaller(t *testing.T) {
	e, s := fast(), service.New(service.Options{})
	r := newRouter(t, setup{engines: []http.Handler{e}, services: []http.Handler{s}})
	e.SetFaults(engine.Faults{Cross: 100})
	s.SetFaults(service.Faults{Cross: 100})
	checkRefusal(t, r.chat(t, streamBody), request.ReasonUpstreamFailed, request.Unknown)
	got := r.do(t, r.newRequest(t, http.MethodPost, "/booking/visit", "x"))
	checkRefusal(t, got, request.ReasonUpstreamFailed, request.Unknown)
	if runs := len(s.Calls()); runs != 1 {
		t.Errorf("the booking ran %d times, want 1", runs)
	}
}

func TestACallerThatGoesAwayIsCancelledAtTheEngine(t *testing.T) {
	e := engine.New(engine.Options{FirstToken: time.Microsecond, TokenInterval: time.Millisecond, ColdLimit: 1000})
	r := newRouter(t, setup{engines: []http.Handler{e}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	out := r.newRequest(t, http.MethodPost, serve.PathChat, strings.Replace(streamBody, "10", "100000", 1))
	response, err := http.DefaultTransport.RoundTrip(out.WithContext(ctx))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(response.Body, make([]byte, 500)); err != nil {
		t.Fatal(err)
	}
	cancel()
	response.Body.Close()
	finishes := r.fleet.ended(t)
	if finishes[0].Outcome != request.OutcomeCancelled || finishes[0].Cost <= 1 {
		t.Errorf("finish is %+v, want a cancelled one with its cost", finishes[0])
	}
	if e.Counters().Cancelled != 1 || e.Counters().Served != 0 {
		t.Errorf("counters are %+v, want one cancelled attempt", e.Counters())
	}
}

func TestACutPlainAnswerNeverLooksComplete(t *testing.T) {
	for _, size := range []int{100, 1 << 20} {
		s := service.New(service.Options{AnswerBytes: size})
		r := newRouter(t, setup{services: []http.Handler{s}})
		s.SetFaults(service.Faults{Cut: 1})
		got := r.do(t, r.newRequest(t, http.MethodPost, "/booking/visit", "x"))
		if got.err == nil && got.status == http.StatusOK {
			t.Errorf("%d bytes: the cut answer looks complete", size)
		}
		if runs := len(s.Calls()); runs != 1 {
			t.Errorf("%d bytes: the booking ran %d times, want 1", size, runs)
		}
		s.SetFaults(service.Faults{Cut: 1})
		got = r.do(t, r.newRequest(t, http.MethodGet, "/booking/visit", ""))
		if whole := got.err == nil && len(got.body) == size; whole != (size == 100) {
			t.Errorf("%d bytes: repeatable call whole is %t; only what is held can be retried", size, whole)
		}
	}
}

func TestAnAnswerWithoutALengthIsNotTrusted(t *testing.T) {
	s := service.New(service.Options{})
	r := newRouter(t, setup{services: []http.Handler{s}})
	s.SetFaults(service.Faults{Unframed: 1})
	got := r.do(t, r.newRequest(t, http.MethodPost, "/booking/visit", "x"))
	checkRefusal(t, got, request.ReasonUpstreamFailed, request.Unknown)
}

// TestACallerWithoutChunksGetsALengthOrARefusal covers HTTP/1.0, where a cut
// answer without a length looks like a whole one.
func TestACallerWithoutChunksGetsALengthOrARefusal(t *testing.T) {
	size := 0
	unsized := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		for range size {
			_, _ = w.Write([]byte("x"))
		}
		_ = http.NewResponseController(w).Flush()
	})
	r := newRouter(t, setup{services: []http.Handler{unsized}})
	text := "POST /booking/visit HTTP/1.0\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 0\r\n\r\n"
	size = 1000
	if got := r.raw(t, text); !strings.Contains(got, "Content-Length: 1000\r\n") {
		t.Errorf("the answer is %.200q, want one with its length", got)
	}
	size = 1 << 20
	if got := r.raw(t, text); !strings.Contains(got, "502 Bad Gateway") {
		t.Errorf("the answer is %.200q, want a refusal", got)
	}
}

func TestACrossedResumptionGoesToNoCaller(t *testing.T) {
	const own, foreign = "data: {\"own\":1}\n\n", "data: {\"foreign\":1}\n\n"
	crossing := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if r.Method == http.MethodGet {
			w.Header().Set("X-Attempt-Id", "00000000-0000-4000-8000-000000000000")
			fmt.Fprint(w, foreign+"data: [DONE]\n\n")
			return
		}
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		fmt.Fprint(w, own)
	})
	r := newRouter(t, setup{engines: []http.Handler{crossing}})
	got := r.chat(t, streamBody)
	if got.err == nil || !strings.HasPrefix(got.body, own) || strings.Contains(got.body, "foreign") || strings.Contains(got.body, "[DONE]") {
		t.Errorf("the caller got %q and %v, want its own event and a broken end", got.body, got.err)
	}
}

func TestAStreamThatDoesNotBeginIsTriedElsewhere(t *testing.T) {
	hung, other := fast(), fast()
	r := newRouter(t, setup{engines: []http.Handler{hung, other}, relay: relay.Options{StallTimeout: time.Second}})
	hung.SetFaults(engine.Faults{Late: 1, LateBy: time.Hour})
	checkTokens(t, r.chat(t, streamBody), 10)
	if hung.Counters().Cancelled != 1 || other.Counters().Served != 1 {
		t.Errorf("counters are %+v and %+v, want one cancelled and one served", hung.Counters(), other.Counters())
	}
}

func TestALateAnswerIsRefusedAtTheDeadline(t *testing.T) {
	e := fast()
	r := newRouter(t, setup{engines: []http.Handler{e}})
	e.SetFaults(engine.Faults{Late: 1, LateBy: time.Hour})
	out := r.newRequest(t, http.MethodPost, serve.PathChat, streamBody, serve.HeaderDeadline, "1000")
	checkRefusal(t, r.do(t, out), request.ReasonDeadline, request.Unknown)
	if finishes := r.fleet.ended(t); finishes[0].Outcome != request.OutcomeCancelled {
		t.Errorf("finish is %+v, want a cancelled one", finishes[0])
	}
	if e.Counters().Cancelled != 1 {
		t.Errorf("the engine was not told to cancel")
	}
}
