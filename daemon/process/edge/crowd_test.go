package edge

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"
)

// herd is a listener at which many connections wait.
type herd struct {
	net.Listener
	waiting, closed int
}

func (h *herd) Accept() (net.Conn, error) {
	if h.waiting == 0 {
		return nil, io.EOF
	}
	h.waiting--
	return counted{closed: &h.closed}, nil
}

// counted is a connection that counts how often it is closed.
type counted struct {
	net.Conn
	closed *int
}

func (c counted) Close() error {
	*c.closed++
	return nil
}

// A VM of 112 MB ended for want of memory when the callers of others came to it: with
// 955 to be kept, 2,272 were open, each with its buffers and a goroutine that waited
// for the processor.
func TestAHerdDoesNotTakeMoreThanItsPartOfTheConnections(t *testing.T) {
	c := newCrowd(8192, 100)
	h := &herd{waiting: 500}
	taken := 0
	for {
		conn, err := (gate{h, c, newIntake(0, slog.New(slog.DiscardHandler))}).Accept()
		if err != nil {
			break
		}
		c.track(conn, http.StateNew)
		taken++
		if taken == 150 {
			// One ends, so another one may come.
			c.track(conn, http.StateClosed)
		}
	}
	if taken != 151 || h.closed != 349 || c.open.Load() != 150 {
		t.Errorf("%d taken, %d closed, %d open", taken, h.closed, c.open.Load())
	}
	if !c.full() {
		t.Error("connections are kept")
	}
	if c := newCrowd(100, 1000); c.limit != 40 {
		t.Errorf("limit %d with 100 descriptors", c.limit)
	}
}

// A VM that was a second behind used up its processor on refusals: of 1,000 requests a
// second it refused 29 in 30, and the other one was late (FAIR on hot-account).
func TestAProcessThatIsBehindClosesConnectionsUnread(t *testing.T) {
	const waiting = 1000
	late := newIntake(0, slog.New(slog.DiscardHandler))
	h := &herd{waiting: waiting}
	taken := 0
	for {
		late.measured(time.Second)
		if _, err := (gate{h, newCrowd(8192, waiting), late}).Accept(); err != nil {
			break
		}
		taken++
	}
	if taken == 0 || taken > waiting/4 || taken+h.closed != waiting {
		t.Errorf("%d of %d taken, %d closed", taken, waiting, h.closed)
	}
}
