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

func TestARequestReachesItsUpstreamUnchanged(t *testing.T) {
	w := start(t, 1, nil)
	got := w.do(call{path: "/unsafe/a%2Fb//c?x=1&y=%20", id: "r1", body: "the body", header: map[string]string{
		"X-Own": "kept", platformtest.HeaderAccount: "forged", platformtest.HeaderInstance: "forged", platformtest.HeaderHold: "forged", platformtest.HeaderMemoryFrom: "forged",
	}})
	if got.status != http.StatusOK || got.body != generalupstream.Answer("r1") {
		t.Fatalf("answer %+v", got)
	}
	if seal := got.header.Get(platformtest.HeaderReceipt); seal != generalupstream.Seal("r1") {
		t.Errorf("receipt %q", seal)
	}
	runs := w.runs("r1")
	if len(runs) != 1 {
		t.Fatalf("%d runs", len(runs))
	}
	run := runs[0]
	if run.Method != http.MethodPost || run.URI != "/unsafe/a%2Fb//c?x=1&y=%20" || run.Host != host || run.Body != "the body" {
		t.Errorf("ran %+v", run)
	}
	for name, want := range map[string]string{
		"X-Own": "kept", platformtest.HeaderAccount: account, platformtest.HeaderInstance: "i-a", platformtest.HeaderHold: "", platformtest.HeaderMemoryFrom: "", platformtest.HeaderKey: "",
	} {
		if value := run.Header.Get(name); value != want {
			t.Errorf("%s is %q, want %q", name, value, want)
		}
	}
	left, err := strconv.Atoi(run.Header.Get(platformtest.HeaderDeadline))
	if err != nil || left <= 0 || left > 4000 {
		t.Errorf("deadline passed on: %q", run.Header.Get(platformtest.HeaderDeadline))
	}
}

func TestRefusalsHaveTheirStatus(t *testing.T) {
	w := start(t, 1, nil)
	for name, c := range map[string]struct {
		call   call
		status int
	}{
		"unknown path":  {call{path: "/none/", id: "a"}, http.StatusNotFound},
		"unknown key":   {call{path: "/safe/", id: "b", header: map[string]string{platformtest.HeaderKey: "other"}}, http.StatusUnauthorized},
		"no identifier": {call{path: "/safe/", id: ""}, http.StatusBadRequest},
		"long body":     {call{path: "/unsafe/", id: "c", body: strings.Repeat("x", 1<<20+1)}, http.StatusRequestEntityTooLarge},
	} {
		if got := w.do(c.call); got.status != c.status {
			t.Errorf("%s: status %d, want %d", name, got.status, c.status)
		}
	}
	open := w.do(call{path: "/open/x", id: "d", header: map[string]string{platformtest.HeaderKey: "other"}})
	if open.status != http.StatusOK {
		t.Errorf("public route: status %d", open.status)
	}
	if runs := w.runs("d"); len(runs) != 1 || runs[0].Header.Get(platformtest.HeaderAccount) != "" {
		t.Errorf("public route ran %+v", runs)
	}
}

func TestAnUnsafeRequestIsNeverSentAgainUnlessItDidNotRun(t *testing.T) {
	w := start(t, 2, nil)
	w.setFaults(generalupstream.Faults{Vanish: 1})
	got := w.do(call{path: "/unsafe/x", id: "lost"})
	if got.status != http.StatusBadGateway || len(w.runs("lost")) != 1 {
		t.Errorf("lost answer: status %d, %d runs", got.status, len(w.runs("lost")))
	}
	w.setFaults(generalupstream.Faults{})
	w.upstreams[0].SetFaults(generalupstream.Faults{Refuse: 1})
	got = w.do(call{path: "/unsafe/x", id: "refused"})
	if got.status != http.StatusOK || len(w.runs("refused")) != 1 {
		t.Errorf("refused once: status %d, %d runs", got.status, len(w.runs("refused")))
	}
	w.setFaults(generalupstream.Faults{Refuse: 9})
	got = w.do(call{path: "/unsafe/x", id: "none"})
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || len(w.runs("none")) != 0 {
		t.Errorf("refused by all: status %d, %d runs", got.status, len(w.runs("none")))
	}
}

