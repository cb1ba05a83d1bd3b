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

// Load: callers go on opening connections and using kept ones while the process stops.
// Guards against requests that were accepted and end without an answer.
func TestAStopUnderLoadAnswersWhatItHasAccepted(t *testing.T) {
	w := start(t, 2, func(limits platformtest.Fields) { limits["grace_s"] = 4 })
	w.setFaults(generalupstream.Faults{Delay: 20 * time.Millisecond})
	var all sync.WaitGroup
	var answered, unanswered atomic.Int64
	for caller := range 8 {
		client := &http.Client{
			Transport: &http.Transport{DisableKeepAlives: caller%2 == 0},
			Timeout:   waitTime,
		}
		all.Go(func() {
			for n := 0; ; n++ {
				// A body that cannot be had again keeps the client from sending it twice.
				body := io.NopCloser(strings.NewReader("body"))
				request, err := http.NewRequest(http.MethodPost, "http://"+w.callers+"/unsafe/x", body)
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
					// The process is gone.
					return
				case err != nil:
					unanswered.Add(1)
					t.Logf("c%d-%d: %v", caller, n, err)
					continue
				}
				if _, err := io.Copy(io.Discard, answer.Body); err != nil {
					unanswered.Add(1)
					t.Logf("c%d-%d: %v", caller, n, err)
				}
				answer.Body.Close()
				answered.Add(1)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	w.stop()
	all.Wait()
	if unanswered.Load() > 0 || answered.Load() == 0 {
		t.Errorf("%d requests were answered, %d were not", answered.Load(), unanswered.Load())
	}
}
