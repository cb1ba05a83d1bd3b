package upstream

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection, and then its TLS handshake.
	dialTimeout = 2 * time.Second
	// idleTimeout is how long an idle connection is kept. Upstreams may drop idle
	// connections without notice, and a request sent on a dropped one may be lost.
	idleTimeout = 8 * time.Second
	// maxIdlePerUpstream and maxIdle bound the idle connections to one upstream
	// and to all upstreams. A VM has about 4,000 file descriptors, most of which
	// are needed for callers' connections.
	maxIdlePerUpstream = 64
	maxIdle            = 600
	// maxAnswerHeaderBytes bounds the total size of an answer's headers. It is above the limit of
	// the relay, which knows whose answer it is.
	maxAnswerHeaderBytes = 72 << 10
)

// NewTransport returns a transport that neither follows redirects nor uses a
// proxy, and whose connections a SendTracker can seal. The TLS configuration
// applies to https URLs; nil means the defaults.
//
// The transport uses HTTP/1.1 only. A connection then carries one attempt at a
// time, so all bytes sent on it meanwhile belong to that attempt.
func NewTransport(config *tls.Config) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			begin := time.Now()
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn, openedAt: begin, uploadTimeout: uploadTimeout}, nil
		},
		TLSClientConfig:        config,
		TLSHandshakeTimeout:    dialTimeout,
		Protocols:              protocols,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		MaxIdleConns:           maxIdle,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}
}