func TestASafeRequestIsSentAgainAfterAFailure(t *testing.T) {
	w := start(t, 2, nil)
	for name, faults := range map[string]generalupstream.Faults{
		"failed": {Fail: 1}, "vanished": {Vanish: 1}, "crossed": {Cross: 1},
	} {
		w.upstreams[0].SetFaults(faults)
		w.upstreams[1].SetFaults(generalupstream.Faults{})
		for i := range 4 {
			id := name + strconv.Itoa(i)
			if got := w.do(call{method: http.MethodGet, path: "/safe/x", id: id}); got.body != generalupstream.Answer(id) {
				t.Errorf("%s: %+v", id, got)
			}
		}
	}
}

func TestAServersFailureIsPassedOnWithItsReceipt(t *testing.T) {
	w := start(t, 1, nil)
	w.setFaults(generalupstream.Faults{Fail: 1})
	got := w.do(call{path: "/unsafe/x", id: "f"})
	if got.status != http.StatusInternalServerError || got.header.Get(platformtest.HeaderReceipt) != generalupstream.Seal("f") {
		t.Errorf("got %+v", got)
	}
}

func TestAnAnswerWithoutLengthIsWhole(t *testing.T) {
	w := start(t, 1, nil)
	w.setFaults(generalupstream.Faults{Unframed: 1})
	if got := w.do(call{path: "/unsafe/x", id: "u"}); got.body != generalupstream.Answer("u") || got.err != nil {
		t.Errorf("got %+v", got)
	}
}

func TestAStreamIsContinuedElsewhereOnlyIfItsRouteAllows(t *testing.T) {
	w := start(t, 2, nil)
	w.setFaults(generalupstream.Faults{CutAfter: 2})
	got := w.do(call{path: "/resume-stream/x", id: "resumed"})
	if got.body == generalupstream.WholeStream() && got.err == nil {
		t.Errorf("a stream that is cut at each upstream looks whole")
	}
	w.upstreams[0].SetFaults(generalupstream.Faults{CutAfter: 3})
	w.upstreams[1].SetFaults(generalupstream.Faults{})
	for i := range 4 {
		id := "resumed" + strconv.Itoa(i)
		if got := w.do(call{path: "/resume-stream/x", id: id}); got.body != generalupstream.WholeStream() || got.err != nil {
			t.Errorf("%s: %+v", id, got)
		}
		if got := w.do(call{path: "/stream/x", id: "plain" + strconv.Itoa(i)}); got.err == nil && got.body != generalupstream.WholeStream() {
			t.Errorf("a cut stream looks whole: %q", got.body)
		}
		if runs := w.runs("plain" + strconv.Itoa(i)); len(runs) > 1 {
			t.Errorf("a stream that may not be resumed ran %d times", len(runs))
		}
	}
}

// A caller that resumes after the last event got a success without the receipt
// (hunt-1cd5-7 of Ribglue).
func TestAStreamWithoutEventsHasItsUpstreamsHeader(t *testing.T) {
	w := start(t, 1, nil)
	last := map[string]string{"Last-Event-Id": strconv.Itoa(generalupstream.Events)}
	got := w.do(call{path: "/resume-stream/x", id: "ended", header: last})
	if got.status != http.StatusOK || got.body != "" || got.header.Get(platformtest.HeaderReceipt) != generalupstream.Seal("ended") {
		t.Errorf("got %+v", got)
	}
}

