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
	// histogramMax is the longest time that is told apart.
	histogramMax = time.Minute
	// histogramDigits is the precision of a histogram in decimal digits.
	histogramDigits = 2
)

// metrics are the daemon's variables. They are documented in docs/metrics.md.
type metrics struct {
	vars     expvar.Map
	refusals expvar.Map
	answers  expvar.Int

	mu sync.Mutex
	// took holds a histogram of microseconds for each outcome.
	took map[string]*hdrhistogram.Histogram
}

func newMetrics() *metrics {
	m := &metrics{took: make(map[string]*hdrhistogram.Histogram)}
	m.vars.Init()
	m.refusals.Init()
	m.vars.Set("requests_refused", &m.refusals)
	m.vars.Set("requests_answered", &m.answers)
	m.vars.Set("request_ms", expvar.Func(m.quantiles))
	return m
}

// Refused implements serve.Counter.
func (m *metrics) Refused(reason request.Reason) { m.refusals.Add(string(reason), 1) }

// Answered implements serve.Counter.
func (m *metrics) Answered() { m.answers.Add(1) }

// finished counts the time that a request took.
func (m *metrics) finished(outcome string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	histogram := m.took[outcome]
	if histogram == nil {
		histogram = hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits)
		m.took[outcome] = histogram
	}
	// A value beyond the range counts as the largest one.
	_ = histogram.RecordValue(min(took.Microseconds(), histogramMax.Microseconds()))
}

// latency is one outcome's times in milliseconds.
type latency struct {
	Count  int64   `json:"count"`
	Median float64 `json:"p50"`
	P90    float64 `json:"p90"`
	P99    float64 `json:"p99"`
	Max    float64 `json:"max"`
}

func (m *metrics) quantiles() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make(map[string]latency, len(m.took))
	for outcome, histogram := range m.took {
		quantile := func(percent float64) float64 {
			return float64(histogram.ValueAtQuantile(percent)) / float64(time.Millisecond/time.Microsecond)
		}
		all[outcome] = latency{
			Count:  histogram.TotalCount(),
			Median: quantile(50),
			P90:    quantile(90),
			P99:    quantile(99),
			Max:    quantile(100),
		}
	}
	return all
}

// ServeHTTP writes every variable as one JSON object.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintln(w, m.vars.String())
}
