// Package app wires one daemon: its listeners, decision loop, configuration follower,
// ledger and peer links run as one run group.
package app

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/trefoilwell/trefoilwell/daemon/connection/bounded"
	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/daemon/connection/peer"
	"github.com/trefoilwell/trefoilwell/daemon/connection/turnaway"
	"github.com/trefoilwell/trefoilwell/daemon/connection/unread"
	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
	"github.com/trefoilwell/trefoilwell/daemon/process/budget"
	"github.com/trefoilwell/trefoilwell/daemon/process/duty"
	"github.com/trefoilwell/trefoilwell/daemon/process/ledger"
	"github.com/trefoilwell/trefoilwell/daemon/process/loop"
	"github.com/trefoilwell/trefoilwell/daemon/process/metrics"
	"github.com/trefoilwell/trefoilwell/daemon/process/quarantine"
	"github.com/trefoilwell/trefoilwell/daemon/process/settings"
	"github.com/trefoilwell/trefoilwell/daemon/request/relay"
	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	"github.com/trefoilwell/trefoilwell/daemon/version/follow"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/node"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// operatorsTimeout bounds the time to read an operator's request, and the time to
	// answer it.
	operatorsTimeout = 30 * time.Second
	// maxUnreadBytes limits what waits for callers who read slowly.
	maxUnreadBytes = 32 << 20
)

// App is one daemon.
type App struct {
	settings *settings.Settings
	log      *slog.Logger
	// platform is the client of the platform's object API; the ledger has its own.
	platform *objectstore.Client
	loop     *loop.Loop
	inbox    *inbox
	// quarantine keeps prompts that crash upstreams away from them.
	quarantine *quarantine.Quarantine
	peers      *peer.Manager
	ledger     *ledger.Ledger
	poller     *upstream.Poller
	follower   *follow.Follower
	timeline   *timeline.Ring
	handler    *serve.Handler
	// callersServer serves callers' requests by handler.
	callersServer *http.Server
	// plan divides the VM's memory and descriptors, and ports bounds the connections of all listeners.
	plan  budget.Plan
	ports *bounded.Budget
	// rejecter responds to callers whose connections cannot be served.
	rejecter *turnaway.Rejecter
	// The ports bound the connections of each listener.
	callersPort, peersPort, operatorsPort *bounded.Port
	// unread bounds the memory of answers that wait for their callers, on connections without TLS.
	unread *unread.Limiter
	// peersServer accepts the links of other daemons.
	peersServer *http.Server
	// operatorsServer serves the operators' interface.
	operatorsServer *http.Server
	metrics         *metrics.Metrics
	incarnation     uint64
	// leaving is set once the daemon drains.
	leaving atomic.Bool

	transports        *transports
	callersListener   net.Listener
	peersListener     net.Listener
	operatorsListener net.Listener
}

// New binds the listeners and wires the daemon, which serves once Run is called.
func New(s *settings.Settings, log *slog.Logger) (*App, error) {
	a := &App{settings: s, log: log, timeline: timeline.New(s.VM, timeline.DefaultRingEvents)}
	var err error
	if a.transports, err = newTransports(s); err != nil {
		return nil, err
	}
	a.plan = planOf(s.Limits)
	a.ports = bounded.New(a.plan.MaxHeadBytes, log)
	a.rejecter = newRejecter(a.plan.MaxRejectedConns)
	a.unread = unread.New(unread.Options{MaxBytes: maxUnreadBytes, Log: log})
	if err := a.listen(); err != nil {
		return nil, err
	}
	incarnation := uint64(time.Now().UnixNano())
	a.incarnation = incarnation
	var platformCalls atomic.Uint64
	observe := func(_ objectstore.Call, err error) {
		platformCalls.Add(1)
		a.follower.Observe(err)
	}
	a.platform = objectstore.New(objectstore.Options{
		URL:            s.Platform.URL,
		Token:          s.Platform.Token,
		Transport:      a.transports.platform,
		CallsPerSecond: s.Platform.CallsPerSecond,
		CallsBurst:     s.Platform.CallsBurst,
		Observe:        observe,
		OnNewEra:       func(era uint64) { a.ledger.StoreReturned(era) },
	})
	a.loop = loop.New(loop.Options{Node: a.newNode(incarnation), Log: log})
	a.quarantine = quarantine.New(quarantine.Options{VM: s.VM, Config: a.loop.Config, Log: log})
	a.inbox = &inbox{loop: a.loop, quarantine: a.quarantine, linked: make(map[version.VMID]linkedDaemon)}
	a.peers = peer.New(peer.Options{
		Secret:  s.Peers.Secret,
		Scheme:  a.transports.peerScheme,
		HTTP:    a.transports.peers,
		Handler: a.inbox,
		Hello:   a.hello(incarnation),
		Log:     log,
	})
	a.ledger = a.newLedger(observe)
	a.inbox.ledger = a.ledger
	a.inbox.sender = a.peers
	a.inbox.linksChanged = a.updateOwners
	a.loop.SetSender(a.peers)
	a.loop.SetLinker(a.peers)
	a.poller = upstream.NewPoller(upstream.PollerOptions{
		Handler:   a.loop,
		Transport: a.transports.polls,
		Scheme:    a.transports.upstreamScheme,
		Log:       log,
	})
	a.loop.SetPoller(a.poller)
	a.follower = follow.New(follow.Options{
		VM:         s.VM,
		DataCentre: s.DataCentre,
		Seed:       rand.Uint64(),
		Store:      a.platform,
		Sender:     a.peers,
		Apply:      a.apply,
		Timeline:   a.timeline,
		Log:        log,
	})
	a.inbox.follower = a.follower
	a.metrics = metrics.New(a.loop, metrics.Counters{
		PeerBytesSent:     a.peers.BytesSent,
		PeerBytesReceived: a.peers.BytesReceived,
		PlatformCalls:     platformCalls.Load,
		Ledger:            func() any { return a.ledger.Stats() },
		PromptQuarantine:  func() any { return a.quarantine.Stats() },
		UnreadAnswers:     func() any { return a.unread.Stats() },
		Held:              func() any { return a.handler.Held() },
		Heads:             func() any { return a.ports.Stats() },
		Listeners:         func() any { return a.ports.PortStats() },
	})
	a.callersServer = a.newCallersServer()
	a.peersServer = bounded.NewServer(a.peers)
	a.peersServer.ConnState = a.peersPort.Track
	a.operatorsServer = bounded.NewServer(a.newOperatorHandler())
	a.operatorsServer.ReadTimeout, a.operatorsServer.WriteTimeout = operatorsTimeout, operatorsTimeout
	a.operatorsServer.ConnState = a.operatorsPort.Track
	// A kept connection could carry requests without end, and operators send few.
	a.operatorsServer.SetKeepAlivesEnabled(false)
	return a, nil
}

