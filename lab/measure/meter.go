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

// recorder records the measurements of a run. It implements pump.Observer.
type recorder struct {
	run      *run
	accounts []version.AccountID
	index    map[version.AccountID]int
	// contendedService and totalService are the weighted service by account, in
	// cost units. Contended service is that of requests granted while other
	// accounts waited for the pool.
	contendedService, totalService []float64
	// contendedWeights holds the account's weight at the grant of each running
	// request that counts as contended; other requests have no entry.
	contendedWeights map[requestTag]float64
	// totalGap is the largest gap in totalService.
	totalGap float64
	// waiting counts the requests without a grant by account; reachedZero is set
	// if the count has been 0 at any time since the last sample.
	waiting     []int
	reachedZero []bool
	// backloggedFrom is the index of the sample since which an account has been
	// backlogged without a break; -1 if it is not backlogged.
	backloggedFrom []int
	samples        []Sample
	poolUsage      map[version.PoolID]*poolUse
	// poolOrder lists the pools in the order of the document, so that sums do
	// not depend on map order.
	poolOrder []version.PoolID
	// shortWaits holds the waits of short requests for a grant, in milliseconds.
	shortWaits *hdrhistogram.Histogram
	counts     struct{ completed, refused, broken, running, newWorkWhileOut int }
	// gap is the largest gap in contendedService.
	gap float64
	// lastChange is the time up to which slot time is integrated.
	lastChange time.Time
}

// poolUse integrates the slot time of one pool while requests wait for it.
type poolUse struct {
	waiting, running int
	// waitingByAccount counts the waiting requests of each account that has any.
	waitingByAccount map[version.AccountID]int
	// Slot time in seconds: of running requests, of the slots that upstreams have
	// earned, and of all slots of warm upstreams.
	usedSlotSeconds, usableSlotSeconds, warmSlotSeconds float64
	// sampledUsed and sampledUsable are the slot seconds at the last sample.
	sampledUsed, sampledUsable float64
}

func newRecorder(r *run) *recorder {
	rec := &recorder{
		run:              r,
		index:            make(map[version.AccountID]int),
		poolUsage:        make(map[version.PoolID]*poolUse),
		contendedWeights: make(map[requestTag]float64),
		shortWaits:       hdrhistogram.New(1, maxWait.Milliseconds()*2, 3),
	}
	for _, spec := range r.scenario.Deployment.Document.Accounts {
		id := version.NewAccountID(spec.Name)
		rec.index[id] = len(rec.accounts)
		rec.accounts = append(rec.accounts, id)
	}
	n := len(rec.accounts)
	rec.contendedService, rec.totalService, rec.waiting = make([]float64, n), make([]float64, n), make([]int, n)
	rec.reachedZero, rec.backloggedFrom = make([]bool, n), make([]int, n)
	for i := range rec.backloggedFrom {
		rec.backloggedFrom[i] = -1
	}
	for _, spec := range r.scenario.Deployment.Document.Pools {
		id := version.NewPoolID(spec.Name)
		rec.poolUsage[id] = &poolUse{waitingByAccount: make(map[version.AccountID]int)}
		rec.poolOrder = append(rec.poolOrder, id)
	}
	return rec
}

// recordSubmitted counts a request that starts to wait for a grant.
func (r *recorder) recordSubmitted(now time.Time, ticket request.Ticket) {
	r.integrate(now)
	r.waiting[r.index[ticket.Account]]++
	r.poolUsage[ticket.Pool].waiting++
	r.poolUsage[ticket.Pool].waitingByAccount[ticket.Account]++
}

// Granted implements pump.Observer.
func (r *recorder) Granted(now time.Time, job pump.Job, upstream version.UpstreamID) {
	r.integrate(now)
	r.recordWaitEnd(job.Ticket)
	r.recordWeight(job.Ticket)
	r.poolUsage[job.Ticket.Pool].running++
	r.counts.running++
	if !r.run.measuring {
		return
	}
	if job.Ticket.Lane == request.LaneShort {
		_ = r.shortWaits.RecordValue(max(now.Sub(job.Submitted).Milliseconds(), 1))
	}
	r.run.longestWait = max(r.run.longestWait, now.Sub(job.Submitted))
	if r.run.evacuatedFor(now, upstream) > EvacuationLimit {
		r.counts.newWorkWhileOut++
	}
}

// recordWeight records the account's weight at the grant of a request if other
// accounts wait for its pool.
func (r *recorder) recordWeight(ticket request.Ticket) {
	others := len(r.poolUsage[ticket.Pool].waitingByAccount)
	if r.poolUsage[ticket.Pool].waitingByAccount[ticket.Account] > 0 {
		others--
	}
	if others > 0 {
		r.contendedWeights[requestTag(ticket.Prefix)] = r.run.config.Accounts[ticket.Account].Weight
	}
}

// Charged implements pump.Observer.
func (r *recorder) Charged(_ time.Time, job pump.Job, cost request.Cost) {
	i := r.index[job.Ticket.Account]
	r.totalService[i] += float64(cost) / r.run.config.Accounts[job.Ticket.Account].Weight
	if weight := r.contendedWeights[requestTag(job.Ticket.Prefix)]; weight > 0 {
		r.contendedService[i] += float64(cost) / weight
	}
}

