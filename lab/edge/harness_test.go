// Package edge tests a daemon of the users' platform end to end over loopback, with a fake
// store and fake upstreams.
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
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

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
	// waitTimeout bounds each wait for a condition. It is long, as tests check only that
	// the condition becomes true.
	waitTimeout = 20 * time.Second
)

// environment is a fake store, fake upstreams and one daemon.
type environment struct {
	t         testing.TB
	store     *metastore.Store
	storeHTTP *httptest.Server
	upstreams []*generalupstream.Upstream
	// callers and readiness are the host:port of the daemon's listeners.
	callers   string
	readiness string
	// settingsPath is the path of the daemon's settings file.
	settingsPath string
	// stop makes the daemon drain and stop; its error is then sent to stopped.
	stop    context.CancelFunc
	stopped chan error
	client  *http.Client
	// configVersion is the number of the last configuration version written.
	configVersion int
	// probes counts the requests sent by status.
	probes int
}

// start starts a daemon with a number of ready upstreams of the service "calls". change may
// alter the bounds in its settings.
func start(t testing.TB, upstreams int, change func(bounds platformtest.Fields)) *environment {
	t.Helper()
	env := &environment{t: t, store: metastore.New(), client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	env.storeHTTP = httptest.NewServer(env.store)
	t.Cleanup(func() { env.store.Close(); env.storeHTTP.CloseClientConnections(); env.storeHTTP.Close() })
	for i := range upstreams {
		u := generalupstream.New("i-" + string(rune('a'+i)))
		t.Cleanup(u.Close)
		env.upstreams = append(env.upstreams, u)
		env.register(u, "calls", platformtest.StateReady)
	}
	env.configure(nil)
	bounds := platformtest.Bounds(nil)
	if change != nil {
		change(bounds)
	}
	env.settingsPath = filepath.Join(t.TempDir(), "settings.json")
	// Another process may take a free port before the daemon listens on it.
	for try := 1; ; try++ {
		env.callers, env.readiness = freeAddress(t), freeAddress(t)
		env.writeSettings(bounds)
		daemon, err := edge.New(env.options())
		if errors.Is(err, syscall.EADDRINUSE) && try < startTries {
			continue
		}
		env.run(daemon, err)
		return env
	}
}

// writeSettings writes the daemon's settings file.
func (env *environment) writeSettings(bounds platformtest.Fields) {
	env.t.Helper()
	err := platformtest.Settings{
		VM: "vm-1", CallerAddress: env.callers, ReadinessAddress: env.readiness, PeerAddress: freeAddress(env.t),
		StoreAddress: env.storeHTTP.Listener.Addr().String(), MemoryMB: 512, FirstStart: true, Bounds: bounds,
	}.Write(env.settingsPath)
	if err != nil {
		env.t.Fatal(err)
	}
}

// startTries is how often start looks for free ports.
const startTries = 5

func (env *environment) options() edge.Options {
	return edge.Options{
		SettingsPath: env.settingsPath, SettingsInterval: time.Hour, LogLevel: slog.LevelError, MaxLag: time.Minute,
	}
}

// run runs a new daemon and waits until it is ready. err is the error of its creation.
func (env *environment) run(daemon *edge.Daemon, err error) {
	env.t.Helper()
	if err != nil {
		env.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	env.stop, env.stopped = cancel, make(chan error, 1)
	go func() { env.stopped <- daemon.Run(ctx) }()
	env.t.Cleanup(func() {
		cancel()
		select {
		case <-env.stopped:
		case <-time.After(waitTimeout):
			env.t.Error("timed out waiting until the daemon stopped")
		}
	})
	env.eventually("the daemon is ready", env.ready)
}

// ready reports whether the daemon's readiness endpoint answers with status 200.
func (env *environment) ready() bool {
	answer, err := env.client.Get("http://" + env.readiness + platform.ReadinessPath)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// register writes an upstream's registration into the store.
func (env *environment) register(u *generalupstream.Upstream, service, state string) {
	env.store.Put(platform.KindUpstream, u.Instance, platformtest.Registration(service, u.Address(), state, nil))
}

// configure writes the next configuration version into the store. change may alter it.
func (env *environment) configure(change func(config map[string]any)) {
	env.configVersion++
	route := func(name, prefix, kind string, more platformtest.Fields) any {
		return platformtest.Route(name, host, prefix, kind, "calls", more)
	}
	config := platformtest.Config(env.configVersion, []any{
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
	env.store.Put(platform.KindConfig, platform.ConfigName, config)
}

// call is a caller's request.
type call struct {
	method, path, id, body string
	header                 map[string]string
}

// reply is the answer that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	// closesConn is set if the answer announces that its connection is closed.
	closesConn bool
	// err is set if there is no answer or its body is truncated.
	err error
}

// do sends a request, by default a POST, with the account's key and a deadline of 4 s.
func (env *environment) do(c call) reply {
	env.t.Helper()
	if c.method == "" {
		c.method = http.MethodPost
	}
	request, err := http.NewRequest(c.method, "http://"+env.callers+c.path, strings.NewReader(c.body))
	if err != nil {
		env.t.Fatal(err)
	}
	request.Host = host
	request.Header.Set(platformtest.HeaderRequestID, c.id)
	request.Header.Set(platformtest.HeaderKey, key)
	request.Header.Set(platformtest.HeaderDeadline, "4000")
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	answer, err := env.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return reply{status: answer.StatusCode, header: answer.Header, body: string(body), closesConn: answer.Close, err: err}
}

// runs returns the requests with an identifier that the upstreams executed.
func (env *environment) runs(id string) []generalupstream.Run {
	var all []generalupstream.Run
	for _, u := range env.upstreams {
		for _, run := range u.Runs() {
			if run.ID == id {
				all = append(all, run)
			}
		}
	}
	return all
}

// setFaults replaces the faults of all upstreams.
func (env *environment) setFaults(faults generalupstream.Faults) {
	for _, u := range env.upstreams {
		u.SetFaults(faults)
	}
}

// eventually waits until a condition holds. It fails the test after waitTimeout.
func (env *environment) eventually(condition string, holds func() bool) {
	env.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			env.t.Fatalf("timed out waiting until %s", condition)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// freeAddress returns a loopback host:port that was free a moment ago.
func freeAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
