package edge

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/platform"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

const (
	// endlessDeadline is the deadline of a request to an endless upstream, in
	// milliseconds.
	endlessDeadline = "1200"
	// maxHeadBytes bounds what an endless upstream can send of a head: the router's
	// limit on heads, and the kernel's buffers of both sides.
	maxHeadBytes = 32 << 20
	// maxHeapGrowth bounds what the daemon, its caller and the fake upstream allocate
	// during a request, in bytes.
	maxHeapGrowth = 64 << 20
)

// endless is an upstream that answers each request with begin, followed by repeat until
// its caller closes the connection. ID in begin stands for the request's identifier.
type endless struct {
	listener      net.Listener
	begin, repeat string
	// sent counts the written bytes, open the open connections, and served the requests
	// that were read.
	sent, open, served atomic.Int64
}

// startEndless starts an endless upstream on a loopback port.
func startEndless(t *testing.T, begin, repeat string) *endless {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	e := &endless{listener: listener, begin: begin, repeat: repeat}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

func (e *endless) serve(conn net.Conn) {
	e.open.Add(1)
	defer e.open.Add(-1)
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	e.served.Add(1)
	id := request.Header.Get(platformtest.HeaderRequestID)
	next := []byte(strings.ReplaceAll(e.begin, "ID", id))
	block := bytes.Repeat([]byte(e.repeat), 1+(16<<10)/len(e.repeat))
	for {
		n, err := conn.Write(next)
		e.sent.Add(int64(n))
		if err != nil {
			return
		}
		next = block
	}
}

// Guards against an upstream that sends bytes without end, in a head or a body: the router
// must close the connection, must not give its caller an answer that looks like a complete
// success, and must use bounded memory and time. Only where the surplus bytes follow a complete
// answer is that answer relayed. The next request is served by another upstream.
func TestEndlessAnswersAreBounded(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + platformtest.HeaderRequestID + ": ID\r\n" + platformtest.HeaderReceipt + ": seal\r\n"
	stream := head + "Content-Type: text/event-stream\r\n"
	for name, c := range map[string]struct {
		path, begin, repeat string
		// body is set if the answer's head is complete, so that its body is relayed.
		body bool
	}{
		"no line":              {"/unsafe/x", "", "x", false},
		"lines":                {"/unsafe/x", "", "no answer\r\n", false},
		"zero bytes":           {"/unsafe/x", "", "\x00", false},
		"status line":          {"/unsafe/x", "HTTP/1.1 200 ", "O", false},
		"header lines":         {"/unsafe/x", head, "X-More: more\r\n", false},
		"one header line":      {"/unsafe/x", head + "X-More: ", "x", false},
		"interim answers":      {"/unsafe/x", "", "HTTP/1.1 102 Processing\r\n\r\n", false},
		"interim with headers": {"/unsafe/x", "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", false},
		"switching protocols":  {"/unsafe/x", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", "x", false},
		"head of a stream":     {"/stream/x", stream, "X-More: more\r\n", false},
		"body without length":  {"/unsafe/x", head + "\r\n", "x", true},
		"chunks":               {"/unsafe/x", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", true},
		"chunk extension":      {"/unsafe/x", head + "Transfer-Encoding: chunked\r\n\r\n1;", "x", true},
		"chunk size":           {"/unsafe/x", head + "Transfer-Encoding: chunked\r\n\r\n", "0", true},
		"trailer":              {"/unsafe/x", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: more\r\n", true},
		"after the answer":     {"/unsafe/x", head + "Content-Length: 2\r\n\r\nok", "x", true},
		"event":                {"/stream/x", stream + "\r\ndata: ", "x", true},
		"event's lines":        {"/stream/x", stream + "\r\n", "data: x\n", true},
		"comments":             {"/stream/x", stream + "\r\n", ": x\n\n", true},
		"events":               {"/stream/x", stream + "\r\n", "id: 1\ndata: x\n\n", true},
		"stream of no events":  {"/stream/x", stream + "\r\n", "x", true},
	} {
		t.Run(name, func(t *testing.T) {
			env := start(t, 0, nil)
			bad := startEndless(t, c.begin, c.repeat)
			env.store.Put(platform.KindUpstream, "i-bad",
				platformtest.Registration("calls", bad.listener.Addr().String(), platformtest.StateReady, nil))
			env.eventually("a request reaches the endless upstream", func() bool {
				before := bad.served.Load()
				env.sendToEndless(t, "/brief/x", "early")
				return bad.served.Load() > before
			})
			bad.sent.Store(0)
			heapGrowth := watchHeap()
			status, complete := env.sendToEndless(t, c.path, "e")
			if growth := heapGrowth(); growth > maxHeapGrowth {
				t.Errorf("the heap grew by %d MiB, which is over the limit", growth>>20)
			}
			if name == "after the answer" {
				if status != http.StatusOK || !complete {
					t.Errorf("status %d, complete: %v, want the complete answer", status, complete)
				}
			} else if complete && status < http.StatusInternalServerError {
				t.Errorf("status %d of an endless answer that looks complete", status)
			}
			if !c.body && status != 0 && status < http.StatusInternalServerError {
				t.Errorf("status %d for an endless head, want 5xx or none", status)
			}
			if sent := bad.sent.Load(); !c.body && sent > maxHeadBytes {
				t.Errorf("%d bytes of an endless head were accepted, which is over the limit", sent)
			}
			env.eventually("the router has closed its connections to the endless upstream", func() bool { return bad.open.Load() == 0 })

			good := generalupstream.New("i-good")
			t.Cleanup(good.Close)
			env.register(good, "calls", platformtest.StateReady)
			env.store.Put(platform.KindUpstream, "i-bad",
				platformtest.Registration("calls", bad.listener.Addr().String(), platformtest.StateDraining, nil))
			env.eventually("the next request is served by another upstream", func() bool {
				return env.do(call{path: "/unsafe/x", id: "next"}).body == generalupstream.Answer("next")
			})
		})
	}
}

// sendToEndless sends a request with endlessDeadline. It returns the status of the answer,
// 0 for none, and whether the answer looks complete.
func (env *environment) sendToEndless(t *testing.T, path, id string) (int, bool) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+env.callers+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = host
	request.Header.Set(platformtest.HeaderRequestID, id)
	request.Header.Set(platformtest.HeaderKey, key)
	request.Header.Set(platformtest.HeaderDeadline, endlessDeadline)
	answer, err := env.client.Do(request)
	if err != nil {
		return 0, false
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err == nil
}

// watchHeap samples the size of the heap every 5 ms. It returns a function that ends the
// sampling and returns the greatest growth in bytes.
func watchHeap() func() uint64 {
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	runtime.GC()
	before, highest := heap(), uint64(0)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			highest = max(highest, heap())
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return func() uint64 {
		close(stop)
		<-stopped
		return max(highest, before) - before
	}
}
