// Package edge assembles a daemon that runs on the users' platform: callers connect through
// the platform's load balancer, and upstreams and operators write to its metadata store.
package edge

import (
	"context"
	"expvar"
	"log/slog"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/trefoilwell/trefoilwell/daemon/connection/bounded"
	"github.com/trefoilwell/trefoilwell/daemon/connection/peer"
	"github.com/trefoilwell/trefoilwell/daemon/connection/turnaway"
	"github.com/trefoilwell/trefoilwell/daemon/connection/unread"
	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
	"github.com/trefoilwell/trefoilwell/daemon/process/budget"
	"github.com/trefoilwell/trefoilwell/daemon/process/clock"
	"github.com/trefoilwell/trefoilwell/daemon/process/duty"
	"github.com/trefoilwell/trefoilwell/daemon/process/lag"
	"github.com/trefoilwell/trefoilwell/daemon/process/logsink"
	"github.com/trefoilwell/trefoilwell/daemon/process/placing"
	"github.com/trefoilwell/trefoilwell/daemon/process/quarantine"
	"github.com/trefoilwell/trefoilwell/daemon/request/relay"
	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	"github.com/trefoilwell/trefoilwell/daemon/version/mirror"
	"github.com/trefoilwell/trefoilwell/fleet/process/exchange"
	"github.com/trefoilwell/trefoilwell/fleet/process/placement"
	core "github.com/trefoilwell/trefoilwell/fleet/process/quarantine"
	"github.com/trefoilwell/trefoilwell/fleet/request/retry"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/platform"
)

const (
	// revokeMargin is subtracted from the bound on the use of revoked keys, for the time
	// between the check of a key and the sending of its request.
	revokeMargin = 500 * time.Millisecond
	// gcPercent is the growth of the heap, in percent, that triggers a garbage collection.
	gcPercent = 300
	// maxIdleStoreConns bounds the idle connections to the store that are kept for reuse.
	// Each watch needs one connection and reads need another.
	maxIdleStoreConns = 8
)

// Options configure a Daemon.
type Options struct {
	// SettingsPath is the platform's settings file.
	SettingsPath string
	// MetricsPort is the port of the VM's address that serves metrics; 0 disables them.
	MetricsPort int
	// LogLevel is the lowest level that is logged.
	LogLevel slog.Level
	// SettingsInterval is the time between two reads of the settings file without a
	// signal; default DefaultSettingsInterval.
	SettingsInterval time.Duration
	// MaxLag is the scheduling lag beyond which the process sheds load; default
	// valve.DefaultLagLimit.
	MaxLag time.Duration
}

// Daemon is one router process of the fleet.
type Daemon struct {
	options  Options
	settings atomic.Pointer[platform.Settings]
	logSink  *logsink.Sink
	log      *slog.Logger

	store          *platform.Store
	storeTransport *http.Transport
	mirror         *mirror.Mirror
	placing        *placing.Placer
	quarantine     *quarantine.Quarantine
	software       *software
	// rollouts is nil where the settings do not ask for rollouts.
	rollouts       *rollouts
	lives          *upstream.Lives
	relay          *relay.Relay
	ports          *bounded.Budget
	unread         *unread.Limiter
	handler        *serve.GeneralHandler
	metrics        *metrics
	lag            lag.Monitor
	connLimiter    *connLimiter
	admission      *admission
	rejecter       *turnaway.Rejecter
	callerListener *admissionListener
	plan           budget.Plan

	callerServer    server
	readinessServer server
	peerServer      server
	metricsServer   *server
	leaving         atomic.Bool

	stateRequests stateRequests
	// incarnation distinguishes this process from earlier ones of the same VM.
	incarnation uint64
	// peers is nil until the fleet secret is known.
	peers atomic.Pointer[peer.Manager]
	// secret is the fleet secret, by which the processes of the fleet authenticate each
	// other; nil until it is known.
	secret atomic.Pointer[string]
	// storedHeld are the holds that the store has; nil until they were read.
	storedHeld atomic.Pointer[[]core.Saved]
	// isFirstMember is set while no member's name sorts before this process's.
	isFirstMember atomic.Bool
	// peerAddresses are the addresses of the processes to keep links with; nil until the
	// first list of members.
	peerAddresses atomic.Pointer[map[version.VMID]string]
	// fleetSize is the number of processes in the fleet.
	fleetSize atomic.Int64
}

