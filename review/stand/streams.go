package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// streamLimit is the client's time limit for a stream, and the route's timeout.
const streamLimit = 3 * time.Second

// maxMixed is how many streams may hold events of two versions (ORDER).
const maxMixed = 2

// outcome is what a client got for one request, over its tries.
type outcome struct {
	first, last tried
	taken       bool
	seen        []eventSeen
}

// stream lets client n ask for a stream, and take it up once at another process if its channel
// breaks off.
func (w *world) stream(n int) outcome {
	c := call{front: w.routers[n%len(w.routers)].front(), host: host, path: "/pick/2f", key: key, prompt: promptOf(n), body: "prompt", deadline: streamLimit}
	started := time.Now()
	t := c.do()
	w.run.notef("client %s: status %d, %d events, complete %v, %v", t.id, t.status, len(t.events), t.complete, t.failure)
	if t.complete || len(t.events) == 0 || time.Since(started) >= streamLimit {
		return outcome{first: t, last: t, seen: t.events}
	}
	c.front = w.routers[(n+1+rand.IntN(len(w.routers)-1))%len(w.routers)].front()
	c.resumes, c.lastEvent = t.id, t.events[len(t.events)-1].id
	c.deadline -= time.Since(started)
	again := c.do()
	w.run.notef("client %s takes up %s after event %d: status %d, %d events, complete %v, %v",
		again.id, t.id, c.lastEvent, again.status, len(again.events), again.complete, again.failure)
	return outcome{first: t, last: again, taken: true, seen: append(t.events, again.events...)}
}

// load is a number of clients that each make one request.
type load struct {
	group    sync.WaitGroup
	quit     chan struct{}
	mu       sync.Mutex
	outcomes []outcome
}

// startLoad lets a new client begin after each pause.
func (w *world) startLoad(pause time.Duration, client func(n int) outcome) *load {
	l := &load{quit: make(chan struct{})}
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		for n := 0; ; n++ {
			select {
			case <-l.quit:
				return
			case <-time.After(pause):
			}
			l.group.Add(1)
			go func() {
				defer l.group.Done()
				o := client(n)
				l.mu.Lock()
				defer l.mu.Unlock()
				l.outcomes = append(l.outcomes, o)
			}()
		}
	}()
	return l
}

// stop ends the load and returns the outcomes once the last request has ended.
func (l *load) stop() []outcome {
	close(l.quit)
	l.group.Wait()
	return l.outcomes
}

// judgeOrder reports whether more than two streams hold events from servers of two versions.
func (w *world) judgeOrder(outcomes []outcome) bool {
	whole, taken, wentOn, mixed := 0, 0, 0, 0
	for _, o := range outcomes {
		if o.last.complete {
			whole++
		}
		if o.taken {
			taken++
			if len(o.last.events) > 0 {
				wentOn++
			}
		}
		versions := make(map[string]bool)
		for _, e := range o.seen {
			versions[e.version] = true
		}
		if len(versions) > 1 {
			mixed++
			first, last := o.seen[0], o.seen[len(o.seen)-1]
			w.run.notef("stream %s holds events of two software versions: event %d of %s (version %s), event %d of %s (version %s)",
				o.first.id, first.id, first.server, first.version, last.id, last.server, last.version)
		}
	}
	w.run.sayf("%d streams, %d whole; %d taken up by clients, %d of them went on; %d hold events of two software versions (ORDER allows %d)",
		len(outcomes), whole, taken, wentOn, mixed, maxMixed)
	return mixed > maxMixed
}
