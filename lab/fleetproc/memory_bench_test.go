package fleetproc

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/app"
	"github.com/trefoilwell/trefoilwell/daemon/process/settings"
	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/lab/engine"
)

// waitingRequests is the number of waiting requests over which memory is averaged.
const waitingRequests = 2000

// usedMemoryBytes returns the bytes in heap objects and stacks after a garbage
// collection.
func usedMemoryBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// sendWaitingRequests sends waitingRequests requests, over a connection each, and
// returns when arrived, which counts requests, shows that all of them have arrived.
func sendWaitingRequests(b *testing.B, address string, arrived func() int) {
	before := arrived()
	body := `{"model":"` + model + `","stream":true,"max_tokens":5}`
	text := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", apiKey, len(body), body)
	for range waitingRequests {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { conn.Close() })
		if _, err := conn.Write([]byte(text)); err != nil {
			b.Fatal(err)
		}
	}
	for arrived() < before+waitingRequests {
		time.Sleep(pollInterval)
	}
}

// BenchmarkWaitingMemory reports the memory that a waiting request costs a daemon
// beyond the memory that it costs the HTTP library. The latter is measured with the
// same connections to a handler that reads the body and then waits.
func BenchmarkWaitingMemory(b *testing.B) {
	for b.Loop() {
		library := libraryMemoryBytes(b)
		daemon := daemonMemoryBytes(b)
		b.ReportMetric((daemon-library)/waitingRequests, "B/waiting-request")
		b.ReportMetric(library/waitingRequests, "library-B/request")
	}
}

// libraryMemoryBytes returns the memory that the waiting requests use in a server that
// consists of the HTTP library alone.
func libraryMemoryBytes(b *testing.B) float64 {
	arrivals := make(chan struct{}, waitingRequests)
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var body [64]byte
		_, _ = r.Body.Read(body[:])
		arrivals <- struct{}{}
		<-r.Context().Done()
	})
	server := httptest.NewUnstartedServer(handler)
	server.Config = serve.NewServer(handler)
	server.Start()
	b.Cleanup(server.Close)
	b.Cleanup(server.CloseClientConnections)
	before := usedMemoryBytes()
	sendWaitingRequests(b, server.Listener.Addr().String(), func() int { return len(arrivals) })
	return usedMemoryBytes() - before
}

// daemonMemoryBytes returns the memory that the waiting requests use in a daemon, which
// runs in this process.
func daemonMemoryBytes(b *testing.B) float64 {
	e := engine.New(engine.Options{FirstToken: time.Hour, ColdLimit: 100})
	upstream := httptest.NewServer(e)
	b.Cleanup(upstream.Close)
	b.Cleanup(upstream.CloseClientConnections)
	fleet := New(b, documentWithUpstream(upstream.Listener.Addr().String(), 1))
	s := settings.Default()
	s.VM, s.DataCentre = "vm-1", "north"
	s.Callers.Listen, s.Peers.Listen, s.Operators.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Callers.DrainGraceMS = 0
	s.Peers.Secret, s.Operators.Token = "secret", operatorsToken
	s.Platform.URL = fleet.platformURL
	daemon, err := app.New(s, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = daemon.Run(b.Context()) }()
	p := &Process{VM: s.VM, CallersAddress: daemon.CallersAddress(), OperatorsAddress: daemon.OperatorsAddress(), exited: make(chan struct{})}
	p.AwaitReady(b, true)
	before := usedMemoryBytes()
	sendWaitingRequests(b, daemon.CallersAddress(), func() int { return p.countEvents(b, timeline.KindQueued) })
	return usedMemoryBytes() - before
}