// New reads the settings, assembles the daemon and opens its listeners. It fails if the
// settings cannot be read or a listener cannot be opened.
func New(options Options) (*Daemon, error) {
	settings, err := platform.LoadSettings(options.SettingsPath)
	if err != nil {
		return nil, err
	}
	if options.SettingsInterval == 0 {
		options.SettingsInterval = DefaultSettingsInterval
	}
	d := &Daemon{
		options:     options,
		logSink:     logsink.New(os.Stdout, logsink.DefaultBufferBytes),
		metrics:     newMetrics(),
		incarnation: uint64(time.Now().UnixNano()),
	}
	d.settings.Store(settings)
	d.log = slog.New(slog.NewJSONHandler(d.logSink, &slog.HandlerOptions{Level: options.LogLevel})).
		With("vm", settings.VM)
	d.plan = budget.New(settings.MemoryBytes, settings.MaxFileDescriptors)
	limitResources(settings, d.plan)
	d.connLimiter = newConnLimiter(settings.MaxFileDescriptors, d.plan.MaxCallerConns)
	d.admission = newAdmission(options.MaxLag, d.log)
	d.metrics.vars.Set("lag_ms", expvar.Func(func() any { return d.lag.Lag().Milliseconds() }))
	d.rejecter = newRejecter(d.plan.MaxRejectedConns)
	d.metrics.vars.Set("connections_turned_away", expvar.Func(func() any { return d.admission.rejectedConnections() }))
	d.metrics.vars.Set("connections_closed", expvar.Func(func() any { return d.rejecter.Counts().Closed }))
	d.metrics.vars.Set("duty_panics", expvar.Func(func() any { return duty.Panics() }))
	d.metrics.vars.Set("config_age_ms", expvar.Func(func() any { return clock.Boot().Sub(d.mirror.Confirmed()).Milliseconds() }))
	d.metrics.vars.Set("keyless", expvar.Func(func() any { config := d.placing.Config(); return config != nil && config.Keyless }))
	d.placing = placing.New(placement.New(placement.Options{
		VM:          settings.VM,
		DataCentre:  settings.DataCentre,
		Regions:     settings.DataCentres,
		ColdOverage: settings.Bounds.ColdOverage,
		ColdSlack:   settings.Bounds.ColdSlack,
		ShareWindow: settings.Bounds.ShareWindow,
	}), exchange.New(settings.VM), d.lag.Lag, d.log)
	d.metrics.vars.Set("store_era", expvar.Func(func() any { era, _ := d.mirror.Era(); return era }))
	d.metrics.vars.Set("prompt_spread", expvar.Func(func() any { return d.placing.Spread() }))
	d.metrics.vars.Set("upstream_paces", expvar.Func(func() any { return d.placing.Paces() }))
	d.metrics.vars.Set("account_shares", expvar.Func(func() any { return d.placing.Shares() }))
	d.metrics.vars.Set("upstream_limits", expvar.Func(func() any { return d.placing.Limits() }))
	d.lives = upstream.NewLives(clock.Boot, settings.HeartbeatInterval, func() bool { return d.mirror.Answers() })
	d.quarantine = quarantine.New(quarantine.Options{
		VM: settings.VM, Config: d.placing.Config, OnCrash: d.recordCrash, Log: d.log,
	})
	d.software = newSoftware(d)
	d.rollouts = newRollouts(d)
	d.placing.SetStreamVersions(map[version.PoolID][]string{})
	d.metrics.vars.Set("software", expvar.Func(func() any { return d.software.status() }))
	d.metrics.vars.Set("prompt_quarantine", expvar.Func(func() any { return d.quarantine.Stats() }))
	d.storeTransport = &http.Transport{MaxIdleConnsPerHost: maxIdleStoreConns, DisableCompression: true}
	d.store = platform.NewStore(platform.StoreOptions{URL: "http://" + settings.StoreAddress, Transport: d.storeTransport})
	mirrorOptions := mirror.Options{
		Store:            d.store,
		Clock:            clock.Boot,
		Apply:            d.applyConfig,
		UpstreamsRead:    d.lives.Read,
		Members:          d.setMembers,
		HasStoreReaders:  func() bool { return len(d.placing.Readers()) > 0 },
		InitialListDelay: initialListDelay(settings),
		FirstStart:       settings.FirstStart,
		OnCallFailure:    d.storeTransport.CloseIdleConnections,
		Log:              d.log,
	}
	if d.rollouts != nil {
		mirrorOptions.Rollouts = d.rollouts.setOrders
		d.metrics.vars.Set("rollouts", expvar.Func(func() any { return d.rollouts.status() }))
	}
	d.mirror = mirror.New(mirrorOptions)
	d.admission.accountOf, d.admission.ahead = newHeadAccounts(d.placing.Config).find, d.placing.Ahead
	d.handler = d.newHandler(d.plan)
	d.ports = bounded.New(d.plan.MaxHeadBytes, d.log)
	d.unread = unread.New(unread.Options{MaxBytes: d.plan.MaxUnreadBytes, Log: d.log})
	d.metrics.vars.Set("unread_answers", expvar.Func(func() any { return d.unread.Stats() }))
	d.metrics.vars.Set("heads", expvar.Func(func() any { return d.ports.Stats() }))
	d.metrics.vars.Set("held", expvar.Func(func() any { return d.handler.Held() }))
	d.metrics.vars.Set("listeners", expvar.Func(func() any { return d.ports.PortStats() }))
	return d, d.listen(settings)
}

