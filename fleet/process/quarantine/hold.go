package quarantine

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// maxHolds limits the segments that are held. Beyond that, the one that was refused least
	// recently is released.
	maxHolds = 64
	// firstTrial is the time from a verdict to the first trial. Each trial that fails makes the
	// time to the next one trialFactor times as long, up to maxTrialInterval.
	firstTrial       = 10 * time.Second
	trialFactor      = 4
	maxTrialInterval = 10 * time.Minute
	// unsentTrialRetry is the time to the next trial after one that reached no upstream.
	unsentTrialRetry = time.Second
	// releaseRetention is how long a release is remembered, so that VMs that learn of it late
	// do not spread the hold again.
	releaseRetention = 15 * time.Minute
)

// Hold is a segment whose requests are refused.
type Hold struct {
	Segment uint64
	// Round counts the verdicts on the segment. A release ends a hold of its round and of
	// those before.
	Round uint32
	// Since is when the segment was held, and LastCrash the last crash with it in flight.
	Since, LastCrash time.Time
	// Crashes is the number of crashes that led to the verdict.
	Crashes int
	// Upstreams are some of the upstreams that crashed, as far as this VM knows them.
	Upstreams []version.UpstreamID
	// Trials counts the trials, and NextTrial is when the next one may be made.
	Trials    int
	NextTrial time.Time
	// Refused counts the requests that this VM has refused, and RefusedAt is when the last one
	// was.
	Refused   uint64
	RefusedAt time.Time
}

// release is the end of a hold.
type release struct {
	round uint32
	at    time.Time
}

// ReleaseCause is why a hold ended.
type ReleaseCause uint8

const (
	// CauseNone is used while a hold is in force.
	CauseNone ReleaseCause = iota
	// CauseAnswered means that a request with the segment was answered completely.
	CauseAnswered
	// CauseOperator means that an operator lifted the hold.
	CauseOperator
	// CauseDisplaced means that there were too many holds.
	CauseDisplaced
	// CauseOtherVM means that another VM ended the hold.
	CauseOtherVM
)

// String returns the cause as it appears in the log.
func (c ReleaseCause) String() string {
	return [...]string{"", "a request with it was answered", "an operator lifted it", "too many segments are held", "another VM released it"}[c]
}

// Decision says whether a request may be sent.
type Decision struct {
	// Held is the hold because of which the request must not be sent; nil if it may be.
	Held *Hold
	// Trial is set if the request is sent as the trial of segment Tried. EndTrial must be
	// called with its outcome.
	Trial bool
	Tried uint64
}

// Admit decides whether a request may be sent. One request with a held segment is sent from
// time to time as a trial.
func (t *Tracker) Admit(now time.Time, segments []request.PromptSegment) Decision {
	if len(t.holds) == 0 {
		return Decision{}
	}
	held, several := t.heldIn(segments)
	if held == nil {
		return Decision{}
	}
	if !several && !now.Before(held.NextTrial) && t.ownsTrials(held.Segment) {
		held.Trials++
		held.NextTrial = now.Add(trialInterval(held.Trials))
		t.changes.holds[held.Segment] = struct{}{}
		return Decision{Trial: true, Tried: held.Segment}
	}
	held.Refused++
	held.RefusedAt = now
	return Decision{Held: held}
}

// HeldIn returns the hold on a segment of a request in progress, which is then refused, or nil.
func (t *Tracker) HeldIn(now time.Time, segments []request.PromptSegment) *Hold {
	held, _ := t.heldIn(segments)
	if held != nil {
		held.Refused++
		held.RefusedAt = now
	}
	return held
}

// heldIn returns the hold on a segment of a prompt, or nil, and whether there are several.
func (t *Tracker) heldIn(segments []request.PromptSegment) (held *Hold, several bool) {
	for _, segment := range segments[:min(len(segments), maxSegments)] {
		if hold := t.holds[segment.ID]; hold != nil && hold != held {
			several = several || held != nil
			held = hold
		}
	}
	return held, several
}

