// Command lostmachines plays a case: machines are lost for good, one after the other, and others come in
// their place. Long after that, a machine is lost while streams go through it, and their clients take
// them up again at other machines.
//
// TROUBLE=0 loses no machine. TROUBLE=last loses only the last three, with which streams break.
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
	host = "calls.example"
	key  = "key-of-tenant-one"
	// contact is contact_ms of the deployment, and inTouch a time after which its machines are in touch.
	contact = 3 * time.Second
	inTouch = contact + 2*time.Second
	// generations is how often each machine is lost for good and replaced.
	generations = 2
	// lossPause is the time between two losses.
	lossPause = time.Second
	// timeLimit is the time limit of a client and of its route, and tries how often it asks at most.
	timeLimit = 3 * time.Second
	tries     = 3
	// events and eventPause make a stream of 2 s.
	events     = 10
	eventPause = 200 * time.Millisecond
	// streamsPerLoss is how many streams go through a machine when it is lost, and breakAfter when that
	// is, after they were sent.
	streamsPerLoss = 8
	breakAfter     = 700 * time.Millisecond
	// minTakenUp is the number of streams that are taken up from which the rule holds.
	minTakenUp = 12
)

var zones = []string{"sialkot-a", "lahore-a", "karachi-a"}

func main() { kit.Main(play) }

type scene struct {
	run     *kit.Run
	network *kit.Network
	site    *kit.Site
	// machines are those that are in use, by zone, and started counts those that were ever there.
	machines map[string][]*kit.Machine
	started  map[string]int
	nextID   int
}

func play(r *kit.Run) (int, error) {
	s := &scene{run: r, network: kit.NewNetwork(), machines: make(map[string][]*kit.Machine), started: make(map[string]int)}
	store, err := kit.NewStore(kit.StoreAddress(s.network.IP()), 20*time.Second)
	if err != nil {
		return 0, err
	}
	r.AtEnd(store.Close)
	store.Put("config", "main", config())
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		server := &kit.Server{ID: "i-" + strconv.Itoa(i), Service: "ustad-model", Zone: zones[i%len(zones)], Version: version, Slots: 128, Serve: serve}
		if err := server.Start(store, s.network.IP()); err != nil {
			return 0, err
		}
		r.AtEnd(server.Close)
	}
	s.site = &kit.Site{
		Root: r.Root, Dir: r.Dir, Store: store.Address, MemoryMB: 284, CPUShare: 0.4,
		Zones: map[string]string{"sialkot-a": "punjab-north", "lahore-a": "punjab-central", "karachi-a": "sindh-south"},
		Bounds: kit.Fields{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2500, "grace_s": 8,
			"loss_slack_ms": 200, "config_apply_ms": 2500, "rollback_slack_ms": 250, "max_skew_ms": 5000, "strict_revoke": true,
			"revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 54, "cold_overage": 1.5,
			"cold_slack": 5, "evacuation_ms": 5000, "recovery_s": 12, "pass_ms": 200, "reuse_window_s": 6.7, "quota_window_s": 4,
		},
	}
	for range 2 {
		for _, zone := range zones {
			if _, err := s.add(zone, true); err != nil {
				return 0, err
			}
		}
	}
	for _, m := range s.all() {
		if err := m.AwaitReady(15 * time.Second); err != nil {
			return 0, err
		}
	}
	time.Sleep(inTouch)
	if r.Trouble == "1" {
		if err := s.replaceAll(); err != nil {
			return 0, err
		}
	}
	time.Sleep(2 * inTouch)
	r.Note("platform: %d machines in use, %d entries of kind trefoilwell-members", len(s.all()), len(store.Names("trefoilwell-members")))
	// New streams of each machine, all of them in touch.
	fresh := &tally{}
	var group sync.WaitGroup
	for _, m := range s.all() {
		for range 4 {
			c := s.client()
			group.Go(func() { fresh.add(c.stream(m, nil)) })
		}
	}
	group.Wait()
	r.Note("new streams: %d of %d begin", fresh.good, fresh.all)
	taken := &tally{}
	for _, zone := range zones {
		if err := s.loseWithStreams(s.machines[zone][0], taken); err != nil {
			return 0, err
		}
	}
	if fresh.good == 0 || r.Trouble != "0" && taken.all < minTakenUp {
		return 0, errors.New("too few streams began, or were broken, to apply the rule")
	}
	return judge(r, fresh, taken), nil
}

