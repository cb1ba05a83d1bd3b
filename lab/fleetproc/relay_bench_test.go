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
	// benchPace is the time between tokens of a paced answer.
	benchPace = time.Millisecond
)

// stamped is an engine that writes into each event when it was sent.
type stamped struct{ started time.Time }

func (s stamped) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.NotFound(w, r)
		return
	}
	pace, _ := strconv.Atoi(r.Header.Get("X-Pace-Us"))
	w.Header().Set(upstream.HeaderAttempt, r.Header.Get(upstream.HeaderAttempt))
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for range benchTokens {
		time.Sleep(time.Duration(pace) * time.Microsecond)
		fmt.Fprintf(w, "data: {\"at\":%d,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token \"}}]}\n\n", time.Since(s.started))
		_ = control.Flush()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// timings is what a number of answers took.
type timings struct {
	first *hdrhistogram.Histogram
	// delay is the time from a token's sending to its arrival.
	delay *hdrhistogram.Histogram
	// total is the time from the first byte to the last.
	total *hdrhistogram.Histogram
}

func newTimings() *timings {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute), 3) }
	return &timings{first: histogram(), delay: histogram(), total: histogram()}
}

func record(b *testing.B, histogram *hdrhistogram.Histogram, value time.Duration) {
	if err := histogram.RecordValue(max(int64(value), 1)); err != nil {
		b.Fatal(err)
	}
}

// call asks for one answer and records how it arrived.
func (m *timings) call(b *testing.B, s stamped, url string, pace time.Duration) {
	body := strings.NewReader(`{"model":"` + model + `","stream":true,"max_tokens":50}`)
	request, err := http.NewRequestWithContext(b.Context(), http.MethodPost, url+"/v1/chat/completions", body)
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("X-Pace-Us", strconv.Itoa(int(pace.Microseconds())))
	started := time.Now()
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	var begun time.Time
	tokens := 0
	for lines.Scan() {
		now := time.Now()
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if begun.IsZero() {
			begun = now
			record(b, m.first, now.Sub(started))
		}
		var event struct{ At time.Duration }
		if json.Unmarshal([]byte(data), &event) == nil {
			record(b, m.delay, now.Sub(s.started)-event.At)
			tokens++
		}
	}
	record(b, m.total, time.Since(begun))
	if tokens != benchTokens {
		b.Fatalf("%d tokens, want %d", tokens, benchTokens)
	}
}

// processorTime returns the processor time that the daemon has used.
func (p *Process) processorTime(b *testing.B) time.Duration {
	// A kernel counts in ticks of 10 ms here; user and system time are fields
	// 14 and 15, and the name in field 2 has no spaces.
	const tick, user, system = 10 * time.Millisecond, 13, 14
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		b.Skip("no processor times here")
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

func median(histogram *hdrhistogram.Histogram) float64 {
	return float64(histogram.ValueAtQuantile(50)) / float64(time.Microsecond)
}

// BenchmarkRelay compares answers through a daemon with answers of the engine
// itself, in turn within one run, and reports the medians of what is added.
func BenchmarkRelay(b *testing.B) {
	for _, pace := range []time.Duration{0, benchPace} {
		b.Run("pace="+pace.String(), func(b *testing.B) { benchmarkRelay(b, pace) })
	}
}

func benchmarkRelay(b *testing.B, pace time.Duration) {
	s := stamped{started: time.Now()}
	engine := httptest.NewServer(s)
	defer engine.Close()
	fleet := New(b, oneUpstream(engine.Listener.Addr().String(), 100))
	daemon := fleet.Start(b, "vm-1", "north", nil)
	direct, routed := newTimings(), newTimings()
	const warmUp = 50
	for range warmUp {
		newTimings().call(b, s, engine.URL, 0)
		newTimings().call(b, s, "http://"+daemon.Callers, 0)
	}
	before := daemon.processorTime(b)
	for b.Loop() {
		direct.call(b, s, engine.URL, pace)
		routed.call(b, s, "http://"+daemon.Callers, pace)
	}
	used := daemon.processorTime(b) - before
	b.ReportMetric(float64(used.Microseconds())/float64(b.N*benchTokens), "daemon-cpu-µs/token")
	b.ReportMetric(median(routed.first)-median(direct.first), "added-µs/first-byte")
	b.ReportMetric(median(routed.delay)-median(direct.delay), "added-delay-µs/token")
	b.ReportMetric((median(routed.total)-median(direct.total))/benchTokens, "added-µs/token")
	b.ReportMetric(median(direct.first), "direct-µs/first-byte")
	b.ReportMetric(median(direct.delay), "direct-delay-µs/token")
}