// initialListDelay returns the delay before the first list of members, in which the processes
// of a fleet that starts for the first time register; 0 at any later start.
func initialListDelay(settings *platform.Settings) time.Duration {
	if settings.FirstStart {
		return firstListDelay
	}
	return 0
}

// limitResources limits the Go runtime to the processors and the memory of the VM.
func limitResources(settings *platform.Settings, plan budget.Plan) {
	if settings.Cores > 0 {
		runtime.GOMAXPROCS(settings.Cores)
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(plan.RuntimeLimitBytes)
		// Below the memory limit, let the heap grow to save processor time.
		debug.SetGCPercent(gcPercent)
	}
}

func (d *Daemon) newHandler(plan budget.Plan) *serve.GeneralHandler {
	transport := upstream.NewTransport(nil)
	transport.MaxIdleConns = plan.MaxIdleUpstreamConns
	d.lives.Follow(transport)
	options := relay.Options{
		Accounting:     d.placing,
		Transport:      transport,
		Dialect:        platform.Dialect{},
		General:        true,
		MaxAnswerBytes: plan.MaxAnswerBytes,
		OnLoad:         d.placing.RecordLoad,
		OnFirstByte:    d.placing.RecordFirstByte,
		OnAdvice:       d.placing.RecordAdvice,
		OnBreak:        d.lives.BrokeOff,
		Declines:       d.placing.UpstreamDeclines,
	}
	if d.rollouts != nil {
		options.Observer = d.rollouts
	}
	d.relay = relay.New(options)
	d.metrics.vars.Set("answers", expvar.Func(func() any { return d.relay.Answers() }))
	return serve.NewGeneralHandler(serve.GeneralOptions{
		Fleet:             d.placing,
		Relay:             d.relay,
		Guard:             d.quarantine,
		Streams:           d.software,
		ParseHeaders:      platform.DecodeIncoming,
		Lag:               d.lag.Lag,
		Admit:             d.admission.admitRequest,
		TurnedAway:        d.admission.takeTurnedAway,
		OnUnplaced:        d.placing.RecordRequest,
		MaxRequests:       plan.MaxRequests,
		AtConnectionLimit: d.connLimiter.overLimit,
		ConfigFresh:       d.configFresh,
		Counter:           d.metrics,
		Retry:             d.retryOptions,
		MaxHeldBytes:      plan.MaxBodyBytes,
		OnFinished:        d.metrics.recordDuration,
		Log:               d.log,
	})
}

