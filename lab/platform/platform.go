// Package platform is a small stand-in for the platform: its object API and
// its list of VMs, with faults that tests switch on.
package platform

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	client "github.com/trefoilwell/trefoilwell/daemon/connection/platform"
)

// object is a stored value.
type object struct {
	version uint64
	value   []byte
}

// seed feeds the random faults, so that a run can be repeated.
const seed = 1

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	mux *http.ServeMux

	mu      sync.Mutex
	objects map[string]object
	lists   []listing
	faults  Faults
	limits  limits
	random  *rand.Rand
	version uint64
	counts  Counts
	changed chan struct{}
}

// listing is the list of VMs from a moment on.
type listing struct {
	since time.Time
	vms   []client.VM
}

// New returns an empty platform.
func New() *Platform {
	p := &Platform{
		mux:     http.NewServeMux(),
		objects: make(map[string]object),
		changed: make(chan struct{}),
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
	p.mux.HandleFunc("GET /v1/objects/{key}", p.get)
	p.mux.HandleFunc("PUT /v1/objects/{key}", p.put)
	p.mux.HandleFunc("DELETE /v1/objects/{key}", p.remove)
	p.mux.HandleFunc("GET /v1/objects", p.list)
	p.mux.HandleFunc("GET /v1/vms", p.listVMs)
	p.controls()
	return p
}

// SetVMs replaces the list of VMs.
func (p *Platform) SetVMs(vms []client.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, listing{since: time.Now(), vms: slices.Clone(vms)})
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, controlPath) && p.disturb(w, r) {
		return
	}
	p.mux.ServeHTTP(w, r)
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	key := pathKey(r)
	known := r.Header.Get("If-None-Match")
	deadline := time.NewTimer(waitOf(r))
	defer deadline.Stop()
	for {
		p.mu.Lock()
		stored, present := p.objects[key]
		changed := p.changed
		p.mu.Unlock()
		if tag(stored.version) != known {
			answer(w, stored, present)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, client.MaxValueBytes))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := pathKey(r)
	if !p.holds(r, key) {
		http.Error(w, "precondition", http.StatusPreconditionFailed)
		return
	}
	p.version++
	p.objects[key] = object{version: p.version, value: value}
	p.notify()
	p.confirm(w)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := pathKey(r)
	if !p.holds(r, key) {
		http.Error(w, "precondition", http.StatusPreconditionFailed)
		return
	}
	p.version++
	delete(p.objects, key)
	p.notify()
	p.confirm(w)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	keys := []string{}
	p.mu.Lock()
	for key := range p.objects {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	p.mu.Unlock()
	slices.Sort(keys)
	writeJSON(w, keys)
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	visible := time.Now().Add(-p.faults.ListLag)
	vms := []client.VM{}
	for _, list := range p.lists {
		if !list.since.After(visible) {
			vms = list.vms
		}
	}
	writeJSON(w, vms)
}

// holds reports whether a write's precondition holds.
func (p *Platform) holds(r *http.Request, key string) bool {
	stored, present := p.objects[key]
	if r.Header.Get("If-None-Match") == "*" {
		return !present
	}
	return present && r.Header.Get("If-Match") == tag(stored.version)
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// confirm answers a write that took effect, unless answers are lost.
func (p *Platform) confirm(w http.ResponseWriter) {
	if p.faults.LoseAnswers || p.random.Float64() < p.faults.LoseShare {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", tag(p.version))
	w.WriteHeader(http.StatusNoContent)
}

func answer(w http.ResponseWriter, stored object, present bool) {
	if !present {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", tag(stored.version))
	// The client may have gone; there is nobody to tell.
	_, _ = w.Write(stored.value)
}

// waitOf returns how long a read may wait (RFC 7240).
func waitOf(r *http.Request) time.Duration {
	seconds, found := strings.CutPrefix(r.Header.Get("Prefer"), "wait=")
	if !found {
		return 0
	}
	n, err := strconv.Atoi(seconds)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Second
}

func pathKey(r *http.Request) string {
	key, err := url.PathUnescape(r.PathValue("key"))
	if err != nil {
		return r.PathValue("key")
	}
	return key
}

func tag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
