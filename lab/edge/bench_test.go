package edge

import (
	"net/http"
	"strconv"
	"testing"
)

// BenchmarkStream measures streams of three upstreams for requests with long bodies.
func BenchmarkStream(b *testing.B) {
	env := startBench(b)
	b.ResetTimer()
	b.SetParallelism(4)
	i := 0
	for b.Loop() {
		i++
		if got := env.do(call{path: "/stream/x", id: strconv.Itoa(i), body: body18k}); got.status != http.StatusOK {
			b.Fatalf("%+v", got)
		}
	}
}

// body18k has the length of a long prompt, in bytes.
var body18k = string(make([]byte, 18_000))

// startBench starts a daemon with three upstreams.
func startBench(b *testing.B) *environment {
	b.Helper()
	return start(b, 3, nil)
}
