package kit

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Work is a request that a server runs.
type Work struct {
	Server *Server
	ID     string
	At     time.Time
}

// Server is a server of a service: it registers itself in the store and runs what is meant for it.
type Server struct {
	ID, Service, Zone, Version string
	Slots                      int
	Address                    string
	// Serve runs a request, whose identifier and receipt are set in the answer already.
	Serve func(w http.ResponseWriter, r *http.Request, work Work)
	// Full reports whether a request is rejected as by a server that is full; nil rejects none.
	Full func(r *http.Request) bool
	// OnRun is called for each request that is run.
	OnRun func(work Work)

	store *Store
	http  *http.Server
	born  int64
	mu    sync.Mutex
	runs  int
	// closed is set once it has ended.
	closed bool
	stop   chan struct{}
}

// Start starts the server at ip and registers it until Close.
func (s *Server) Start(store *Store, ip string) error {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(serverPort)))
	if err != nil {
		return err
	}
	s.store, s.Address, s.born, s.stop = store, listener.Addr().String(), time.Now().UnixMilli(), make(chan struct{})
	s.http = &http.Server{Handler: s, IdleTimeout: 15 * time.Second}
	go func() { _ = s.http.Serve(listener) }()
	s.register()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-s.stop:
				return
			case <-ticker.C:
				s.register()
			}
		}
	}()
	return nil
}

// heartbeat is heartbeat_ms.
const heartbeat = 1200 * time.Millisecond

// register writes the server's entry. An entry changes only when more than its seq changes, so seq stays the same
// here, and the store takes a write that changes nothing for none.
func (s *Server) register() {
	s.store.Put("servers", s.ID, Fields{
		"service": s.Service, "address": s.Address, "zone": s.Zone, "version": s.Version, "slots": s.Slots, "state": "ready",
		"cold_remaining_ms": 0, "seq": 1, "born": s.born,
	})
}

// Close ends the server: its channels break off and its address refuses new ones.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.stop)
	_ = s.http.Close()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	id := r.Header.Get("X-Attempt-Id")
	if id != "" {
		header.Set("X-Attempt-Id", id)
	}
	if r.URL.Path == "/health" {
		header.Set("X-Instance-Id", s.ID)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.ID {
		header.Set("X-Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.Full != nil && s.Full(r) {
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.runs++
	seal := fmt.Sprintf("%s.%d", s.ID, s.runs)
	s.mu.Unlock()
	header.Set("X-Server-Seal", seal)
	work := Work{Server: s, ID: id, At: time.Now()}
	if s.OnRun != nil {
		s.OnRun(work)
	}
	s.Serve(w, r, work)
}
