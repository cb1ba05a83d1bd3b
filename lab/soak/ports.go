package soak

import (
	"net"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// firstPort and lastPort bound the ports of daemons and proxies. They lie below
	// the ephemeral ports of the kernel: an outgoing connection could otherwise take a
	// daemon's port while the daemon restarts.
	firstPort = 10_000
	lastPort  = 32_000
	// portStride separates the first ports of soak processes that run at the same
	// time. It is multiplied by the process id.
	portStride = 487
)

// ports allocates ports to the daemons and proxies of a soak, in order. It gives out
// no port a second time before it has reached lastPort.
type ports struct{ next int }

func newPorts() *ports {
	return &ports{next: firstPort + os.Getpid()*portStride%(lastPort-firstPort)}
}

// listen listens on the next free port. It returns an error if none is free.
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
	return nil, errors.New("no free port on the loopback interface")
}

// address returns a loopback address whose port is free.
func (p *ports) address() (string, error) {
	listener, err := p.listen()
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), errors.Wrap(listener.Close(), "release port")
}