// Ended implements pump.Observer.
func (r *recorder) Ended(now time.Time, job pump.Job) {
	r.integrate(now)
	delete(r.contendedWeights, requestTag(job.Ticket.Prefix))
	r.poolUsage[job.Ticket.Pool].running--
	r.counts.running--
	if r.run.measuring {
		r.counts.completed++
	}
	r.run.workload.continueLater(job.Ticket, 0)
}

// Refused implements pump.Observer.
func (r *recorder) Refused(now time.Time, job pump.Job, refusal request.Refusal) {
	r.integrate(now)
	r.recordWaitEnd(job.Ticket)
	if r.run.measuring {
		r.counts.refused++
	}
	r.run.workload.continueLater(job.Ticket, max(refusal.RetryAfter, retryPause))
}

// Lost implements pump.Observer.
func (r *recorder) Lost(now time.Time, job pump.Job, running bool) {
	r.integrate(now)
	delete(r.contendedWeights, requestTag(job.Ticket.Prefix))
	if running {
		r.poolUsage[job.Ticket.Pool].running--
		r.counts.running--
	} else {
		r.recordWaitEnd(job.Ticket)
	}
	if r.run.measuring {
		r.counts.broken++
	}
	r.run.workload.continueLater(job.Ticket, retryPause)
}

// recordWaitEnd counts a request that no longer waits for a grant.
func (r *recorder) recordWaitEnd(ticket request.Ticket) {
	i := r.index[ticket.Account]
	r.waiting[i]--
	r.reachedZero[i] = r.reachedZero[i] || r.waiting[i] == 0
	usage := r.poolUsage[ticket.Pool]
	usage.waiting--
	if usage.waitingByAccount[ticket.Account]--; usage.waitingByAccount[ticket.Account] == 0 {
		delete(usage.waitingByAccount, ticket.Account)
	}
}

// integrate adds the slot time since the last change to the pools for which
// requests wait.
func (r *recorder) integrate(now time.Time) {
	seconds := now.Sub(r.lastChange).Seconds()
	r.lastChange = now
	if !r.run.measuring || seconds == 0 {
		return
	}
	for _, id := range r.poolOrder {
		usage := r.poolUsage[id]
		if usage.waiting == 0 {
			continue
		}
		usable := r.run.usableSlots[id]
		usage.usedSlotSeconds += seconds * float64(min(usage.running, usable))
		usage.usableSlotSeconds += seconds * float64(usable)
		usage.warmSlotSeconds += seconds * float64(r.run.warmSlots[id])
	}
}

// sample records the state at the end of a sample interval and updates the gaps.
func (r *recorder) sample(now time.Time) {
	r.integrate(now)
	s := Sample{
		Seconds:     now.Sub(r.run.measureStart).Seconds(),
		Utilisation: r.intervalUtilisation(),
		Running:     r.counts.running,
		Completed:   r.counts.completed,
		Refused:     r.counts.refused,
		Broken:      r.counts.broken,
		Service:     slices.Clone(r.contendedService),
		Total:       slices.Clone(r.totalService),
	}
	for i, waiting := range r.waiting {
		s.Waiting += waiting
		switch {
		case waiting == 0 || r.reachedZero[i]:
			r.backloggedFrom[i] = -1
		case r.backloggedFrom[i] < 0:
			r.backloggedFrom[i] = len(r.samples)
		}
		r.reachedZero[i] = waiting == 0
	}
	r.samples = append(r.samples, s)
	current := &r.samples[len(r.samples)-1]
	current.Gap = r.largestGap(func(s *Sample) []float64 { return s.Service })
	r.gap = max(r.gap, current.Gap)
	r.totalGap = max(r.totalGap, r.largestGap(func(s *Sample) []float64 { return s.Total }))
}

// largestGap returns the largest difference in the service that serviceOf selects
// between two accounts since both have been backlogged, in cost units. Accounts
// are compared within one pool.
func (r *recorder) largestGap(serviceOf func(*Sample) []float64) float64 {
	current := serviceOf(&r.samples[len(r.samples)-1])
	largest := 0.0
	for i := range r.backloggedFrom {
		for j := range i {
			if r.backloggedFrom[i] < 0 || r.backloggedFrom[j] < 0 || r.run.accountPools[i] != r.run.accountPools[j] {
				continue
			}
			first := serviceOf(&r.samples[max(r.backloggedFrom[i], r.backloggedFrom[j])])
			gap := (current[i] - first[i]) - (current[j] - first[j])
			largest = max(largest, math.Abs(gap))
		}
	}
	return largest
}

// intervalUtilisation returns the used fraction of the earned slots since the
// last call, or -1 if no request waited.
func (r *recorder) intervalUtilisation() float64 {
	var used, usable float64
	for _, id := range r.poolOrder {
		usage := r.poolUsage[id]
		used += usage.usedSlotSeconds - usage.sampledUsed
		usable += usage.usableSlotSeconds - usage.sampledUsable
		usage.sampledUsed, usage.sampledUsable = usage.usedSlotSeconds, usage.usableSlotSeconds
	}
	if usable == 0 {
		return -1
	}
	return used / usable
}

// utilisation returns the used fraction of the earned and of the warm slots
// while requests waited, over the whole run; 1 if none waited.
func (r *recorder) utilisation() (ofEarned, ofWarm float64) {
	var used, usable, warm float64
	for _, id := range r.poolOrder {
		usage := r.poolUsage[id]
		used += usage.usedSlotSeconds
		usable += usage.usableSlotSeconds
		warm += usage.warmSlotSeconds
	}
	if usable == 0 {
		return 1, 1
	}
	return used / usable, used / warm
}
