package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Guards against an attempt that goes on after its request was refused, and against a refusal
// that is not true: before the first byte it says not executed, later that this is unknown.
func TestAttemptEndsWithTheRefusalOfItsRequest(t *testing.T) {
	for name, beforeSending := range map[string]bool{"while connecting": true, "while the upstream works": false} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			refuse := func() { cancel(&request.Refusal{Reason: request.ReasonPromptHeld, Execution: request.NotExecuted}) }
			disconnected := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				// The server notices a closed connection only after the body was read.
				_, _ = io.Copy(io.Discard, r.Body)
				refuse()
				<-r.Context().Done()
				close(disconnected)
			}))
			defer server.Close()
			present := &version.Upstream{ID: 1, Address: server.Listener.Addr().String()}
			accounting := &fakeAccounting{}
			accounting.setConfig(configOf(present))
			transport := upstream.NewTransport(nil)
			defer transport.CloseIdleConnections()
			if beforeSending {
				dial := transport.DialContext
				transport.DialContext = func(dialContext context.Context, network, address string) (net.Conn, error) {
					conn, err := dial(dialContext, network, address)
					refuse()
					return conn, err
				}
			}
			result := New(Options{Accounting: accounting, Transport: transport, General: true}).Do(httptest.NewRecorder(), Call{
				Grant:              request.Grant{Upstream: present.ID},
				Kind:               version.PoolModel,
				Request:            httptest.NewRequest(http.MethodPost, "/x", nil),
				Context:            ctx,
				FirstByteDeadline:  time.Now().Add(time.Minute),
				CompletionDeadline: time.Now().Add(time.Minute),
			})
			want := request.ExecutionUnknown
			if beforeSending {
				want = request.NotExecuted
			}
			if result.Refusal == nil || result.Refusal.Reason != request.ReasonPromptHeld || result.Refusal.Execution != want ||
				result.NotExecuted != beforeSending || result.Retryable {
				t.Errorf("the attempt ends with %+v, refusal %+v, want the refusal with execution %s", result, result.Refusal, want)
			}
			if !beforeSending {
				<-disconnected
			}
		})
	}
}
