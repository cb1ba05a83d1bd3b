package soak

import (
	"fmt"
	"maps"
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
	// routeTimeout is longer than callDeadline, so that the callers' deadline applies.
	routeTimeout = 4 * time.Second
	// The following bounds are set in the daemons' settings, and the checks use them.
	revokeBound = 5 * time.Second
	drainBound  = 2500 * time.Millisecond
	configBound = 2500 * time.Millisecond
	grace       = 2 * time.Second
	// memoryMB is the memory of the smallest VM, which no process may exceed.
	memoryMB = 112
	// In each retryWindow, upstreams may get retryRatio repeats for each request and
	// retrySlack further ones.
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
	retrySlack  = 160
	// A cold upstream may get coldOverage times coldPerSecond requests and coldSlack
	// further ones in a second. It is cold for coldTime.
	coldPerSecond = 4
	coldOverage   = 1.5
	coldSlack     = 5
	coldTime      = 3 * time.Second
)

// fleet is the store, the upstreams and the daemons of a run.
type fleet struct {
	dir    string
	binary string

	store       *metastore.Store
	storeServer *httptest.Server
	upstreams   []*backend
	daemons     []*daemon
	ports       *ports

	mu sync.Mutex
	// version is the number of the newest configuration, and publishTimes are the
	// times at which versions were written to the store, by number.
	version      int
	publishTimes map[int]time.Time
	// rollouts is set if the daemons' settings ask for rollouts.
	rollouts bool
	// emptied are the numbers of the versions without accounts.
	emptied []int
	// deadly is what crashes upstreams now: prompt segments, and bodies of requests.
	deadly []string
	// written is what the operator and the upstreams wrote last.
	written map[writtenObject]any
}

// backend is an upstream behind its proxy.
type backend struct {
	*generalupstream.Upstream
	proxy    *proxy.Proxy
	software string
	// born is the start time of the upstream's incarnation in milliseconds of Unix
	// time, and seq counts the registrations of that incarnation.
	born int64
	seq  int
}

// daemon is the daemon of one VM over all its processes.
type daemon struct {
	name     string
	settings string
	// storeProxy carries the daemon's connections to the store, and callersProxy the
	// callers' connections to the daemon.
	storeProxy, callersProxy *proxy.Proxy

	mu sync.Mutex
	// incarnation numbers the VM's processes, from 1.
	incarnation int
	command     *exec.Cmd
	// peakBytes is the highest anonymous memory of any process of the VM that was seen.
	peakBytes int64
	// exited is closed when the process has exited.
	exited chan struct{}
	log    *os.File
}

// softwareVersions are the software versions that serve side by side.
var softwareVersions = []string{"v1", "v1.1"}

// softwareOf returns the software version of an upstream.
func softwareOf(upstream int) string { return softwareVersions[upstream%len(softwareVersions)] }

