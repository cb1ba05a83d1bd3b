package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// fakeAccounting is an Accounting with a configuration that the test replaces.
type fakeAccounting struct {
	config atomic.Pointer[version.Config]
}

func (f *fakeAccounting) Config() *version.Config                            { return f.config.Load() }
func (f *fakeAccounting) Charge(request.ID, version.AccountID, request.Cost) {}
func (f *fakeAccounting) End(request.Finish)                                 {}
func (f *fakeAccounting) setConfig(config version.Config)                    { f.config.Store(&config) }

func configOf(list ...*version.Upstream) version.Config {
	config := version.Config{Upstreams: make(map[version.UpstreamID]*version.Upstream)}
	for _, u := range list {
		config.Upstreams[u.ID] = u
	}
	return config
}

// Guards against sending a request to an upstream that was withdrawn while the connection
// was being opened. Opening takes up to 2 s; a granted request was sent although the
// upstream had announced in the meantime that it was leaving.
func TestUpstreamWithdrawnWhileDialingGetsNoRequest(t *testing.T) {
	var arrived atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	defer server.Close()
	present := &version.Upstream{ID: 1, Address: server.Listener.Addr().String(), DataCentre: "dc"}
	draining := *present
	draining.Draining = true
	evacuated := configOf(present)
	evacuated.Out.DataCentres = []version.DataCentreID{"dc"}
	for name, c := range map[string]struct {
		configAfterDial version.Config
		wantSent        bool
	}{
		"unchanged": {configOf(present), true},
		"draining":  {configOf(&draining), false},
		"gone":      {configOf(), false},
		"evacuated": {evacuated, false},
	} {
		t.Run(name, func(t *testing.T) {
			accounting := &fakeAccounting{}
			accounting.setConfig(configOf(present))
			transport := upstream.NewTransport(nil)
			defer transport.CloseIdleConnections()
			dial := transport.DialContext
			transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dial(ctx, network, address)
				accounting.setConfig(c.configAfterDial)
				return conn, err
			}
			relay := New(Options{Accounting: accounting, Transport: transport, General: true})
			before := arrived.Load()
			result := relay.Do(httptest.NewRecorder(), Call{
				Grant:              request.Grant{Upstream: present.ID},
				Kind:               version.PoolService,
				Request:            httptest.NewRequest(http.MethodPost, "/x", nil),
				Body:               []byte(strings.Repeat("x", 5000)),
				FirstByteDeadline:  time.Now().Add(time.Minute),
				CompletionDeadline: time.Now().Add(time.Minute),
			})
			if sent := arrived.Load() > before; sent != c.wantSent {
				t.Errorf("sent: %v, want %v", sent, c.wantSent)
			}
			if !c.wantSent && (!result.NotExecuted || !result.Retryable || result.finish.Outcome != request.OutcomeUnused) {
				t.Errorf("result %+v does not allow another attempt", result)
			}
		})
	}
}

// readerFirst is a transport that reports the end of its reader where it ended for another reason.
type readerFirst struct{ *http.Transport }

func (r readerFirst) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := r.Transport.RoundTrip(request)
	if err != nil {
		err = net.ErrClosed
	}
	return response, err
}

// Guards against an attempt that was kept from being sent and counts as a failure of its upstream: the
// transport closes the connection then, and reports whichever of its writer and its reader ended first.
func TestWithdrawnUpstreamIsNotUnreachable(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	present := &version.Upstream{ID: 1, Address: server.Listener.Addr().String()}
	accounting := &fakeAccounting{}
	accounting.setConfig(configOf(present))
	transport := upstream.NewTransport(nil)
	defer transport.CloseIdleConnections()
	relay := New(Options{
		Accounting: accounting, Transport: readerFirst{transport}, General: true,
		Declines: func(version.UpstreamID) bool { return true },
	})
	result := relay.Do(httptest.NewRecorder(), Call{
		Grant: request.Grant{Upstream: present.ID}, Kind: version.PoolService,
		Request: httptest.NewRequest(http.MethodPost, "/x", nil), Body: []byte("body"),
		FirstByteDeadline: time.Now().Add(time.Minute), CompletionDeadline: time.Now().Add(time.Minute),
	})
	if !result.NotExecuted || !result.Retryable || result.finish.Outcome != request.OutcomeUnused {
		t.Errorf("result %+v, want an unused attempt", result)
	}
}
