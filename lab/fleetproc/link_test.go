package fleetproc

import (
	"io"
	"net"
	"sync"
	"testing"
)

// cuttable stands before a daemon's peer listener and can cut its links.
type cuttable struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func newCuttable(t *testing.T, target string) *cuttable {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &cuttable{listener: listener, target: target}
	t.Cleanup(func() {
		listener.Close()
		c.set(true)
	})
	go c.accept()
	return c
}

// set cuts the links and refuses new ones, or allows them again.
func (c *cuttable) set(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
	if cut {
		for _, conn := range c.conns {
			conn.Close()
		}
		c.conns = nil
	}
}

func (c *cuttable) accept() {
	for {
		near, err := c.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", c.target)
		if err != nil || !c.keep(near, far) {
			near.Close()
			continue
		}
		go relay(near, far)
		go relay(far, near)
	}
}

// keep notes a link's two halves unless links are cut.
func (c *cuttable) keep(near, far net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut {
		far.Close()
		return false
	}
	c.conns = append(c.conns, near, far)
	return true
}

func relay(to, from net.Conn) {
	// Either end may be cut at any time.
	_, _ = io.Copy(to, from)
	to.Close()
	from.Close()
}
