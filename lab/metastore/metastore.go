// Package metastore is an in-memory fake of the metadata store of the users'
// platform: objects by kind and name, one revision counter for the whole store,
// paged lists, watches and conditional writes. Tests inject faults into it.
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
	"sync/atomic"
	"time"

	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// objectsPath is the path prefix under which objects are served.
const objectsPath = platformtest.ObjectsPath

// pageSize is the number of objects in a page of a list. It is small so that
// tests see lists of several pages.
const pageSize = 5

// faultSeed seeds the random faults. It is fixed so that a run can be repeated.
const faultSeed = 1

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

// event is one change of an object, as watches report it.
type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind     string
	revision uint64
}

// Store is the fake metadata store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	kinds    map[string]map[string]object
	revision uint64
	// era counts the returns from older copies, from 1. Every answer names it.
	era     atomic.Uint64
	history []event
	// compactedRevision is the newest revision whose event is no longer in
	// history. A watch from an earlier revision is answered with 410 Gone.
	compactedRevision uint64
	faults            Faults
	limits            limits
	// pendingVMLists are the lists of VMs that are not visible yet, oldest first.
	pendingVMLists []vmList
	random         *rand.Rand
	counts         Counts
	// changed is closed and replaced at each change of objects or faults.
	changed chan struct{}
	closed  chan struct{}
}

// New returns an empty store.
func New() *Store {
	s := &Store{
		kinds:    make(map[string]map[string]object),
		revision: 100,
		random:   rand.New(rand.NewPCG(faultSeed, faultSeed)),
		changed:  make(chan struct{}),
		closed:   make(chan struct{}),
	}
	s.era.Store(1)
	return s
}

// Close ends pending watches and calls that are held without an answer.
func (s *Store) Close() { close(s.closed) }

// DropHistory drops the history, so that watches from an earlier revision fail.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatches()
}

// Put creates or replaces an object without a precondition, as the operator and
// the upstreams do. It panics if the spec cannot be encoded.
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

// put creates or replaces an object and returns the result. It keeps the revision
// if the spec is unchanged. s.mu must be held.
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
	stored.Metadata.Revision = s.revision
	stored.Spec = spec
	s.kinds[kind][name] = stored
	s.record(event{Object: stored, kind: kind, revision: s.revision})
	return stored
}

// remove deletes an object and reports whether it existed. s.mu must be held.
func (s *Store) remove(kind, name string) bool {
	stored, present := s.kinds[kind][name]
	if !present {
		return false
	}
	s.revision++
	delete(s.kinds[kind], name)
	s.record(event{Object: stored, Deleted: true, kind: kind, revision: s.revision})
	return true
}

// record appends an event to the history. s.mu must be held.
func (s *Store) record(e event) {
	s.history = append(s.history, e)
	s.notifyWatches()
}

// notifyWatches lets every pending watch look at objects and faults again. s.mu
// must be held.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, controlPath) {
		s.control(w, r)
		return
	}
	path, found := strings.CutPrefix(r.URL.Path, objectsPath)
	if !found {
		http.NotFound(w, r)
		return
	}
	if s.injectFaults(w, r) {
		return
	}
	w = &eraWriter{ResponseWriter: w, store: s}
	s.applyDueVMLists()
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

// eraWriter adds the store's era to an answer when its header is written.
type eraWriter struct {
	http.ResponseWriter
	store *Store
	named bool
}

func (w *eraWriter) WriteHeader(status int) {
	if !w.named {
		w.named = true
		w.Header().Set(platformtest.HeaderEra, strconv.FormatUint(w.store.era.Load(), 10))
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *eraWriter) Write(text []byte) (int, error) {
	if !w.named {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(text)
}

// hang holds a call until its caller disconnects or the store is closed, and then
// aborts it without an answer.
func (s *Store) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-s.closed:
	}
	panic(http.ErrAbortHandler)
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	stored, present := s.kinds[kind][name]
	s.mu.Unlock()
	if !present {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, stored)
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
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.kinds[kind][name])
	}
	writeJSON(w, map[string]any{"items": items, "more": len(names) > pageSize, "as_of": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMS, errWait := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		events, compacted, asOf, changed, faults := s.eventsSince(kind, since), since < s.compactedRevision || since > s.revision, s.revision, s.changed, s.faults
		s.mu.Unlock()
		switch {
		case faults.Silent:
			s.hang(r)
		case faults.Refuse != 0:
			w.WriteHeader(faults.Refuse)
			return
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 && !faults.WithholdEvents:
			writeJSON(w, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			// Only what was looked at above is known to hold no event.
			if faults.WithholdEvents {
				asOf = since
			}
			writeJSON(w, map[string]any{"events": []event{}, "as_of": max(since, asOf)})
			return
		case <-r.Context().Done():
			return
		case <-s.closed:
			return
		}
	}
}

// eventsSince returns the events of a kind after a revision, oldest first. s.mu
// must be held.
func (s *Store) eventsSince(kind string, revision uint64) []event {
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
	late := s.faults.StatusWritesLate
	if isStatusWrite(r.Method, name) && late > 0 {
		s.mu.Unlock()
		s.applyLate(late, kind, name, body)
		panic(http.ErrAbortHandler)
	}
	status, result := s.apply(r.Method, kind, name, body)
	loseAnswer := s.faults.LoseWriteAnswers || s.random.Float64() < s.faults.LoseWriteAnswersFraction
	s.mu.Unlock()
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	writeJSON(w, result)
}

// apply executes a write if its precondition holds and returns the HTTP status
// and, for http.StatusOK, the object as written or deleted. s.mu must be held.
func (s *Store) apply(method, kind, name string, body object) (int, object) {
	if isStatusWrite(method, name) {
		return s.applyStatus(kind, strings.TrimSuffix(name, statusPath), body)
	}
	stored, present := s.kinds[kind][name]
	switch {
	case method == http.MethodPost && present:
		return http.StatusConflict, stored
	case method == http.MethodPut && !present:
		return http.StatusNotFound, object{}
	case method == http.MethodDelete && !present:
		return http.StatusNotFound, object{}
	case method != http.MethodPost && body.Metadata.Revision != 0 && body.Metadata.Revision != stored.Metadata.Revision:
		return http.StatusConflict, stored
	case method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, stored
	}
	return http.StatusOK, s.put(kind, name, body.Spec)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// The error is ignored: it means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
