package edge

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/trefoilwell/trefoilwell/daemon/connection/backlog"
	"github.com/trefoilwell/trefoilwell/daemon/connection/bounded"
	"github.com/trefoilwell/trefoilwell/daemon/connection/unread"
	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	"github.com/trefoilwell/trefoilwell/platform"
)

// callerIdleTimeout is the time after which an idle connection of a caller is closed.
// It is longer than any idle time-out that a configuration has set, because a caller
// that reuses a connection just before that time-out must not find it closed.
const callerIdleTimeout = 2 * time.Minute

// server is an HTTP server with its bound listener.
type server struct {
	http     *http.Server
	listener net.Listener
}

// listen opens the listeners.
func (d *Daemon) listen(settings *platform.Settings) error {
	callers := d.ports.NewPort(bounded.PortOptions{
		Name: "callers", MaxConns: d.plan.HardCallerConns, Grace: bounded.CallerGrace, IdleGrace: bounded.CallerIdleGrace, Reject: d.rejectConn,
	})
	callerHTTP := serve.NewServer(d.handler)
	callerHTTP.IdleTimeout = callerIdleTimeout
	callerHTTP.ConnState = func(conn net.Conn, state http.ConnState) {
		d.connLimiter.track(conn, state)
		callers.Track(unread.Inner(conn), state)
	}
	callerHTTP.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return unread.ConnContext(serve.WithCallerConn(ctx, conn), conn)
	}
	var err error
	if d.callerServer, err = d.newServer(callerHTTP, settings.CallerAddress); err != nil {
		return errors.Wrap(err, "open callers listener")
	}
	d.callerListener = &admissionListener{
		Listener: backlog.New(d.callerServer.listener.(*net.TCPListener)), connLimiter: d.connLimiter, admission: d.admission,
		rejecter: d.rejecter, port: callers,
	}
	d.callerServer.listener = d.unread.Listener(callers.Listener(d.callerListener))
	if d.readinessServer, err = d.newPortServer("readiness", d.plan.MaxPortConns, d.serveReadiness, settings.ReadinessAddress); err != nil {
		return err
	}
	// A kept connection could carry requests without end, and a balancer probes once a second.
	d.readinessServer.http.SetKeepAlivesEnabled(false)
	address := net.JoinHostPort(settings.IP, portString(settings.PeerPort))
	if d.peerServer, err = d.newPortServer("peers", d.plan.MaxPeerConns, d.acceptLink, address); err != nil {
		return err
	}
	if d.options.MetricsPort == 0 {
		return nil
	}
	address = net.JoinHostPort(settings.IP, portString(d.options.MetricsPort))
	metricsServer, err := d.newPortServer("metrics", d.plan.MaxPortConns, d.newOperatorHandler().ServeHTTP, address)
	if err != nil {
		return err
	}
	metricsServer.http.SetKeepAlivesEnabled(false)
	d.metricsServer = &metricsServer
	return nil
}

// newPortServer opens a listener at address (host:port) for others than callers, with at most maxConns
// connections.
func (d *Daemon) newPortServer(name string, maxConns int, handler http.HandlerFunc, address string) (server, error) {
	s, err := d.newServer(bounded.NewServer(handler), address)
	if err != nil {
		return server{}, errors.Wrapf(err, "open %s listener", name)
	}
	port := d.ports.NewPort(bounded.PortOptions{Name: name, MaxConns: maxConns, Grace: bounded.PortGrace, IdleGrace: bounded.PortGrace})
	s.listener = port.Listener(s.listener)
	s.http.ConnState = port.Track
	return s, nil
}

// listenConfig disables TCP keep-alive probes, which take four system calls to enable for each
// connection. They are not needed: callers' idle connections are closed after
// callerIdleTimeout, and links are checked by the peer manager.
var listenConfig = net.ListenConfig{KeepAlive: -1}

// newServer opens a listener at address (host:port) for a server.
func (d *Daemon) newServer(httpServer *http.Server, address string) (server, error) {
	httpServer.ErrorLog = slog.NewLogLogger(d.log.Handler(), slog.LevelWarn)
	listener, err := listenConfig.Listen(context.Background(), "tcp", address)
	return server{http: httpServer, listener: listener}, err
}

// add adds the server to a group. After a call of Shutdown the server's actor returns only
// when the group ends: an earlier return would end the group before Shutdown completes.
func (s server) add(group *run.Group) {
	groupEnded := make(chan struct{})
	group.Add(func() error {
		err := s.http.Serve(s.listener)
		if errors.Is(err, http.ErrServerClosed) {
			<-groupEnded
		}
		return err
	}, func(error) {
		close(groupEnded)
		s.http.Close()
	})
}

// acceptLink accepts a link from another process. Until the fleet secret is known it responds
// with status 503.
func (d *Daemon) acceptLink(w http.ResponseWriter, r *http.Request) {
	peers := d.peers.Load()
	if peers == nil {
		w.Header().Set("Connection", "close")
		http.Error(w, "not linked yet", http.StatusServiceUnavailable)
		return
	}
	peers.ServeHTTP(w, r)
}
