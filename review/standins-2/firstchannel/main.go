// Command firstchannel plays a case: a server starts again under its id with another software version just as
// the platform's store falls silent, and a machine that had no channel to it begins streams there.
package main

import (
	"bufio"
	"errors"
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
	host      = "calls.example"
	key       = "key-of-tenant-one"
	timeLimit = 5 * time.Second
	servers   = 9
	// events and eventPause make a stream.
	events     = 24
	eventPause = 60 * time.Millisecond
	// idleWait is longer than the machine keeps idle channels to servers.
	idleWait = 10 * time.Second
	// silence is how long the store is silent.
	silence = 4500 * time.Millisecond
	// downAt and upAt are when the server ends and starts again, beginAt when the streams come and againAt
	// when it ends once more, after the store has fallen silent.
	downAt, upAt, beginAt, againAt = 10 * time.Millisecond, 410 * time.Millisecond, 500 * time.Millisecond, time.Second
	streams                        = 16
	// steadyPause is the time between two streams of the clients that are always there.
	steadyPause = 50 * time.Millisecond
	// allowed is the number of mixed streams that the rule allows.
	allowed = 2
)

func main() { kit.Main(play) }

func play(r *kit.Run) (int, error) {
	network := kit.NewNetwork()
	store, err := kit.NewStore(kit.StoreAddress(network.IP()), 20*time.Second)
	if err != nil {
		return 0, err
	}
	r.AtEnd(store.Close)
	store.Put("config", "main", config())
	ips := make([]string, servers)
	all := make([]*kit.Server, servers)
	for i := range servers {
		ips[i] = network.IP()
		all[i] = newServer(i, "v1")
		if err := all[i].Start(store, ips[i]); err != nil {
			return 0, err
		}
		r.AtEnd(func() { all[i].Close() })
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
	m := site.NewMachine("edge-brisbane-a-1", "brisbane-a", network.IP())
	if err := m.Start(true); err != nil {
		return 0, err
	}
	r.AtEnd(m.Kill)
	if err := m.AwaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)
	homes := findHomes(m)
	r.Note("parts by the server that reads them: %v", homes)
	target := ""
	for id := range homes {
		if target == "" || id < target {
			target = id
		}
	}
	var others []string
	for id, parts := range homes {
		if id != target {
			others = append(others, parts...)
		}
	}
	if target == "" || len(others) == 0 {
		return 0, errors.New("no part of a prompt has a server of its own")
	}
	stop := make(chan struct{})
	var steady, group sync.WaitGroup
	book := &book{}
	steady.Go(func() { keepOn(m, others, book, stop, &group) })
	time.Sleep(idleWait)
	index, _ := strconv.Atoi(strings.TrimPrefix(target, "i-"))
	r.Note("%s had no request for %v; the store falls silent now: %t", target, idleWait, r.Trouble != "0")
	// A read of the config has just been answered.
	store.AwaitConfigRead()
	time.Sleep(10 * time.Millisecond)
	at := time.Now()
	if r.Trouble != "0" {
		store.SetSilent(true)
	}
	until := func(offset time.Duration) { time.Sleep(time.Until(at.Add(offset))) }
	until(downAt)
	all[index].Close()
	until(upAt)
	all[index] = newServer(index, "v2")
	if err := all[index].Start(store, ips[index]); err != nil {
		return 0, err
	}
	r.Note("%s has started again with v2", target)
	until(beginAt)
	for i := range streams {
		part := homes[target][i%len(homes[target])]
		group.Go(func() { book.add(r, ask(m, part, fmt.Sprintf("late-%d", i)), true) })
		time.Sleep(10 * time.Millisecond)
	}
	until(againAt)
	all[index].Close()
	r.Note("%s ends again", target)
	until(silence)
	store.SetSilent(false)
	close(stop)
	steady.Wait()
	group.Wait()
	return book.judge(r), nil
}

func newServer(i int, version string) *kit.Server {
	return &kit.Server{ID: "i-" + strconv.Itoa(i), Service: "polish-model", Zone: "brisbane-a", Version: version, Slots: 128, Serve: serve}
}

// findHomes returns, by server, the shared parts of prompts whose requests it gets.
func findHomes(m *kit.Machine) map[string][]string {
	const parts, together = 32, 8
	homes := make(map[string][]string)
	for first := 0; first < parts; first += together {
		var group sync.WaitGroup
		var got [together][2]stream
		for i := range together {
			part := partOf(first + i)
			group.Go(func() {
				for n := range got[i] {
					got[i][n] = ask(m, part, fmt.Sprintf("probe-%d-%d", first+i, n))
				}
			})
		}
		group.Wait()
		for i, pair := range got {
			if len(pair[0].servers) == 1 && len(pair[1].servers) == 1 && pair[0].servers[0] == pair[1].servers[0] {
				homes[pair[0].servers[0]] = append(homes[pair[0].servers[0]], partOf(first+i))
			}
		}
	}
	return homes
}

