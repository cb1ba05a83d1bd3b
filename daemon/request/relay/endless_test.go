package relay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// discardWriter is a caller that drops what it gets and counts its bytes.
type discardWriter struct {
	header http.Header
	bytes  int
}

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) WriteHeader(int)             {}
func (w *discardWriter) Write(b []byte) (int, error) { w.bytes += len(b); return len(b), nil }
func (w *discardWriter) Flush()                      {}

// listenEndless accepts connections and answers each request with a head and a burst of lines, then
// with one line every 20 ms until its caller closes. It returns the host:port.
func listenEndless(t *testing.T, head, line string, burst int) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	block := []byte(strings.Repeat(line, max(10_000/len(line), 1)))
	answer := func(conn net.Conn) {
		defer conn.Close()
		read, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, err = conn.Write([]byte(strings.ReplaceAll(head, "ID", read.Header.Get(upstream.HeaderAttempt))))
		for sent := 0; err == nil; sent += len(block) {
			if sent < burst {
				_, err = conn.Write(block)
				continue
			}
			_, err = conn.Write([]byte(line))
			time.Sleep(20 * time.Millisecond)
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answer(conn)
		}
	}()
	return listener.Addr().String()
}

// heapBytes returns the size of the heap's live and unswept objects.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against answers without end, each within its own limit, that together take more memory
// than the process has: it was killed, with the requests that a sound upstream was answering. What
// all of them hold must be bounded, those over the bound must count as the upstream's failure, and a
// sound upstream's answers must stay whole.
func TestEndlessAnswersTogetherAreBounded(t *testing.T) {
	const (
		requests, soundRequests = 200, 20
		maxAnswerBytes          = 6 << 20
		// stay is how long the callers of endless answers stay at least, and deadline at most.
		stay, deadline = 1500 * time.Millisecond, 20 * time.Second
		// maxGrowth bounds the heap: the answers and their garbage, and 150 KiB a request with the
		// buffers of both ends of its connection.
		maxGrowth = 4*maxAnswerBytes + requests*150<<10
	)
	head := "HTTP/1.1 200 OK\r\n" + upstream.HeaderAttempt + ": ID\r\n"
	stream := head + "Content-Type: text/event-stream\r\n"
	for name, c := range map[string]struct {
		kind       version.PoolKind
		head, line string
		burst      int
		// passedOn is set if the bytes are passed on as they come, which holds none of them.
		passedOn bool
		// own is set for an upstream of the product's own form.
		own bool
	}{
		"event's lines":            {version.PoolModel, stream + "\r\nid: 1\n", "data: " + strings.Repeat("x", 1000) + "\n", 1000 << 10, false, false},
		"one line":                 {version.PoolModel, stream + "\r\nid: 1\ndata: ", strings.Repeat("x", 1000), 1000 << 10, false, false},
		"IDs":                      {version.PoolModel, stream + "\r\n", "id: " + strings.Repeat("7", 1000) + "\n", 1000 << 10, false, false},
		"header lines":             {version.PoolService, head, "A: \r\n", 60 << 10, false, false},
		"one header line":          {version.PoolService, head + "X-More: ", "x", 60 << 10, false, false},
		"interim answers":          {version.PoolService, "HTTP/1.1 103 Early Hints\r\n", "Link: x\r\n", 60 << 10, false, false},
		"trailer":                  {version.PoolModel, stream + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: \r\n", 60 << 10, false, false},
		"announced length":         {version.PoolService, head + "Content-Length: 262144\r\n\r\n", strings.Repeat("x", 50), 200 << 10, true, false},
		"chunks":                   {version.PoolModel, head + "Transfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n", 400 << 10, true, false},
		"own form, event's lines":  {version.PoolModel, stream + "\r\nid: 1\n", "data: " + strings.Repeat("x", 1000) + "\n", 1000 << 10, false, true},
		"own form, header lines":   {version.PoolModel, head, "A: \r\n", 60 << 10, false, true},
		"own form, buffered chunk": {version.PoolModel, head + "Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n", 400 << 10, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			sound := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(upstream.HeaderAttempt, r.Header.Get(upstream.HeaderAttempt))
				_, _ = w.Write([]byte(strings.Repeat("y", 100<<10)))
			}))
			defer sound.Close()
			bad := &version.Upstream{ID: 1, Address: listenEndless(t, c.head, c.line, c.burst)}
			good := &version.Upstream{ID: 2, Address: sound.Listener.Addr().String()}
			accounting := &fakeAccounting{}
			accounting.setConfig(configOf(bad, good))
			transport := upstream.NewTransport(nil)
			defer transport.CloseIdleConnections()
			relay := New(Options{Accounting: accounting, Transport: transport, General: !c.own, MaxAnswerBytes: maxAnswerBytes})
			do := func(ctx context.Context, id string, target *version.Upstream, kind version.PoolKind) Result {
				result := relay.Do(&discardWriter{header: make(http.Header)}, Call{
					Grant: request.Grant{Upstream: target.ID}, Kind: kind,
					Request:           httptest.NewRequest(http.MethodPost, "/x", nil).WithContext(ctx),
					Outgoing:          request.Outgoing{ID: id},
					FirstByteDeadline: time.Now().Add(deadline), CompletionDeadline: time.Now().Add(deadline),
				})
				relay.Settle(result)
				return result
			}
			runtime.GC()
			before, highest := heapBytes(), int64(0)
			var brokenOff atomic.Int64
			var faulty, others sync.WaitGroup
			// Their callers leave after a while, but not before enough bytes have come on a slow machine.
			present, leave := context.WithCancel(t.Context())
			defer leave()
			go func() {
				for began := time.Now(); time.Since(began) < stay || !c.passedOn && brokenOff.Load() < requests/2 && time.Since(began) < deadline; {
					time.Sleep(10 * time.Millisecond)
				}
				leave()
			}()
			for i := range requests {
				faulty.Go(func() {
					result := do(present, fmt.Sprintf("e-%d", i), bad, c.kind)
					defer result.Release()
					if result.Delivery == DeliveryBuffered || result.Delivery == DeliveryComplete {
						t.Errorf("an endless answer ended with delivery %d", result.Delivery)
					}
					if result.finish.Outcome == request.OutcomeBroken {
						brokenOff.Add(1)
					}
					if !result.DisconnectedAt.IsZero() && name != "trailer" {
						t.Errorf("an answer that this process broke off counts as the end of its upstream: %v", result.Err)
					}
				})
			}
			for i := range soundRequests {
				others.Go(func() {
					time.Sleep(time.Duration(i) * 50 * time.Millisecond)
					result := do(t.Context(), fmt.Sprintf("s-%d", i), good, version.PoolService)
					defer result.Release()
					if result.Delivery != DeliveryBuffered && result.Delivery != DeliveryComplete {
						t.Errorf("an answer of a sound upstream ended with delivery %d: %v", result.Delivery, result.Err)
					}
				})
			}
			ended := make(chan struct{})
			go func() { faulty.Wait(); others.Wait(); close(ended) }()
			for waiting := true; waiting; {
				highest = max(highest, heapBytes())
				if held := relay.Answers().HeldBytes; held > maxAnswerBytes {
					t.Errorf("%d bytes are held, over the limit of %d", held, maxAnswerBytes)
				}
				select {
				case <-ended:
					waiting = false
				case <-time.After(5 * time.Millisecond):
				}
			}
			if highest-before > maxGrowth {
				t.Errorf("the heap grew by %d MiB, over %d", (highest-before)>>20, maxGrowth>>20)
			}
			if !c.passedOn && brokenOff.Load() < requests/2 {
				t.Errorf("%d of %d endless answers count as failures of their upstream, want half", brokenOff.Load(), requests)
			}
			if stats := relay.Answers(); stats.HeldBytes != 0 || stats.Upstreams != 0 {
				t.Errorf("%d bytes of %d upstreams are held at the end", stats.HeldBytes, stats.Upstreams)
			}
		})
	}
}