// CallersAddress returns the bound address of the callers' listener.
func (a *App) CallersAddress() string { return a.callersListener.Addr().String() }

// PeersAddress returns the bound address of the peer listener.
func (a *App) PeersAddress() string { return a.peersListener.Addr().String() }

// OperatorsAddress returns the bound address of the operators' listener.
func (a *App) OperatorsAddress() string { return a.operatorsListener.Addr().String() }

// Run serves until ctx ends, and then drains: it returns nil once every request has
// completed, or the error of the first part of the daemon that failed.
func (a *App) Run(ctx context.Context) error {
	a.log.Info("serving",
		"callers", a.CallersAddress(), "peers", a.PeersAddress(), "operators", a.OperatorsAddress())
	var group run.Group
	a.addDrain(&group, ctx)
	// The servers and background tasks continue after ctx ends, until the drain is complete.
	ctx = context.WithoutCancel(ctx)
	addCallersServer(&group, a.callersServer, a.callersListener)
	addServer(&group, a.peersServer, a.peersListener)
	addServer(&group, a.operatorsServer, a.operatorsListener)
	duty.AddVital(&group, ctx, "loop", a.log, a.loop.Run)
	duty.AddVital(&group, ctx, "configuration", a.log, a.follower.Run)
	duty.Add(&group, ctx, "quarantine", a.log, a.quarantine.Run)
	duty.Add(&group, ctx, "crash checks", a.log, a.quarantine.Check)
	duty.Add(&group, ctx, "directory", a.log, a.followDirectory)
	duty.Add(&group, ctx, "poller", a.log, a.poller.Run)
	duty.AddVital(&group, ctx, "ledger", a.log, a.ledger.Run)
	duty.AddVital(&group, ctx, "ledger sweep", a.log, a.ledger.Sweep)
	duty.Add(&group, ctx, "owners", a.log, a.followOwners)
	duty.Add(&group, ctx, "rejected connections", a.log, a.rejecter.Run)
	err := group.Run()
	if errors.IsAny(err, errDrained, context.Canceled) {
		return nil
	}
	return err
}

func (a *App) newNode(incarnation uint64) *node.Node {
	return node.New(node.Options{
		VM:          a.settings.VM,
		DataCentre:  a.settings.DataCentre,
		Incarnation: incarnation,
		Seed:        rand.Uint64(),
		Timeline:    a.timeline,
	})
}

func (a *App) newCallersServer() *http.Server {
	upstreamRelay := relay.New(relay.Options{
		Accounting: a.loop,
		Transport:  a.transports.upstreams,
		Scheme:     a.transports.upstreamScheme,
		// 0 without known memory: the relay's default.
		MaxAnswerBytes: a.plan.MaxAnswerBytes,
		OnAdvice:       a.loop.RecordAdvice,
	})
	a.handler = serve.New(serve.Options{
		OnClaim:    a.recordClaim,
		Fleet:      a.loop,
		Relay:      upstreamRelay,
		Ledger:     a.ledger,
		Guard:      a.quarantine,
		Counter:    a.metrics,
		VM:         a.settings.VM,
		DataCentre: a.settings.DataCentre,
		// 0 without known memory: the handler's defaults.
		MaxRequests:       a.plan.MaxRequests,
		MaxHeldBytes:      a.plan.MaxBodyBytes,
		AtConnectionLimit: func() bool { return a.callersPort.Open() > a.plan.MaxCallerConns },
	})
	server := serve.NewServer(a.handler)
	server.ConnState = func(conn net.Conn, state http.ConnState) { a.callersPort.Track(unread.Inner(conn), state) }
	server.ConnContext = unread.ConnContext
	return server
}

// hello returns a function that builds the first message of a peer link.
func (a *App) hello(incarnation uint64) func() wire.Hello {
	return func() wire.Hello {
		hello := wire.Hello{
			VM:          a.settings.VM,
			DataCentre:  a.settings.DataCentre,
			Incarnation: incarnation,
			Leaving:     a.leaving.Load(),
		}
		if config := a.loop.Config(); config != nil {
			hello.Version = config.Number
		}
		return hello
	}
}

// apply hands a new configuration to the decision loop.
func (a *App) apply(config *version.Config) {
	a.log.Info("configuration", "version", config.Number, "preset", config.Preset)
	a.quarantine.Configured(config)
	a.loop.Post(node.Configure{Config: config})
}

func addServer(group *run.Group, server *http.Server, listener net.Listener) {
	group.Add(func() error {
		return server.Serve(listener)
	}, func(error) {
		server.Close()
	})
}