// Run serves until ctx ends, then drains the daemon. It returns nil after a drain or when it
// was cancelled, otherwise the error that stopped the daemon.
func (d *Daemon) Run(ctx context.Context) error {
	settings := d.settings.Load()
	d.log.Info("started", "callers", settings.CallerAddress, "store", settings.StoreAddress,
		"data_centre", settings.DataCentre, "first_start", settings.FirstStart)
	var group run.Group
	d.addDrain(&group, ctx)
	// The servers and background tasks keep running after ctx ends, until the drain is done.
	ctx = context.WithoutCancel(ctx)
	d.callerServer.add(&group)
	d.readinessServer.add(&group)
	d.peerServer.add(&group)
	if d.metricsServer != nil {
		d.metricsServer.add(&group)
	}
	duty.Add(&group, ctx, "configuration", d.log, d.mirror.FollowConfig)
	duty.Add(&group, ctx, "upstreams", d.log, d.mirror.FollowUpstreams)
	duty.Add(&group, ctx, "evacuations", d.log, d.mirror.FollowEvacuations)
	duty.Add(&group, ctx, "members", d.log, d.mirror.FollowMembers)
	duty.Add(&group, ctx, "registration", d.log, d.register)
	duty.Add(&group, ctx, "links", d.log, d.linkPeers)
	duty.Add(&group, ctx, "readers", d.log, d.requestState)
	duty.Add(&group, ctx, "quarantine", d.log, d.quarantine.Run)
	duty.Add(&group, ctx, "crash checks", d.log, d.quarantine.Check)
	duty.Add(&group, ctx, "stored holds", d.log, d.storeHeld)
	duty.Add(&group, ctx, "software versions", d.log, d.software.run)
	if d.rollouts != nil {
		duty.Add(&group, ctx, "rollout orders", d.log, d.mirror.FollowRollouts)
		duty.Add(&group, ctx, "rollouts", d.log, d.rollouts.run)
		for range statusWriters {
			duty.Add(&group, ctx, "rollout statuses", d.log, d.rollouts.write)
		}
	}
	duty.Add(&group, ctx, "lag", d.log, func(ctx context.Context) error { return d.lag.Run(ctx, d.admission.observeLag) })
	duty.Add(&group, ctx, "desk", d.log, d.rejecter.Run)
	duty.Add(&group, ctx, "memory", d.log, d.logScarceMemory)
	duty.Add(&group, ctx, "account shares", d.log, d.logShares)
	duty.Add(&group, ctx, "settings", d.log, d.watchSettings)
	duty.Add(&group, ctx, "log", d.log, d.logSink.Run)
	err := group.Run()
	d.log.Info("stopped")
	d.logSink.Flush()
	if errors.IsAny(err, errDrained, context.Canceled) {
		return nil
	}
	return err
}

// applyConfig applies a new state of the store.
func (d *Daemon) applyConfig(config *version.Config) {
	d.placing.Configure(config)
	d.quarantine.Configured(config)
	d.software.configured(config)
	d.log.Debug("state applied", "version", config.Number, "upstreams", len(config.Upstreams),
		"out", config.Out.DataCentres)
}

// recordCrash records that an upstream has crashed.
func (d *Daemon) recordCrash(id version.UpstreamID) {
	if config := d.placing.Config(); config != nil && config.Upstreams[id] != nil {
		d.lives.Ended(config.Upstreams[id].Address)
	}
	d.placing.RecordCrash(id)
}

// configFresh reports whether the configuration was confirmed recently enough to trust its API
// keys, and the time since it was confirmed.
func (d *Daemon) configFresh() (bool, time.Duration) {
	age := clock.Boot().Sub(d.mirror.Confirmed())
	bound := d.settings.Load().Bounds.RevokeTime
	return bound == 0 || age < bound-revokeMargin, age
}

// retryOptions returns this process's fraction of the fleet's retry budget.
func (d *Daemon) retryOptions() retry.WindowOptions {
	return processRetryBudget(d.settings.Load().Bounds, int(d.fleetSize.Load()))
}

const (
	// usedRetryFraction is the fraction of the permitted retry ratio that is used. The
	// rest is reserved because the window in which the ratio is judged need not align with
	// this process's window.
	usedRetryFraction = 0.8
	// minSlackDivisor is the least number by which the fleet's retry slack is divided. It
	// exceeds the number of processes of the smallest fleet and those that replace them.
	// slackDivisorPerProcess is the divisor per process of a larger fleet; it exceeds 1
	// for the same reason.
	minSlackDivisor        = 16
	slackDivisorPerProcess = 1.25
)

// processRetryBudget returns the fraction of the fleet's retry budget that each of its
// processes may use.
func processRetryBudget(bounds platform.Bounds, processes int) retry.WindowOptions {
	return retry.WindowOptions{
		Length: bounds.RetryWindow,
		Ratio:  bounds.RetryRatio * usedRetryFraction,
		Slack:  bounds.RetrySlack / max(minSlackDivisor, slackDivisorPerProcess*float64(processes)),
	}
}

// serveReadiness answers the readiness probes of the load balancer: status 200 while the
// daemon has a fresh configuration, knows which software versions may serve and is not draining, else
// 503.
func (d *Daemon) serveReadiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadinessPath {
		http.NotFound(w, r)
		return
	}
	fresh, _ := d.configFresh()
	if d.leaving.Load() || d.placing.Config() == nil || !fresh || d.software.awaitsRecord() || d.mirror.AwaitsRollouts() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

var _ relay.Accounting = (*placing.Placer)(nil)

var _ serve.Counter = (*metrics)(nil)
