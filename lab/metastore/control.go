package metastore

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/platform"
)

const (
	// controlPath begins the paths by which a test in another process sets the
	// stand-in up. Faults do not touch them.
	//
	//	PUT /lab/faults  replaces the Faults
	//	GET /lab/counts  answers with the Counts
	controlPath = "/lab/"
	// maxControlBytes bounds what such a test sends.
	maxControlBytes = 1 << 20
)

func (s *Store) control(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "PUT " + controlPath + "faults":
		var faults Faults
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes)).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(faults)
	case "GET " + controlPath + "counts":
		answer(w, s.Counts())
	default:
		http.NotFound(w, r)
	}
}

// listing is a list of VMs that shows from a moment on.
type listing struct {
	shows time.Time
	vms   []objectstore.VM
}

// SetVMs replaces the list of VMs, after the lag that the faults name.
func (s *Store) SetVMs(vms []objectstore.VM) {
	s.mu.Lock()
	s.listings = append(s.listings, listing{shows: time.Now().Add(s.faults.ListLag), vms: slices.Clone(vms)})
	s.mu.Unlock()
	s.showVMs()
}

// showVMs takes the lists of VMs whose lag is over.
func (s *Store) showVMs() {
	s.mu.Lock()
	var due []objectstore.VM
	for len(s.listings) > 0 && !s.listings[0].shows.After(time.Now()) {
		due, s.listings = s.listings[0].vms, s.listings[1:]
	}
	s.mu.Unlock()
	if due == nil {
		return
	}
	listed := make(map[string]bool, len(due))
	for _, vm := range due {
		listed[string(vm.ID)] = true
		s.Put(platform.KindVM, string(vm.ID), vm)
	}
	for _, name := range s.names(platform.KindVM) {
		if !listed[name] {
			s.Remove(platform.KindVM, name)
		}
	}
}

func (s *Store) names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.kinds[kind] {
		names = append(names, name)
	}
	return names
}

// ErrAnswerLost is returned by Transport for a call whose answer was lost.
var ErrAnswerLost = errors.New("answer lost")

// Transport returns a transport that calls the stand-in without a network, so
// that a test can run in virtual time.
func (s *Store) Transport() http.RoundTripper { return transport{s} }

type transport struct{ store *Store }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			if cause != http.ErrAbortHandler {
				panic(cause)
			}
			response, err = nil, ErrAnswerLost
		}
	}()
	recorder := httptest.NewRecorder()
	t.store.ServeHTTP(recorder, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}
