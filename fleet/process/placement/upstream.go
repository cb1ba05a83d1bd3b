package placement

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/ratelimit"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// slowdownWeight is the weight of the newest answer in an upstream's slowdown.
	slowdownWeight = 0.15
	// minSlowdownSample and maxSlowdownSample bound the effect of a single answer on the
	// slowdown: the answer to a preempted request may be late by any factor.
	minSlowdownSample = 0.4
	maxSlowdownSample = 3
	// minSlowdown and maxSlowdown bound the slowdown.
	minSlowdown = 0.6
	maxSlowdown = 8
	// slowdownHalfLife is the time in which the slowdown returns halfway to 1, so that an
	// upstream that gets no work because it was slow is tried again.
	slowdownHalfLife = 2 * time.Second
	// backlogGain is the fraction of an answer's TTFB prediction error by which the backlog is
	// corrected; maxBacklogCorrection bounds the correction.
	backlogGain          = 0.3
	maxBacklogCorrection = 60 * time.Millisecond
	// loadReportTTL is how long the load that an upstream reported is used.
	loadReportTTL = 500 * time.Millisecond
)

// attempt is a granted attempt that has not completed.
type attempt struct {
	ticket request.Ticket
	sentAt time.Time
	// predictedFirstByte is when the first byte is predicted.
	predictedFirstByte time.Time
	// pace is the estimated pace of the upstream, and paceFactor its factor in the prediction.
	pace, paceFactor float64
	// gotFirstByte is set once the first byte has been received.
	gotFirstByte bool
	// uncachedTokens is the number of prompt tokens that the engine has to prefill.
	uncachedTokens int
}

// upstream is the state that this VM holds of one upstream.
type upstream struct {
	*version.Upstream
	pool     *version.Pool
	region   version.RegionID
	inFlight map[request.ID]*attempt
	cache    *cache
	cold     coldState
	// sends holds the requests that this VM has sent lately.
	sends  ratelimit.History
	health health
	// advice holds the drain advice and the pauses that the upstream has sent; nil if it has
	// sent none.
	advice *adviceState
	// prefillDoneAt is when the engine is predicted to have prefilled every prompt that was
	// sent to it.
	prefillDoneAt time.Time
	// slowdown is the measured TTFB of answers relative to the prediction: 1 is as predicted,
	// more is slower. slowdownAt is when it was last updated.
	slowdown   float64
	slowdownAt time.Time
	// reportedLoad is the newest load that the upstream reported itself.
	reportedLoad request.Load
	reportedAt   time.Time
	// pace is what the upstream reports of the pace of its machine.
	pace pace
	// pendingPrefill is the number of prompt tokens to prefill for attempts without a first
	// byte. kvTokens is the number of KV cache tokens that all attempts in flight may occupy.
	pendingPrefill, kvTokens int
	// firstWorkAt is when the engine got its first work that this VM knows of; zero if none.
	firstWorkAt time.Time
	// prefillTotal is the total of prompt tokens that this VM sent the engine to prefill.
	prefillTotal uint64
	// peerPrefill estimates the rate of prompt tokens that other VMs send the engine to
	// prefill.
	peerPrefill rateEstimator
	// peerLoads are the loads that other VMs have reported.
	peerLoads map[version.VMID]peerLoad
	// peerLoadSum is the sum of peerLoads, valid until peerLoadSumUntil.
	peerLoadSum      peerLoad
	peerLoadSumUntil time.Time
}

func newUpstream(spec *version.Upstream, pool *version.Pool, region version.RegionID) *upstream {
	u := &upstream{
		Upstream:  spec,
		pool:      pool,
		region:    region,
		inFlight:  make(map[request.ID]*attempt),
		slowdown:  1,
		peerLoads: make(map[version.VMID]peerLoad),
	}
	if pool.Engine != nil {
		u.cache = newCache(pool.Engine.KVTokens)
	}
	return u
}

// slots returns how many requests the upstream executes at once; 1 if this is unknown.
func (u *upstream) slots() int {
	if u.Slots > 0 {
		return u.Slots
	}
	return 1
}

// running estimates the number of requests from all VMs that are at the upstream.
func (u *upstream) running(now time.Time) int {
	total := len(u.inFlight)
	peers := u.peerLoad(now)
	total += peers.running
	if peers.running == 0 && now.Sub(u.reportedAt) <= loadReportTTL {
		return max(total, u.reportedLoad.Running+u.reportedLoad.Waiting)
	}
	return total
}

// setPeerLoad stores the load that another VM has reported for this upstream.
func (u *upstream) setPeerLoad(from version.VMID, load peerLoad) {
	if u.firstWorkAt.IsZero() && load.running > 0 {
		u.firstWorkAt = load.receivedAt
	}
	u.peerLoads[from] = load
	u.peerLoadSumUntil = time.Time{}
}

