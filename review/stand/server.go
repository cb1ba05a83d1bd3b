package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// registerRetry is the pause before a server tries again to write its entry.
const registerRetry = 100 * time.Millisecond

// bookingTime is the work of a request that is no stream.
const bookingTime = 60 * time.Millisecond

// server is a stand-in of a server of a service. It registers itself, answers what is addressed to
// it, and can crash.
type server struct {
	run     *record
	store   *store
	id      string
	service string
	version string
	address string
	slots   int
	events  int
	// first is the time to the first event of a stream, and gap the pause between two events.
	first, gap time.Duration
	// hung, if it is not nil, is closed when the server works on.
	hung chan struct{}

	mu     sync.Mutex
	born   int64
	active int
	http   *http.Server
	quit   chan struct{}
	// fault, if it is not nil, answers a request in place of the server's own answer and reports
	// whether it did.
	fault func(conn net.Conn, out *bufio.Writer, id string) bool
	// runs holds the paths of the requests that the server began to work on, by X-Attempt-Id.
	runs map[string]string
}

func (s *server) setFault(fault func(conn net.Conn, out *bufio.Writer, id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// ran reports whether the server began to work on a request.
func (s *server) ran(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id] != ""
}

// ranPaths returns the paths of the requests that the server began to work on.
func (s *server) ranPaths() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// start starts the server process at its address, or at a free port the first time.
func (s *server) start(ip string) error {
	address := s.address
	if address == "" {
		address = ip + ":0"
	}
	var listener net.Listener
	err := fmt.Errorf("not tried")
	for range 50 {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	s.mu.Lock()
	s.born, s.quit = time.Now().UnixMilli(), make(chan struct{})
	s.http = &http.Server{Handler: s}
	serving, quit := s.http, s.quit
	s.mu.Unlock()
	go serving.Serve(listener)
	go s.register(quit)
	return nil
}

// register writes the server's entry. The entry changes when more than seq changes, so that it is
// written once for each start.
func (s *server) register(quit chan struct{}) {
	entry := s.entry()
	for !s.store.put("servers", s.id, entry) {
		select {
		case <-quit:
			return
		case <-time.After(registerRetry):
		}
	}
	s.run.notef("server %s registered, version %s", s.id, s.version)
}

// entry returns what the server says of itself.
func (s *server) entry() map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": zone, "version": s.version, "slots": s.slots,
		"state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": s.born, "stage": "both",
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
	}
}

// hang lets the server take requests and work on none of them, until it crashes.
func (s *server) hang() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hung = make(chan struct{})
	s.run.notef("server %s hangs", s.id)
}

// crash ends the server process: its port is closed and its channels break off.
func (s *server) crash() {
	s.mu.Lock()
	serving := s.http
	close(s.quit)
	s.hung = nil
	s.mu.Unlock()
	_ = serving.Close()
	s.run.notef("server %s crashed", s.id)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Instance-Id", s.id)
	s.mu.Lock()
	running, fault := s.active, s.fault
	s.mu.Unlock()
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, s.slots))
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if running >= s.slots {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.active++
	s.runs[id] = r.URL.Path
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.active--
		s.mu.Unlock()
	}()
	s.run.notef("server %s (software %s) runs %s %s, %d bytes, Last-Event-Id %q, tenant %q", s.id, s.version, r.Method, id, len(body), r.Header.Get("Last-Event-Id"), r.Header.Get("X-Tenant"))
	if fault != nil {
		conn, out, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		if fault(conn, out.Writer, id) {
			return
		}
	}
	w.Header().Set("X-Server-Seal", "seal."+s.id+"."+id)
	if strings.HasPrefix(r.URL.Path, deskPath) {
		if pause(r, bookingTime) {
			fmt.Fprintf(w, "booked by %s for %s", s.id, id)
		}
		return
	}
	s.stream(w, r)
}

// stream answers with a stream of events, from the one after Last-Event-Id.
func (s *server) stream(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if !pause(r, s.first) || !s.works(r) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	for i := from + 1; i <= s.events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", i, s.version, s.id, i); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil || i < s.events && (!pause(r, s.gap) || !s.works(r)) {
			return
		}
	}
}

// works waits while the server hangs and reports whether the request goes on.
func (s *server) works(r *http.Request) bool {
	s.mu.Lock()
	hung := s.hung
	s.mu.Unlock()
	if hung == nil {
		return true
	}
	select {
	case <-hung:
		return true
	case <-r.Context().Done():
		return false
	}
}

// pause waits and reports whether the request goes on.
func pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
