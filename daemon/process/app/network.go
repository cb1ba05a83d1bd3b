package app

import (
	"crypto/tls"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/backlog"
	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/daemon/connection/tlsfiles"
	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
	"github.com/trefoilwell/trefoilwell/daemon/process/settings"
)

// listen binds the listeners for callers, peers and operators.
func (a *App) listen() error {
	var err error
	s := a.settings
	if a.callersListener, err = listenOn(s.Callers.Listen, s.Callers.TLS); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	a.callersListener = a.unread.Listener(a.heads.Listener(a.callersListener))
	if a.peersListener, err = listenOn(s.Peers.Listen, s.Peers.TLS); err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	if a.operatorsListener, err = listenOn(s.Operators.Listen, s.Operators.TLS); err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	return nil
}

// listenOn binds an address. The listener uses TLS if files names a certificate.
func listenOn(address string, files tlsfiles.Files) (net.Listener, error) {
	config, err := files.Server()
	if err != nil {
		return nil, err
	}
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	listener := backlog.New(inner.(*net.TCPListener))
	if config == nil {
		return listener, nil
	}
	return tls.NewListener(listener, config), nil
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