// judge applies LOST: of 12 or more streams that clients take up again at machines in touch, while two
// servers of their software version serve, the share that goes on is under half of the share of new
// streams that begin.
func judge(r *kit.Run, fresh, taken *tally) int {
	r.Note("streams taken up again: %d of %d go on", taken.good, taken.all)
	if taken.all < minTakenUp {
		r.Note("fewer than %d streams were taken up, so the rule says nothing", minTakenUp)
		return kit.Held
	}
	if taken.share() < fresh.share()/2 {
		r.Note("LOST: the share that goes on is %.2f, under half of the share of new streams that begin, %.2f", taken.share(), fresh.share())
		return kit.Broken
	}
	return kit.Held
}

// tally counts requests and those that were served.
type tally struct {
	mu        sync.Mutex
	good, all int
}

func (t *tally) add(good bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all++
	if good {
		t.good++
	}
}

func (t *tally) share() float64 { return float64(t.good) / float64(max(t.all, 1)) }

// add starts the next machine of a zone, at an address of its own.
func (s *scene) add(zone string, bootstrap bool) (*kit.Machine, error) {
	s.started[zone]++
	m := s.site.NewMachine(fmt.Sprintf("edge-%s-%d", zone, s.started[zone]), zone, s.network.IP())
	if err := m.Start(bootstrap); err != nil {
		return nil, err
	}
	s.run.AtEnd(m.Kill)
	s.machines[zone] = append(s.machines[zone], m)
	return m, nil
}

func (s *scene) all() []*kit.Machine {
	var all []*kit.Machine
	for _, zone := range zones {
		all = append(all, s.machines[zone]...)
	}
	return all
}

// replaceAll loses every machine for good, one after the other, and adds another one for each, as often
// as there are generations.
func (s *scene) replaceAll() error {
	for range generations {
		for range 2 {
			for _, zone := range zones {
				lost := s.machines[zone][0]
				s.machines[zone] = s.machines[zone][1:]
				lost.Kill()
				m, err := s.add(zone, false)
				if err != nil {
					return err
				}
				if err := m.AwaitReady(15 * time.Second); err != nil {
					return err
				}
				s.run.Note("platform: %s is lost for good, %s is ready in its place", lost.Name, m.Name)
				time.Sleep(lossPause)
			}
		}
	}
	return nil
}

// loseWithStreams begins streams at a machine, loses it unless TROUBLE is 0, and lets the clients of the
// broken streams take them up again at the other machines.
func (s *scene) loseWithStreams(m *kit.Machine, taken *tally) error {
	var others []*kit.Machine
	for _, other := range s.all() {
		if other != m && other.ExitedAt().IsZero() {
			others = append(others, other)
		}
	}
	s.run.Note("clients: %d streams through %s", streamsPerLoss, m.Name)
	var group sync.WaitGroup
	for i := range streamsPerLoss {
		c := s.client()
		group.Go(func() {
			if c.stream(m, nil) && c.last == events {
				return
			}
			if c.last == 0 {
				// No event came, so there is nothing to take up.
				return
			}
			taken.add(c.takeUp(others, i))
		})
	}
	if s.run.Trouble != "0" {
		time.Sleep(breakAfter)
		s.run.Note("platform: %s is lost for good", m.Name)
		m.Kill()
	}
	group.Wait()
	time.Sleep(lossPause)
	return nil
}

// client is a client with one stream.
type client struct {
	scene *scene
	name  string
	// number tells it from others.
	number int
	// first is the identifier of the attempt that brought the first event, and last the number of the
	// last event.
	first  string
	last   int
	sentAt time.Time
	tries  int
}

