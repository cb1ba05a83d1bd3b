package rollout

import (
	"container/heap"
	"math"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// flight is an attempt in flight.
type flight struct {
	at     time.Time
	vm     *vm
	server *server
	incarn uint64
	sample Sample
	bad    bool
	// stream is set for a stream that its caller takes up if it breaks.
	stream bool
}

type flights []*flight

func (h flights) Len() int           { return len(h) }
func (h flights) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h flights) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *flights) Push(x any)        { *h = append(*h, x.(*flight)) }
func (h *flights) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// send lets a caller send a request to a VM, and again if it is refused or fails.
func (w *world) send() {
	v := w.vms[w.random.IntN(len(w.vms))]
	if v.down || v.frozen {
		return
	}
	route := testRoutes[w.random.IntN(len(testRoutes))]
	if w.order != nil && w.sinceStart() < orderAt+testDuration {
		w.requests++
	}
	w.attempt(v, route, 1, "")
}

func (w *world) attempt(v *vm, route string, attempt int, software string) {
	ticket := request.Ticket{Pool: testPool, Attempt: request.Attempt(attempt), Software: software}
	rule := v.Rule(w.now, ticket)
	s := w.place(rule, software)
	if fallback, present := rule.Fallback(); s == nil && present {
		s = w.place(fallback, software)
	}
	if s == nil || !v.Permits(w.now, s.Upstream) {
		if w.order == nil || w.order.Status.State != StateRolledBack || software == "" {
			w.lost++
		}
		return
	}
	v.Sent(w.now, testPool, route, s.ID)
	if s.Software == "v2" {
		if w.order != nil && w.order.Status.State != StateDone && w.inContact(v) {
			w.checkExposure(v)
		}
		if w.order != nil && w.order.Software == "v2" || w.done {
			w.namedAt = w.now
		}
		if w.now.Sub(w.namedAt) > freshFor {
			w.t.Fatalf("at %v: %s sends a request to a version that no order names", w.sinceStart(), v.id)
		}
	}
	s.running++
	f := w.answer(v, s, route)
	heap.Push(&w.flights, f)
}

// place chooses an upstream that the rule allows.
func (w *world) place(rule request.SoftwareRule, software string) *server {
	allowed := func(s *server) bool {
		return !s.down && rule.Permits(s.Software, s.ID) && (software == "" || software == s.Software)
	}
	for range 8 {
		if s := w.servers[w.random.IntN(len(w.servers))]; allowed(s) {
			return s
		}
	}
	var list []*server
	for _, s := range w.servers {
		if allowed(s) {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[w.random.IntN(len(list))]
}

func (w *world) checkExposure(v *vm) {
	if w.sinceStart() < orderAt+testDuration {
		w.sentNew++
	}
	w.lastNew = w.now
	if !w.fiftiethBad.IsZero() && w.now.Sub(w.fiftiethBad) > testRollback {
		w.t.Errorf("at %v: %s sends a request to the new version %v after its 50th bad response", w.sinceStart(), v.id, w.now.Sub(w.fiftiethBad))
	}
}

// answer makes up the answer to an attempt.
func (w *world) answer(v *vm, s *server, route string) *flight {
	noise := math.Exp(0.35 * w.random.NormFloat64())
	first := time.Duration(60 * noise * float64(time.Millisecond))
	if w.now.Before(s.slowUntil) {
		first = first * 5 / 2
	}
	f := &flight{vm: v, server: s, incarn: v.incarnation}
	f.sample = Sample{Pool: testPool, Route: route, Upstream: s.ID, SentAt: w.now}
	f.sample.Failed = w.random.Float64() < ordinaryFailures[route]
	since := w.sinceStart() - orderAt
	if s.Software == "v2" && since >= w.fault.from && (w.fault.route == "" || w.fault.route == route) && s.running >= w.fault.underLoad {
		if w.random.Float64() < w.fault.failing {
			f.sample.Failed, f.bad = true, true
		} else if w.random.Float64() < w.fault.slowFraction {
			first, f.bad = time.Duration(float64(first)*w.fault.slow), true
		}
	}
	f.sample.FirstByte = first
	length := time.Duration(w.random.IntN(200)) * time.Millisecond
	if route == "d" {
		f.stream = true
		length = time.Second + time.Duration(w.random.IntN(2000))*time.Millisecond
	}
	f.at = w.now.Add(first + length)
	return f
}

// end ends an attempt.
func (w *world) end(f *flight) {
	f.server.running--
	if f.vm.down || f.vm.incarnation != f.incarn {
		return
	}
	if f.vm.frozen {
		f.at = w.now.Add(time.Second)
		f.server.running++
		heap.Push(&w.flights, f)
		return
	}
	if f.bad {
		if w.bad++; w.bad == 50 {
			w.fiftiethBad = w.now
		}
	}
	f.vm.Ended(w.now, f.sample)
}

// disturb crashes upstreams, and slows their machines, whatever their version.
func (w *world) disturb() {
	for _, s := range w.servers {
		switch {
		case w.random.Float64() < worldStep.Seconds()/40:
			for _, f := range w.flights {
				if f.server == s {
					f.at, f.sample.Failed, f.sample.FirstByte = w.now, true, 0
				}
			}
			heap.Init(&w.flights)
		case w.random.Float64() < worldStep.Seconds()*0.15/0.6:
			s.slowUntil = w.now.Add(600 * time.Millisecond)
		}
	}
}
