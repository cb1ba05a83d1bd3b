package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["endless"] = playEndless }

const (
	// endlessLength is how long the servers send bytes that are no answer.
	endlessLength = 6 * time.Second
	// endlessBurst is how many lines such a server sends at once, of a kilobyte each, and
	// endlessPause the pause before each further line.
	endlessBurst = 1000
	endlessPause = 100 * time.Millisecond
	// patience is the gap after which a client leaves a stream: the longest of two seconds, four
	// times the objective (0.4 s) and eight times the pause of the sheet (0.3 s).
	patience = 2400 * time.Millisecond
	// maxLost is how often a kept channel may be closed without an answer (LOST).
	maxLost = 3
)

// endless answers with the head of a stream and one event that never ends, until the caller closes.
func endless(conn net.Conn, out *bufio.Writer, id string) bool {
	line := "data: " + strings.Repeat("x", 1000) + "\n"
	fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\n", id)
	for lines := 0; ; lines++ {
		if lines > endlessBurst {
			time.Sleep(endlessPause)
		}
		if _, err := out.WriteString(line); err != nil || lines >= endlessBurst && out.Flush() != nil {
			return true
		}
	}
}

// keptClient is a client that keeps its channel for many requests.
type keptClient struct {
	transport *http.Transport
	call      call
}

// playEndless lets a server of two send bytes without end. The others, and the machines, are sound.
func playEndless(w *world) (bool, error) {
	w.putConfig(modelService, 2, false)
	for i := range 2 {
		s := newServer(fmt.Sprintf("i-%d", i), versionOne)
		if err := w.addServer(s); err != nil {
			return false, err
		}
	}
	if err := w.startRouters(2, edgeMemoryMB); err != nil {
		return false, err
	}
	var mu sync.Mutex
	idle := make(map[int][]*http.Transport)
	request := func(n int) outcome {
		side := n % len(w.routers)
		mu.Lock()
		transport := &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}
		if kept := idle[side]; len(kept) > 0 {
			transport, idle[side] = kept[len(kept)-1], kept[:len(kept)-1]
		}
		mu.Unlock()
		c := call{front: w.routers[side].front(), host: host, path: "/pick/2f", key: key, prompt: promptOf(n), body: "prompt",
			deadline: streamLimit, patience: patience, transport: transport}
		t := c.do()
		w.run.notef("client %s: kept channel %v, status %d, %d events, complete %v, left %v, %v", t.id, t.kept, t.status, len(t.events), t.complete, t.left, t.failure)
		if t.complete {
			mu.Lock()
			idle[side] = append(idle[side], transport)
			mu.Unlock()
		} else {
			transport.CloseIdleConnections()
		}
		return outcome{first: t, last: t, seen: t.events}
	}
	load := w.startLoad(time.Second/120, request)
	time.Sleep(5 * time.Second)
	if w.trouble {
		w.run.notef("server %s sends bytes without end", w.servers[0].id)
		w.servers[0].setFault(endless)
	}
	time.Sleep(endlessLength)
	w.servers[0].setFault(nil)
	w.run.notef("server %s is sound again", w.servers[0].id)
	time.Sleep(5 * time.Second)
	outcomes := load.stop()
	lost, left, whole := 0, 0, 0
	for _, o := range outcomes {
		switch t := o.last; {
		case t.complete:
			whole++
		case t.left:
			left++
		case t.kept && w.servers[1].ran(t.id) && !w.servers[0].ran(t.id):
			lost++
			w.run.notef("request %s was run by the sound server %s, and its kept channel was closed without an answer", t.id, w.servers[1].id)
		}
	}
	ends := 0
	for _, r := range w.routers {
		r.mu.Lock()
		ends += r.ends
		w.run.sayf("%s: at most %d KB of anonymous memory, %d ends by its memory_mb = %d", r.name, r.peakKB, r.ends, r.memoryMB)
		r.mu.Unlock()
	}
	w.run.sayf("%d requests, %d whole, %d left by their clients; %d run by a sound server and closed without an answer on a kept channel (LOST allows %d); %d ends of processes",
		len(outcomes), whole, left, lost, maxLost, ends)
	return lost > maxLost && ends > 0, nil
}
