// Package edge wires a daemon on the users' platform: callers come through the
// platform's balancer, upstreams and operators write to its metadata store.
package edge

import (
	"context"
	"expvar"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/trefoilwell/trefoilwell/daemon/connection/peer"
	"github.com/trefoilwell/trefoilwell/daemon/connection/turnaway"
	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
	"github.com/trefoilwell/trefoilwell/daemon/process/clock"
	"github.com/trefoilwell/trefoilwell/daemon/process/duty"
	"github.com/trefoilwell/trefoilwell/daemon/process/lag"
	"github.com/trefoilwell/trefoilwell/daemon/process/logsink"
	"github.com/trefoilwell/trefoilwell/daemon/process/placing"
	"github.com/trefoilwell/trefoilwell/daemon/request/relay"
	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	"github.com/trefoilwell/trefoilwell/daemon/version/mirror"
	"github.com/trefoilwell/trefoilwell/fleet/process/exchange"
	"github.com/trefoilwell/trefoilwell/fleet/process/placement"
	"github.com/trefoilwell/trefoilwell/fleet/request/retry"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/platform"
)

const (
	// freshMargin is kept back from the bound on revoked keys for what passes
	// between the check and the sending of a request.
	freshMargin = 500 * time.Millisecond
	// gcPercent is how much the heap may grow between two collections, in percent.
	gcPercent = 300
	// callersIdleTimeout closes a caller's connection without a request. It is
	// longer than any bound that a configuration has set, because a caller that
	// uses a connection to the end of its bound must not find it closed.
	callersIdleTimeout = 2 * time.Minute
	// storeConnections bounds the connections to the store: one for each watch
	// and one for reads.
	storeConnections = 8
)

// Options set up an Edge.
type Options struct {
	// SettingsPath is the platform's settings file.
	SettingsPath string
	// MetricsPort serves metrics on the VM's address; 0 does not.
	MetricsPort int
	// LogLevel is the lowest level that is logged.
	LogLevel slog.Level
	// SettingsInterval is how often the settings file is looked at without a signal;
	// default DefaultSettingsInterval.
	SettingsInterval time.Duration
	// MaxLag is how far the process may be behind with its work before it takes in
	// less; default valve.DefaultLimit.
	MaxLag time.Duration
}

// Edge is one daemon.
type Edge struct {
	options  Options
	settings atomic.Pointer[platform.Settings]
	sink     *logsink.Sink
	log      *slog.Logger

	store   *platform.Store
	storing *http.Transport
	mirror  *mirror.Mirror
	placing *placing.Manager
	handler *serve.General
	metrics *metrics
	lag     lag.Monitor
	crowd   *crowd
	intake  *intake
	desk    *turnaway.Desk
	gate    *gate
	plan    memoryPlan

	callers   server
	readiness server
	linked    server
	observed  *server
	leaving   atomic.Bool

	reading reading
	// incarnation tells this process from earlier ones of the VM.
	incarnation uint64
	// peers is nil until the fleet's secret is known.
	peers atomic.Pointer[peer.Manager]
	// secret is what the processes of the fleet know each other by; nil before it is
	// known.
	secret atomic.Pointer[string]
	// firstMember is set while no member's name comes before this one's.
	firstMember atomic.Bool
	// linksTo are the addresses of the processes to keep links with; nil before
	// the first list of members.
	linksTo atomic.Pointer[map[version.VMID]string]
	// fleetSize is how many processes the fleet has.
	fleetSize atomic.Int64
}

// server is an HTTP server with its bound listener.
type server struct {
	http     *http.Server
	listener net.Listener
}

