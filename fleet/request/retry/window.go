package retry

import "time"

// bucketCount is the number of buckets into which a Window divides its length.
const bucketCount = 10

// Window limits the attempts beyond the first of each request to a fraction of the
// requests in a sliding window, plus a fixed number. It is not safe for concurrent use.
//
// Invariant: in any span of the window's length, the number of retries taken is at most
// Slack plus Ratio times the number of requests in the span and in the bucket before
// it.
type Window struct {
	options  WindowOptions
	requests [bucketCount]int
	retries  [bucketCount]int
	// current is the number of the current bucket, counted from the Unix epoch.
	current int64
}

// WindowOptions configures a Window.
type WindowOptions struct {
	Length time.Duration
	Ratio  float64
	// Slack is the number of retries per window that are allowed regardless of the
	// number of requests.
	Slack float64
}

// NewWindow returns a window without requests.
func NewWindow(options WindowOptions) *Window { return &Window{options: options} }

// Configure changes Ratio and Slack from now on. The length is not changed.
func (w *Window) Configure(options WindowOptions) {
	options.Length = w.options.Length
	w.options = options
}

// Request counts a request.
func (w *Window) Request(now time.Time) {
	w.advance(now)
	w.requests[w.current%bucketCount]++
}

// Take reports whether another attempt is allowed, and counts it if so.
func (w *Window) Take(now time.Time) bool {
	w.advance(now)
	requests, retries := 0, 0
	for i := range bucketCount {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	if float64(retries+1) > w.options.Ratio*float64(requests)+w.options.Slack {
		return false
	}
	w.retries[w.current%bucketCount]++
	return true
}

// advance moves to the current bucket and clears the buckets that have left the window.
func (w *Window) advance(now time.Time) {
	length := w.options.Length / bucketCount
	if length <= 0 {
		return
	}
	current := now.UnixNano() / int64(length)
	if current-w.current > bucketCount {
		w.current = current - bucketCount
	}
	for w.current < current {
		w.current++
		w.requests[w.current%bucketCount], w.retries[w.current%bucketCount] = 0, 0
	}
}
