// Command oddsize plays a case: one client states absurd sizes for its prompts, once a second, at one machine.
// TROUBLE=0 lets that client state the true size.
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
	"time"

	"review2/kit"
)

const (
	host   = "calls.example"
	oddKey = "key-of-tenant-odd"
	// promptTokens and outputTokens are the size of an ordinary prompt and of its answer, and eventTokens
	// the tokens of an event.
	promptTokens, outputTokens, eventTokens = 543, 50, 5
	// kvTokens is what a server's memory holds.
	kvTokens = 330327
	// oddCount is the X-Token-Count of the odd client.
	oddCount = "1500000000000000,9223372036854775807"
	oddPause = time.Second
	// clientsPerMachine send a request every clientPause each.
	clientsPerMachine = 10
	clientPause       = 400 * time.Millisecond
	// calmFor is the time before the odd client comes, and oddFor how long it stays.
	calmFor = 8 * time.Second
	oddFor  = 24 * time.Second
	// fairWindow is the number of calm seconds of the rule.
	fairWindow = 6
)

var zones = []string{"brisbane-a", "townsville-a", "rockhampton-a"}

// tenants are those of the ordinary clients, by machine.
var tenants = []string{"tenant-one", "tenant-two", "tenant-three"}

func main() { kit.Main(play) }

func play(r *kit.Run) (int, error) {
	network := kit.NewNetwork()
	store, err := kit.NewStore(kit.StoreAddress(network.IP()), 20*time.Second)
	if err != nil {
		return 0, err
	}
	r.AtEnd(store.Close)
	store.Put("config", "main", config())
	for i := range 9 {
		server := &kit.Server{ID: "i-" + strconv.Itoa(i), Service: "polish-model", Zone: zones[i%len(zones)], Version: "v1", Slots: 128, Serve: serve, Full: tooLarge}
		if err := server.Start(store, network.IP()); err != nil {
			return 0, err
		}
		r.AtEnd(server.Close)
	}
	site := &kit.Site{
		Root: r.Root, Dir: r.Dir, Store: store.Address, MemoryMB: 134, CPUShare: 0.4,
		Zones: map[string]string{"brisbane-a": "brisbane", "townsville-a": "townsville", "rockhampton-a": "rockhampton"},
		Bounds: kit.Fields{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2500, "grace_s": 8,
			"loss_slack_ms": 200, "config_apply_ms": 2500, "rollback_slack_ms": 250, "max_skew_ms": 5000, "strict_revoke": true,
			"revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 52, "cold_overage": 1.5,
			"cold_slack": 5, "evacuation_ms": 5000, "recovery_s": 12, "pass_ms": 200, "reuse_window_s": 4.9, "quota_window_s": 4,
		},
	}
	var machines []*kit.Machine
	for _, zone := range zones {
		m := site.NewMachine("edge-"+zone+"-1", zone, network.IP())
		if err := m.Start(true); err != nil {
			return 0, err
		}
		r.AtEnd(m.Kill)
		machines = append(machines, m)
	}
	for _, m := range machines {
		if err := m.AwaitReady(15 * time.Second); err != nil {
			return 0, err
		}
	}
	// contact_ms after the start all machines are in touch.
	time.Sleep(5 * time.Second)
	book := &book{began: time.Now(), tenants: make(map[string][]second)}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i, m := range machines {
		for range clientsPerMachine {
			group.Go(func() { send(m, tenants[i], clientPause, book, stop) })
		}
	}
	time.Sleep(calmFor)
	r.Note("the odd client begins, at %s only", machines[0].Name)
	for end := time.Now().Add(oddFor); time.Now().Before(end); time.Sleep(oddPause) {
		count := oddCount
		if r.Trouble == "0" {
			count = fmt.Sprintf("%d,%d", promptTokens, outputTokens)
		}
		client := newClient()
		status, _ := ask(client, machines[0], oddKey, count)
		client.CloseIdleConnections()
		r.Note("the odd client: X-Token-Count %s: status %d", count, status)
	}
	close(stop)
	group.Wait()
	return book.judge(r), nil
}

// second is what a tenant asked for in one second, in tokens, what of it began to run, and the requests
// that were refused or late.
type second struct {
	asked, got   int
	requests     int
	served, poor int
}

// book keeps what all ordinary tenants asked for and got.
type book struct {
	began time.Time

	mu      sync.Mutex
	tenants map[string][]second
}

// size is that of a request as the rules count it: tokens in + 10 x tokens out count for worth, tokens read
// once and generated twice for shares. All ordinary requests are alike, so any measure will do.
const size = promptTokens + 2*outputTokens

func (b *book) add(tenant string, at time.Time, served, poor bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := int(at.Sub(b.began).Seconds())
	for len(b.tenants[tenant]) <= n {
		b.tenants[tenant] = append(b.tenants[tenant], second{})
	}
	s := &b.tenants[tenant][n]
	s.requests++
	s.asked += size
	if served {
		s.served++
		s.got += size
	}
	if poor {
		s.poor++
	}
}

