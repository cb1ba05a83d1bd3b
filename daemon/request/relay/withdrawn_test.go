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

// held is an Accounting whose configuration a test changes.
type held struct {
	config atomic.Pointer[version.Config]
}

func (h *held) Config() *version.Config                            { return h.config.Load() }
func (h *held) Charge(request.ID, version.AccountID, request.Cost) {}
func (h *held) End(request.Finish)                                 {}
func (h *held) set(config version.Config)                          { h.config.Store(&config) }

func configOf(list ...*version.Upstream) version.Config {
	config := version.Config{Upstreams: make(map[version.UpstreamID]*version.Upstream)}
	for _, u := range list {
		config.Upstreams[u.ID] = u
	}
	return config
}

// A request that had been granted an upstream waited up to 2 s for a connection, and was
// sent although the upstream had said meanwhile that it leaves.
func TestARequestIsNotSentToAnUpstreamThatWasTakenOutWhileItWaited(t *testing.T) {
	var arrived atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	defer server.Close()
	present := &version.Upstream{ID: 1, Address: server.Listener.Addr().String(), DataCentre: "dc"}
	draining := *present
	draining.Draining = true
	evacuated := configOf(present)
	evacuated.Out.DataCentres = []version.DataCentreID{"dc"}
	for name, c := range map[string]struct {
		during version.Config
		sent   bool
	}{
		"unchanged": {configOf(present), true},
		"draining":  {configOf(&draining), false},
		"gone":      {configOf(), false},
		"evacuated": {evacuated, false},
	} {
		t.Run(name, func(t *testing.T) {
			known := &held{}
			known.set(configOf(present))
			transport := upstream.NewTransport(nil)
			defer transport.CloseIdleConnections()
			dial := transport.DialContext
			transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dial(ctx, network, address)
				known.set(c.during)
				return conn, err
			}
			relay := New(Options{Accounting: known, Transport: transport, General: true})
			before := arrived.Load()
			result := relay.Do(httptest.NewRecorder(), Call{
				Grant:    request.Grant{Upstream: present.ID},
				Kind:     version.PoolService,
				Request:  httptest.NewRequest(http.MethodPost, "/x", nil),
				Body:     []byte(strings.Repeat("x", 5000)),
				AnswerBy: time.Now().Add(time.Minute),
				EndBy:    time.Now().Add(time.Minute),
			})
			if sent := arrived.Load() > before; sent != c.sent {
				t.Errorf("sent: %v, want %v", sent, c.sent)
			}
			if !c.sent && (!result.NotRun || !result.Retry || result.finish.Outcome != request.OutcomeUnused) {
				t.Errorf("%+v: not free to go elsewhere", result)
			}
		})
	}
}
