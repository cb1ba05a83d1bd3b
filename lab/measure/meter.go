package measure

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/trefoilwell/trefoilwell/fleet/process/pump"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// meter watches a run. It implements pump.Observer.
type meter struct {
	run      *run
	accounts []version.AccountID
	index    map[version.AccountID]int
	// service is weighted, by account: of requests that were granted while
	// others waited for the pool, and total of all.
	service, total []float64
	// weights holds the weight under which each running request was granted;
	// of a request that nobody else waited for, it is 0.
	weights map[callKey]float64
	// totalGap is the gap of total.
	totalGap float64
	// waiting counts requests without a grant, by account; dry is set if it
	// has been 0 since the last sample.
	waiting []int
	dry     []bool
	// from is the sample from which an account has been backlogged; -1 is not.
	from    []int
	samples []Sample
	pools   map[version.PoolID]*poolUse
	order   []version.PoolID
	waits   *hdrhistogram.Histogram
	counts  struct{ completed, refused, broken, running, newWorkWhileOut int }
	gap     float64
	last    time.Time
}

// poolUse integrates the use of one pool while work waits for it.
type poolUse struct {
	waiting, running int
	// accounts counts the waiting requests of each account that has any.
	accounts           map[version.AccountID]int
	used, usable, warm float64
	// sampleUsed and sampleUsable are those of the last sample.
	sampleUsed, sampleUsable float64
}

func newMeter(r *run) *meter {
	m := &meter{
		run:     r,
		index:   make(map[version.AccountID]int),
		pools:   make(map[version.PoolID]*poolUse),
		weights: make(map[callKey]float64),
		waits:   hdrhistogram.New(1, wait.Milliseconds()*2, 3),
	}
	for _, spec := range r.scenario.Deployment.Document.Accounts {
		id := version.NewAccountID(spec.Name)
		m.index[id] = len(m.accounts)
		m.accounts = append(m.accounts, id)
	}
	n := len(m.accounts)
	m.service, m.total, m.waiting = make([]float64, n), make([]float64, n), make([]int, n)
	m.dry, m.from = make([]bool, n), make([]int, n)
	for i := range m.from {
		m.from[i] = -1
	}
	for _, spec := range r.scenario.Deployment.Document.Pools {
		id := version.NewPoolID(spec.Name)
		m.pools[id] = &poolUse{accounts: make(map[version.AccountID]int)}
		m.order = append(m.order, id)
	}
	return m
}

// submitted counts a request that begins to wait.
func (m *meter) submitted(now time.Time, ticket request.Ticket) {
	m.integrate(now)
	m.waiting[m.index[ticket.Account]]++
	m.pools[ticket.Pool].waiting++
	m.pools[ticket.Pool].accounts[ticket.Account]++
}

// Granted implements pump.Observer.
func (m *meter) Granted(now time.Time, job pump.Job, upstream version.UpstreamID) {
	m.integrate(now)
	m.waitEnded(job.Ticket)
	m.noteWeight(job.Ticket)
	m.pools[job.Ticket.Pool].running++
	m.counts.running++
	if !m.run.measuring {
		return
	}
	if job.Ticket.Lane == request.LaneShort {
		_ = m.waits.RecordValue(max(now.Sub(job.Submitted).Milliseconds(), 1))
	}
	m.run.longest = max(m.run.longest, now.Sub(job.Submitted))
	if m.run.outFor(now, upstream) > OutLimit {
		m.counts.newWorkWhileOut++
	}
}

// noteWeight notes under which weight a request was granted.
func (m *meter) noteWeight(ticket request.Ticket) {
	others := len(m.pools[ticket.Pool].accounts)
	if m.pools[ticket.Pool].accounts[ticket.Account] > 0 {
		others--
	}
	if others > 0 {
		m.weights[callKey(ticket.Prefix)] = m.run.config.Accounts[ticket.Account].Weight
	}
}

// Charged implements pump.Observer.
func (m *meter) Charged(_ time.Time, job pump.Job, cost request.Cost) {
	i := m.index[job.Ticket.Account]
	m.total[i] += float64(cost) / m.run.config.Accounts[job.Ticket.Account].Weight
	if weight := m.weights[callKey(job.Ticket.Prefix)]; weight > 0 {
		m.service[i] += float64(cost) / weight
	}
}

// Ended implements pump.Observer.
func (m *meter) Ended(now time.Time, job pump.Job) {
	m.integrate(now)
	delete(m.weights, callKey(job.Ticket.Prefix))
	m.pools[job.Ticket.Pool].running--
	m.counts.running--
	if m.run.measuring {
		m.counts.completed++
	}
	m.run.callers.again(job.Ticket, 0)
}

