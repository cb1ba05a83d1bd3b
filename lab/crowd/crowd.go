// Package crowd plays crowds of clients that keep to no limit: they leave bodies, heads and
// handshakes unfinished, send very slowly or without end, read nothing, and come back when they are
// closed. Tests and the soak send them to daemons.
package crowd

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
)

const (
	// dialTimeout bounds the opening of a connection, and writeTimeout each write: a daemon may
	// read nothing more.
	dialTimeout  = time.Second
	writeTimeout = time.Second
	// redialPause is the time after which a client that was closed comes back.
	redialPause = 500 * time.Millisecond
)

// Target is what a crowd is sent to.
type Target struct {
	// Address is the host:port to connect to.
	Address string
	// Host and Path are those of the requests. Header holds further lines of their heads, each with
	// its CRLF.
	Host, Path, Header string
	// BodyBytes is the size of the largest body that is within the limits.
	BodyBytes int
}

// Crowd is a number of clients of one form.
type Crowd struct {
	stop  context.CancelFunc
	group sync.WaitGroup

	mu sync.Mutex
	// begun is the number of clients that have sent what their form sends once.
	begun int
}

// Start starts a crowd of size clients, which come back when they are closed until ctx ends or Stop is
// called.
func Start(ctx context.Context, form Form, target Target, size int) *Crowd {
	ctx, stop := context.WithCancel(ctx)
	c := &Crowd{stop: stop}
	for range size {
		c.group.Go(func() { c.run(ctx, form, target) })
	}
	return c
}

// Stop closes all connections of the crowd and waits for its clients.
func (c *Crowd) Stop() {
	c.stop()
	c.group.Wait()
}

// Begun returns the number of clients that have sent what their form sends, or were closed meanwhile.
func (c *Crowd) Begun() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun
}

// run plays one client.
func (c *Crowd) run(ctx context.Context, form Form, target Target) {
	for round := 0; ctx.Err() == nil; round++ {
		conn, err := net.DialTimeout("tcp", target.Address, dialTimeout)
		if err == nil {
			ended := context.AfterFunc(ctx, func() { conn.Close() })
			form.send(ctx, &sender{conn}, target)
			if round == 0 {
				c.count()
			}
			c.hold(ctx, form, conn)
			ended()
			conn.Close()
		} else if round == 0 {
			c.count()
		}
		_ = wait.Sleep(ctx, redialPause)
	}
}

func (c *Crowd) count() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun++
}

// hold keeps a connection until the daemon closes it or ctx ends. A form that reads nothing does not
// learn that it was closed.
func (c *Crowd) hold(ctx context.Context, form Form, conn net.Conn) {
	if form.unread {
		<-ctx.Done()
		return
	}
	// It ends with the connection.
	_, _ = io.Copy(io.Discard, conn)
}

// sender writes to a connection. Its methods report whether the connection takes more.
type sender struct{ conn net.Conn }

func (s *sender) write(text string) bool {
	_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := io.WriteString(s.conn, text)
	return err == nil
}

// repeat writes texts until they hold total bytes.
func (s *sender) repeat(total int, next func(n int) string) bool {
	for n, sent := 0, 0; sent < total; n++ {
		text := next(n)
		if !s.write(text) {
			return false
		}
		sent += len(text)
	}
	return true
}
