package pump

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/slots"
	"github.com/trefoilwell/trefoilwell/fleet/process/node"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// FirstToken is the first-token time of a warm upstream.
	FirstToken = 100 * time.Millisecond
	// coldFirstToken is the first-token time of a cold upstream.
	coldFirstToken = 2 * time.Second
	// Pace is the time per cost unit.
	Pace = 20 * time.Millisecond
	// ChargeInterval is the time between two charges of a running request.
	ChargeInterval = 250 * time.Millisecond
	// ReportLag is how old an upstream's report is when it arrives.
	ReportLag = 500 * time.Millisecond
	// signTime is how long a sign of coldness takes to a dispatcher.
	signTime = 50 * time.Millisecond
	// warmUp is how long after its first request an upstream stays cold.
	warmUp = 2 * time.Second
)

// Observer is told what happens to requests.
type Observer interface {
	Granted(now time.Time, job Job, upstream version.UpstreamID)
	Charged(now time.Time, job Job, cost request.Cost)
	Ended(now time.Time, job Job)
	Refused(now time.Time, job Job, refusal request.Refusal)
	// Lost is called for a request whose daemon restarted.
	Lost(now time.Time, job Job, running bool)
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
	// OverCold counts requests that began above the cold limit while cold,
	// BeforeSign those of them that came before anyone could know.
	OverCold, BeforeSign int
	// hidden is set while the upstream is cold again without any sign of it.
	hidden    bool
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
	// upstream is where it runs; 0 is nowhere.
	upstream version.UpstreamID
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

// WarmFor returns how long the upstream has been warm; a cold one has been for
// less than 0.
func (s *Stand) WarmFor(now time.Time) time.Duration {
	if s.warmAfter.IsZero() {
		return -1
	}
	return now.Sub(s.warmAfter)
}

// Cool makes an upstream cold, such that no dispatcher may be surprised by it:
// it was out, or is new.
func (p *Pump) Cool(id version.UpstreamID) { p.Stand(id).warmAfter = time.Time{} }

// CoolSilently makes an upstream cold without telling anyone.
func (p *Pump) CoolSilently(id version.UpstreamID) {
	s := p.Stand(id)
	s.warmAfter, s.hidden = time.Time{}, true
}

// shows ends the time in which nobody can know that the upstream is cold, once
// the sign has reached a dispatcher.
func (p *Pump) shows(s *Stand) {
	if s.hidden {
		p.after(signTime, func() { s.hidden = false })
	}
}

func (p *Pump) granted(d *Daemon, grant request.Grant) {
	j, present := p.jobs[jobKey{vm: d.VM, incarnation: d.Incarnation, id: grant.ID}]
	if !present {
		return
	}
	s := p.Stand(grant.Upstream)
	s.Running++
	j.upstream = grant.Upstream
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
		return FirstToken
	}
	if upstream := p.options.Config.Upstreams[id]; upstream != nil && s.Running > upstream.ColdLimit {
		if s.hidden {
			s.BeforeSign++
		} else {
			s.OverCold++
		}
	}
	return coldFirstToken
}

// stream charges what was generated since the last call and ends the request
// when all is.
func (p *Pump) stream(d *Daemon, j *job, grant request.Grant, first time.Duration, done request.Cost) {
	rest := j.Cost - done
	chunk := min(rest, request.Cost(ChargeInterval/Pace))
	p.after(time.Duration(float64(chunk)*float64(Pace)), func() {
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
	s := p.Stand(grant.Upstream)
	s.Running--
	if first > FirstToken {
		p.shows(s)
	}
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
	var lost []*job
	for key, j := range p.jobs {
		if key.vm == vm && key.incarnation == incarnation {
			lost = append(lost, j)
		}
	}
	slices.SortFunc(lost, func(a, b *job) int { return cmp.Compare(a.key.id, b.key.id) })
	for _, j := range lost {
		delete(p.jobs, j.key)
		if p.options.Observer != nil {
			p.options.Observer.Lost(p.now, j.Job, j.upstream != 0)
		}
	}
}

// poll answers with an upstream's load as it was a while ago.
func (p *Pump) poll(d *Daemon, id version.UpstreamID) {
	s := p.Stand(id)
	load := slots.Load{Running: s.Running, Cold: s.WarmFor(p.now) < 0}
	incarnation := d.Incarnation
	p.after(ReportLag, func() {
		if d.Incarnation == incarnation {
			if load.Cold {
				p.shows(s)
			}
			p.Step(d.VM, node.Load{Upstream: id, Load: load})
		}
	})
}