// newFleet starts the store, the upstreams and the daemons.
func newFleet(options Options) (*fleet, error) {
	f := &fleet{dir: options.Dir, binary: options.Binary, store: metastore.New(), publishTimes: make(map[int]time.Time), rollouts: !options.NoRollouts, written: make(map[writtenObject]any), ports: newPorts()}
	f.storeServer = httptest.NewServer(f.store)
	for i := range options.Upstreams {
		u := generalupstream.New("i-" + strconv.Itoa(i))
		p, err := f.proxy(u.Address())
		if err != nil {
			return nil, err
		}
		software := softwareOf(i)
		u.SetSoftware(software)
		f.upstreams = append(f.upstreams, &backend{Upstream: u, proxy: p, software: software})
		f.register(i, platformtest.StateReady, 0)
	}
	f.publishNextVersion()
	for i := range options.VMs {
		d, err := f.newDaemon("vm-" + strconv.Itoa(i))
		if err != nil {
			return nil, err
		}
		f.daemons = append(f.daemons, d)
	}
	for _, d := range f.daemons {
		if err := f.start(d); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// renewIncarnation registers a new incarnation of an upstream that has given drain
// advice. It is warm, because processes that have not received the advice still send
// requests to it.
func (f *fleet) renewIncarnation(i int) {
	f.mu.Lock()
	f.upstreams[i].born = 0
	f.mu.Unlock()
	f.register(i, platformtest.StateReady, 0)
}

// register writes an upstream's registration. If cold, the time for which it is still
// cold, is positive, the upstream has a new incarnation.
func (f *fleet) register(i int, state string, cold time.Duration) {
	u := f.upstreams[i]
	f.mu.Lock()
	defer f.mu.Unlock()
	u.seq++
	if cold > 0 || u.born == 0 {
		u.born, u.seq = time.Now().UnixMilli(), 1
	}
	f.put(platform.KindUpstream, u.Instance, platformtest.Registration(service, u.proxy.Address(), state,
		platformtest.Fields{"cold_remaining_ms": cold.Milliseconds(), "seq": u.seq, "born": u.born, "version": u.software}))
}

// apiKeyOf returns the API key that a version introduces. It is valid until the second
// version after it.
func apiKeyOf(version int) string { return "key-" + strconv.Itoa(version) }

// publishNextVersion writes the next version of the configuration to the store.
func (f *fleet) publishNextVersion() { f.publish(nil) }

// publishWithoutAccounts writes a next version whose list of accounts is empty, which revokes every
// key.
func (f *fleet) publishWithoutAccounts() {
	f.publish(func(config platformtest.Fields) {
		config["tenants"] = []any{}
		f.emptied = append(f.emptied, f.version)
	})
}

// publish writes the next version of the configuration, as change alters it, to the store.
func (f *fleet) publish(change func(config platformtest.Fields)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	route := func(name, prefix, kind string, resumable bool) any {
		return platformtest.Route(name, host, prefix, kind, service,
			platformtest.Fields{"timeout_ms": routeTimeout.Milliseconds(), "resumable": resumable})
	}
	config := platformtest.Config(f.version, []any{
		route("safe", "/safe/", platformtest.KindSafe, false),
		route("unsafe", "/unsafe/", platformtest.KindUnsafe, false),
		route("stream", "/stream/", platformtest.KindStreaming, false),
		route("resume", "/resume-stream/", platformtest.KindStreaming, true),
	}, platformtest.Service(service, platformtest.Fields{
		"cold_start_s": coldTime.Seconds(), "cold_per_s": coldPerSecond,
	}), "account-1", apiKeyOf(f.version), apiKeyOf(f.version-1))
	if f.rollouts {
		addMovedService(config)
	}
	if change != nil {
		change(config)
	}
	f.put(platform.KindConfig, platform.ConfigName, config)
	f.publishTimes[f.version] = time.Now()
}

// deadlyCauses returns what crashes upstreams now: prompt segments, and bodies of requests.
func (f *fleet) deadlyCauses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deadly
}

// setDeadly sets what crashes upstreams. inEvent says whether an upstream crashes inside the first
// event or before it.
func (f *fleet) setDeadly(causes []string, inEvent bool) {
	deadly := generalupstream.Deadly{InEvent: inEvent}
	for _, cause := range causes {
		if isDeadlyBody(cause) {
			deadly.Bodies = append(deadly.Bodies, cause)
		} else {
			deadly.Segments = append(deadly.Segments, cause)
		}
	}
	for _, u := range f.upstreams {
		u.SetDeadly(deadly)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deadly = causes
}

// newestVersion returns the number of the version in the store.
func (f *fleet) newestVersion() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// revokedAt returns when the key of a version was revoked; zero if it is valid. A version without
// accounts revokes the keys of all versions before it.
func (f *fleet) revokedAt(version int) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, number := range f.emptied {
		if number > version && number <= version+2 {
			return f.publishTimes[number]
		}
	}
	return f.publishTimes[version+2]
}

// publishedAt returns when a version was written to the store; zero if it was not yet.
func (f *fleet) publishedAt(version int) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.publishTimes[version]
}

