package valve

import (
	"testing"
	"time"
)

const tick = 15 * time.Millisecond

// processor is a process that works off what it has taken in, in order. Costs are in
// seconds of processor a second of time.
type processor struct {
	valve *Valve
	// serve and refuse are what a request costs, in time.
	serve, refuse time.Duration
	backlog       time.Duration
	served        int
	// late is the longest time that what was taken in had to wait.
	late time.Duration
	due  float64
}

// run lets requests come for a time and returns how many were served.
func (p *processor) run(perSecond float64, length time.Duration) int {
	before := p.served
	for range int(length / tick) {
		p.due += perSecond * tick.Seconds()
		for ; p.due >= 1; p.due-- {
			if !p.valve.Admit() {
				p.backlog += p.refuse
				continue
			}
			p.served++
			p.backlog += p.serve
		}
		p.backlog = max(p.backlog-tick, 0)
		p.late = max(p.late, p.backlog)
		p.valve.Tick(p.backlog)
	}
	return p.served - before
}

// One account sent several times what its VM can serve: the VM refused all while it was
// behind, and spent its processor on that (FAIR on grown Queensland and Ribglue).
func TestAFloodAtOneVMIsServedAtWhatItsProcessorAllows(t *testing.T) {
	p := &processor{valve: New(0), serve: time.Millisecond, refuse: 50 * time.Microsecond}
	const perSecond, seconds = 5000, 10
	p.run(perSecond, 2*time.Second)
	p.late = 0
	served := p.run(perSecond, seconds*time.Second)
	// What remains beside refusing all of them.
	room := int((time.Second - perSecond*p.refuse) / (p.serve - p.refuse) * seconds)
	if served < room*7/10 {
		t.Errorf("%d served, there is room for %d", served, room)
	}
	if p.late > 10*DefaultLimit {
		t.Errorf("what was taken in waited for %v", p.late)
	}
}

func TestAValveOpensAgainAfterAFlood(t *testing.T) {
	p := &processor{valve: New(0), serve: time.Millisecond, refuse: 50 * time.Microsecond}
	p.run(5000, 3*time.Second)
	p.run(100, 2*time.Second)
	if served := p.run(100, time.Second); served < 99 {
		t.Errorf("%d of 100 served after the flood", served)
	}
	if p.valve.Part() < 1 {
		t.Errorf("part is %v", p.valve.Part())
	}
}

// A process that refuses everything never learns that it could serve.
func TestAValveNeverClosesForGood(t *testing.T) {
	v := New(0)
	taken := 0
	for range 1000 {
		v.Tick(time.Second)
		if v.Admit() {
			taken++
		}
	}
	if taken == 0 {
		t.Error("nothing is taken in")
	}
}

func TestAnOpenValveTakesEverything(t *testing.T) {
	v := New(0)
	for range 1000 {
		v.Tick(v.Limit())
		if !v.Admit() {
			t.Fatal("refused without lag")
		}
	}
}
