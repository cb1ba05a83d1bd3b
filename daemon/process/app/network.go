package app

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/backlog"
	"github.com/trefoilwell/trefoilwell/daemon/connection/bounded"
	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/daemon/connection/tlsfiles"
	"github.com/trefoilwell/trefoilwell/daemon/connection/turnaway"
	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
	"github.com/trefoilwell/trefoilwell/daemon/process/settings"
	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// listen binds the listeners.
func (a *App) listen() error {
	s := a.settings
	for _, port := range []struct {
		listener *net.Listener
		port     **bounded.Port
		address  string
		files    tlsfiles.Files
		options  bounded.PortOptions
	}{
		{&a.callersListener, &a.callersPort, s.Callers.Listen, s.Callers.TLS, bounded.PortOptions{
			Name: "callers", MaxConns: a.plan.HardCallerConns, Grace: bounded.CallerGrace, IdleGrace: bounded.CallerIdleGrace, Reject: a.rejectConn,
		}},
		{&a.peersListener, &a.peersPort, s.Peers.Listen, s.Peers.TLS, bounded.PortOptions{
			Name: "peers", MaxConns: a.plan.MaxPeerConns, Grace: bounded.PortGrace, IdleGrace: bounded.PortGrace,
		}},
		{&a.operatorsListener, &a.operatorsPort, s.Operators.Listen, s.Operators.TLS, bounded.PortOptions{
			Name: "operators", MaxConns: a.plan.MaxPortConns, Grace: bounded.PortGrace, IdleGrace: bounded.PortGrace,
		}},
	} {
		config, err := port.files.Server()
		if err != nil {
			return errors.Wrapf(err, "listen for %s", port.options.Name)
		}
		inner, err := net.Listen("tcp", port.address)
		if err != nil {
			return errors.Wrapf(err, "listen for %s", port.options.Name)
		}
		port.options.TLS = config
		*port.port = a.ports.NewPort(port.options)
		*port.listener = (*port.port).Listener(backlog.New(inner.(*net.TCPListener)))
		if port.listener == &a.callersListener && config == nil {
			// The buffers are written to the socket, below TLS.
			a.callersListener = a.unread.Listener(a.callersListener)
		}
	}
	return nil
}

// rejectConn rejects a connection for which there is no room, or whose request has a head, of which a
// part that ends in read was read, for which there is no memory.
func (a *App) rejectConn(conn *net.TCPConn, read []byte) {
	fd, err := turnaway.Detach(conn)
	switch {
	case err != nil:
		// No request was served, so its caller may retry elsewhere at once.
		_ = conn.Close()
	case read == nil:
		a.rejecter.Reject(fd)
	default:
		a.rejecter.RejectBegun(fd, read)
	}
}

// newRejecter returns the rejecter for callers' connections that cannot be served.
func newRejecter(maxWaiting int) *turnaway.Rejecter {
	return turnaway.New(turnaway.Options{
		Body: serve.RefusalBody(&request.Refusal{
			Reason: request.ReasonQueueFull, Execution: request.NotExecuted, Detail: "this router holds too many connections or heads of requests",
		}),
		MaxWaiting: maxWaiting,
	})
}

// transports are the HTTP transports and URL schemes by which the daemon reaches the
// platform, upstreams and peers.
type transports struct {
	platform       *http.Transport
	upstreams      *http.Transport
	polls          *http.Transport
	upstreamScheme string
	// peers is nil if peers are reached without TLS.
	peers      *http.Client
	peerScheme string
}

func newTransports(s *settings.Settings) (*transports, error) {
	t := &transports{upstreamScheme: "http", peerScheme: "ws"}
	config, err := s.Platform.TLS.Client()
	if err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	t.platform = objectstore.NewTransport(config)
	if config, err = s.Upstreams.TLS.Client(); err != nil {
		return nil, errors.Wrap(err, "upstreams")
	}
	t.upstreams, t.polls = upstream.NewTransport(config), upstream.NewTransport(config)
	if s.Upstreams.HTTPS {
		t.upstreamScheme = "https"
	}
	if config, err = s.Peers.TLS.Client(); err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	if config != nil {
		t.peers = &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
		t.peerScheme = "wss"
	}
	return t, nil
}