// newDaemon writes the settings of a VM's daemon and creates its proxies and log file.
// It does not start a process.
func (f *fleet) newDaemon(name string) (*daemon, error) {
	d := &daemon{name: name, settings: filepath.Join(f.dir, name+".json")}
	var addresses [3]string
	for i := range addresses {
		var err error
		if addresses[i], err = f.ports.address(); err != nil {
			return nil, err
		}
	}
	var err error
	if d.storeProxy, err = f.proxy(f.storeServer.Listener.Addr().String()); err != nil {
		return nil, err
	}
	if d.callersProxy, err = f.proxy(addresses[0]); err != nil {
		return nil, err
	}
	if d.log, err = os.Create(filepath.Join(f.dir, name+".log")); err != nil {
		return nil, errors.Wrap(err, "create log file")
	}
	bounds := platformtest.Bounds(platformtest.Fields{
		"drain_ms": drainBound.Milliseconds(), "config_apply_ms": configBound.Milliseconds(),
		"revoke_ms": revokeBound.Milliseconds(), "grace_s": grace.Seconds(), "retry_budget_ratio": retryRatio,
		"budget_window_s": retryWindow.Seconds(), "budget_slack": retrySlack, "cold_overage": coldOverage,
		"cold_slack": coldSlack,
	})
	if f.rollouts {
		maps.Copy(bounds, platformtest.RolloutBounds())
	}
	return d, platformtest.Settings{
		VM: name, CallerAddress: addresses[0], ReadinessAddress: addresses[1], PeerAddress: addresses[2],
		StoreAddress: d.storeProxy.Address(), MemoryMB: memoryMB, Bounds: bounds,
	}.Write(d.settings)
}

// proxy returns a proxy to target on a port from f.ports.
func (f *fleet) proxy(target string) (*proxy.Proxy, error) {
	listener, err := f.ports.listen()
	if err != nil {
		return nil, err
	}
	return proxy.NewOn(listener, target), nil
}

// restart waits until a VM's process has exited and starts the next one. It does
// nothing if another call has already replaced the given incarnation.
func (f *fleet) restart(d *daemon, incarnation int) error {
	d.mu.Lock()
	exited, current := d.exited, d.incarnation
	d.mu.Unlock()
	if current != incarnation {
		return nil
	}
	<-exited
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.incarnation != incarnation {
		return nil
	}
	return f.start(d)
}

// start starts the next process of a VM. d.mu must be held, unless d is not shared
// yet.
func (f *fleet) start(d *daemon) error {
	command := exec.Command(f.binary, "serve", "--platform-settings", d.settings)
	command.Stdout, command.Stderr = d.log, d.log
	fmt.Fprintf(d.log, "{\"msg\":\"soak starts incarnation %d\"}\n", d.incarnation+1)
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "start daemon")
	}
	exited := make(chan struct{})
	go func() {
		// The error is ignored: the cause of the exit is in the log.
		_ = command.Wait()
		close(exited)
	}()
	d.incarnation++
	d.command, d.exited = command, exited
	return nil
}

// signal sends a signal to the process and reports whether it was sent. It is not if
// the process has exited.
func (d *daemon) signal(signal syscall.Signal) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.exited:
		return false
	default:
		return d.command.Process.Signal(signal) == nil
	}
}

// currentIncarnation returns the number of the VM's current or latest process.
func (d *daemon) currentIncarnation() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.incarnation
}

// close kills the daemons and closes everything else.
func (f *fleet) close() {
	for _, d := range f.daemons {
		d.signal(syscall.SIGKILL)
		<-d.exited
		d.storeProxy.Close()
		d.callersProxy.Close()
		d.log.Close()
	}
	for _, u := range f.upstreams {
		u.proxy.Close()
		u.Close()
	}
	f.store.Close()
	f.storeServer.CloseClientConnections()
	f.storeServer.Close()
}