func (s *scene) client() *client {
	s.nextID++
	return &client{scene: s, name: fmt.Sprintf("c%d", s.nextID), number: s.nextID, sentAt: time.Now()}
}

// takeUp asks other machines for the rest of the stream, and reports whether it goes on.
func (c *client) takeUp(machines []*kit.Machine, first int) bool {
	for i := range tries {
		pause := 100 * time.Millisecond
		if c.stream(machines[(first+i)%len(machines)], &pause) {
			return true
		}
		if time.Since(c.sentAt)+pause >= timeLimit {
			break
		}
		time.Sleep(pause)
	}
	return false
}

// stream sends one attempt to a machine and reads its events. It reports whether at least one came.
// pause is set to what a refusal asks for.
func (c *client) stream(m *kit.Machine, pause *time.Duration) bool {
	c.tries++
	id, before := fmt.Sprintf("%s-%d", c.name, c.tries), c.last
	status, err := c.attempt(m, id, pause)
	if c.tries > 1 || c.last < events {
		c.scene.run.Note("client %s: attempt %s at %s from event %d: status %d, up to event %d, %v", c.name, id, m.Name, before+1, status, c.last, err)
	}
	return c.last > before
}

func (c *client) attempt(m *kit.Machine, id string, pause *time.Duration) (status int, err error) {
	conn, err := net.DialTimeout("tcp", m.Front(), time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(c.sentAt.Add(timeLimit))
	left := time.Until(c.sentAt.Add(timeLimit)).Milliseconds()
	text := fmt.Sprintf("POST /cure/1 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Credential: %s\r\nX-Deadline-Ms: %d\r\n"+
		"X-Model: m\r\nX-Token-Count: 600,50\r\nX-Prompt-Prefix: 5c1e07a2:340,91bd3f06:200,%x:60\r\nContent-Length: 6\r\n", host, id, key, left, 1000+c.number)
	if c.last > 0 {
		text += fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", c.last, c.first)
	}
	if _, err := io.WriteString(conn, text+"\r\nprompt"); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && pause != nil {
			*pause = time.Duration(seconds * float64(time.Second))
		}
		return response.StatusCode, nil
	}
	lines := bufio.NewScanner(response.Body)
	number := 0
	for lines.Scan() {
		switch line := lines.Text(); {
		case strings.HasPrefix(line, "id: "):
			number, _ = strconv.Atoi(line[4:])
		case line == "" && number > 0:
			if number != c.last+1 {
				return response.StatusCode, fmt.Errorf("event %d after %d", number, c.last)
			}
			if c.last == 0 {
				c.first = id
			}
			c.last, number = c.last+1, 0
		}
	}
	if lines.Err() == nil && c.last < events {
		return response.StatusCode, errors.New("ended as complete before its last event")
	}
	return response.StatusCode, lines.Err()
}

// serve streams the events after the last one that the caller has.
func serve(w http.ResponseWriter, r *http.Request, work kit.Work) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := last + 1; i <= events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s writes event %d\n\n", i, work.Server.Version, i); err != nil {
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
			"name": "cure-advice", "host": host, "path_prefix": "/cure/", "kind": "streaming", "timeout_ms": timeLimit.Milliseconds(),
			"target_latency_ms": 400, "priority": 1, "service": "ustad-model", "max_attempts": 2, "public": false, "sticky": true,
			"resumable": true, "target_gap_ms": 300, "allowed_regions": []string{},
		}},
		"services": []any{kit.Fields{
			"name": "ustad-model", "health_path": "/health", "max_connections": 620, "protocol": "h1", "tls": false, "cold_start_s": 3.0,
			"cold_per_s": 22.0, "engine": kit.Fields{"slots": 128, "kv_capacity_tokens": 487980, "kv_token_bytes": 96256, "stride": 5},
		}},
		"limits":  kit.Fields{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 550000},
		"tenants": []any{kit.Fields{"name": "tenant-one", "api_keys": []string{key}, "priority": 1, "allowed_regions": []string{}}},
	}
}
