package metastore

import (
	"net/http"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/trefoilwell/trefoilwell/platform"
)

// Faults are the faults of a Store. The zero value has none.
type Faults struct {
	// Refuse is the HTTP status with which every call is refused; 0 refuses none.
	Refuse int `json:"refuse"`
	// Silent holds every call without an answer.
	Silent bool `json:"silent"`
	// WithholdEvents withholds all events from watches.
	WithholdEvents bool `json:"deaf"`
	// LoseWriteAnswers executes writes and drops their answers.
	// LoseWriteAnswersFraction does so for a random fraction of the writes, 0 to 1.
	LoseWriteAnswers         bool    `json:"lose_writes"`
	LoseWriteAnswersFraction float64 `json:"lose_share"`
	// StatusWritesLate drops the answers of writes of a status, which are executed this much later if
	// their condition still holds then; 0 executes them at once.
	StatusWritesLate time.Duration `json:"status_late_ns"`
	// Delay is the time that every call is delayed by. A uniformly distributed
	// time of up to Jitter is added to it.
	Delay  time.Duration `json:"delay_ns"`
	Jitter time.Duration `json:"jitter_ns"`
	// ReadsPerSecond and WritesPerSecond limit the rate of calls. A call over the
	// limit is answered with status 429 and has no effect. 0 is no limit.
	ReadsPerSecond  float64 `json:"reads_per_second"`
	WritesPerSecond float64 `json:"writes_per_second"`
	// VMListLag is the time until a change of the list of VMs becomes visible.
	VMListLag time.Duration `json:"list_lag_ns"`
}

// Down makes the store refuse every call with status 503.
var Down = Faults{Refuse: http.StatusServiceUnavailable}

// Counts are the numbers of calls by kind, refused calls included. Put counts
// every write except deletes, VMs the lists of VMs and List all other lists.
type Counts struct {
	Get    int `json:"get"`
	Watch  int `json:"watch"`
	Put    int `json:"put"`
	Delete int `json:"delete"`
	List   int `json:"list"`
	VMs    int `json:"vms"`
	// Refused counts the calls answered with status 429 or with Faults.Refuse.
	Refused int `json:"refused"`
}

// Total returns the number of all calls.
func (c Counts) Total() int { return c.Get + c.Watch + c.Put + c.Delete + c.List + c.VMs }

// limits are the token buckets of the rate limits; nil is no limit.
type limits struct {
	reads, writes *rate.Limiter
}

// SetFaults replaces the faults. They apply to later calls and to pending watches.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.limits = limits{reads: newLimiter(faults.ReadsPerSecond), writes: newLimiter(faults.WritesPerSecond)}
	s.notifyWatches()
}

// newLimiter returns a token bucket whose burst is one second's worth of calls,
// or nil if there is no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
}

// Counts returns the numbers of calls so far by kind.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int { return s.Counts().Total() }

// injectFaults counts a call and applies the faults to it. It reports whether the
// call has been answered.
func (s *Store) injectFaults(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.countCall(r)
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
		s.hang(r)
	case faults.Refuse != 0:
		w.WriteHeader(faults.Refuse)
	case limited:
		w.WriteHeader(http.StatusTooManyRequests)
	default:
		return false
	}
	return true
}

// countCall adds a call to the counts. s.mu must be held.
func (s *Store) countCall(r *http.Request) {
	kind, _, single := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
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
