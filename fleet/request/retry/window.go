package retry

import "time"

// buckets is how finely a Window counts.
const buckets = 10

// Window lets the attempts beyond the first of each request be a share of the
// requests of a sliding window, plus a number. It is not safe for concurrent
// use.
//
// Invariant: in any span of the window's length, the retries taken are at most
// Slack plus Ratio of the requests in the span and in the bucket before it.
type Window struct {
	options  WindowOptions
	requests [buckets]int
	retries  [buckets]int
	// at is the number of the current bucket since time began.
	at int64
}

// WindowOptions set up a Window.
type WindowOptions struct {
	Length time.Duration
	Ratio  float64
	// Slack is how many retries are free in a window.
	Slack float64
}

// NewWindow returns a window without requests.
func NewWindow(options WindowOptions) *Window { return &Window{options: options} }

// Configure sets the bounds from now on. The length stays as it is.
func (w *Window) Configure(options WindowOptions) {
	options.Length = w.options.Length
	w.options = options
}

// Request counts a request.
func (w *Window) Request(now time.Time) {
	w.advance(now)
	w.requests[w.at%buckets]++
}

// Take reports whether another attempt may be made, and counts it.
func (w *Window) Take(now time.Time) bool {
	w.advance(now)
	requests, retries := 0, 0
	for i := range buckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	if float64(retries+1) > w.options.Ratio*float64(requests)+w.options.Slack {
		return false
	}
	w.retries[w.at%buckets]++
	return true
}

// advance empties the buckets that have left the window.
func (w *Window) advance(now time.Time) {
	length := w.options.Length / buckets
	if length <= 0 {
		return
	}
	at := now.UnixNano() / int64(length)
	if at-w.at > buckets {
		w.at = at - buckets
	}
	for w.at < at {
		w.at++
		w.requests[w.at%buckets], w.retries[w.at%buckets] = 0, 0
	}
}
