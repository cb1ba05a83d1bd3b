package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/platform"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// smallBufferBytes is the size of the kernel buffers of the callers and upstreams of these tests, so that
// they hold little of an answer.
const smallBufferBytes = 64 << 10

// slowCall sends a request on a connection of its own and reads nothing of the answer.
func (env *environment) slowCall(path, id string) net.Conn {
	env.t.Helper()
	conn, err := net.Dial("tcp", env.callers)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { conn.Close() })
	if err := conn.(*net.TCPConn).SetReadBuffer(smallBufferBytes); err != nil {
		env.t.Fatal(err)
	}
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: 60000\r\nContent-Length: 0\r\n\r\n",
		path, host, platformtest.HeaderRequestID, id, platformtest.HeaderKey, key, platformtest.HeaderDeadline)
	return conn
}

// readSlowAnswer reads the answer to a slowCall. The error is not nil if it does not look complete.
func readSlowAnswer(conn net.Conn) (string, error) {
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

// useScripted replaces the upstream of the environment by a scripted one.
func (env *environment) useScripted(t *testing.T, script func(conn net.Conn, id string, earlier []string)) {
	t.Helper()
	var reached atomic.Int64
	address := startScripted(t, func(conn net.Conn, id string, earlier []string) {
		reached.Add(1)
		script(conn, id, earlier)
	})
	env.store.Put(platform.KindUpstream, env.upstreams[0].Instance,
		platformtest.Registration("calls", address, platformtest.StateReady, platformtest.Fields{"born": 1700000000001}))
	env.eventually("requests reach the scripted upstream", func() bool {
		before := reached.Load()
		env.status("/safe/x")
		return reached.Load() > before
	})
}

// Guards against a caller's pace that reaches the upstream, which cuts off answers that stay unread: it
// must get rid of its answer while the caller reads nothing, and the caller must still get all of it.
func TestUpstreamGetsRidOfItsAnswerWhileTheCallerDoesNotRead(t *testing.T) {
	const pieces, pieceBytes = 300, 10_000
	piece := strings.Repeat("x", pieceBytes)
	event := "data: " + piece + "\n\n"
	for name, c := range map[string]struct{ path, head, text string }{
		"plain":  {"/unsafe/x", fmt.Sprintf("Content-Length: %d\r\n", pieces*pieceBytes), piece},
		"stream": {"/stream/x", fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n", pieces*len(event)), event},
	} {
		t.Run(name, func(t *testing.T) {
			env := start(t, 1, nil)
			var rid atomic.Bool
			env.useScripted(t, func(conn net.Conn, id string, _ []string) {
				if !strings.HasPrefix(id, "slow") {
					fmt.Fprint(conn, rawAnswer(id, ""))
					return
				}
				_ = conn.(*net.TCPConn).SetWriteBuffer(smallBufferBytes)
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s\r\n",
					platformtest.HeaderRequestID, id, platformtest.HeaderReceipt, generalupstream.Receipt(id), c.head)
				for range pieces {
					if _, err := io.WriteString(conn, c.text); err != nil {
						return
					}
				}
				rid.Store(true)
			})
			conn := env.slowCall(c.path, "slow")
			env.eventually("the upstream has got rid of its answer", rid.Load)
			if body, err := readSlowAnswer(conn); err != nil || body != strings.Repeat(c.text, pieces) {
				t.Errorf("got %d bytes, error %v, want the whole answer of %d", len(body), err, pieces*len(c.text))
			}
		})
	}
}

// Guards against callers who do not read and together take the memory of the process, and against an
// answer that was given up and looks complete: all answers must be given up, their upstreams' connections
// closed, and ordinary requests served meanwhile.
func TestAnswersThatAreNotReadAreGivenUpVisibly(t *testing.T) {
	const callers = 30
	head := "HTTP/1.1 200 OK\r\n" + platformtest.HeaderRequestID + ": ID\r\n" + platformtest.HeaderReceipt + ": seal\r\n"
	for name, c := range map[string]struct{ path, begin, repeat string }{
		"chunks": {"/slow/x", head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		"events": {"/slow-stream/x", head + "Content-Type: text/event-stream\r\n\r\n", "id: 1\ndata: " + strings.Repeat("x", 1000) + "\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			env := start(t, 0, nil)
			env.configure(func(config map[string]any) {
				// Nothing else ends these answers within waitTimeout.
				slow := platformtest.Fields{"timeout_ms": 60_000}
				config["routes"] = append(config["routes"].([]any),
					platformtest.Route("slow", host, "/slow/", platformtest.KindUnsafe, "calls", slow),
					platformtest.Route("slow-stream", host, "/slow-stream/", platformtest.KindStreaming, "calls", slow))
			})
			env.eventually("the routes are known", func() bool { return env.status("/slow/x") != http.StatusNotFound })
			bad := startEndless(t, c.begin, c.repeat)
			env.store.Put(platform.KindUpstream, "i-bad",
				platformtest.Registration("calls", bad.listener.Addr().String(), platformtest.StateReady, nil))
			env.eventually("a request reaches the endless upstream", func() bool {
				before := bad.served.Load()
				env.sendToEndless(t, "/brief/x", "early")
				return bad.served.Load() > before
			})
			heapGrowth := watchHeap()
			var conns []net.Conn
			for i := range callers {
				conns = append(conns, env.slowCall(c.path, fmt.Sprintf("slow-%d", i)))
			}
			env.eventually("requests reach the endless upstream", func() bool { return bad.served.Load() > callers/2 })
			env.eventually("the upstream's connections are closed", func() bool { return bad.open.Load() == 0 })
			if growth := heapGrowth(); growth > maxHeapGrowth {
				t.Errorf("the heap grew by %d MiB, which is over the limit", growth>>20)
			}
			for i, conn := range conns {
				if body, err := readSlowAnswer(conn); err == nil && strings.Contains(body, "xxx") {
					t.Errorf("answer %d of %d bytes looks complete", i, len(body))
				}
			}
			good := generalupstream.New("i-good")
			t.Cleanup(good.Close)
			env.register(good, "calls", platformtest.StateReady)
			env.store.Put(platform.KindUpstream, "i-bad",
				platformtest.Registration("calls", bad.listener.Addr().String(), platformtest.StateDraining, nil))
			env.eventually("the next request is served", func() bool {
				return env.do(call{path: "/unsafe/x", id: "next"}).body == generalupstream.Answer("next")
			})
		})
	}
}
