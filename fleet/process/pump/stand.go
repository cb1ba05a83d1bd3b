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
	// WarmFirstToken is the time to first token of a warm upstream.
	WarmFirstToken = 100 * time.Millisecond
	// coldFirstToken is the time to first token of a cold upstream.
	coldFirstToken = 2 * time.Second
	// TimePerCostUnit is the time that an upstream takes per unit of cost.
	TimePerCostUnit = 20 * time.Millisecond
	// ChargeInterval is the time between two charges of a running request.
	ChargeInterval = 250 * time.Millisecond
	// LoadDelay is how old an upstream's load is when the daemon receives it.
	LoadDelay = 500 * time.Millisecond
	// coldSignDelay is how long it takes until a dispatcher has learned that an upstream
	// is cold, after the first sign of it.
	coldSignDelay = 50 * time.Millisecond
	// warmUpTime is how long an upstream stays cold after its first request.
	warmUpTime = 2 * time.Second
)

// Observer is notified of the progress of requests.
type Observer interface {
	// Granted is called when a request starts to run on an upstream.
	Granted(now time.Time, job Job, upstream version.UpstreamID)
	// Charged is called when a part of the cost of a running request is charged.
	Charged(now time.Time, job Job, cost request.Cost)
	// Ended is called when a request was executed completely.
	Ended(now time.Time, job Job)
	// Refused is called when a request was refused.
	Refused(now time.Time, job Job, refusal request.Refusal)
	// Lost is called for a request whose daemon restarted while it waited or ran.
	Lost(now time.Time, job Job, running bool)
}

// Job is a caller's request with its actual cost, which only the upstream knows.
type Job struct {
	VM        version.VMID
	Ticket    request.Ticket
	Cost      request.Cost
	Submitted time.Time
}

// FakeUpstream simulates an upstream that executes granted requests.
type FakeUpstream struct {
	// Running is the number of running requests, and MaxRunning its maximum so far.
	Running, MaxRunning int
	// OverCold counts requests that exceeded the cold limit when they started on the
	// cold upstream. OverColdUndetectable counts such requests that started before any
	// dispatcher could know that the upstream was cold; OverCold does not include them.
	OverCold, OverColdUndetectable int
	// undetectable is set while the upstream is cold again and no dispatcher can know it.
	undetectable bool
	// warmAfter is when the warm-up ends; zero if it has not started.
	warmAfter time.Time
}

// jobKey identifies a request by its daemon, the daemon's incarnation and the request ID.
type jobKey struct {
	vm          version.VMID
	incarnation uint64
	id          request.ID
}

// job is a request that has not ended.
type job struct {
	Job
	key jobKey
	// upstream is the upstream on which the request runs; 0 while it waits.
	upstream version.UpstreamID
}

// Submit submits a caller's request with its actual cost to a daemon.
func (s *Simulation) Submit(vm version.VMID, ticket request.Ticket, cost request.Cost) request.ID {
	d := s.daemons[vm]
	d.lastID++
	ticket.ID = request.ID(d.lastID)
	ticket.Attempt = 1
	key := jobKey{vm: vm, incarnation: d.Incarnation, id: ticket.ID}
	s.jobs[key] = &job{key: key, Job: Job{VM: vm, Ticket: ticket, Cost: cost, Submitted: s.now}}
	s.Step(vm, node.Submit{Ticket: ticket})
	return ticket.ID
}

// FakeUpstream returns the fake upstream with an ID.
func (s *Simulation) FakeUpstream(id version.UpstreamID) *FakeUpstream {
	u, present := s.upstreams[id]
	if !present {
		u = &FakeUpstream{}
		s.upstreams[id] = u
	}
	return u
}

// WarmFor returns how long the upstream has been warm, or a negative duration if it is
// cold.
func (u *FakeUpstream) WarmFor(now time.Time) time.Duration {
	if u.warmAfter.IsZero() {
		return -1
	}
	return now.Sub(u.warmAfter)
}

// MakeCold makes an upstream cold that dispatchers have to treat as cold, because it is new
// or was out of service.
func (s *Simulation) MakeCold(id version.UpstreamID) { s.FakeUpstream(id).warmAfter = time.Time{} }

// MakeColdUndetected makes an upstream cold without any sign of it to dispatchers.
func (s *Simulation) MakeColdUndetected(id version.UpstreamID) {
	u := s.FakeUpstream(id)
	u.warmAfter, u.undetectable = time.Time{}, true
}

// revealCold ends the time in which no dispatcher can know that the upstream is cold, after
// the time that a sign takes to reach a dispatcher.
func (s *Simulation) revealCold(u *FakeUpstream) {
	if u.undetectable {
		s.after(coldSignDelay, func() { u.undetectable = false })
	}
}

