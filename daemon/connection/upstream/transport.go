package upstream

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// idleTimeout closes a connection that nobody uses. Upstreams may drop one
	// without notice, and a request that is sent on it then may be lost.
	idleTimeout = 8 * time.Second
	// maxIdlePerUpstream and maxIdle bound the unused connections to one upstream
	// and to all. A VM has about 4,000 descriptors, most of them for callers.
	maxIdlePerUpstream = 64
	maxIdle            = 600
	// maxAnswerHeaderBytes bounds the headers of an answer.
	maxAnswerHeaderBytes = 64 << 10
)

// NewTransport returns a transport that neither follows redirects nor uses a
// proxy, and whose connections a Probe can seal. TLS is used for https
// addresses; nil takes the defaults.
//
// It speaks HTTP/1.1 only: there each connection carries one attempt at a
// time, so that the bytes sent on it are the attempt's.
func NewTransport(config *tls.Config) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
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
