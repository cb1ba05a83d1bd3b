package fleetproc

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
)

const (
	benchTokens = 50
	// benchTokenInterval is the time between the tokens of a paced answer.
	benchTokenInterval = time.Millisecond
)

// timestampingEngine is a fake model engine that writes into each event the time at
// which it was sent, relative to started.
type timestampingEngine struct{ started time.Time }

// ServeHTTP implements http.Handler.
func (e timestampingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.NotFound(w, r)
		return
	}
	intervalMicroseconds, _ := strconv.Atoi(r.Header.Get("X-Pace-Us"))
	w.Header().Set(upstream.HeaderAttempt, r.Header.Get(upstream.HeaderAttempt))
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for range benchTokens {
		time.Sleep(time.Duration(intervalMicroseconds) * time.Microsecond)
		fmt.Fprintf(w, "data: {\"at\":%d,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token \"}}]}\n\n", time.Since(e.started))
		_ = control.Flush()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// timings are the measured times of a number of answers, in nanoseconds.
type timings struct {
	// firstByte is the time from the request to the first event.
	firstByte *hdrhistogram.Histogram
	// tokenLatency is the time from the sending of a token to its arrival.
	tokenLatency *hdrhistogram.Histogram
	// total is the time from the first event to the end of the answer.
	total *hdrhistogram.Histogram
}

func newTimings() *timings {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute), 3) }
	return &timings{firstByte: histogram(), tokenLatency: histogram(), total: histogram()}
}

// record adds a time to a histogram, at least 1 ns.
func record(b *testing.B, histogram *hdrhistogram.Histogram, value time.Duration) {
	if err := histogram.RecordValue(max(int64(value), 1)); err != nil {
		b.Fatal(err)
	}
}

// measureAnswer requests one answer of an engine from url, which is that of the engine
// or of a daemon, and records its times.
func (m *timings) measureAnswer(b *testing.B, e timestampingEngine, url string, tokenInterval time.Duration) {
	body := strings.NewReader(`{"model":"` + model + `","stream":true,"max_tokens":50}`)
	request, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url+"/v1/chat/completions", body)
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("X-Pace-Us", strconv.Itoa(int(tokenInterval.Microseconds())))
	started := time.Now()
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	var firstByteAt time.Time
	tokens := 0
	for lines.Scan() {
		now := time.Now()
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if firstByteAt.IsZero() {
			firstByteAt = now
			record(b, m.firstByte, now.Sub(started))
		}
		var event struct{ At time.Duration }
		if json.Unmarshal([]byte(data), &event) == nil {
			record(b, m.tokenLatency, now.Sub(e.started)-event.At)
			tokens++
		}
	}
	record(b, m.total, time.Since(firstByteAt))
	if tokens != benchTokens {
		b.Fatalf("%d tokens, want %d", tokens, benchTokens)
	}
}

// processorTime returns the processor time that the daemon has used so far.
func (p *Process) processorTime(b *testing.B) time.Duration {
	// The kernel counts in ticks of 10 ms. In /proc/PID/stat, user and system time are
	// fields 14 and 15, counted from 1, and the name in field 2 has no spaces.
	const tick, user, system = 10 * time.Millisecond, 13, 14
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		b.Skip("processor times are not available: /proc cannot be read")
	}
	fields := strings.Fields(string(text))
	var ticks time.Duration
	for _, field := range []int{user, system} {
		n, err := strconv.Atoi(fields[field])
		if err != nil {
			b.Fatal(err)
		}
		ticks += time.Duration(n)
	}
	return ticks * tick
}

// medianMicroseconds returns the median of a histogram of nanoseconds.
func medianMicroseconds(histogram *hdrhistogram.Histogram) float64 {
	return float64(histogram.ValueAtQuantile(50)) / float64(time.Microsecond)
}

// BenchmarkRelay compares answers through a daemon with answers directly from the
// engine, in turn within one run, and reports the differences of the medians.
func BenchmarkRelay(b *testing.B) {
	for _, tokenInterval := range []time.Duration{0, benchTokenInterval} {
		b.Run("pace="+tokenInterval.String(), func(b *testing.B) { benchmarkRelay(b, tokenInterval) })
	}
}

func benchmarkRelay(b *testing.B, tokenInterval time.Duration) {
	s := timestampingEngine{started: time.Now()}
	engine := httptest.NewServer(s)
	defer engine.Close()
	fleet := New(b, documentWithUpstream(engine.Listener.Addr().String(), 100))
	daemon := fleet.Start(b, "vm-1", "north", nil)
	direct, routed := newTimings(), newTimings()
	const warmUpAnswers = 50
	for range warmUpAnswers {
		newTimings().measureAnswer(b, s, engine.URL, 0)
		newTimings().measureAnswer(b, s, "http://"+daemon.CallersAddress, 0)
	}
	cpuBefore := daemon.processorTime(b)
	for b.Loop() {
		direct.measureAnswer(b, s, engine.URL, tokenInterval)
		routed.measureAnswer(b, s, "http://"+daemon.CallersAddress, tokenInterval)
	}
	cpuUsed := daemon.processorTime(b) - cpuBefore
	b.ReportMetric(float64(cpuUsed.Microseconds())/float64(b.N*benchTokens), "daemon-cpu-µs/token")
	b.ReportMetric(medianMicroseconds(routed.firstByte)-medianMicroseconds(direct.firstByte), "added-µs/first-byte")
	b.ReportMetric(medianMicroseconds(routed.tokenLatency)-medianMicroseconds(direct.tokenLatency), "added-delay-µs/token")
	b.ReportMetric((medianMicroseconds(routed.total)-medianMicroseconds(direct.total))/benchTokens, "added-µs/token")
	b.ReportMetric(medianMicroseconds(direct.firstByte), "direct-µs/first-byte")
	b.ReportMetric(medianMicroseconds(direct.tokenLatency), "direct-delay-µs/token")
}
