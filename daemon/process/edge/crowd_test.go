package edge

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"syscall"
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
		conn, err := (&gate{Listener: h, crowd: c, intake: newIntake(0, slog.New(slog.DiscardHandler)), desk: newDesk()}).Accept()
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
func TestAProcessThatIsBehindTurnsConnectionsAway(t *testing.T) {
	const waiting = 1000
	late := newIntake(0, slog.New(slog.DiscardHandler))
	h := &herd{waiting: waiting}
	taken := 0
	for {
		late.measured(time.Second)
		if _, err := (&gate{Listener: h, crowd: newCrowd(8192, waiting), intake: late, desk: newDesk()}).Accept(); err != nil {
			break
		}
		taken++
	}
	if taken == 0 || taken > waiting/4 || taken+h.closed != waiting {
		t.Errorf("%d of %d taken, %d closed", taken, waiting, h.closed)
	}
}

// 5,500 connections a second came to a VM of 0.192 cores, and closing them through the
// runtime left it 1.6 s behind: runs went on after their callers had left (GONE on scale-2
// of grown Ribglue). Closed unread, some callers took that for a failure (22,930 requests on
// quiet-1 of large Queensland): each gets a refusal.
func TestConnectionsThatWaitAreTurnedAwayInOneGo(t *testing.T) {
	const waiting = 100
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var callers []net.Conn
	for range waiting {
		caller, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer caller.Close()
		if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		callers = append(callers, caller)
	}
	late := newIntake(0, slog.New(slog.DiscardHandler))
	for range 100 {
		late.measured(time.Second)
	}
	accepted := &accepts{Listener: listener}
	desk := newDesk()
	go func() { _ = desk.Run(t.Context()) }()
	g := &gate{Listener: accepted, crowd: newCrowd(8192, waiting), intake: late, desk: desk}
	taken := 0
	for taken+int(late.connectionsTurnedAway()) < waiting {
		conn, err := g.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		taken++
	}
	if taken == 0 || taken > waiting/10 || accepted.calls > 2*taken+1 {
		t.Errorf("%d of %d taken, %d accepted by the runtime", taken, waiting, accepted.calls)
	}
	refused := 0
	for _, caller := range callers {
		_ = caller.SetReadDeadline(time.Now().Add(time.Second))
		answer, err := http.ReadResponse(bufio.NewReader(caller), nil)
		if err != nil {
			// It was taken, and nobody serves it here.
			continue
		}
		if _, err := io.ReadAll(answer.Body); err == nil && answer.StatusCode == http.StatusServiceUnavailable {
			refused++
		}
	}
	if refused != waiting-taken {
		t.Errorf("%d of %d callers are refused", refused, waiting-taken)
	}
}

// accepts counts what the runtime accepts.
type accepts struct {
	net.Listener
	calls int
}

func (a *accepts) Accept() (net.Conn, error) {
	a.calls++
	return a.Listener.Accept()
}

func (a *accepts) SyscallConn() (syscall.RawConn, error) {
	return a.Listener.(syscall.Conn).SyscallConn()
}
