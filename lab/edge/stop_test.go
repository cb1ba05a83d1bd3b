package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// Guards against requests that the daemon accepts and doesn't answer while it stops. Half of
// the callers open a connection for each request, the others keep theirs; all go on until
// they can't connect.
func TestStopUnderLoadAnswersAcceptedRequests(t *testing.T) {
	env := start(t, 2, func(bounds platformtest.Fields) { bounds["grace_s"] = 4 })
	env.setFaults(generalupstream.Faults{Delay: 20 * time.Millisecond})
	var callers sync.WaitGroup
	var answered, unanswered atomic.Int64
	for caller := range 8 {
		client := &http.Client{
			Transport: &http.Transport{DisableKeepAlives: caller%2 == 0},
			Timeout:   waitTimeout,
		}
		callers.Go(func() {
			for n := 0; ; n++ {
				// Without GetBody the client can't send the request a second time on its own.
				body := io.NopCloser(strings.NewReader("body"))
				request, err := http.NewRequest(http.MethodPost, "http://"+env.callers+"/unsafe/x", body)
				if err != nil {
					t.Error(err)
					return
				}
				request.ContentLength, request.Host = 4, host
				request.Header.Set(platformtest.HeaderRequestID, fmt.Sprintf("c%d-%d", caller, n))
				request.Header.Set(platformtest.HeaderKey, key)
				answer, err := client.Do(request)
				var refused *net.OpError
				switch {
				case errors.As(err, &refused) && refused.Op == "dial":
					// The daemon has stopped listening.
					return
				case err != nil:
					unanswered.Add(1)
					t.Logf("request c%d-%d: no answer: %v", caller, n, err)
					continue
				}
				if _, err := io.Copy(io.Discard, answer.Body); err != nil {
					unanswered.Add(1)
					t.Logf("request c%d-%d: answer is truncated: %v", caller, n, err)
				}
				answer.Body.Close()
				answered.Add(1)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	env.stop()
	callers.Wait()
	if unanswered.Load() > 0 || answered.Load() == 0 {
		t.Errorf("%d requests were answered, %d were not; want all answered and at least one", answered.Load(), unanswered.Load())
	}
}

// halfRequest opens a connection and sends a request without the end of its body. The returned
// function sends the end and reads the answer.
func (env *environment) halfRequest(id string) func() (status int, retryAfter string, err error) {
	env.t.Helper()
	conn, err := net.Dial("tcp", env.callers)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: 4000\r\nContent-Length: 4\r\n\r\nbo",
		host, platformtest.HeaderRequestID, id, platformtest.HeaderKey, key, platformtest.HeaderDeadline)
	return func() (int, string, error) {
		if _, err := io.WriteString(conn, "dy"); err != nil {
			return 0, "", err
		}
		_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return 0, "", err
		}
		defer answer.Body.Close()
		_, err = io.Copy(io.Discard, answer.Body)
		return answer.StatusCode, answer.Header.Get("Retry-After"), err
	}
}

// Guards against a planned stop that sends what comes late in its grace period and cuts it off at
// the end, without an answer: what was sent is answered whole, and what could not end is refused as
// not run and not sent, with when to come back.
func TestStopSendsNothingThatItWouldCut(t *testing.T) {
	const (
		gracePeriod = 4 * time.Second
		delay       = 1200 * time.Millisecond
	)
	env := start(t, 1, func(bounds platformtest.Fields) { bounds["grace_s"] = gracePeriod.Seconds() })
	env.setFaults(generalupstream.Faults{Delay: delay})
	if reply := env.do(call{path: "/unsafe/x", id: "first", body: "body"}); reply.status != http.StatusOK {
		t.Fatalf("status %d before the stop, want 200", reply.status)
	}
	stopped := time.Now()
	env.stop()
	var group sync.WaitGroup
	for _, c := range []struct {
		begin, end time.Duration
		want       int
	}{
		{0, 200 * time.Millisecond, http.StatusOK},
		{1200 * time.Millisecond, 1300 * time.Millisecond, http.StatusOK},
		{800 * time.Millisecond, 2500 * time.Millisecond, http.StatusServiceUnavailable},
		{1200 * time.Millisecond, 3 * time.Second, http.StatusServiceUnavailable},
	} {
		group.Go(func() {
			time.Sleep(time.Until(stopped.Add(c.begin)))
			id := fmt.Sprintf("late-%v", c.end)
			finish := env.halfRequest(id)
			time.Sleep(time.Until(stopped.Add(c.end)))
			status, retryAfter, err := finish()
			runs := len(env.runs(id))
			if err != nil || status != c.want {
				t.Errorf("a request whose body ended %v after the stop: status %d, error %v, want %d", c.end, status, err, c.want)
			}
			if ran := runs > 0; ran != (status == http.StatusOK) {
				t.Errorf("a request whose body ended %v after the stop: status %d and %d runs", c.end, status, runs)
			}
			if status == http.StatusServiceUnavailable && retryAfter == "" {
				t.Errorf("a request whose body ended %v after the stop: no Retry-After", c.end)
			}
		})
	}
	group.Wait()
}
