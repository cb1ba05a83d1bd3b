package edge

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// Guards against changes to a request on its way: path, query, body and own headers arrive
// unchanged, and headers that only routers may set can't be forged by callers.
func TestRequestReachesItsUpstreamUnchanged(t *testing.T) {
	env := start(t, 1, nil)
	got := env.do(call{path: "/unsafe/a%2Fb//c?x=1&y=%20", id: "r1", body: "the body", header: map[string]string{
		"X-Own": "kept", platformtest.HeaderAccount: "forged", platformtest.HeaderInstance: "forged", platformtest.HeaderHold: "forged", platformtest.HeaderKVFrom: "forged",
	}})
	if got.status != http.StatusOK || got.body != generalupstream.Answer("r1") {
		t.Fatalf("answer is %+v, want the upstream's", got)
	}
	if receipt := got.header.Get(platformtest.HeaderReceipt); receipt != generalupstream.Receipt("r1") {
		t.Errorf("receipt is %q", receipt)
	}
	runs := env.runs("r1")
	if len(runs) != 1 {
		t.Fatalf("%d executions, want 1", len(runs))
	}
	run := runs[0]
	if run.Method != http.MethodPost || run.URI != "/unsafe/a%2Fb//c?x=1&y=%20" || run.Host != host || run.Body != "the body" {
		t.Errorf("executed request is %+v", run)
	}
	for name, want := range map[string]string{
		"X-Own": "kept", platformtest.HeaderAccount: account, platformtest.HeaderInstance: "i-a", platformtest.HeaderHold: "", platformtest.HeaderKVFrom: "", platformtest.HeaderKey: "",
	} {
		if value := run.Header.Get(name); value != want {
			t.Errorf("%s is %q, want %q", name, value, want)
		}
	}
	timeLeft, err := strconv.Atoi(run.Header.Get(platformtest.HeaderDeadline))
	if err != nil || timeLeft <= 0 || timeLeft > 4000 {
		t.Errorf("time left passed to the upstream is %q ms, want above 0 and at most 4000", run.Header.Get(platformtest.HeaderDeadline))
	}
}

// Guards against refusals with a wrong status, and against a public route that checks keys
// or passes on an account.
func TestRefusalsHaveTheirStatus(t *testing.T) {
	env := start(t, 1, nil)
	for name, c := range map[string]struct {
		call   call
		status int
	}{
		"unknown path":  {call{path: "/none/", id: "a"}, http.StatusNotFound},
		"unknown key":   {call{path: "/safe/", id: "b", header: map[string]string{platformtest.HeaderKey: "other"}}, http.StatusUnauthorized},
		"no identifier": {call{path: "/safe/", id: ""}, http.StatusBadRequest},
		"long body":     {call{path: "/unsafe/", id: "c", body: strings.Repeat("x", 1<<20+1)}, http.StatusRequestEntityTooLarge},
	} {
		if got := env.do(c.call); got.status != c.status {
			t.Errorf("%s: status %d, want %d", name, got.status, c.status)
		}
	}
	public := env.do(call{path: "/open/x", id: "d", header: map[string]string{platformtest.HeaderKey: "other"}})
	if public.status != http.StatusOK {
		t.Errorf("public route: status %d, want 200", public.status)
	}
	if runs := env.runs("d"); len(runs) != 1 || runs[0].Header.Get(platformtest.HeaderAccount) != "" {
		t.Errorf("public route: executed requests are %+v, want one without an account", runs)
	}
}

// Guards against an unsafe request that is executed twice: it may be sent again only if
// the upstream says that it was not executed.
func TestUnsafeRequestIsSentAgainOnlyIfItWasNotExecuted(t *testing.T) {
	env := start(t, 2, nil)
	env.setFaults(generalupstream.Faults{NoAnswer: 1})
	got := env.do(call{path: "/unsafe/x", id: "lost"})
	if got.status != http.StatusBadGateway || len(env.runs("lost")) != 1 {
		t.Errorf("lost answer: status %d, %d executions, want 502 and 1", got.status, len(env.runs("lost")))
	}
	env.setFaults(generalupstream.Faults{})
	env.upstreams[0].SetFaults(generalupstream.Faults{Refuse: 1})
	got = env.do(call{path: "/unsafe/x", id: "refused"})
	if got.status != http.StatusOK || len(env.runs("refused")) != 1 {
		t.Errorf("refused once: status %d, %d executions, want 200 and 1", got.status, len(env.runs("refused")))
	}
	env.setFaults(generalupstream.Faults{Refuse: 9})
	got = env.do(call{path: "/unsafe/x", id: "none"})
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || len(env.runs("none")) != 0 {
		t.Errorf("refused by all: status %d, %d executions, want 503 with Retry-After and none", got.status, len(env.runs("none")))
	}
}