// trialInterval returns the time to the next trial after a number of them.
func trialInterval(trials int) time.Duration {
	interval := firstTrial
	for ; trials > 0 && interval < maxTrialInterval; trials-- {
		interval = min(interval*trialFactor, maxTrialInterval)
	}
	return interval
}

// EndTrial ends a trial that reached no upstream, so that another one may soon be made. A
// trial that was answered is recorded by RecordAnswer.
func (t *Tracker) EndTrial(now time.Time, segment uint64) {
	hold := t.holds[segment]
	if hold == nil || hold.Trials == 0 {
		return
	}
	hold.Trials--
	hold.NextTrial = now.Add(unsentTrialRetry)
	t.changes.holds[segment] = struct{}{}
}

// ownsTrials reports whether this VM makes the trials of a segment. Rendezvous hashing
// selects one VM, so that the fleet makes one trial and not each VM one.
func (t *Tracker) ownsTrials(segment uint64) bool {
	own := trialWeight(t.self, segment)
	for _, vm := range t.members {
		if vm != t.self && trialWeight(vm, segment) > own {
			return false
		}
	}
	return true
}

func trialWeight(vm version.VMID, segment uint64) uint64 {
	return xxhash.Sum64String(string(vm) + "/" + strconv.FormatUint(segment, 16))
}

// hold holds a segment.
func (t *Tracker) hold(now time.Time, c candidate) {
	h := &Hold{
		Segment:   c.segment,
		Round:     t.releases[c.segment].round + 1,
		Since:     now,
		LastCrash: c.lastCrash,
		Crashes:   c.crashes,
		NextTrial: now.Add(firstTrial),
		RefusedAt: now,
	}
	t.addHold(now, h)
	t.changes.holds[h.Segment] = struct{}{}
}

// maxHoldUpstreams limits Hold.Upstreams.
const maxHoldUpstreams = 8

// addHold puts a hold in force.
func (t *Tracker) addHold(now time.Time, h *Hold) {
	if len(t.holds) >= maxHolds {
		t.displaceHold(now)
	}
	for _, c := range t.crashes {
		if _, present := c.suspects[h.Segment]; present && len(h.Upstreams) < maxHoldUpstreams {
			h.Upstreams = append(h.Upstreams, c.upstream)
		}
	}
	t.holds[h.Segment] = h
	t.notices = append(t.notices, Notice{Hold: *h})
}

// displaceHold releases the hold that was refused least recently.
func (t *Tracker) displaceHold(now time.Time) {
	var idle *Hold
	for _, h := range t.holds {
		if idle == nil || h.RefusedAt.Before(idle.RefusedAt) {
			idle = h
		}
	}
	t.release(now, idle, CauseDisplaced)
}

// Release ends the hold on a segment on behalf of an operator. It reports whether the segment
// was held.
func (t *Tracker) Release(now time.Time, segment uint64) bool {
	hold := t.holds[segment]
	if hold == nil {
		return false
	}
	t.release(now, hold, CauseOperator)
	return true
}

// release ends a hold and drops the evidence for it.
func (t *Tracker) release(now time.Time, hold *Hold, cause ReleaseCause) {
	delete(t.holds, hold.Segment)
	t.forgetEvidence(hold.Segment, now.Add(time.Nanosecond), false)
	t.releases[hold.Segment] = release{round: hold.Round, at: now}
	t.changes.holds[hold.Segment] = struct{}{}
	t.notices = append(t.notices, Notice{Hold: *hold, Cause: cause})
}

// maxReleases limits the releases that are remembered.
const maxReleases = 4 * maxHolds

func (t *Tracker) expireReleases(now time.Time) {
	for segment, r := range t.releases {
		if now.Sub(r.at) > releaseRetention || len(t.releases) > maxReleases {
			delete(t.releases, segment)
		}
	}
}

// Holds returns the holds in force, in no order.
func (t *Tracker) Holds() []Hold {
	holds := make([]Hold, 0, len(t.holds))
	for _, h := range t.holds {
		holds = append(holds, *h)
	}
	return holds
}

// Counts returns the number of crashes that are kept as evidence and of segments that are
// suspects in them.
func (t *Tracker) Counts() (crashes, suspects int) { return len(t.crashes), len(t.suspects) }
