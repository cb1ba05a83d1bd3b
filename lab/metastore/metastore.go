// Package metastore is a small stand-in for the metadata store of the users'
// platform: objects by kind and name, one revision for all, lists, watches and
// conditional writes. Tests make it fail.
package metastore

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// root is the path under which objects are served.
const root = "/-/objects/"

// pageItems is how many objects a page of a list has. It is small, so that tests
// see lists of several pages.
const pageItems = 5

// seed feeds the random faults, so that a run can be repeated.
const seed = 1

// object is one stored object.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// event is a change of one object.
type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind     string
	revision uint64
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	kinds    map[string]map[string]object
	revision uint64
	history  []event
	// forgotten is the newest revision whose history is gone.
	forgotten uint64
	faults    Faults
	limits    limits
	// listings are the lists of VMs that do not show yet.
	listings []listing
	random   *rand.Rand
	counts   Counts
	// changed is closed and replaced at each change of objects or faults.
	changed chan struct{}
	closed  chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{
		kinds:    make(map[string]map[string]object),
		revision: 100,
		random:   rand.New(rand.NewPCG(seed, seed)),
		changed:  make(chan struct{}),
		closed:   make(chan struct{}),
	}
}

// Close ends the calls that wait.
func (s *Store) Close() { close(s.closed) }

// Forget drops the history.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgotten = nil, s.revision
	s.wake()
}

// Put writes an object as the operator and the upstreams do.
func (s *Store) Put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, text)
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) put(kind, name string, spec json.RawMessage) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	known, present := s.kinds[kind][name]
	if present && string(known.Spec) == string(spec) {
		return known
	}
	s.revision++
	if !present {
		known.Metadata = metadata{Name: name, Created: s.revision, Finalizers: []string{}}
	}
	known.Metadata.Revision = s.revision
	known.Spec = spec
	s.kinds[kind][name] = known
	s.note(event{Object: known, kind: kind, revision: s.revision})
	return known
}

func (s *Store) remove(kind, name string) bool {
	known, present := s.kinds[kind][name]
	if !present {
		return false
	}
	s.revision++
	delete(s.kinds[kind], name)
	s.note(event{Object: known, Deleted: true, kind: kind, revision: s.revision})
	return true
}

func (s *Store) note(e event) {
	s.history = append(s.history, e)
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, controlPath) {
		s.control(w, r)
		return
	}
	path, found := strings.CutPrefix(r.URL.Path, root)
	if !found {
		http.NotFound(w, r)
		return
	}
	if s.disturb(w, r) {
		return
	}
	s.showVMs()
	kind, name, single := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && single:
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	default:
		s.write(w, r, kind, name)
	}
}

func (s *Store) waitUntilGone(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.closed:
	}
	panic(http.ErrAbortHandler)
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	known, present := s.kinds[kind][name]
	s.mu.Unlock()
	if !present {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, known)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := []object{}
	for _, name := range names[:min(len(names), pageItems)] {
		items = append(items, s.kinds[kind][name])
	}
	answer(w, map[string]any{"items": items, "more": len(names) > pageItems, "as_of": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	millis, errWait := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	over := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer over.Stop()
	for {
		s.mu.Lock()
		events, gone, asOf, changed, faults := s.since(kind, since), since < s.forgotten, s.revision, s.changed, s.faults
		s.mu.Unlock()
		switch {
		case faults.Silent:
			s.waitUntilGone(r)
		case faults.Refuse != 0:
			w.WriteHeader(faults.Refuse)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 && !faults.Deaf:
			answer(w, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-over.C:
			answer(w, map[string]any{"events": []event{}, "as_of": max(since, s.heardUntil(since, faults))})
			return
		case <-r.Context().Done():
			return
		case <-s.closed:
			return
		}
	}
}

// heardUntil is the revision up to which a watch has heard everything.
func (s *Store) heardUntil(since uint64, faults Faults) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Deaf {
		return since
	}
	return s.revision
}

func (s *Store) since(kind string, revision uint64) []event {
	var events []event
	for _, e := range s.history {
		if e.kind == kind && e.revision > revision {
			events = append(events, e)
		}
	}
	return events
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body object
	if r.Method != http.MethodDelete {
		text, err := io.ReadAll(r.Body)
		if err != nil || json.Unmarshal(text, &body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if name == "" {
		name = body.Metadata.Name
	}
	if r.Method == http.MethodDelete && r.URL.Query().Has("revision") {
		revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		body.Metadata.Revision = revision
	}
	s.mu.Lock()
	status, result := s.apply(r.Method, kind, name, body)
	lose := s.faults.LoseWrites || s.random.Float64() < s.faults.LoseShare
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	answer(w, result)
}

// apply carries out a write.
func (s *Store) apply(method, kind, name string, body object) (int, object) {
	known, present := s.kinds[kind][name]
	switch {
	case method == http.MethodPost && present:
		return http.StatusConflict, known
	case method == http.MethodPut && !present:
		return http.StatusNotFound, object{}
	case method == http.MethodDelete && !present:
		return http.StatusNotFound, object{}
	case method != http.MethodPost && body.Metadata.Revision != 0 && body.Metadata.Revision != known.Metadata.Revision:
		return http.StatusConflict, known
	case method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, known
	}
	return http.StatusOK, s.put(kind, name, body.Spec)
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that is gone needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}