// Guards against failures of one upstream that reach the caller of a safe request although
// another upstream could answer it.
func TestSafeRequestIsSentAgainAfterAFailure(t *testing.T) {
	env := start(t, 2, nil)
	for name, faults := range map[string]generalupstream.Faults{
		"failed": {Fail: 1}, "unanswered": {NoAnswer: 1}, "wrong-identifier": {WrongID: 1},
	} {
		env.upstreams[0].SetFaults(faults)
		env.upstreams[1].SetFaults(generalupstream.Faults{})
		for i := range 4 {
			id := name + strconv.Itoa(i)
			if got := env.do(call{method: http.MethodGet, path: "/safe/x", id: id}); got.body != generalupstream.Answer(id) {
				t.Errorf("%s: answer is %+v, want the upstream's", id, got)
			}
		}
	}
}

// Guards against an upstream's error that is replaced by one of the router, which would
// hide that the request was executed.
func TestUpstreamErrorIsRelayedWithItsReceipt(t *testing.T) {
	env := start(t, 1, nil)
	env.setFaults(generalupstream.Faults{Fail: 1})
	got := env.do(call{path: "/unsafe/x", id: "f"})
	if got.status != http.StatusInternalServerError || got.header.Get(platformtest.HeaderReceipt) != generalupstream.Receipt("f") {
		t.Errorf("answer is %+v, want status 500 with the upstream's receipt", got)
	}
}

// Guards against refusing answers that end when the upstream closes the connection.
func TestAnswerWithoutLengthIsRelayed(t *testing.T) {
	env := start(t, 1, nil)
	env.setFaults(generalupstream.Faults{NoLength: 1})
	if got := env.do(call{path: "/unsafe/x", id: "u"}); got.body != generalupstream.Answer("u") || got.err != nil {
		t.Errorf("answer is %+v, want the upstream's", got)
	}
}

// Guards against truncated streams that look complete, and against executing a stream's
// request again on a route that is not resumable.
func TestStreamIsResumedOnAnotherUpstreamOnlyIfItsRouteAllows(t *testing.T) {
	env := start(t, 2, nil)
	env.setFaults(generalupstream.Faults{TruncateAfter: 2})
	got := env.do(call{path: "/resume-stream/x", id: "resumed"})
	if got.body == generalupstream.CompleteStream() && got.err == nil {
		t.Errorf("a stream that every upstream truncates looks complete")
	}
	env.upstreams[0].SetFaults(generalupstream.Faults{TruncateAfter: 3})
	env.upstreams[1].SetFaults(generalupstream.Faults{})
	for i := range 4 {
		id := "resumed" + strconv.Itoa(i)
		if got := env.do(call{path: "/resume-stream/x", id: id}); got.body != generalupstream.CompleteStream() || got.err != nil {
			t.Errorf("%s: answer is %+v, want the complete stream", id, got)
		}
		if got := env.do(call{path: "/stream/x", id: "plain" + strconv.Itoa(i)}); got.err == nil && got.body != generalupstream.CompleteStream() {
			t.Errorf("a truncated stream looks complete: %q", got.body)
		}
		if runs := env.runs("plain" + strconv.Itoa(i)); len(runs) > 1 {
			t.Errorf("a stream that is not resumable was executed %d times, want at most 1", len(runs))
		}
	}
}

// Guards against a success without the upstream's receipt for a caller that resumes a
// stream after its last event, as seen in hunt-1cd5-7 of Ribglue: such a stream has no
// events.
func TestStreamWithoutEventsHasItsUpstreamsReceipt(t *testing.T) {
	env := start(t, 1, nil)
	last := map[string]string{platformtest.HeaderLastEvent: strconv.Itoa(generalupstream.Events)}
	got := env.do(call{path: "/resume-stream/x", id: "ended", header: last})
	if got.status != http.StatusOK || got.body != "" || got.header.Get(platformtest.HeaderReceipt) != generalupstream.Receipt("ended") {
		t.Errorf("answer is %+v, want an empty success with the upstream's receipt", got)
	}
}

// Guards against executions that go on at an upstream after their caller disconnected.
func TestDisconnectedCallersExecutionEnds(t *testing.T) {
	env := start(t, 1, nil)
	env.setFaults(generalupstream.Faults{Delay: waitTimeout})
	conn, err := net.Dial("tcp", env.callers)
	if err != nil {
		t.Fatal(err)
	}
	request := "POST /unsafe/x HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: gone\r\nX-Credential: " + key +
		"\r\nContent-Length: 0\r\n\r\n"
	if _, err := conn.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
	env.eventually("the request is executed", func() bool { return len(env.runs("gone")) == 1 })
	conn.Close()
	env.eventually("the upstream sees that its caller disconnected", func() bool { return env.upstreams[0].CallerDisconnects() == 1 })
}