// granted starts a granted request on its upstream.
func (s *Simulation) granted(d *Daemon, grant request.Grant) {
	j, present := s.jobs[jobKey{vm: d.VM, incarnation: d.Incarnation, id: grant.ID}]
	if !present {
		return
	}
	u := s.FakeUpstream(grant.Upstream)
	u.Running++
	j.upstream = grant.Upstream
	u.MaxRunning = max(u.MaxRunning, u.Running)
	ttft := s.firstToken(u, grant.Upstream)
	if s.options.Observer != nil {
		s.options.Observer.Granted(s.now, j.Job, grant.Upstream)
	}
	s.after(ttft, func() { s.stream(d, j, grant, ttft, 0) })
}

// firstToken returns the time to first token of a request that starts now. It starts the
// warm-up of a cold upstream and counts requests over its cold limit.
func (s *Simulation) firstToken(u *FakeUpstream, id version.UpstreamID) time.Duration {
	if u.warmAfter.IsZero() {
		u.warmAfter = s.now.Add(warmUpTime)
	}
	if !s.now.Before(u.warmAfter) {
		return WarmFirstToken
	}
	if upstream := s.options.Config.Upstreams[id]; upstream != nil && u.Running > upstream.ColdLimit {
		if u.undetectable {
			u.OverColdUndetectable++
		} else {
			u.OverCold++
		}
	}
	return coldFirstToken
}

// stream charges the cost of a running request in steps and ends the request after the last
// step.
func (s *Simulation) stream(d *Daemon, j *job, grant request.Grant, ttft time.Duration, done request.Cost) {
	remaining := j.Cost - done
	chunk := min(remaining, request.Cost(ChargeInterval/TimePerCostUnit))
	s.after(time.Duration(float64(chunk)*float64(TimePerCostUnit)), func() {
		s.charge(d, j, chunk)
		if chunk < remaining {
			s.stream(d, j, grant, ttft, done+chunk)
			return
		}
		s.end(d, j, grant, ttft)
	})
}

// charge reports a cost to the daemon unless the request was lost.
func (s *Simulation) charge(d *Daemon, j *job, cost request.Cost) {
	if s.jobs[j.key] != j {
		return
	}
	if s.options.Observer != nil {
		s.options.Observer.Charged(s.now, j.Job, cost)
	}
	s.Step(d.VM, node.Charge{ID: j.Ticket.ID, Account: j.Ticket.Account, Cost: cost})
}

// end ends a running request and reports its completion to the daemon unless the request
// was lost.
func (s *Simulation) end(d *Daemon, j *job, grant request.Grant, ttft time.Duration) {
	u := s.FakeUpstream(grant.Upstream)
	u.Running--
	if ttft > WarmFirstToken {
		s.revealCold(u)
	}
	if s.jobs[j.key] != j {
		return
	}
	delete(s.jobs, j.key)
	if s.options.Observer != nil {
		s.options.Observer.Ended(s.now, j.Job)
	}
	s.Step(d.VM, node.Finish{Finish: request.Finish{
		ID:         grant.ID,
		Attempt:    grant.Attempt,
		Pool:       grant.Pool,
		Upstream:   grant.Upstream,
		Outcome:    request.OutcomeDone,
		Cost:       j.Cost,
		FirstToken: ttft,
	}})
}

// refused drops a request that its daemon refused.
func (s *Simulation) refused(d *Daemon, refused node.Refused) {
	key := jobKey{vm: d.VM, incarnation: d.Incarnation, id: refused.ID}
	j, present := s.jobs[key]
	if !present {
		return
	}
	delete(s.jobs, key)
	if s.options.Observer != nil {
		s.options.Observer.Refused(s.now, j.Job, refused.Refusal)
	}
}

// dropJobs drops the requests of an incarnation of a daemon that has stopped.
func (s *Simulation) dropJobs(vm version.VMID, incarnation uint64) {
	var lost []*job
	for key, j := range s.jobs {
		if key.vm == vm && key.incarnation == incarnation {
			lost = append(lost, j)
		}
	}
	slices.SortFunc(lost, func(a, b *job) int { return cmp.Compare(a.key.id, b.key.id) })
	for _, j := range lost {
		delete(s.jobs, j.key)
		if s.options.Observer != nil {
			s.options.Observer.Lost(s.now, j.Job, j.upstream != 0)
		}
	}
}

// poll answers a poll with the current load of an upstream after LoadDelay.
func (s *Simulation) poll(d *Daemon, id version.UpstreamID) {
	u := s.FakeUpstream(id)
	load := slots.Load{Running: u.Running, Cold: u.WarmFor(s.now) < 0}
	incarnation := d.Incarnation
	s.after(LoadDelay, func() {
		if d.Incarnation == incarnation {
			if load.Cold {
				s.revealCold(u)
			}
			s.Step(d.VM, node.Load{Upstream: id, Load: load})
		}
	})
}