// New reads the settings, binds the listeners and wires the daemon.
func New(options Options) (*Edge, error) {
	settings, err := platform.LoadSettings(options.SettingsPath)
	if err != nil {
		return nil, err
	}
	if options.SettingsInterval == 0 {
		options.SettingsInterval = DefaultSettingsInterval
	}
	e := &Edge{
		options:     options,
		sink:        logsink.New(os.Stdout, logsink.DefaultBytes),
		metrics:     newMetrics(),
		incarnation: uint64(time.Now().UnixNano()),
	}
	e.settings.Store(settings)
	e.log = slog.New(slog.NewJSONHandler(e.sink, &slog.HandlerOptions{Level: options.LogLevel})).
		With("vm", settings.VM)
	e.plan = planMemory(settings.MemoryBytes)
	limitResources(settings, e.plan)
	e.crowd = newCrowd(settings.MaxDescriptors, e.plan.callers)
	e.intake = newIntake(options.MaxLag, e.log)
	e.metrics.vars.Set("lag_ms", expvar.Func(func() any { return e.lag.Lag().Milliseconds() }))
	e.desk = newDesk()
	e.metrics.vars.Set("connections_turned_away", expvar.Func(func() any { return e.intake.connectionsTurnedAway() }))
	e.metrics.vars.Set("connections_closed", expvar.Func(func() any { return e.desk.Counts().Closed }))
	e.metrics.vars.Set("duty_panics", expvar.Func(func() any { return duty.Panics() }))
	e.metrics.vars.Set("config_age_ms", expvar.Func(func() any { return clock.Boot().Sub(e.mirror.Confirmed()).Milliseconds() }))
	e.placing = placing.New(placement.New(placement.Options{
		VM:          settings.VM,
		DataCentre:  settings.DataCentre,
		Regions:     settings.DataCentres,
		ColdOverage: settings.Bounds.ColdOverage,
		ColdSlack:   settings.Bounds.ColdSlack,
		ShareWindow: settings.Bounds.ShareWindow,
	}), exchange.New(settings.VM), e.lag.Lag, e.log)
	e.storing = &http.Transport{MaxIdleConnsPerHost: storeConnections, DisableCompression: true}
	e.store = platform.NewStore(platform.StoreOptions{URL: "http://" + settings.Store, Transport: e.storing})
	e.mirror = mirror.New(mirror.Options{
		Store:   e.store,
		Clock:   clock.Boot,
		Apply:   e.apply,
		Members: e.setMembers,
		Served:  func() bool { return len(e.placing.Readers()) > 0 },
		Settle:  settleTime(settings),
		Lost:    e.storing.CloseIdleConnections,
		Log:     e.log,
	})
	e.handler = e.newHandler(e.plan)
	return e, e.listen(settings)
}

// settleTime is how long the processes of a fleet that starts for the first time take to
// register.
func settleTime(settings *platform.Settings) time.Duration {
	if settings.FirstStart {
		return firstListDelay
	}
	return 0
}

// limitResources keeps the runtime within the VM.
func limitResources(settings *platform.Settings, plan memoryPlan) {
	if settings.Cores > 0 {
		runtime.GOMAXPROCS(settings.Cores)
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(plan.runtimeBytes)
		// Below the limit, memory is cheaper than the processor.
		debug.SetGCPercent(gcPercent)
	}
}

func (e *Edge) newHandler(plan memoryPlan) *serve.General {
	transport := upstream.NewTransport(nil)
	transport.MaxIdleConns = plan.idleUpstreams
	return serve.NewGeneral(serve.GeneralOptions{
		Fleet: e.placing,
		Relay: relay.New(relay.Options{
			Accounting: e.placing,
			Transport:  transport,
			Dialect:    platform.Dialect{},
			General:    true,
			Begun:      e.placing.Begun,
			Advised:    e.placing.Advised,
			Declines:   e.placing.Declines,
		}),
		Incoming:     platform.Incoming,
		RequestID:    platform.RequestID,
		Lag:          e.lag.Lag,
		Admit:        e.intake.takesRequest,
		MaxRequests:  plan.requests,
		Crowded:      e.crowd.full,
		Fresh:        e.fresh,
		Counter:      e.metrics,
		Retry:        e.retryOptions,
		MaxHeldBytes: plan.bodyBytes,
		Finished:     e.metrics.finished,
		Log:          e.log,
	})
}

func (e *Edge) listen(settings *platform.Settings) error {
	handler := serve.NewServer(e.handler)
	handler.IdleTimeout = callersIdleTimeout
	handler.ConnState = e.crowd.track
	handler.ConnContext = serve.KeepConn
	var err error
	if e.callers, err = e.newServer(handler, settings.Callers); err != nil {
		return errors.Wrap(err, "callers listener")
	}
	e.gate = &gate{Listener: e.callers.listener, crowd: e.crowd, intake: e.intake, desk: e.desk}
	e.callers.listener = e.gate
	ready := &http.Server{Handler: http.HandlerFunc(e.ready), ReadHeaderTimeout: time.Second}
	if e.readiness, err = e.newServer(ready, settings.Readiness); err != nil {
		return errors.Wrap(err, "readiness listener")
	}
	links := &http.Server{Handler: http.HandlerFunc(e.acceptLink), ReadHeaderTimeout: time.Second}
	if e.linked, err = e.newServer(links, net.JoinHostPort(settings.IP, port(settings.PeerPort))); err != nil {
		return errors.Wrap(err, "peer listener")
	}
	if e.options.MetricsPort == 0 {
		return nil
	}
	address := net.JoinHostPort(settings.IP, port(e.options.MetricsPort))
	observed, err := e.newServer(&http.Server{Handler: e.metrics, ReadHeaderTimeout: time.Second}, address)
	if err != nil {
		return errors.Wrap(err, "metrics listener")
	}
	e.observed = &observed
	return nil
}

// listening leaves out the kernel's probes of idle connections: callers' connections end
// after callersIdleTimeout and links are tried by their owner, and turning the probes on
// takes four calls of the kernel for each connection.
var listening = net.ListenConfig{KeepAlive: -1}

