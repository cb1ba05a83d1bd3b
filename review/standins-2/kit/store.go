// Package kit holds the stand-ins that the cases of the second review share: the platform's
// store, servers, machines that run the project's program, and the record of a run.
package kit

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of objects in a page of a list.
const pageItems = 500

// pageBytes is the size of a page, in bytes, from which no further object is added.
const pageBytes = 1 << 20

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind     string
	revision uint64
	at       time.Time
}

// Store is the platform's store, in memory.
type Store struct {
	// Address is its host:port.
	Address string
	// History is how long it keeps its history.
	History time.Duration

	mu       sync.Mutex
	kinds    map[string]map[string]object
	revision uint64
	events   []event
	// dropped is the newest revision that is not in the history any more.
	dropped uint64
	changed chan struct{}
	// spoken is closed once the store is not silent; nil while it is not.
	spoken chan struct{}
	// configRead is closed and replaced when the config is read.
	configRead chan struct{}
	server     *http.Server
}

// AwaitConfigRead waits until the config has been read once more.
func (s *Store) AwaitConfigRead() {
	s.mu.Lock()
	read := s.configRead
	s.mu.Unlock()
	<-read
}

// SetSilent makes the store hold every call without an answer, or ends that. What servers write
// meanwhile is lost; they write again.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case silent && s.spoken == nil:
		s.spoken = make(chan struct{})
		// Watches that wait look at it again.
		close(s.changed)
		s.changed = make(chan struct{})
	case !silent && s.spoken != nil:
		close(s.spoken)
		s.spoken = nil
	}
}

// awaitSpeech waits while the store is silent. A call that came meanwhile, or waited, gets no answer.
func (s *Store) awaitSpeech(r *http.Request) {
	s.mu.Lock()
	spoken := s.spoken
	s.mu.Unlock()
	if spoken == nil {
		return
	}
	select {
	case <-spoken:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// NewStore starts a store at address.
func NewStore(address string, history time.Duration) (*Store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{
		Address: listener.Addr().String(), History: history, kinds: make(map[string]map[string]object),
		revision: 100, dropped: 100, changed: make(chan struct{}), configRead: make(chan struct{}),
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes an object without a condition, as the operator and the servers do.
func (s *Store) Put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.spoken == nil {
		s.put(kind, name, text)
	}
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Names returns the names of the objects of a kind, sorted.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names(kind, "")
}

func (s *Store) names(kind, after string) []string {
	names := []string{}
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (s *Store) put(kind, name string, spec json.RawMessage) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	stored, present := s.kinds[kind][name]
	if present && string(stored.Spec) == string(spec) {
		return stored
	}
	s.revision++
	if !present {
		stored.Metadata = metadata{Name: name, Created: s.revision, Finalizers: []string{}}
	}
	stored.Metadata.Revision, stored.Spec = s.revision, spec
	s.kinds[kind][name] = stored
	s.note(event{Object: stored, kind: kind, revision: s.revision, at: time.Now()})
	return stored
}

func (s *Store) remove(kind, name string) {
	stored, present := s.kinds[kind][name]
	if !present {
		return
	}
	s.revision++
	delete(s.kinds[kind], name)
	s.note(event{Object: stored, Deleted: true, kind: kind, revision: s.revision, at: time.Now()})
}

func (s *Store) note(e event) {
	s.events = append(s.events, e)
	for len(s.events) > 0 && time.Since(s.events[0].at) > s.History {
		s.dropped = s.events[0].revision
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, found := strings.CutPrefix(r.URL.Path, "/-/objects/")
	if !found {
		http.NotFound(w, r)
		return
	}
	s.awaitSpeech(r)
	w.Header().Set("Store-Era", "1")
	kind, name, single := strings.Cut(path, "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && single:
		s.get(w, kind, name)
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind, query.Get("after"))
	default:
		s.write(w, r, kind, name)
	}
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	stored, present := s.kinds[kind][name]
	if kind == "config" {
		defer func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			close(s.configRead)
			s.configRead = make(chan struct{})
		}()
	}
	s.mu.Unlock()
	if !present {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	answer(w, http.StatusOK, stored)
}

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	names := s.names(kind, after)
	items, size := []object{}, 0
	for _, name := range names {
		if len(items) == pageItems || len(items) > 0 && size > pageBytes {
			break
		}
		items = append(items, s.kinds[kind][name])
		size += len(s.kinds[kind][name].Spec)
	}
	asOf := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "more": len(items) < len(names), "as_of": asOf})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMS, errWait := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || errWait != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	timeout := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.awaitSpeech(r)
		s.mu.Lock()
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		gone, asOf, changed := since < s.dropped, s.revision, s.changed
		s.mu.Unlock()
		switch {
		case gone:
			answer(w, http.StatusGone, map[string]any{})
			return
		case len(events) > 0:
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			s.awaitSpeech(r)
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": max(since, asOf)})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body object
	if r.Method != http.MethodDelete {
		text, err := io.ReadAll(r.Body)
		if err != nil || json.Unmarshal(text, &body) != nil {
			answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
	}
	if name == "" {
		name = body.Metadata.Name
	}
	condition := body.Metadata.Revision
	if r.Method == http.MethodDelete {
		condition, _ = strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, present := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && present:
		answer(w, http.StatusConflict, stored)
	case r.Method != http.MethodPost && !present:
		answer(w, http.StatusNotFound, map[string]any{})
	case r.Method != http.MethodPost && condition != 0 && condition != stored.Metadata.Revision:
		answer(w, http.StatusConflict, stored)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		answer(w, http.StatusOK, stored)
	default:
		answer(w, http.StatusOK, s.put(kind, name, body.Spec))
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has closed its channel.
	_ = json.NewEncoder(w).Encode(body)
}
