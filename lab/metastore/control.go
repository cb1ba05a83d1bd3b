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
	// controlPath is the prefix of the paths by which a test in another process
	// controls the fake. Faults do not affect these calls.
	//
	//	PUT /lab/faults  replaces the Faults
	//	GET /lab/counts  returns the Counts
	controlPath = "/lab/"
	// maxControlBytes is the largest accepted body of a control call.
	maxControlBytes = 1 << 20
)

// control serves a call under controlPath.
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
		writeJSON(w, s.Counts())
	default:
		http.NotFound(w, r)
	}
}

// vmList is a list of VMs that becomes visible at a given time.
type vmList struct {
	visibleAt time.Time
	vms       []objectstore.VM
}

// SetVMs replaces the list of VMs. The new list becomes visible after
// Faults.VMListLag.
func (s *Store) SetVMs(vms []objectstore.VM) {
	s.mu.Lock()
	s.pendingVMLists = append(s.pendingVMLists, vmList{visibleAt: time.Now().Add(s.faults.VMListLag), vms: slices.Clone(vms)})
	s.mu.Unlock()
	s.applyDueVMLists()
}

// applyDueVMLists replaces the VM objects by the newest list whose lag is over.
func (s *Store) applyDueVMLists() {
	s.mu.Lock()
	var due []objectstore.VM
	for len(s.pendingVMLists) > 0 && !s.pendingVMLists[0].visibleAt.After(time.Now()) {
		due, s.pendingVMLists = s.pendingVMLists[0].vms, s.pendingVMLists[1:]
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
	for _, name := range s.objectNames(platform.KindVM) {
		if !listed[name] {
			s.Remove(platform.KindVM, name)
		}
	}
}

// objectNames returns the names of all objects of a kind, in no order.
func (s *Store) objectNames(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.kinds[kind] {
		names = append(names, name)
	}
	return names
}

// ErrAnswerLost is returned by the transport of Store.Transport for a call whose
// answer was dropped by a fault. The call may have taken effect.
var ErrAnswerLost = errors.New("answer lost")

// Transport returns a transport that calls the fake without a network, so that a
// test can run in virtual time.
func (s *Store) Transport() http.RoundTripper { return transport{s} }

type transport struct{ store *Store }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			if reason != http.ErrAbortHandler {
				panic(reason)
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
