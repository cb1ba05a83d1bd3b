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
	// endlessDeadline bounds a request to an upstream that never ends, in milliseconds.
	endlessDeadline = "1200"
	// headMost is what may be taken in of a head that never ends: the bound on heads and
	// what the kernel's buffers of both sides hold.
	headMost = 32 << 20
	// memoryMost is what the daemon, its caller and the stand-in may allocate meanwhile.
	memoryMost = 64 << 20
)

// endless is an upstream that answers each request with a beginning and then the same
// bytes until its caller closes.
type endless struct {
	listener      net.Listener
	begin, repeat string
	// sent counts the bytes that were written, and open the connections.
	sent, open, served atomic.Int64
}

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

// Bytes that are no answer may come without end, in a head or a body, until the caller
// closes. The router closes, its caller gets a final answer that is no whole success, and
// neither memory nor time goes without bound.
func TestBytesWithoutEndEndWithTheConnection(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + platformtest.HeaderRequestID + ": ID\r\n" + platformtest.HeaderReceipt + ": seal\r\n"
	stream := head + "Content-Type: text/event-stream\r\n"
	for name, c := range map[string]struct {
		path, begin, repeat string
		// body is set if the answer's head is whole, so that its body is relayed.
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
			w := start(t, 0, nil)
			bad := startEndless(t, c.begin, c.repeat)
			w.store.Put(platform.KindUpstream, "i-bad",
				platformtest.Registration("calls", bad.listener.Addr().String(), platformtest.Ready, nil))
			w.eventually("used", func() bool {
				before := bad.served.Load()
				w.endless(t, "/brief/x", "early")
				return bad.served.Load() > before
			})
			bad.sent.Store(0)
			watched := watchMemory()
			status, whole := w.endless(t, c.path, "e")
			if grown := watched(); grown > memoryMost {
				t.Errorf("%d MB were allocated", grown>>20)
			}
			if name == "after the answer" {
				if status != http.StatusOK || !whole {
					t.Errorf("status %d, whole %v of an answer that is whole", status, whole)
				}
			} else if whole && status < http.StatusInternalServerError {
				t.Errorf("status %d, looks whole", status)
			}
			if !c.body && status != 0 && status < http.StatusInternalServerError {
				t.Errorf("status %d for what is no answer", status)
			}
			if sent := bad.sent.Load(); !c.body && sent > headMost {
				t.Errorf("%d bytes of a head were taken in", sent)
			}
			w.eventually("closed", func() bool { return bad.open.Load() == 0 })

			good := generalupstream.New("i-good")
			t.Cleanup(good.Close)
			w.register(good, "calls", platformtest.Ready)
			w.store.Put(platform.KindUpstream, "i-bad",
				platformtest.Registration("calls", bad.listener.Addr().String(), platformtest.Draining, nil))
			w.eventually("served by another upstream", func() bool {
				return w.do(call{path: "/unsafe/x", id: "next"}).body == generalupstream.Answer("next")
			})
		})
	}
}

// endless sends a request and returns the status of its answer, 0 for none, and whether
// it looks whole.
func (w *world) endless(t *testing.T, path, id string) (int, bool) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+w.callers+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = host
	request.Header.Set(platformtest.HeaderRequestID, id)
	request.Header.Set(platformtest.HeaderKey, key)
	request.Header.Set(platformtest.HeaderDeadline, endlessDeadline)
	answer, err := w.client.Do(request)
	if err != nil {
		return 0, false
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err == nil
}

// watchMemory returns a function that ends the watch and returns by how much the heap
// grew at most.
func watchMemory() func() uint64 {
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	runtime.GC()
	before, most := heap(), uint64(0)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			most = max(most, heap())
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
		return max(most, before) - before
	}
}
