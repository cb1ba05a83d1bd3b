// Command otherwriter plays a case: another writer leaves entries of kind servers in the platform's store
// that can't be read. The store removes each of them after three check-in intervals of silence.
//
// With TROUBLE=same the other writer writes as much, as often, under the same few names again and again, so
// that no entry is ever removed.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"review2/kit"
)

const (
	host = "calls.example"
	key  = "key-of-tenant-one"
	// memoryMB is the memory of a machine; the platform kills a process that exceeds it.
	memoryMB = 134
	// entryBytes is the size of an entry of the other writer, under value_bytes, which is 1,048,576.
	// It writes one in each writeInterval, and the store removes it after lapse: three times
	// heartbeat_ms.
	entryBytes    = 900 << 10
	writeInterval = 150 * time.Millisecond
	lapse         = 3600 * time.Millisecond
	// sameNames is how many entries there are with TROUBLE=same: as many as there are at once otherwise.
	sameNames = int(lapse / writeInterval)
	// length is the age of the run at which the other writer ends.
	length    = 108 * time.Second
	callPause = 100 * time.Millisecond
)

var zones = []string{"brisbane-a", "townsville-a", "rockhampton-a"}

func main() { kit.Main(play) }

func play(r *kit.Run) (int, error) {
	network := kit.NewNetwork()
	store, err := kit.NewStore(kit.StoreAddress(network.IP()), 20*time.Second)
	if err != nil {
		return 0, err
	}
	r.AtEnd(store.Close)
	store.Put("config", "main", config())
	for i, zone := range zones {
		server := &kit.Server{ID: "i-" + strconv.Itoa(i), Service: "crew-desk", Zone: zone, Version: "v1", Slots: 6, Serve: serve}
		if err := server.Start(store, network.IP()); err != nil {
			return 0, err
		}
		r.AtEnd(server.Close)
	}
	site := &kit.Site{
		Root: r.Root, Dir: r.Dir, Store: store.Address, MemoryMB: memoryMB, CPUShare: 0.4,
		Zones: map[string]string{"brisbane-a": "brisbane", "townsville-a": "townsville", "rockhampton-a": "rockhampton"},
		Bounds: kit.Fields{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2500, "grace_s": 8,
			"loss_slack_ms": 200, "config_apply_ms": 2500, "rollback_slack_ms": 250, "max_skew_ms": 5000, "strict_revoke": true,
			"revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 52, "cold_overage": 1.5,
			"cold_slack": 5, "evacuation_ms": 5000, "recovery_s": 12, "pass_ms": 200, "reuse_window_s": 4.9, "quota_window_s": 4,
		},
	}
	var watched []*kit.Watched
	var callers []*clients
	for _, zone := range zones {
		m := site.NewMachine("edge-"+zone+"-1", zone, network.IP())
		if err := m.Start(true); err != nil {
			return 0, err
		}
		r.AtEnd(m.Kill)
		watched, callers = append(watched, kit.NewWatched(m, memoryMB)), append(callers, &clients{machine: m})
	}
	for _, w := range watched {
		if err := w.Machine.AwaitReady(15 * time.Second); err != nil {
			return 0, err
		}
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i, w := range watched {
		group.Go(func() { w.Watch(r, stop) })
		group.Go(func() { callers[i].call(stop) })
	}
	for i, end := 0, r.At(length); time.Now().Before(end) && !kit.Fault(watched); i++ {
		text := strings.Repeat(string(rune('a'+i%26)), entryBytes)
		switch r.Trouble {
		case "0":
		case "same":
			store.Put("servers", fmt.Sprintf("x-%d", i%sameNames), text)
		default:
			name := fmt.Sprintf("x-%d", i)
			store.Put("servers", name, text)
			time.AfterFunc(lapse, func() { store.Remove("servers", name) })
		}
		time.Sleep(writeInterval)
	}
	close(stop)
	group.Wait()
	for i, w := range watched {
		ends, peak := w.Ends()
		r.Note("platform: %s: %d ends, peak %d MB; clients there: %d requests, %d answered 200", w.Machine.Name, ends, peak, callers[i].sent, callers[i].served)
	}
	if kit.Fault(watched) {
		r.Note("Fault: on two machines processes ended three times for memory over the limit")
		return kit.Broken, nil
	}
	return kit.Held, nil
}

// clients are the clients of one machine.
type clients struct {
	machine *kit.Machine

	mu           sync.Mutex
	sent, served int
}

// call sends requests to the machine, one at a time.
func (w *clients) call(stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(callPause):
		}
		status := call(w.machine, fmt.Sprintf("%s-%d", w.machine.Zone, i))
		w.mu.Lock()
		w.sent++
		if status == http.StatusOK {
			w.served++
		}
		w.mu.Unlock()
	}
}

func call(m *kit.Machine, id string) int {
	conn, err := net.DialTimeout("tcp", m.Front(), time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "GET /job/1 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Credential: %s\r\nX-Deadline-Ms: 2000\r\n\r\n", host, id, key); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

func serve(w http.ResponseWriter, _ *http.Request, _ kit.Work) {
	time.Sleep(10 * time.Millisecond)
	_, _ = io.WriteString(w, strings.Repeat("j", 800))
}

func config() kit.Fields {
	return kit.Fields{
		"version": 3,
		"routes": []any{kit.Fields{
			"name": "job-lookup", "host": host, "path_prefix": "/job/", "kind": "safe", "timeout_ms": 2000, "target_latency_ms": 300,
			"priority": 1, "service": "crew-desk", "max_attempts": 2, "public": false, "sticky": false, "resumable": false, "allowed_regions": []string{},
		}},
		"services": []any{kit.Fields{
			"name": "crew-desk", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
		}},
		"limits":  kit.Fields{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 550000},
		"tenants": []any{kit.Fields{"name": "tenant-one", "api_keys": []string{key}, "priority": 1, "allowed_regions": []string{}}},
	}
}
