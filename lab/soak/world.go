package soak

import (
	"fmt"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/lab/metastore"
	"github.com/trefoilwell/trefoilwell/lab/proxy"
	"github.com/trefoilwell/trefoilwell/platform"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

const (
	host    = "calls.example"
	service = "calls"
	// routeTimeout is longer than the deadline that callers give.
	routeTimeout = 4 * time.Second
	// Bounds that the daemons are told and that the checks go by.
	revokeBound = 5 * time.Second
	drainBound  = 2500 * time.Millisecond
	configBound = 2500 * time.Millisecond
	grace       = 2 * time.Second
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
	retrySlack  = 160
	coldPerSec  = 4
	coldOverage = 1.5
	coldSlack   = 5
	coldTime    = 3 * time.Second
)

// world is the store, the upstreams and the daemons of a run.
type world struct {
	dir    string
	binary string

	store     *metastore.Store
	storeHTTP *httptest.Server
	upstreams []*backend
	daemons   []*daemon
	ports     *ports

	mu sync.Mutex
	// version is the number of the configuration, and changedAt when the store
	// took each one, by number.
	version   int
	changedAt map[int]time.Time
}

// backend is an upstream behind its proxy.
type backend struct {
	*generalupstream.Upstream
	proxy *proxy.Proxy
	// born is when it started, in milliseconds of Unix time, and seq counts its
	// entries since then.
	born int64
	seq  int
}

// daemon is one VM's process.
type daemon struct {
	name     string
	settings string
	// store and callers stand before the store and before the callers' listener.
	store, callers *proxy.Proxy

	mu sync.Mutex
	// life counts the processes that the VM has had.
	life    int
	command *exec.Cmd
	ended   chan struct{}
	log     *os.File
}

func newWorld(options Options) (*world, error) {
	w := &world{dir: options.Dir, binary: options.Binary, store: metastore.New(), changedAt: make(map[int]time.Time), ports: newPorts()}
	w.storeHTTP = httptest.NewServer(w.store)
	for i := range options.Upstreams {
		u := generalupstream.New("i-" + strconv.Itoa(i))
		p, err := w.proxy(u.Address())
		if err != nil {
			return nil, err
		}
		w.upstreams = append(w.upstreams, &backend{Upstream: u, proxy: p})
		w.register(i, platformtest.Ready, 0)
	}
	w.configure()
	for i := range options.VMs {
		d, err := w.newDaemon("vm-" + strconv.Itoa(i))
		if err != nil {
			return nil, err
		}
		w.daemons = append(w.daemons, d)
	}
	for _, d := range w.daemons {
		if err := w.start(d); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// renew gives an upstream that is ready a new life, which is warm: processes that have not
// heard that the last one leaves go on sending to it.
func (w *world) renew(i int) {
	w.mu.Lock()
	w.upstreams[i].born = 0
	w.mu.Unlock()
	w.register(i, platformtest.Ready, 0)
}

// register writes an upstream's entry. One that is cold has just started.
func (w *world) register(i int, state string, cold time.Duration) {
	u := w.upstreams[i]
	w.mu.Lock()
	defer w.mu.Unlock()
	u.seq++
	if cold > 0 || u.born == 0 {
		u.born, u.seq = time.Now().UnixMilli(), 1
	}
	w.store.Put(platform.KindUpstream, u.Instance, platformtest.Registration(service, u.proxy.Address(), state,
		platformtest.Fields{"cold_remaining_ms": cold.Milliseconds(), "seq": u.seq, "born": u.born}))
}

// keyOf is the API key that a version brings. It holds until the version after the
// next one.
func keyOf(version int) string { return "key-" + strconv.Itoa(version) }

// configure puts the next version in force.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	route := func(name, prefix, kind string, resumable bool) any {
		return platformtest.Route(name, host, prefix, kind, service,
			platformtest.Fields{"timeout_ms": routeTimeout.Milliseconds(), "resumable": resumable})
	}
	w.store.Put(platform.KindConfig, platform.ConfigName, platformtest.Config(w.version, []any{
		route("safe", "/safe/", platformtest.KindSafe, false),
		route("unsafe", "/unsafe/", platformtest.KindUnsafe, false),
		route("stream", "/stream/", platformtest.KindStreaming, false),
		route("resume", "/resume-stream/", platformtest.KindStreaming, true),
	}, platformtest.Service(service, platformtest.Fields{
		"cold_start_s": coldTime.Seconds(), "cold_per_s": coldPerSec,
	}), "account-1", keyOf(w.version), keyOf(w.version-1)))
	w.changedAt[w.version] = time.Now()
}

// newest returns the version in the store.
func (w *world) newest() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// revokedAt returns when the key of a version ceased to hold; zero if it holds.
func (w *world) revokedAt(version int) time.Time { return w.broughtAt(version + 2) }

// broughtAt returns when the store took a version; zero if it has not yet.
func (w *world) broughtAt(version int) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changedAt[version]
}

