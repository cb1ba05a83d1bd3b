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

// usableAfter is how long after its warm-up an upstream's warm limit counts as
// usable: slow start raises it step by step.
const usableAfter = 10 * time.Second

// meter watches a run. It implements pump.Observer.
type meter struct {
	run      *run
	accounts []version.AccountID
	index    map[version.AccountID]int
	// service is weighted, by account.
	service []float64
	// waiting counts requests without a grant, by account; dry is set if it
	// has been 0 since the last sample.
	waiting []int
	dry     []bool
	// from is the sample from which an account has been backlogged; -1 is not.
	from    []int
	samples []Sample

	pools  map[version.PoolID]*poolUse
	order  []version.PoolID
	waits  *hdrhistogram.Histogram
	counts struct{ completed, refused, broken, running, newWorkWhileOut int }
	gap    float64
	last   time.Time
}

// poolUse integrates the use of one pool while work waits for it.
type poolUse struct {
	waiting, running int
	used, usable     float64
	// sampleUsed and sampleUsable are those of the last sample.
	sampleUsed, sampleUsable float64
}

func newMeter(r *run) *meter {
	m := &meter{
		run:   r,
		index: make(map[version.AccountID]int),
		pools: make(map[version.PoolID]*poolUse),
		waits: hdrhistogram.New(1, wait.Milliseconds()*2, 3),
	}
	for _, spec := range r.scenario.Deployment.Document.Accounts {
		id := version.NewAccountID(spec.Name)
		m.index[id] = len(m.accounts)
		m.accounts = append(m.accounts, id)
	}
	n := len(m.accounts)
	m.service, m.waiting = make([]float64, n), make([]int, n)
	m.dry, m.from = make([]bool, n), make([]int, n)
	for i := range m.from {
		m.from[i] = -1
	}
	for _, spec := range r.scenario.Deployment.Document.Pools {
		id := version.NewPoolID(spec.Name)
		m.pools[id] = &poolUse{}
		m.order = append(m.order, id)
	}
	return m
}

// submitted counts a request that begins to wait.
func (m *meter) submitted(now time.Time, ticket request.Ticket) {
	m.integrate(now)
	m.waiting[m.index[ticket.Account]]++
	m.pools[ticket.Pool].waiting++
}

// Granted implements pump.Observer.
func (m *meter) Granted(now time.Time, job pump.Job, upstream version.UpstreamID) {
	m.integrate(now)
	m.waitEnded(job.Ticket)
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

// Charged implements pump.Observer.
func (m *meter) Charged(_ time.Time, job pump.Job, cost request.Cost) {
	weight := m.run.config.Accounts[job.Ticket.Account].Weight
	m.service[m.index[job.Ticket.Account]] += float64(cost) / weight
}

// Ended implements pump.Observer.
func (m *meter) Ended(now time.Time, job pump.Job) {
	m.integrate(now)
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
	m.pools[ticket.Pool].waiting--
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
	gap := m.largestGap()
	m.samples[len(m.samples)-1].Gap = gap
	m.gap = max(m.gap, gap)
}

// largestGap returns the largest difference in service between two accounts
// since both have been backlogged. Accounts are compared within one pool.
func (m *meter) largestGap() float64 {
	current := m.samples[len(m.samples)-1].Service
	largest := 0.0
	for i := range m.from {
		for j := range i {
			if m.from[i] < 0 || m.from[j] < 0 || m.run.poolOf[i] != m.run.poolOf[j] {
				continue
			}
			first := m.samples[max(m.from[i], m.from[j])].Service
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

// utilisation returns that of the whole run.
func (m *meter) utilisation() float64 {
	var used, usable float64
	for _, id := range m.order {
		use := m.pools[id]
		used += use.used
		usable += use.usable
	}
	if usable == 0 {
		return 1
	}
	return used / usable
}
