package main

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	objectsPath = "/-/objects/"
	// storeLatency is the time of one answer of the store, as in the site files.
	storeLatency = 4 * time.Millisecond
	// pageObjects and pageBytes bound one page of a list.
	pageObjects = 500
	pageBytes   = 1 << 20
	maxWatch    = 30 * time.Second
)

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
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
	kind     string
	revision uint64
}

// store is a stand-in of the platform's store: one revision counter, lists, watches and
// conditional writes.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	events   []event
	changed  chan struct{}
	// down is set while the store answers nobody; back is closed when it answers again.
	down bool
	back chan struct{}
	// era is what Store-Era says: it rises when the store returns from a copy.
	era uint64
}

// copied is a copy of what the store held.
type copied struct {
	revision uint64
	kinds    map[string]map[string]object
	events   []event
}

func (s *store) copy() copied {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := copied{revision: s.revision, kinds: make(map[string]map[string]object), events: slices.Clone(s.events)}
	for kind, objects := range s.kinds {
		c.kinds[kind] = maps.Clone(objects)
	}
	return c
}

// returnFrom lets the store that is away answer again, from a copy.
func (s *store) returnFrom(c copied) {
	s.mu.Lock()
	s.revision, s.events, s.kinds = c.revision, slices.Clone(c.events), make(map[string]map[string]object)
	for kind, objects := range c.kinds {
		s.kinds[kind] = maps.Clone(objects)
	}
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	s.setDown(false)
}

func newStore(ip string) (*store, error) {
	s := &store{era: 1, revision: 100, kinds: make(map[string]map[string]object), changed: make(chan struct{})}
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s}
	go s.server.Serve(listener)
	return s, nil
}

// setDown makes the store answer nobody, or answer again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down {
		s.back = make(chan struct{})
	} else if s.down {
		close(s.back)
	}
	s.down = down
}

// put writes an object as the operator and the servers do, and reports whether the store has
// accepted it.
func (s *store) put(kind, name string, spec any) bool {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		s.write(kind, name, text, nil)
	}
	return !s.down
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
}

func (s *store) write(kind, name string, spec json.RawMessage, finalizers []string) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	o, present := s.kinds[kind][name]
	if present && bytes.Equal(o.Spec, spec) {
		return o
	}
	s.revision++
	if !present {
		o.Metadata = metadata{Name: name, Created: s.revision}
	}
	o.Metadata.Revision, o.Metadata.Finalizers, o.Spec = s.revision, finalizers, spec
	s.kinds[kind][name] = o
	s.record(event{Object: o, kind: kind, revision: s.revision})
	return o
}

func (s *store) drop(kind, name string) {
	o, present := s.kinds[kind][name]
	if !present {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	s.record(event{Object: o, Deleted: true, kind: kind, revision: s.revision})
}

func (s *store) record(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	down, back, era := s.down, s.back, s.era
	s.mu.Unlock()
	if down {
		// No answer, and nothing is done.
		select {
		case <-back:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	query := r.URL.Query()
	if r.Method == http.MethodGet && !named && query.Has("watch") {
		s.watch(w, r, kind, era)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, present := s.kinds[kind][name]
	switch r.Method {
	case http.MethodGet:
		switch {
		case !named:
			s.list(w, kind, query.Get("after"))
		case !present:
			reply(w, http.StatusNotFound, nil)
		default:
			reply(w, http.StatusOK, current)
		}
	case http.MethodPost, http.MethodPut:
		var o object
		if err := json.Unmarshal(body, &o); err != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
		if r.Method == http.MethodPost {
			name = o.Metadata.Name
			current, present = s.kinds[kind][name]
			if present {
				reply(w, http.StatusConflict, current)
				return
			}
		} else if !present {
			reply(w, http.StatusNotFound, nil)
			return
		} else if o.Metadata.Revision != 0 && o.Metadata.Revision != current.Metadata.Revision {
			reply(w, http.StatusConflict, current)
			return
		}
		reply(w, http.StatusOK, s.write(kind, name, o.Spec, o.Metadata.Finalizers))
	case http.MethodDelete:
		revision, _ := strconv.ParseUint(query.Get("revision"), 10, 64)
		switch {
		case !present:
			reply(w, http.StatusNotFound, nil)
		case revision != 0 && revision != current.Metadata.Revision:
			reply(w, http.StatusConflict, current)
		default:
			s.drop(kind, name)
			reply(w, http.StatusOK, current)
		}
	default:
		reply(w, http.StatusMethodNotAllowed, nil)
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	var names []string
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items, size, more := []object{}, 0, false
	for _, name := range names {
		o := s.kinds[kind][name]
		if len(items) > 0 && (len(items) >= pageObjects || size+len(o.Spec) > pageBytes) {
			more = true
			break
		}
		items, size = append(items, o), size+len(o.Spec)
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, era uint64) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxWatch))
	defer timer.Stop()
	for done := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		revision, changed, down, back, now := s.revision, s.changed, s.down, s.back, s.era
		s.mu.Unlock()
		if down {
			select {
			case <-back:
			case <-r.Context().Done():
			}
			panic(http.ErrAbortHandler)
		}
		if now != era || since > revision {
			// The store does not have what the watch begins with.
			w.Header().Set("Store-Era", strconv.FormatUint(now, 10))
			reply(w, http.StatusGone, nil)
			return
		}
		if len(events) > 0 || done {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}
