package soak

import (
	"net"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// firstPort and lastPort bound the ports of daemons and proxies. They lie below
	// those that the kernel gives to outgoing connections: one of them may take a port
	// while its daemon restarts.
	firstPort = 10_000
	lastPort  = 32_000
	// portsStep sets soaks apart that run at the same time.
	portsStep = 487
)

// ports hands out ports that stay the soak's own.
type ports struct{ next int }

func newPorts() *ports {
	return &ports{next: firstPort + os.Getpid()*portsStep%(lastPort-firstPort)}
}

// listen listens on the next port that nobody has.
func (p *ports) listen() (net.Listener, error) {
	for range lastPort - firstPort {
		port := p.next
		if p.next++; p.next == lastPort {
			p.next = firstPort
		}
		listener, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err == nil {
			return listener, nil
		}
	}
	return nil, errors.New("no port is free")
}

// address returns an address that nobody has.
func (p *ports) address() (string, error) {
	listener, err := p.listen()
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), errors.Wrap(listener.Close(), "free port")
}