// Guards against requests that outlast their route's timeout at the router or at the
// upstream.
func TestRouteTimeoutEndsARequest(t *testing.T) {
	env := start(t, 1, nil)
	env.setFaults(generalupstream.Faults{Delay: waitTimeout})
	got := env.do(call{path: "/brief/x", id: "late"})
	if got.status != http.StatusGatewayTimeout {
		t.Errorf("status %d, want 504", got.status)
	}
	env.eventually("the upstream sees that its caller disconnected", func() bool { return env.upstreams[0].CallerDisconnects() == 1 })
}

// Guards against request smuggling: of a request with both a Content-Length and a chunked
// encoding, the bytes after the last chunk must not be executed as a request.
func TestBytesAfterAChunkedRequestAreNotExecuted(t *testing.T) {
	env := start(t, 1, nil)
	conn, err := net.Dial("tcp", env.callers)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	smuggled := "POST /unsafe/y HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: smuggled\r\nX-Credential: " + key +
		"\r\nContent-Length: 0\r\n\r\n"
	request := "POST /unsafe/x HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: outer\r\nX-Credential: " + key +
		"\r\nContent-Length: " + strconv.Itoa(len(smuggled)+5) + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled
	if _, err := conn.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	buffer := make([]byte, 1<<16)
	for {
		if _, err := conn.Read(buffer); err != nil {
			break
		}
	}
	if len(env.runs("smuggled")) != 0 {
		t.Error("a request inside the body of another one was executed")
	}
}

// Guards against bytes of another request in a body. An upstream may answer before it has
// read a long body, and read the rest later on the same connection. It must then get the
// rest of that body or the end of the connection.
func TestEarlyAnswerDoesNotMixUpBodies(t *testing.T) {
	env := start(t, 1, nil)
	env.configure(func(config map[string]any) {
		config["limits"] = platformtest.Limits(4 << 20)
	})
	// Longer than what the kernel buffers for an upstream that doesn't read.
	long := strings.Repeat("0123456789abcdef", 250_000)
	env.eventually("the configuration with the larger body limit is applied", func() bool {
		return env.do(call{path: "/unsafe/x", id: "early-or-next-config", body: long}).status == http.StatusOK
	})
	for i := range 10 {
		env.setFaults(generalupstream.Faults{AnswerEarly: 1})
		early, next := fmt.Sprintf("early-%d", i), fmt.Sprintf("next-%d", i)
		if got := env.do(call{path: "/unsafe/x", id: early, body: long}); got.status != http.StatusOK || got.body != generalupstream.Answer(early) {
			t.Fatalf("early answer: status %d, body %q, error %v", got.status, got.body, got.err)
		}
		if got := env.do(call{path: "/unsafe/x", id: next, body: "short"}); got.status != http.StatusOK || got.body != generalupstream.Answer(next) {
			t.Fatalf("next answer: status %d, body %q, error %v", got.status, got.body, got.err)
		}
		env.eventually("the request answered early is recorded", func() bool { return len(env.runs(early)) == 1 })
		if body := env.runs(early)[0].Body; !strings.HasPrefix(long, body) {
			t.Fatalf("a body of %d bytes arrived that is no prefix of the one sent", len(body))
		}
		if runs := env.runs(next); len(runs) != 1 || runs[0].Body != "short" {
			t.Fatalf("the next request arrived as %+v", runs)
		}
	}
	for _, run := range env.upstreams[0].Runs() {
		if !strings.HasPrefix(run.ID, "early-") && !strings.HasPrefix(run.ID, "next-") || run.URI != "/unsafe/x" {
			t.Errorf("a request that nobody sent was executed: identifier %.80q, URI %.80q", run.ID, run.URI)
		}
	}
}

// Guards against requests with more than the permitted bytes of headers.
func TestHeadersOverTheLimitAreRefused(t *testing.T) {
	env := start(t, 1, nil)
	long := map[string]string{"X-Long": strings.Repeat("x", 2<<20)}
	if got := env.do(call{path: "/safe/x", id: "long", header: long}); got.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d, error %v, want 431", got.status, got.err)
	}
	if runs := env.runs("long"); len(runs) != 0 {
		t.Errorf("%d executions, want none", len(runs))
	}
}
