package edge

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

const (
	// histogramMax is the longest duration that a histogram records; longer ones count as
	// this one.
	histogramMax = time.Minute
	// histogramDigits is the precision of a histogram in significant decimal digits.
	histogramDigits = 2
)

// metrics are the daemon's exported variables. They are documented in docs/metrics.md.
type metrics struct {
	vars     expvar.Map
	refusals expvar.Map
	answers  expvar.Int

	mu sync.Mutex
	// durations holds a histogram of request durations in microseconds for each outcome.
	durations map[string]*hdrhistogram.Histogram
}

func newMetrics() *metrics {
	m := &metrics{durations: make(map[string]*hdrhistogram.Histogram)}
	m.vars.Init()
	m.refusals.Init()
	m.vars.Set("requests_refused", &m.refusals)
	m.vars.Set("requests_answered", &m.answers)
	m.vars.Set("request_ms", expvar.Func(m.latencies))
	return m
}

// Refused implements serve.Counter.
func (m *metrics) Refused(reason request.Reason) { m.refusals.Add(string(reason), 1) }

// Answered implements serve.Counter.
func (m *metrics) Answered() { m.answers.Add(1) }

// recordDuration records the duration of a request with an outcome.
func (m *metrics) recordDuration(outcome string, duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	histogram := m.durations[outcome]
	if histogram == nil {
		histogram = hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits)
		m.durations[outcome] = histogram
	}
	// The value is clamped to the histogram's range, so recording cannot fail.
	_ = histogram.RecordValue(min(duration.Microseconds(), histogramMax.Microseconds()))
}

// latency holds the number of requests with one outcome, and quantiles of their durations in
// milliseconds.
type latency struct {
	Count  int64   `json:"count"`
	Median float64 `json:"p50"`
	P90    float64 `json:"p90"`
	P99    float64 `json:"p99"`
	Max    float64 `json:"max"`
}

func (m *metrics) latencies() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	byOutcome := make(map[string]latency, len(m.durations))
	for outcome, histogram := range m.durations {
		quantile := func(percent float64) float64 {
			return float64(histogram.ValueAtQuantile(percent)) / float64(time.Millisecond/time.Microsecond)
		}
		byOutcome[outcome] = latency{
			Count:  histogram.TotalCount(),
			Median: quantile(50),
			P90:    quantile(90),
			P99:    quantile(99),
			Max:    quantile(100),
		}
	}
	return byOutcome
}

// ServeHTTP writes every variable as one JSON object.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintln(w, m.vars.String())
}