// peerLoad returns the sum of the loads that other VMs have reported for this upstream, and
// drops those older than peerLoadTTL.
func (u *upstream) peerLoad(now time.Time) peerLoad {
	if now.Before(u.peerLoadSumUntil) {
		return u.peerLoadSum
	}
	u.peerLoadSum, u.peerLoadSumUntil = peerLoad{}, now.Add(peerLoadTTL)
	for vm, load := range u.peerLoads {
		until := load.receivedAt.Add(peerLoadTTL)
		if !until.After(now) {
			delete(u.peerLoads, vm)
			continue
		}
		u.peerLoadSumUntil = earlier(u.peerLoadSumUntil, until)
		u.peerLoadSum.running += load.running
		u.peerLoadSum.pendingPrefill += load.pendingPrefill
		u.peerLoadSum.kvTokens += load.kvTokens
	}
	return u.peerLoadSum
}

// currentSlowdown returns the slowdown, decayed towards 1 by its age.
func (u *upstream) currentSlowdown(now time.Time) float64 {
	age := now.Sub(u.slowdownAt)
	if age <= 0 {
		return u.slowdown
	}
	return 1 + (u.slowdown-1)*decay(age, slowdownHalfLife)
}

// updatePrediction corrects the slowdown and the backlog by the measured TTFB of an attempt.
// network is the network latency of the round trip.
func (u *upstream) updatePrediction(now time.Time, a *attempt, network time.Duration) {
	expected := a.predictedFirstByte.Sub(a.sentAt)
	measured := now.Sub(a.sentAt)
	if expected <= 0 {
		return
	}
	slowdown := u.currentSlowdown(now)
	ratio := float64(measured-network) / max(float64(expected-network), float64(time.Millisecond))
	// The slowdown averages over the paces of the upstream, so it follows from the prediction
	// without its pace. The pace during the answer is taken to be the mean of those at its ends.
	ratio = clamp(ratio*a.paceFactor, minSlowdownSample, maxSlowdownSample)
	u.pace.recordSample(now, (a.pace+u.pace.current(now))/2)
	// The prediction already contained the slowdown of that time, so the ratio applies on top
	// of it.
	u.slowdown = clamp(slowdown*(1-slowdownWeight)+slowdown*ratio*slowdownWeight, minSlowdown, maxSlowdown)
	u.slowdownAt = now
	correction := backlogGain * float64(now.Sub(a.predictedFirstByte))
	u.prefillDoneAt = u.prefillDoneAt.Add(time.Duration(clamp(correction, -float64(maxBacklogCorrection), float64(maxBacklogCorrection))))
	if u.pendingPrefill == 0 && u.peerLoad(now).pendingPrefill == 0 {
		u.prefillDoneAt = earlier(u.prefillDoneAt, now)
	}
}

// unresponsive reports whether the first byte of an attempt is long overdue, also at the pace that
// the upstream has reported since.
func (u *upstream) unresponsive(now time.Time) bool {
	if len(u.inFlight) == 0 {
		return false
	}
	patience := max(u.pace.factor(now), 1)
	for _, a := range u.inFlight {
		if a.gotFirstByte {
			continue
		}
		predicted := float64(a.predictedFirstByte.Sub(a.sentAt)) * max(patience/a.paceFactor, 1)
		if now.Sub(a.sentAt) > overdueFactor*time.Duration(predicted)+overdueSlack {
			return true
		}
	}
	return false
}

// addAttempt adds an attempt in flight.
func (u *upstream) addAttempt(a *attempt) {
	if u.firstWorkAt.IsZero() {
		u.firstWorkAt = a.sentAt
	}
	u.inFlight[a.ticket.ID] = a
	u.pendingPrefill += a.uncachedTokens
	u.kvTokens += promptTokens(a.ticket) + outputTokens(a.ticket)
}

// cacheTrusted reports whether the engine has had work for long enough to have cached the
// shared segments for which it is the affinity upstream.
func (u *upstream) cacheTrusted(now time.Time) bool {
	return !u.firstWorkAt.IsZero() && now.Sub(u.firstWorkAt) >= affinityTrustTime
}

// recordFirstByte records that the first byte of an attempt has been received.
func (u *upstream) recordFirstByte(a *attempt) {
	a.gotFirstByte = true
	u.pendingPrefill -= a.uncachedTokens
}

// removeAttempt removes an attempt that has completed.
func (u *upstream) removeAttempt(a *attempt) {
	if !a.gotFirstByte {
		u.recordFirstByte(a)
	}
	u.kvTokens -= promptTokens(a.ticket) + outputTokens(a.ticket)
	delete(u.inFlight, a.ticket.ID)
}
