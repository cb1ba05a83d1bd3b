package platform

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// Faults are what goes wrong at present.
type Faults struct {
	// Down answers every call with 503 without effect.
	Down bool `json:"down"`
	// LoseAnswers drops the connection after each write took effect, and
	// LoseShare after a share, 0 to 1, of the writes.
	LoseAnswers bool    `json:"lose_answers"`
	LoseShare   float64 `json:"lose_share"`
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

// Counts are the calls so far by kind, refused ones included.
type Counts struct {
	Get    int `json:"get"`
	Watch  int `json:"watch"`
	Put    int `json:"put"`
	Delete int `json:"delete"`
	List   int `json:"list"`
	VMs    int `json:"vms"`
	// Refused are the calls answered with 429 or 503.
	Refused int `json:"refused"`
}

// Total returns the number of calls.
func (c Counts) Total() int { return c.Get + c.Watch + c.Put + c.Delete + c.List + c.VMs }

// limits are the token buckets of the rate limits; nil is no bound.
type limits struct {
	reads, writes *rate.Limiter
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.limits = limits{reads: newBucket(faults.ReadsPerSecond), writes: newBucket(faults.WritesPerSecond)}
}

// newBucket returns a token bucket that holds a second's worth of calls.
func newBucket(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
}

// Counts returns the calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Calls returns the number of calls so far.
func (p *Platform) Calls() int { return p.Counts().Total() }

// disturb counts a call and does what the faults ask for. It reports whether
// the call has been answered.
func (p *Platform) disturb(w http.ResponseWriter, r *http.Request) bool {
	p.mu.Lock()
	p.count(r)
	faults := p.faults
	delay := faults.Delay + time.Duration(p.random.Float64()*float64(faults.Jitter))
	bucket := p.limits.reads
	if r.Method != http.MethodGet {
		bucket = p.limits.writes
	}
	limited := bucket != nil && !bucket.Allow()
	if faults.Down || limited {
		p.counts.Refused++
	}
	p.mu.Unlock()
	time.Sleep(delay)
	switch {
	case faults.Down:
		http.Error(w, "down", http.StatusServiceUnavailable)
	case limited:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "over the rate", http.StatusTooManyRequests)
	default:
		return false
	}
	return true
}

func (p *Platform) count(r *http.Request) {
	switch {
	case r.Method == http.MethodPut:
		p.counts.Put++
	case r.Method == http.MethodDelete:
		p.counts.Delete++
	case r.URL.Path == "/v1/vms":
		p.counts.VMs++
	case r.URL.Path == "/v1/objects":
		p.counts.List++
	case r.Header.Get("Prefer") != "":
		p.counts.Watch++
	default:
		p.counts.Get++
	}
}
