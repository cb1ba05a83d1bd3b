package edge

import (
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