// Refused implements pump.Observer.
func (m *meter) Refused(now time.Time, job pump.Job, refusal request.Refusal) {
	m.integrate(now)
	m.waitEnded(job.Ticket)
	if m.run.measuring {
		m.counts.refused++
	}
	m.run.callers.again(job.Ticket, max(refusal.RetryAfter, restartPause))
}

// Lost implements pump.Observer.
func (m *meter) Lost(now time.Time, job pump.Job, running bool) {
	m.integrate(now)
	delete(m.weights, callKey(job.Ticket.Prefix))
	if running {
		m.pools[job.Ticket.Pool].running--
		m.counts.running--
	} else {
		m.waitEnded(job.Ticket)
	}
	if m.run.measuring {
		m.counts.broken++
	}
	m.run.callers.again(job.Ticket, restartPause)
}

func (m *meter) waitEnded(ticket request.Ticket) {
	i := m.index[ticket.Account]
	m.waiting[i]--
	m.dry[i] = m.dry[i] || m.waiting[i] == 0
	use := m.pools[ticket.Pool]
	use.waiting--
	if use.accounts[ticket.Account]--; use.accounts[ticket.Account] == 0 {
		delete(use.accounts, ticket.Account)
	}
}

// integrate adds the slot time since the last change to the pools for which
// work waits.
func (m *meter) integrate(now time.Time) {
	seconds := now.Sub(m.last).Seconds()
	m.last = now
	if !m.run.measuring || seconds == 0 {
		return
	}
	for _, id := range m.order {
		use := m.pools[id]
		if use.waiting == 0 {
			continue
		}
		usable := m.run.usable[id]
		use.used += seconds * float64(min(use.running, usable))
		use.usable += seconds * float64(usable)
		use.warm += seconds * float64(m.run.warm[id])
	}
}

// sample records the state once an interval.
func (m *meter) sample(now time.Time) {
	m.integrate(now)
	s := Sample{
		Seconds:     now.Sub(m.run.started).Seconds(),
		Utilisation: m.interval(),
		Running:     m.counts.running,
		Completed:   m.counts.completed,
		Refused:     m.counts.refused,
		Broken:      m.counts.broken,
		Service:     slices.Clone(m.service),
		Total:       slices.Clone(m.total),
	}
	for i, waiting := range m.waiting {
		s.Waiting += waiting
		switch {
		case waiting == 0 || m.dry[i]:
			m.from[i] = -1
		case m.from[i] < 0:
			m.from[i] = len(m.samples)
		}
		m.dry[i] = waiting == 0
	}
	m.samples = append(m.samples, s)
	last := &m.samples[len(m.samples)-1]
	last.Gap = m.largestGap(func(s *Sample) []float64 { return s.Service })
	m.gap = max(m.gap, last.Gap)
	m.totalGap = max(m.totalGap, m.largestGap(func(s *Sample) []float64 { return s.Total }))
}

// largestGap returns the largest difference in service between two accounts
// since both have been backlogged. Accounts are compared within one pool.
func (m *meter) largestGap(of func(*Sample) []float64) float64 {
	current := of(&m.samples[len(m.samples)-1])
	largest := 0.0
	for i := range m.from {
		for j := range i {
			if m.from[i] < 0 || m.from[j] < 0 || m.run.poolOf[i] != m.run.poolOf[j] {
				continue
			}
			first := of(&m.samples[max(m.from[i], m.from[j])])
			gap := (current[i] - first[i]) - (current[j] - first[j])
			largest = max(largest, math.Abs(gap))
		}
	}
	return largest
}

// interval returns the utilisation since the last call, or -1 if none waited.
func (m *meter) interval() float64 {
	var used, usable float64
	for _, id := range m.order {
		use := m.pools[id]
		used += use.used - use.sampleUsed
		usable += use.usable - use.sampleUsable
		use.sampleUsed, use.sampleUsable = use.used, use.usable
	}
	if usable == 0 {
		return -1
	}
	return used / usable
}

// utilisation returns the used fraction of the earned and of the warm slots
// over the whole run.
func (m *meter) utilisation() (ofEarned, ofWarm float64) {
	var used, usable, warm float64
	for _, id := range m.order {
		use := m.pools[id]
		used += use.used
		usable += use.usable
		warm += use.warm
	}
	if usable == 0 {
		return 1, 1
	}
	return used / usable, used / warm
}