func (w *world) newDaemon(name string) (*daemon, error) {
	d := &daemon{name: name, settings: filepath.Join(w.dir, name+".json")}
	var addresses [3]string
	for i := range addresses {
		var err error
		if addresses[i], err = w.ports.address(); err != nil {
			return nil, err
		}
	}
	var err error
	if d.store, err = w.proxy(w.storeHTTP.Listener.Addr().String()); err != nil {
		return nil, err
	}
	if d.callers, err = w.proxy(addresses[0]); err != nil {
		return nil, err
	}
	if d.log, err = os.Create(filepath.Join(w.dir, name+".log")); err != nil {
		return nil, errors.Wrap(err, "log file")
	}
	return d, platformtest.Settings{
		VM: name, Callers: addresses[0], Readiness: addresses[1], Peers: addresses[2],
		Store: d.store.Address(), MemoryMB: 256,
		Bounds: platformtest.Bounds(platformtest.Fields{
			"drain_ms": drainBound.Milliseconds(), "config_apply_ms": configBound.Milliseconds(),
			"revoke_ms": revokeBound.Milliseconds(), "grace_s": grace.Seconds(), "retry_budget_ratio": retryRatio,
			"budget_window_s": retryWindow.Seconds(), "budget_slack": retrySlack, "cold_overage": coldOverage,
			"cold_slack": coldSlack,
		}),
	}.Write(d.settings)
}

// proxy returns a proxy on a port of the soak's own.
func (w *world) proxy(target string) (*proxy.Proxy, error) {
	listener, err := w.ports.listen()
	if err != nil {
		return nil, err
	}
	return proxy.NewOn(listener, target), nil
}

// restart waits until a VM's process has ended and begins the next one, unless
// somebody else has.
func (w *world) restart(d *daemon, life int) error {
	d.mu.Lock()
	ended, present := d.ended, d.life
	d.mu.Unlock()
	if present != life {
		return nil
	}
	<-ended
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.life != life {
		return nil
	}
	return w.start(d)
}

// start begins the next process of a VM. It is called with d.mu held, or before
// anybody else has d.
func (w *world) start(d *daemon) error {
	command := exec.Command(w.binary, "serve", "--platform-settings", d.settings)
	command.Stdout, command.Stderr = d.log, d.log
	fmt.Fprintf(d.log, "{\"msg\":\"soak starts life %d\"}\n", d.life+1)
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "start daemon")
	}
	ended := make(chan struct{})
	go func() {
		// How it ended is in its log.
		_ = command.Wait()
		close(ended)
	}()
	d.life++
	d.command, d.ended = command, ended
	return nil
}

// signal reports false if the process has ended.
func (d *daemon) signal(signal syscall.Signal) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.ended:
		return false
	default:
		return d.command.Process.Signal(signal) == nil
	}
}

// lives returns how many processes the VM has had.
func (d *daemon) lives() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.life
}

func (w *world) close() {
	for _, d := range w.daemons {
		d.signal(syscall.SIGKILL)
		<-d.ended
		d.store.Close()
		d.callers.Close()
		d.log.Close()
	}
	for _, u := range w.upstreams {
		u.proxy.Close()
		u.Close()
	}
	w.store.Close()
	w.storeHTTP.CloseClientConnections()
	w.storeHTTP.Close()
}
