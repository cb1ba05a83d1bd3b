// Command shortparts plays a case: a tenant's clients send many small prompts that consist of many short
// parts. TROUBLE=0 sends as many prompts of the same size, each of one part.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review2/kit"
)

const (
	host        = "calls.example"
	hotKey      = "key-of-tenant-one"
	ordinaryKey = "key-of-tenant-two"
	// memoryMB is the memory of a machine; the platform kills a process that exceeds it.
	memoryMB = 112
	// promptTokens is the size of a prompt. With trouble each token is a part of its own.
	promptTokens = 64
	// workers send to each of the machines but the last, each a request every workerPause.
	workers     = 48
	workerPause = 30 * time.Millisecond
	// servers are those of one zone.
	servers = 15
	// ordinaryPause is the time between two requests of the other tenant at each machine.
	ordinaryPause = 100 * time.Millisecond
	// length is the age of the run at which it ends.
	length = 108 * time.Second
)

// zones are the zones of the machines. All servers are in the first one.
var zones = []string{"brisbane-a", "brisbane-a", "brisbane-a"}

func main() { kit.Main(play) }

func play(r *kit.Run) (int, error) {
	network := kit.NewNetwork()
	store, err := kit.NewStore(kit.StoreAddress(network.IP()), 20*time.Second)
	if err != nil {
		return 0, err
	}
	r.AtEnd(store.Close)
	store.Put("config", "main", config())
	for i := range servers {
		server := &kit.Server{ID: "i-" + strconv.Itoa(i), Service: "polish-model", Zone: zones[0], Version: "v1", Slots: 16, Serve: serve}
		if err := server.Start(store, network.IP()); err != nil {
			return 0, err
		}
		r.AtEnd(server.Close)
	}
	site := &kit.Site{
		Root: r.Root, Dir: r.Dir, Store: store.Address, MemoryMB: memoryMB, CPUShare: 0.192,
		Zones: map[string]string{"brisbane-a": "brisbane", "townsville-a": "townsville", "rockhampton-a": "rockhampton"},
		Bounds: kit.Fields{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_ms": 6000, "catch_up_s": 6, "drain_ms": 4000, "grace_s": 8,
			"loss_slack_ms": 200, "config_apply_ms": 4000, "rollback_slack_ms": 250, "max_skew_ms": 6000, "strict_revoke": true,
			"revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 178, "cold_overage": 1.5,
			"cold_slack": 5, "evacuation_ms": 5000, "recovery_s": 15, "pass_ms": 250, "reuse_window_s": 5, "quota_window_s": 4,
		},
	}
	var watched []*kit.Watched
	for i, zone := range zones {
		m := site.NewMachine(fmt.Sprintf("edge-%s-%d", zone, i+1), zone, network.IP())
		if err := m.Start(true); err != nil {
			return 0, err
		}
		r.AtEnd(m.Kill)
		watched = append(watched, kit.NewWatched(m, memoryMB))
	}
	for _, w := range watched {
		if err := w.Machine.AwaitReady(15 * time.Second); err != nil {
			return 0, err
		}
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	hot, ordinary := make([]tally, len(watched)), make([]tally, len(watched))
	for i, w := range watched {
		group.Go(func() { w.Watch(r, stop) })
		group.Go(func() { send(w.Machine, ordinaryKey, ordinaryPause, ordinaryParts, &ordinary[i], stop) })
		if i == len(watched)-1 {
			// The last machine gets none of them.
			continue
		}
		parts := shortParts
		if r.Trouble == "0" {
			parts = onePart
		}
		for range workers {
			group.Go(func() { send(w.Machine, hotKey, workerPause, parts, &hot[i], stop) })
		}
	}
	for end := r.At(length); time.Now().Before(end) && !kit.Fault(watched); {
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	group.Wait()
	for i, w := range watched {
		ends, peak := w.Ends()
		r.Note("platform: %s: %d ends, peak %d MB; clients of the hot tenant: %d requests, %d answered whole; of the other: %d, %d",
			w.Machine.Name, ends, peak, hot[i].sent.Load(), hot[i].served.Load(), ordinary[i].sent.Load(), ordinary[i].served.Load())
	}
	if kit.Fault(watched) {
		r.Note("Fault: on two machines processes ended three times for memory over the limit")
		return kit.Broken, nil
	}
	return kit.Held, nil
}

// tally counts requests and those that were answered whole.
type tally struct{ sent, served atomic.Int64 }

// shortParts is a prompt in which each token is a part of its own.
func shortParts() string {
	parts := make([]string, promptTokens)
	for i := range parts {
		parts[i] = fmt.Sprintf("%08x:1", rand.Uint32())
	}
	return strings.Join(parts, ",")
}

// onePart is a prompt of one part.
func onePart() string { return fmt.Sprintf("%08x:%d", rand.Uint32(), promptTokens) }

// ordinaryParts is a prompt with two shared parts before its own, as on the sheet.
func ordinaryParts() string { return fmt.Sprintf("5c1e07a2:24,91bd3f06:20,%08x:20", rand.Uint32()) }

// send sends a request to a machine in each pause until stop is closed, over a kept channel.
func send(m *kit.Machine, key string, pause time.Duration, parts func() string, counts *tally, stop <-chan struct{}) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{
		MaxIdleConnsPerHost: 1, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		counts.sent.Add(1)
		if ask(client, m, key, parts()) {
			counts.served.Add(1)
		}
	}
}

func ask(client *http.Client, m *kit.Machine, key, parts string) bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+m.Front()+"/chat/1", strings.NewReader("prompt"))
	if err != nil {
		return false
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", fmt.Sprintf("%016x", rand.Uint64()))
	request.Header.Set("X-Credential", key)
	request.Header.Set("X-Deadline-Ms", "2000")
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Count", fmt.Sprintf("%d,5", promptTokens))
	request.Header.Set("X-Prompt-Prefix", parts)
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && string(body) == answer
}

// answer is the stream of every request.
const answer = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"

func serve(w http.ResponseWriter, r *http.Request, _ kit.Work) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, answer)
}

func config() kit.Fields {
	tenant := func(name, key string) kit.Fields {
		return kit.Fields{"name": name, "api_keys": []string{key}, "priority": 1, "allowed_regions": []string{}}
	}
	return kit.Fields{
		"version": 3,
		"routes": []any{kit.Fields{
			"name": "finish-chat", "host": host, "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 400,
			"priority": 1, "service": "polish-model", "max_attempts": 1, "public": false, "sticky": true, "resumable": false,
			"target_gap_ms": 300, "allowed_regions": []string{},
		}},
		"services": []any{kit.Fields{
			"name": "polish-model", "health_path": "/health", "max_connections": 540, "protocol": "h1", "tls": false, "cold_start_s": 3.0,
			"cold_per_s": 22.0, "engine": kit.Fields{"slots": 16, "kv_capacity_tokens": 303509, "kv_token_bytes": 96256, "stride": 8},
		}},
		"limits":  kit.Fields{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 600000},
		"tenants": []any{tenant("tenant-one", hotKey), tenant("tenant-two", ordinaryKey)},
	}
}
