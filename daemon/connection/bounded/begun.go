package bounded

import (
	"net"
	"sync/atomic"
)

// BegunConn is a TCP connection whose first bytes were read before its server got it.
type BegunConn struct {
	*net.TCPConn
	// read are the bytes that are still to be returned by Read.
	read []byte
	// unread is set while read is not empty.
	unread atomic.Bool
}

// NewBegunConn returns a connection whose reads return read first.
func NewBegunConn(tcp *net.TCPConn, read []byte) *BegunConn {
	c := &BegunConn{TCPConn: tcp, read: read}
	c.unread.Store(len(read) > 0)
	return c
}

// Read implements net.Conn.
func (c *BegunConn) Read(b []byte) (int, error) {
	if len(c.read) == 0 {
		return c.TCPConn.Read(b)
	}
	n := copy(b, c.read)
	if c.read = c.read[n:]; len(c.read) == 0 {
		c.read = nil
		c.unread.Store(false)
	}
	return n, nil
}