// Guards against a body that could not be buffered and is passed on, whose upstream then ends: the end
// must count as the upstream's, not as that of this process.
func TestEndOfAnUnbufferedBodyIsTheUpstreams(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(upstream.HeaderAttempt, r.Header.Get(upstream.HeaderAttempt))
		w.Header().Set("Content-Length", "100000")
		_, _ = w.Write([]byte(strings.Repeat("y", 50_000)))
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	target := &version.Upstream{ID: 1, Address: server.Listener.Addr().String()}
	accounting := &fakeAccounting{}
	accounting.setConfig(configOf(target))
	transport := upstream.NewTransport(nil)
	defer transport.CloseIdleConnections()
	relay := New(Options{Accounting: accounting, Transport: transport, General: true, MaxAnswerBytes: 20 << 10})
	result := relay.Do(&discardWriter{header: make(http.Header)}, Call{
		Grant: request.Grant{Upstream: target.ID}, Kind: version.PoolService,
		Request: httptest.NewRequest(http.MethodPost, "/x", nil), Outgoing: request.Outgoing{ID: "e"},
		FirstByteDeadline: time.Now().Add(10 * time.Second), CompletionDeadline: time.Now().Add(10 * time.Second),
	})
	result.Release()
	if result.Delivery != DeliveryTruncated || result.DisconnectedAt.IsZero() {
		t.Errorf("delivery %d, disconnected at %v, want the upstream's end of a truncated response", result.Delivery, result.DisconnectedAt)
	}
}
