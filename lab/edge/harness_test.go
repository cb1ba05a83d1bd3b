// Package edge tests a daemon on the users' platform, end to end over loopback,
// against stand-ins of the store and of upstreams.
package edge

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/edge"
	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/lab/metastore"
	"github.com/trefoilwell/trefoilwell/platform"
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

// bounds are the platform's bounds of a test, in the form of its settings.
type bounds map[string]any

func defaultBounds() bounds {
	return bounds{
		"drain_ms": 2500, "config_apply_ms": 2500, "strict_revoke": true, "revoke_ms": 5000, "grace_s": 1,
		"retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 160, "cold_overage": 1.5,
		"cold_slack": 5, "quota_window_s": 4,
	}
}

func start(t testing.TB, upstreams int, change func(bounds)) *world {
	t.Helper()
	w := &world{t: t, store: metastore.New(), client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	w.storeHTTP = httptest.NewServer(w.store)
	t.Cleanup(func() { w.store.Close(); w.storeHTTP.CloseClientConnections(); w.storeHTTP.Close() })
	for i := range upstreams {
		u := generalupstream.New("i-" + string(rune('a'+i)))
		t.Cleanup(u.Close)
		w.upstreams = append(w.upstreams, u)
		w.register(u, "calls", "ready")
	}
	w.configure(nil)
	w.callers, w.readiness = freeAddress(t), freeAddress(t)
	limits := defaultBounds()
	if change != nil {
		change(limits)
	}
	w.settings = filepath.Join(t.TempDir(), "settings.json")
	w.writeSettings(limits)
	w.run()
	return w
}

func (w *world) writeSettings(limits bounds) {
	w.t.Helper()
	_, portText, _ := net.SplitHostPort(freeAddress(w.t))
	text, err := json.Marshal(map[string]any{
		"node": "vm-1", "ip": "127.0.0.1", "zone": "dc-1", "zones": map[string]string{"dc-1": "region-1"},
		"listen":         map[string]string{"front": w.callers, "readiness_address": w.readiness},
		"internal_ports": []json.Number{json.Number(portText)},
		"limits":         map[string]any{"cores": 2, "cpu_share": 1.0, "memory_mb": 512},
		"heartbeat_ms":   1200,
		"bounds":         limits,
		"platform":       map[string]any{"address": w.storeHTTP.Listener.Addr().String()},
		"unknown_field":  true,
	})
	if err == nil {
		err = os.WriteFile(w.settings, text, 0o600)
	}
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
	w.store.Put(platform.KindUpstream, u.Instance, map[string]any{
		"service": service, "address": u.Address(), "zone": "dc-1", "version": "v1", "slots": 8,
		"state": state, "cold_remaining_ms": 0, "seq": 1, "born": 1700000000000,
	})
}

// configure writes the next configuration version.
func (w *world) configure(change func(config map[string]any)) {
	w.version++
	route := func(name, prefix, kind string, more map[string]any) map[string]any {
		fields := map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 5000,
			"target_latency_ms": 1000, "priority": 1, "service": "calls", "max_attempts": 2,
			"public": false, "sticky": false, "resumable": false, "allowed_regions": []string{},
		}
		for field, value := range more {
			fields[field] = value
		}
		return fields
	}
	config := map[string]any{
		"version": w.version,
		"routes": []any{
			route("safe", "/safe/", "safe", nil),
			route("unsafe", "/unsafe/", "unsafe", nil),
			route("open", "/open/", "safe", map[string]any{"public": true}),
			route("stream", "/stream/", "streaming", nil),
			route("resume", "/resume-stream/", "streaming", map[string]any{"resumable": true}),
			route("brief", "/brief/", "unsafe", map[string]any{"timeout_ms": 300}),
		},
		"services": []any{map[string]any{
			"name": "calls", "health_path": "/health", "max_connections": 100, "cold_start_s": 0, "cold_per_s": 0,
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": account, "api_keys": []string{key}, "allowed_regions": []string{}}},
	}
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
	request.Header.Set("X-Attempt-Id", c.id)
	request.Header.Set("X-Credential", key)
	request.Header.Set("X-Deadline-Ms", "4000")
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
