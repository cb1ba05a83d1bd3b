package pump

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/slots"
	"github.com/trefoilwell/trefoilwell/fleet/process/node"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// ReportLag is how late an upstream's load report is.
	ReportLag = 500 * time.Millisecond
	// firstToken is the first-token time of a warm upstream.
	firstToken = 100 * time.Millisecond
	// coldFirstToken is the first-token time of a cold upstream.
	coldFirstToken = 2 * time.Second
	// pace is the time per cost unit.
	pace = 20 * time.Millisecond
	// chargeInterval is the time between two charges of a running request.
	chargeInterval = 250 * time.Millisecond
	// warmUp is how long after its first request an upstream stays cold.
	warmUp = 2 * time.Second
)

// Observer is told what happens to requests.
type Observer interface {
	Granted(now time.Time, job Job, upstream version.UpstreamID)
	Charged(now time.Time, job Job, cost request.Cost)
	Ended(now time.Time, job Job)
	Refused(now time.Time, job Job, refusal request.Refusal)
}

// Job is a caller's request and its true cost, which only the upstream knows.
type Job struct {
	VM        version.VMID
	Ticket    request.Ticket
	Cost      request.Cost
	Submitted time.Time
}

// Stand plays one upstream.
type Stand struct {
	Running, MaxRunning int
	// OverCold counts requests that began above the cold limit while cold.
	OverCold  int
	warmAfter time.Time
}

type jobKey struct {
	vm          version.VMID
	incarnation uint64
	id          request.ID
}

type job struct {
	Job
	key jobKey
}

// Submit gives a daemon a caller's request of a true cost.
func (p *Pump) Submit(vm version.VMID, ticket request.Ticket, cost request.Cost) request.ID {
	d := p.daemons[vm]
	d.nextID++
	ticket.ID = request.ID(d.nextID)
	ticket.Attempt = 1
	key := jobKey{vm: vm, incarnation: d.Incarnation, id: ticket.ID}
	p.jobs[key] = &job{key: key, Job: Job{VM: vm, Ticket: ticket, Cost: cost, Submitted: p.now}}
	p.Step(vm, node.Submit{Ticket: ticket})
	return ticket.ID
}

// Stand returns what plays an upstream.
func (p *Pump) Stand(id version.UpstreamID) *Stand {
	s, present := p.stands[id]
	if !present {
		s = &Stand{}
		p.stands[id] = s
	}
	return s
}

// Cool makes an upstream cold without telling anyone.
func (p *Pump) Cool(id version.UpstreamID) { p.Stand(id).warmAfter = time.Time{} }

func (p *Pump) granted(d *Daemon, grant request.Grant) {
	j, present := p.jobs[jobKey{vm: d.VM, incarnation: d.Incarnation, id: grant.ID}]
	if !present {
		return
	}
	s := p.Stand(grant.Upstream)
	s.Running++
	s.MaxRunning = max(s.MaxRunning, s.Running)
	first := p.firstToken(s, grant.Upstream)
	if p.options.Observer != nil {
		p.options.Observer.Granted(p.now, j.Job, grant.Upstream)
	}
	p.after(first, func() { p.stream(d, j, grant, first, 0) })
}

// firstToken returns the time to the first token and starts the warm-up.
func (p *Pump) firstToken(s *Stand, id version.UpstreamID) time.Duration {
	if s.warmAfter.IsZero() {
		s.warmAfter = p.now.Add(warmUp)
	}
	if !p.now.Before(s.warmAfter) {
		return firstToken
	}
	if upstream := p.options.Config.Upstreams[id]; upstream != nil && s.Running > upstream.ColdLimit {
		s.OverCold++
	}
	return coldFirstToken
}

// stream charges what was generated since the last call and ends the request
// when all is.
func (p *Pump) stream(d *Daemon, j *job, grant request.Grant, first time.Duration, done request.Cost) {
	rest := j.Cost - done
	chunk := min(rest, request.Cost(chargeInterval/pace))
	p.after(time.Duration(float64(chunk)*float64(pace)), func() {
		p.charge(d, j, chunk)
		if chunk < rest {
			p.stream(d, j, grant, first, done+chunk)
			return
		}
		p.end(d, j, grant, first)
	})
}

func (p *Pump) charge(d *Daemon, j *job, cost request.Cost) {
	if p.jobs[j.key] != j {
		return
	}
	if p.options.Observer != nil {
		p.options.Observer.Charged(p.now, j.Job, cost)
	}
	p.Step(d.VM, node.Charge{ID: j.Ticket.ID, Account: j.Ticket.Account, Cost: cost})
}

func (p *Pump) end(d *Daemon, j *job, grant request.Grant, first time.Duration) {
	p.Stand(grant.Upstream).Running--
	if p.jobs[j.key] != j {
		return
	}
	delete(p.jobs, j.key)
	if p.options.Observer != nil {
		p.options.Observer.Ended(p.now, j.Job)
	}
	p.Step(d.VM, node.End{Finish: request.Finish{
		ID:         grant.ID,
		Attempt:    grant.Attempt,
		Pool:       grant.Pool,
		Upstream:   grant.Upstream,
		Outcome:    request.OutcomeDone,
		Cost:       j.Cost,
		FirstToken: first,
	}})
}

// poll answers a daemon with what the upstream ran ReportLag ago.
func (p *Pump) poll(d *Daemon, id version.UpstreamID) {
	s := p.Stand(id)
	load := slots.Load{Running: s.Running, Cold: p.now.Before(s.warmAfter)}
	p.after(ReportLag, func() { p.Step(d.VM, node.Load{Upstream: id, Load: load}) })
}

func (p *Pump) refused(d *Daemon, refused node.Refused) {
	key := jobKey{vm: d.VM, incarnation: d.Incarnation, id: refused.ID}
	j, present := p.jobs[key]
	if !present {
		return
	}
	delete(p.jobs, key)
	if p.options.Observer != nil {
		p.options.Observer.Refused(p.now, j.Job, refused.Refusal)
	}
}

// dropJobs forgets the requests of a daemon that is gone.
func (p *Pump) dropJobs(vm version.VMID, incarnation uint64) {
	for key := range p.jobs {
		if key.vm == vm && key.incarnation == incarnation {
			delete(p.jobs, key)
		}
	}
}
