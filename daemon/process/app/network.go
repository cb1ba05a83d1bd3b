package app

import (
	"crypto/tls"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/daemon/connection/tlsfiles"
	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
	"github.com/trefoilwell/trefoilwell/daemon/process/settings"
)

// listen binds the three listeners.
func (a *App) listen() error {
	var err error
	s := a.settings
	if a.callersListener, err = listenOn(s.Callers.Listen, s.Callers.TLS); err != nil {
		return errors.Wrap(err, "callers listener")
	}
	if a.peersListener, err = listenOn(s.Peers.Listen, s.Peers.TLS); err != nil {
		return errors.Wrap(err, "peer listener")
	}
	if a.operatorsListener, err = listenOn(s.Operators.Listen, s.Operators.TLS); err != nil {
		return errors.Wrap(err, "operators' listener")
	}
	return nil
}

// listenOn binds an address, by TLS if files are named.
func listenOn(address string, files tlsfiles.Files) (net.Listener, error) {
	config, err := files.Server()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil || config == nil {
		return listener, err
	}
	return tls.NewListener(listener, config), nil
}

// dialling is how the daemon reaches others.
type dialling struct {
	platform       *http.Transport
	upstreams      *http.Transport
	polls          *http.Transport
	upstreamScheme string
	// peers is nil without TLS.
	peers      *http.Client
	peerScheme string
}

func newDialling(s *settings.Settings) (*dialling, error) {
	d := &dialling{upstreamScheme: "http", peerScheme: "ws"}
	config, err := s.Platform.TLS.Client()
	if err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	d.platform = objectstore.NewTransport(config)
	if config, err = s.Upstreams.TLS.Client(); err != nil {
		return nil, errors.Wrap(err, "upstreams")
	}
	d.upstreams, d.polls = upstream.NewTransport(config), upstream.NewTransport(config)
	if s.Upstreams.HTTPS {
		d.upstreamScheme = "https"
	}
	if config, err = s.Peers.TLS.Client(); err != nil {
		return nil, errors.Wrap(err, "peers")
	}
	if config != nil {
		d.peers = &http.Client{Transport: &http.Transport{TLSClientConfig: config}}
		d.peerScheme = "wss"
	}
	return d, nil
}
