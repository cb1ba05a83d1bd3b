package edge

import (
	"net/http"
	"strconv"
	"testing"
)

func BenchmarkStream(b *testing.B) {
	w := startBench(b)
	b.ResetTimer()
	b.SetParallelism(4)
	i := 0
	for b.Loop() {
		i++
		if got := w.do(call{path: "/stream/x", id: strconv.Itoa(i), body: body18k}); got.status != http.StatusOK {
			b.Fatalf("%+v", got)
		}
	}
}

// body18k is as long as a long prompt.
var body18k = string(make([]byte, 18_000))

func startBench(b *testing.B) *world {
	b.Helper()
	return start(b, 3, nil)
}