func (e *Edge) newServer(http *http.Server, address string) (server, error) {
	http.ErrorLog = slog.NewLogLogger(e.log.Handler(), slog.LevelWarn)
	listener, err := listening.Listen(context.Background(), "tcp", address)
	return server{http: http, listener: listener}, err
}

// Run serves until ctx ends and the requests have then ended.
func (e *Edge) Run(ctx context.Context) error {
	settings := e.settings.Load()
	e.log.Info("started", "callers", settings.Callers, "store", settings.Store,
		"data_centre", settings.DataCentre, "first_start", settings.FirstStart)
	var group run.Group
	e.addDrain(&group, ctx)
	// What serves requests outlasts ctx until the drain is done.
	ctx = context.WithoutCancel(ctx)
	e.callers.add(&group)
	e.readiness.add(&group)
	e.linked.add(&group)
	if e.observed != nil {
		e.observed.add(&group)
	}
	duty.Add(&group, ctx, "configuration", e.log, e.mirror.FollowConfig)
	duty.Add(&group, ctx, "upstreams", e.log, e.mirror.FollowUpstreams)
	duty.Add(&group, ctx, "evacuations", e.log, e.mirror.FollowEvacuations)
	duty.Add(&group, ctx, "members", e.log, e.mirror.FollowMembers)
	duty.Add(&group, ctx, "registration", e.log, e.register)
	duty.Add(&group, ctx, "links", e.log, e.link)
	duty.Add(&group, ctx, "readers", e.log, e.askReaders)
	duty.Add(&group, ctx, "lag", e.log, func(ctx context.Context) error { return e.lag.Run(ctx, e.intake.measured) })
	duty.Add(&group, ctx, "desk", e.log, e.desk.Run)
	duty.Add(&group, ctx, "memory", e.log, e.followUsage)
	duty.Add(&group, ctx, "settings", e.log, e.followSettings)
	duty.Add(&group, ctx, "log", e.log, e.sink.Run)
	err := group.Run()
	e.log.Info("stopped")
	e.sink.Flush()
	if errors.IsAny(err, errDrained, context.Canceled) {
		return nil
	}
	return err
}

// add adds the server to a group. After a shutdown it ends with the group and not
// before, so that the shutdown can complete.
func (s server) add(group *run.Group) {
	ended := make(chan struct{})
	group.Add(func() error {
		err := s.http.Serve(s.listener)
		if errors.Is(err, http.ErrServerClosed) {
			<-ended
		}
		return err
	}, func(error) {
		close(ended)
		s.http.Close()
	})
}

// acceptLink accepts a link from another process.
func (e *Edge) acceptLink(w http.ResponseWriter, r *http.Request) {
	peers := e.peers.Load()
	if peers == nil {
		http.Error(w, "not linked yet", http.StatusServiceUnavailable)
		return
	}
	peers.ServeHTTP(w, r)
}

// apply takes a new state of the store.
func (e *Edge) apply(config *version.Config) {
	e.placing.Configure(config)
	e.log.Debug("state in force", "version", config.Number, "upstreams", len(config.Upstreams),
		"out", config.Out.DataCentres)
}

// fresh reports whether API keys may be trusted, and how old the confirmation
// of the configuration is.
func (e *Edge) fresh() (bool, time.Duration) {
	age := clock.Boot().Sub(e.mirror.Confirmed())
	bound := e.settings.Load().Bounds.Revoke
	return bound == 0 || age < bound-freshMargin, age
}

// retryOptions is this process's part of the fleet's retry budget.
func (e *Edge) retryOptions() retry.WindowOptions {
	return retryPart(e.settings.Load().Bounds, int(e.fleetSize.Load()))
}

const (
	// retryShare is the part of the permitted ratio that is used, because the
	// permitted window need not match this process's.
	retryShare = 0.8
	// minSlackParts is over how many processes the permitted number is split at
	// least: it exceeds those of the smallest fleet with others that replace them.
	// spareParts is how many times the processes of a larger fleet are counted for
	// the same reason.
	minSlackParts = 16
	spareParts    = 1.25
)

// retryPart is the part of the fleet's retry budget that each of its processes has.
func retryPart(bounds platform.Bounds, processes int) retry.WindowOptions {
	return retry.WindowOptions{
		Length: bounds.RetryWindow,
		Ratio:  bounds.RetryRatio * retryShare,
		Slack:  bounds.RetrySlack / max(minSlackParts, spareParts*float64(processes)),
	}
}

// ready answers the balancer.
func (e *Edge) ready(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadinessPath {
		http.NotFound(w, r)
		return
	}
	fresh, _ := e.fresh()
	if e.leaving.Load() || e.placing.Config() == nil || !fresh {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

var _ relay.Accounting = (*placing.Manager)(nil)

var _ serve.Counter = (*metrics)(nil)