// partOf returns the part of a prompt with a number.
func partOf(number int) string { return fmt.Sprintf("%08x:3000", 0x5c1e0000+number) }

// keepOn sends streams with the given parts until stop is closed.
func keepOn(m *kit.Machine, parts []string, b *book, stop <-chan struct{}, group *sync.WaitGroup) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(steadyPause):
		}
		group.Go(func() { b.add(nil, ask(m, parts[i%len(parts)], fmt.Sprintf("steady-%d", i)), false) })
	}
}

// stream is what a client got.
type stream struct {
	id                string
	status, events    int
	versions, servers []string
	err               error
}

func (s stream) mixed() bool { return len(s.versions) > 1 }

// ask sends a request and reads its stream.
func ask(m *kit.Machine, part, id string) stream {
	s := stream{id: id}
	s.err = s.read(m, part)
	return s
}

func (s *stream) read(m *kit.Machine, part string) error {
	conn, err := net.DialTimeout("tcp", m.Front(), time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeLimit))
	if _, err := fmt.Fprintf(conn, "POST /pick/1 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Credential: %s\r\nX-Deadline-Ms: %d\r\nX-Model: m\r\n"+
		"X-Token-Count: 3020,50\r\nX-Prompt-Prefix: %s,%x:20\r\nContent-Length: 6\r\n\r\nprompt", host, s.id, key, timeLimit.Milliseconds(), part, time.Now().UnixNano()); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	s.status = response.StatusCode
	if s.status != http.StatusOK {
		return nil
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) != 4 || words[0] != "data:" {
			continue
		}
		s.events++
		s.versions, s.servers = addNew(s.versions, words[1]), addNew(s.servers, words[2])
	}
	return lines.Err()
}

func addNew(list []string, word string) []string {
	if len(list) > 0 && list[len(list)-1] == word {
		return list
	}
	return append(list, word)
}

// book keeps what became of streams.
type book struct {
	mu                  sync.Mutex
	all, whole, mixed   int
	lateAll, lateBroken int
}

func (b *book) add(r *kit.Run, s stream, late bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all++
	if s.events == events && s.err == nil {
		b.whole++
	}
	if late {
		b.lateAll++
		if s.events < events {
			b.lateBroken++
		}
		r.Note("client: %s: status %d, %d events, versions %v of %v, %v", s.id, s.status, s.events, s.versions, s.servers, s.err)
	}
	if s.mixed() {
		b.mixed++
	}
}

// judge applies ORDER: more than two streams hold events from servers of two software versions.
func (b *book) judge(r *kit.Run) int {
	r.Note("streams: %d, whole %d, mixed %d; of the %d that came late %d broke off", b.all, b.whole, b.mixed, b.lateAll, b.lateBroken)
	if b.mixed > allowed {
		r.Note("ORDER: %d streams hold events from servers of two software versions", b.mixed)
		return kit.Broken
	}
	return kit.Held
}

// serve streams the events after the last one that the caller has.
func serve(w http.ResponseWriter, r *http.Request, work kit.Work) {
	_, _ = io.Copy(io.Discard, r.Body)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := last + 1; i <= events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", i, work.Server.Version, work.Server.ID, i); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}

func config() kit.Fields {
	return kit.Fields{
		"version": 3,
		"routes": []any{kit.Fields{
			"name": "compound-pick", "host": host, "path_prefix": "/pick/", "kind": "streaming", "timeout_ms": timeLimit.Milliseconds(), "target_latency_ms": 400,
			"priority": 1, "service": "polish-model", "max_attempts": 2, "public": false, "sticky": true, "resumable": true,
			"target_gap_ms": 300, "allowed_regions": []string{},
		}},
		"services": []any{kit.Fields{
			"name": "polish-model", "health_path": "/health", "max_connections": 610, "protocol": "h1", "tls": false, "cold_start_s": 3.0,
			"cold_per_s": 22.0, "engine": kit.Fields{"slots": 128, "kv_capacity_tokens": 330327, "kv_token_bytes": 96256, "stride": 5},
		}},
		"limits":  kit.Fields{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 400000},
		"tenants": []any{kit.Fields{"name": "tenant-one", "api_keys": []string{key}, "priority": 1, "allowed_regions": []string{}}},
	}
}
