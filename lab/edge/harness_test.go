// Package edge tests a daemon on the users' platform, end to end over loopback,
// against stand-ins of the store and of upstreams.
package edge

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/edge"
	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/lab/metastore"
	"github.com/trefoilwell/trefoilwell/platform"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

const (
	host    = "calls.example"
	key     = "key-of-account"
	account = "account-1"
	// waitTime bounds any wait of a test. Nothing is judged by it but that it
	// happens at all.
	waitTime = 20 * time.Second
)

// world is a store, upstreams and one daemon.
type world struct {
	t         testing.TB
	store     *metastore.Store
	storeHTTP *httptest.Server
	upstreams []*generalupstream.Upstream
	callers   string
	readiness string
	settings  string
	stop      context.CancelFunc
	stopped   chan error
	client    *http.Client
	version   int
	next      int
}

func start(t testing.TB, upstreams int, change func(bounds platformtest.Fields)) *world {
	t.Helper()
	w := &world{t: t, store: metastore.New(), client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	w.storeHTTP = httptest.NewServer(w.store)
	t.Cleanup(func() { w.store.Close(); w.storeHTTP.CloseClientConnections(); w.storeHTTP.Close() })
	for i := range upstreams {
		u := generalupstream.New("i-" + string(rune('a'+i)))
		t.Cleanup(u.Close)
		w.upstreams = append(w.upstreams, u)
		w.register(u, "calls", platformtest.Ready)
	}
	w.configure(nil)
	w.callers, w.readiness = freeAddress(t), freeAddress(t)
	limits := platformtest.Bounds(nil)
	if change != nil {
		change(limits)
	}
	w.settings = filepath.Join(t.TempDir(), "settings.json")
	w.writeSettings(limits)
	w.run()
	return w
}

func (w *world) writeSettings(bounds platformtest.Fields) {
	w.t.Helper()
	err := platformtest.Settings{
		VM: "vm-1", Callers: w.callers, Readiness: w.readiness, Peers: freeAddress(w.t),
		Store: w.storeHTTP.Listener.Addr().String(), MemoryMB: 512, Bounds: bounds,
	}.Write(w.settings)
	if err != nil {
		w.t.Fatal(err)
	}
}

// run starts the daemon and waits until it is ready.
func (w *world) run() {
	w.t.Helper()
	daemon, err := edge.New(edge.Options{
		SettingsPath: w.settings, SettingsInterval: time.Hour, LogLevel: slog.LevelError, MaxLag: time.Minute,
	})
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.stop, w.stopped = cancel, make(chan error, 1)
	go func() { w.stopped <- daemon.Run(ctx) }()
	w.t.Cleanup(func() {
		cancel()
		select {
		case <-w.stopped:
		case <-time.After(waitTime):
			w.t.Error("the daemon did not stop")
		}
	})
	w.eventually("ready", w.ready)
}

func (w *world) ready() bool {
	answer, err := w.client.Get("http://" + w.readiness + platform.ReadinessPath)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// register writes an upstream's entry.
func (w *world) register(u *generalupstream.Upstream, service, state string) {
	w.store.Put(platform.KindUpstream, u.Instance, platformtest.Registration(service, u.Address(), state, nil))
}

// configure writes the next configuration version.
func (w *world) configure(change func(config map[string]any)) {
	w.version++
	route := func(name, prefix, kind string, more platformtest.Fields) any {
		return platformtest.Route(name, host, prefix, kind, "calls", more)
	}
	config := platformtest.Config(w.version, []any{
		route("safe", "/safe/", platformtest.KindSafe, nil),
		route("unsafe", "/unsafe/", platformtest.KindUnsafe, nil),
		route("open", "/open/", platformtest.KindSafe, platformtest.Fields{"public": true}),
		route("stream", "/stream/", platformtest.KindStreaming, nil),
		route("resume", "/resume-stream/", platformtest.KindStreaming, platformtest.Fields{"resumable": true}),
		route("brief", "/brief/", platformtest.KindUnsafe, platformtest.Fields{"timeout_ms": 300}),
	}, platformtest.Service("calls", nil), account, key)
	if change != nil {
		change(config)
	}
	w.store.Put(platform.KindConfig, platform.ConfigName, config)
}

// call is a caller's request.
type call struct {
	method, path, id, body string
	header                 map[string]string
}

// reply is what a caller gets.
type reply struct {
	status int
	header http.Header
	body   string
	// last is set if the answer is the last one of its connection.
	last bool
	// err is set for an answer that broke off.
	err error
}

func (w *world) do(c call) reply {
	w.t.Helper()
	if c.method == "" {
		c.method = http.MethodPost
	}
	request, err := http.NewRequest(c.method, "http://"+w.callers+c.path, strings.NewReader(c.body))
	if err != nil {
		w.t.Fatal(err)
	}
	request.Host = host
	request.Header.Set(platformtest.HeaderRequestID, c.id)
	request.Header.Set(platformtest.HeaderKey, key)
	request.Header.Set(platformtest.HeaderDeadline, "4000")
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	answer, err := w.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return reply{status: answer.StatusCode, header: answer.Header, body: string(body), last: answer.Close, err: err}
}

// runs returns what all upstreams ran under an identifier.
func (w *world) runs(id string) []generalupstream.Run {
	var all []generalupstream.Run
	for _, u := range w.upstreams {
		for _, run := range u.Runs() {
			if run.ID == id {
				all = append(all, run)
			}
		}
	}
	return all
}

func (w *world) setFaults(faults generalupstream.Faults) {
	for _, u := range w.upstreams {
		u.SetFaults(faults)
	}
}

// eventually waits until a condition holds.
func (w *world) eventually(what string, holds func() bool) {
	w.t.Helper()
	deadline := time.Now().Add(waitTime)
	for !holds() {
		if time.Now().After(deadline) {
			w.t.Fatalf("never %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func freeAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
