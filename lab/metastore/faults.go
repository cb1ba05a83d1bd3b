package metastore

import (
	"net/http"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/trefoilwell/trefoilwell/platform"
)

// Faults are what goes wrong.
type Faults struct {
	// Refuse answers every call with this status; 0 does not.
	Refuse int `json:"refuse"`
	// Silent leaves every call without an answer.
	Silent bool `json:"silent"`
	// Deaf lets watches hear nothing.
	Deaf bool `json:"deaf"`
	// LoseWrites carries writes out and drops their answers, LoseShare those of a
	// share, 0 to 1, of them.
	LoseWrites bool    `json:"lose_writes"`
	LoseShare  float64 `json:"lose_share"`
	// Delay is added to every call, and on top of it up to Jitter, evenly
	// distributed.
	Delay  time.Duration `json:"delay_ns"`
	Jitter time.Duration `json:"jitter_ns"`
	// ReadsPerSecond and WritesPerSecond bound the calls; those above are
	// answered with 429 without effect. 0 is no bound.
	ReadsPerSecond  float64 `json:"reads_per_second"`
	WritesPerSecond float64 `json:"writes_per_second"`
	// ListLag is how late changes of the list of VMs show.
	ListLag time.Duration `json:"list_lag_ns"`
}

// Down is a store that refuses every call.
var Down = Faults{Refuse: http.StatusServiceUnavailable}

// Counts are the calls so far by kind, refused ones included.
type Counts struct {
	Get    int `json:"get"`
	Watch  int `json:"watch"`
	Put    int `json:"put"`
	Delete int `json:"delete"`
	List   int `json:"list"`
	VMs    int `json:"vms"`
	// Refused are the calls answered with 429 or with Faults.Refuse.
	Refused int `json:"refused"`
}

// Total returns the number of calls.
func (c Counts) Total() int { return c.Get + c.Watch + c.Put + c.Delete + c.List + c.VMs }

// limits are the token buckets of the rate limits; nil is no bound.
type limits struct {
	reads, writes *rate.Limiter
}

// SetFaults makes later calls fail, and watches that wait.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.limits = limits{reads: newBucket(faults.ReadsPerSecond), writes: newBucket(faults.WritesPerSecond)}
	s.wake()
}

// newBucket returns a token bucket that holds a second's worth of calls.
func newBucket(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
}

// Counts returns the calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int { return s.Counts().Total() }

// disturb counts a call and does what the faults ask for. It reports whether
// the call has been answered.
func (s *Store) disturb(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.count(r)
	faults := s.faults
	delay := faults.Delay + time.Duration(s.random.Float64()*float64(faults.Jitter))
	bucket := s.limits.reads
	if r.Method != http.MethodGet {
		bucket = s.limits.writes
	}
	limited := bucket != nil && !bucket.Allow()
	if faults.Refuse != 0 || limited {
		s.counts.Refused++
	}
	s.mu.Unlock()
	time.Sleep(delay)
	switch {
	case faults.Silent:
		s.waitUntilGone(r)
	case faults.Refuse != 0:
		w.WriteHeader(faults.Refuse)
	case limited:
		w.WriteHeader(http.StatusTooManyRequests)
	default:
		return false
	}
	return true
}

func (s *Store) count(r *http.Request) {
	kind, _, single := strings.Cut(strings.TrimPrefix(r.URL.Path, root), "/")
	switch {
	case r.Method == http.MethodDelete:
		s.counts.Delete++
	case r.Method != http.MethodGet:
		s.counts.Put++
	case r.URL.Query().Has("watch"):
		s.counts.Watch++
	case single:
		s.counts.Get++
	case kind == platform.KindVM:
		s.counts.VMs++
	default:
		s.counts.List++
	}
}