// judge applies FAIR: in six calm seconds a tenant has, in each second, a request that is refused or waits
// past its aim, and gets less than half of what it asked or the best served tenant got, whichever is less,
// second by second (less three of the largest requests).
func (b *book) judge(r *kit.Run) int {
	length := int((calmFor + oddFor).Seconds())
	for _, tenant := range tenants {
		var line strings.Builder
		for n := range length {
			s := b.second(tenant, n)
			fmt.Fprintf(&line, " %d/%d", s.served, s.requests)
		}
		r.Note("%s: requests served of those sent, second by second:%s", tenant, line.String())
	}
	code := kit.Held
	for _, tenant := range tenants {
		for from := 0; from+fairWindow <= length; from++ {
			owed, got, poor := 0, 0, true
			for n := from; n < from+fairWindow; n++ {
				s, best := b.second(tenant, n), 0
				for _, other := range tenants {
					best = max(best, b.second(other, n).got)
				}
				owed += min(s.asked, best)
				got += s.got
				poor = poor && s.poor > 0
			}
			if poor && 2*got < owed-3*size {
				r.Note("FAIR: %s, seconds %d to %d: in each a request was refused or late, and it got %d tokens of the %d that it asked or the best served tenant got",
					tenant, from, from+fairWindow-1, got, owed)
				code = kit.Broken
				break
			}
		}
	}
	return code
}

func (b *book) second(tenant string, n int) second {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n >= len(b.tenants[tenant]) {
		return second{}
	}
	return b.tenants[tenant][n]
}

func newClient() *http.Client {
	return &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{
		MaxIdleConnsPerHost: 4, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// send sends a request to a machine in each pause until stop is closed, whatever became of those before. A
// refused client comes back once, when it was told to; what is served then was late.
func send(m *kit.Machine, tenant string, pause time.Duration, b *book, stop <-chan struct{}) {
	client := newClient()
	count := fmt.Sprintf("%d,%d", promptTokens, outputTokens)
	time.Sleep(rand.N(pause))
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		group.Go(func() {
			at := time.Now()
			status, after := ask(client, m, "key-of-"+tenant, count)
			refused := status != http.StatusOK
			if refused && after > 0 && after < 4*time.Second {
				time.Sleep(after)
				status, _ = ask(client, m, "key-of-"+tenant, count)
			}
			b.add(tenant, at, status == http.StatusOK, refused)
		})
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// ask sends a request and returns its status, 0 without a whole answer, and when to come back.
func ask(client *http.Client, m *kit.Machine, key, count string) (status int, after time.Duration) {
	request, err := http.NewRequest(http.MethodPost, "http://"+m.Front()+"/chat/1", strings.NewReader("prompt"))
	if err != nil {
		return 0, 0
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", fmt.Sprintf("%016x", rand.Uint64()))
	request.Header.Set("X-Credential", key)
	request.Header.Set("X-Deadline-Ms", "12000")
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Count", count)
	request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:103,%08x:440", rand.Uint32()))
	response, err := client.Do(request)
	if err != nil {
		return 0, 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, 0
	}
	if response.StatusCode == http.StatusOK && strings.Count(string(body), "\n\n") != outputTokens/eventTokens {
		return 0, 0
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		after = time.Duration(seconds * float64(time.Second))
	}
	return response.StatusCode, after
}

// serve streams the events of an answer. A request that is larger than the server's memory is rejected as
// if the server were full.
func serve(w http.ResponseWriter, r *http.Request, _ kit.Work) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range outputTokens / eventTokens {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event\n\n", i+1); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// tooLarge reports whether a request is larger than a server's memory.
func tooLarge(r *http.Request) bool {
	for count := range strings.SplitSeq(r.Header.Get("X-Token-Count"), ",") {
		if tokens, err := strconv.ParseUint(count, 10, 64); err != nil || tokens > kvTokens {
			return true
		}
	}
	return false
}

func config() kit.Fields {
	tenant := func(name string) kit.Fields {
		return kit.Fields{"name": name, "api_keys": []string{"key-of-" + name}, "priority": 1, "allowed_regions": []string{}}
	}
	all := []any{tenant("tenant-odd")}
	for _, name := range tenants {
		all = append(all, tenant(name))
	}
	return kit.Fields{
		"version": 3,
		"routes": []any{kit.Fields{
			"name": "finish-chat", "host": host, "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 400,
			"priority": 1, "service": "polish-model", "max_attempts": 1, "public": false, "sticky": true, "resumable": false,
			"target_gap_ms": 300, "allowed_regions": []string{},
		}},
		"services": []any{kit.Fields{
			"name": "polish-model", "health_path": "/health", "max_connections": 610, "protocol": "h1", "tls": false, "cold_start_s": 3.0,
			"cold_per_s": 22.0, "engine": kit.Fields{"slots": 128, "kv_capacity_tokens": kvTokens, "kv_token_bytes": 96256, "stride": eventTokens},
		}},
		"limits":  kit.Fields{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 400000},
		"tenants": all,
	}
}