func TestACallerThatLeavesEndsItsRun(t *testing.T) {
	w := start(t, 1, nil)
	w.setFaults(generalupstream.Faults{Delay: waitTime})
	conn, err := net.Dial("tcp", w.callers)
	if err != nil {
		t.Fatal(err)
	}
	request := "POST /unsafe/x HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: gone\r\nX-Credential: " + key +
		"\r\nContent-Length: 0\r\n\r\n"
	if _, err := conn.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
	w.eventually("run", func() bool { return len(w.runs("gone")) == 1 })
	conn.Close()
	w.eventually("left by the caller", func() bool { return w.upstreams[0].Left() == 1 })
}

func TestARouteTimeoutEndsARequest(t *testing.T) {
	w := start(t, 1, nil)
	w.setFaults(generalupstream.Faults{Delay: waitTime})
	got := w.do(call{path: "/brief/x", id: "late"})
	if got.status != http.StatusGatewayTimeout {
		t.Errorf("status %d", got.status)
	}
	w.eventually("left", func() bool { return w.upstreams[0].Left() == 1 })
}

func TestNothingIsReadBehindARequestInChunks(t *testing.T) {
	w := start(t, 1, nil)
	conn, err := net.Dial("tcp", w.callers)
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
	_ = conn.SetReadDeadline(time.Now().Add(waitTime))
	buffer := make([]byte, 1<<16)
	for {
		if _, err := conn.Read(buffer); err != nil {
			break
		}
	}
	if len(w.runs("smuggled")) != 0 {
		t.Error("a request inside another one ran")
	}
}

// An upstream may answer before it has read a long body, and read on later on the
// same connection. What it then gets must be that body, or the connection's end.
func TestAnEarlyAnswerLeavesTheRestOfTheBodyAsItIs(t *testing.T) {
	w := start(t, 1, nil)
	w.configure(func(config map[string]any) {
		config["limits"] = platformtest.Limits(4 << 20)
	})
	// Longer than what the kernel holds for an upstream that does not read.
	long := strings.Repeat("0123456789abcdef", 250_000)
	w.eventually("configured", func() bool {
		return w.do(call{path: "/unsafe/x", id: "early-or-next-config", body: long}).status == http.StatusOK
	})
	for i := range 10 {
		w.setFaults(generalupstream.Faults{Early: 1})
		early, next := fmt.Sprintf("early-%d", i), fmt.Sprintf("next-%d", i)
		if got := w.do(call{path: "/unsafe/x", id: early, body: long}); got.status != http.StatusOK || got.body != generalupstream.Answer(early) {
			t.Fatalf("early answer: %d %q %v", got.status, got.body, got.err)
		}
		if got := w.do(call{path: "/unsafe/x", id: next, body: "short"}); got.status != http.StatusOK || got.body != generalupstream.Answer(next) {
			t.Fatalf("the next answer: %d %q %v", got.status, got.body, got.err)
		}
		w.eventually("recorded", func() bool { return len(w.runs(early)) == 1 })
		if body := w.runs(early)[0].Body; !strings.HasPrefix(long, body) {
			t.Fatalf("%d bytes of another body arrived", len(body))
		}
		if runs := w.runs(next); len(runs) != 1 || runs[0].Body != "short" {
			t.Fatalf("the next request arrived as %+v", runs)
		}
	}
	for _, run := range w.upstreams[0].Runs() {
		if !strings.HasPrefix(run.ID, "early-") && !strings.HasPrefix(run.ID, "next-") || run.URI != "/unsafe/x" {
			t.Errorf("a request that nobody sent ran: %.80q %.80q", run.ID, run.URI)
		}
	}
}

func TestHeadersOverTheLimitAreRefused(t *testing.T) {
	w := start(t, 1, nil)
	long := map[string]string{"X-Long": strings.Repeat("x", 2<<20)}
	if got := w.do(call{path: "/safe/x", id: "long", header: long}); got.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("got %d, %v", got.status, got.err)
	}
	if runs := w.runs("long"); len(runs) != 0 {
		t.Errorf("%d runs", len(runs))
	}
}
