package valve

import (
	"testing"
	"time"
)

const tick = 15 * time.Millisecond

// processor simulates a process on one core that handles the admitted requests in
// order of arrival.
type processor struct {
	shedder *Shedder
	// serveCost and refuseCost are the processor time to serve and to refuse a
	// request.
	serveCost, refuseCost time.Duration
	// backlog is the processor time of requests that still wait.
	backlog time.Duration
	served  int
	// maxLag is the longest time that an admitted request waited.
	maxLag time.Duration
	// arrived is the number of requests, with a fraction, that arrived and were not
	// handled yet.
	arrived float64
}

// run simulates a constant arrival rate for a duration and returns the number of
// served requests.
func (p *processor) run(perSecond float64, duration time.Duration) int {
	before := p.served
	for range int(duration / tick) {
		p.arrived += perSecond * tick.Seconds()
		for ; p.arrived >= 1; p.arrived-- {
			if !p.shedder.Admit() {
				p.backlog += p.refuseCost
				continue
			}
			p.served++
			p.backlog += p.serveCost
		}
		p.backlog = max(p.backlog-tick, 0)
		p.maxLag = max(p.maxLag, p.backlog)
		p.shedder.ObserveLag(p.backlog)
	}
	return p.served - before
}

// Guards against a collapse of throughput under overload. It came about when one
// account sent several times the requests that its VM can serve: the VM refused all of
// them while it was overloaded and spent its processor time on refusals.
func TestOverloadedVMServesUpToItsProcessorCapacity(t *testing.T) {
	p := &processor{shedder: New(0), serveCost: time.Millisecond, refuseCost: 50 * time.Microsecond}
	const perSecond, seconds = 5000, 10
	p.run(perSecond, 2*time.Second)
	p.maxLag = 0
	served := p.run(perSecond, seconds*time.Second)
	// The requests that can be served in the time left after refusing the others.
	capacity := int((time.Second - perSecond*p.refuseCost) / (p.serveCost - p.refuseCost) * seconds)
	if served < capacity*7/10 {
		t.Errorf("%d requests served, want at least 70%% of the capacity of %d", served, capacity)
	}
	if p.maxLag > 10*DefaultLagLimit {
		t.Errorf("an admitted request waited for %v, want at most 10 times the lag limit", p.maxLag)
	}
}

func TestAdmitsEverythingAgainAfterAnOverload(t *testing.T) {
	p := &processor{shedder: New(0), serveCost: time.Millisecond, refuseCost: 50 * time.Microsecond}
	p.run(5000, 3*time.Second)
	p.run(100, 2*time.Second)
	if served := p.run(100, time.Second); served < 99 {
		t.Errorf("%d of 100 requests served after the overload, want at least 99", served)
	}
	if p.shedder.AdmittedFraction() < 1 {
		t.Errorf("admitted fraction is %v after the overload, want 1", p.shedder.AdmittedFraction())
	}
}

// Guards against a shedder that refuses everything for ever: without admitted requests
// a process cannot observe that it has recovered.
func TestLastingLagStillAdmitsSomeRequests(t *testing.T) {
	shedder := New(0)
	admitted := 0
	for range 1000 {
		shedder.ObserveLag(time.Second)
		if shedder.Admit() {
			admitted++
		}
	}
	if admitted == 0 {
		t.Error("no request was admitted during a lasting lag of 1 s")
	}
}

func TestLagWithinTheLimitAdmitsEverything(t *testing.T) {
	shedder := New(0)
	for range 1000 {
		shedder.ObserveLag(shedder.LagLimit())
		if !shedder.Admit() {
			t.Fatal("request refused although the lag does not exceed the limit")
		}
	}
}
