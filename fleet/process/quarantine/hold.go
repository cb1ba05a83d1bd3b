package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// maxHolds limits the segments that are held, and maxHeldRequests the requests. Beyond that,
	// the one that was refused least recently is released.
	maxHolds        = 64
	maxHeldRequests = 256
	// firstTrial is the time from a verdict to the first trial. Each trial that fails makes the
	// time to the next one trialFactor times as long, up to maxTrialInterval.
	firstTrial       = 10 * time.Second
	trialFactor      = 4
	maxTrialInterval = 10 * time.Minute
	// maxRequestTrials limits the trials of a request. It is no other one's loss if it stays held
	// until an operator releases it, and each trial that fails ends an upstream.
	maxRequestTrials = 2
	// unsentTrialRetry is the time to the next trial after one that reached no upstream.
	unsentTrialRetry = time.Second
	// releaseRetention is how long a release is remembered, so that VMs that learn of it late
	// do not spread the hold again.
	releaseRetention = 15 * time.Minute
)

// Hold is a subject whose requests are refused.
type Hold struct {
	Subject Subject
	// Round counts the verdicts on the subject. A release ends a hold of its round and of
	// those before.
	Round uint32
	// Since is when the subject was held, and LastCrash the last crash with it in flight.
	Since, LastCrash time.Time
	// Crashes is the number of crashes that led to the verdict.
	Crashes int
	// Upstreams are some of the upstreams that crashed, as far as this VM knows them.
	Upstreams []version.UpstreamID
	// Trials counts the trials, and NextTrial is when the next one may be made, if there may be
	// another one.
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
	// CauseAnswered means that a request with the subject was answered completely.
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
	return [...]string{"", "a request with it was answered", "an operator lifted it", "too many are held", "another VM released it"}[c]
}

// Decision says whether a request may be sent.
type Decision struct {
	// Held is the hold because of which the request must not be sent; nil if it may be.
	Held *Hold
	// Trial is set if the request is sent as the trial of Tried. EndTrial must be called if it
	// reached no upstream.
	Trial bool
	Tried Subject
}

// Admit decides whether a request may be sent. One request with a held subject is sent from
// time to time as a trial.
func (t *Tracker) Admit(now time.Time, content request.Content) Decision {
	held, trial := t.Judge(now, content)
	switch {
	case held == nil:
		return Decision{}
	case trial:
		held.Trials++
		held.NextTrial = now.Add(trialInterval(held.Trials))
		t.changes.holds[held.Subject] = struct{}{}
		return Decision{Trial: true, Tried: held.Subject}
	}
	held.Refused++
	held.RefusedAt = now
	return Decision{Held: held}
}

// Judge returns the hold that concerns a request, or nil, and whether the request would be sent as a
// trial nevertheless. Unlike Admit it records nothing.
func (t *Tracker) Judge(now time.Time, content request.Content) (held *Hold, trial bool) {
	if len(t.holds) == 0 {
		return nil, false
	}
	held, several := t.heldIn(content)
	return held, held != nil && !several && held.mayBeTried(now) && t.ownsTrials(held.Subject)
}

// mayBeTried reports whether a trial is due.
func (h *Hold) mayBeTried(now time.Time) bool {
	return !now.Before(h.NextTrial) && h.MayHaveTrials()
}

// MayHaveTrials reports whether there may be another trial, now or later.
func (h *Hold) MayHaveTrials() bool {
	return !h.Subject.Request || h.Trials < maxRequestTrials
}

// HeldIn returns the hold because of which a request in progress is refused, or nil.
func (t *Tracker) HeldIn(now time.Time, content request.Content) *Hold {
	held, _ := t.heldIn(content)
	if held != nil {
		held.Refused++
		held.RefusedAt = now
	}
	return held
}

// heldIn returns the hold on a request or on a segment of its prompt, or nil, and whether there
// are several.
func (t *Tracker) heldIn(content request.Content) (held *Hold, several bool) {
	add := func(subject Subject) {
		if hold := t.holds[subject]; hold != nil && hold != held {
			several = several || held != nil
			held = hold
		}
	}
	for _, segment := range content.Segments[:min(len(content.Segments), maxSegments)] {
		add(segmentSubject(segment))
	}
	if content.Fingerprint != 0 {
		add(Subject{Request: true, ID: content.Fingerprint})
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
func (t *Tracker) EndTrial(now time.Time, subject Subject) {
	hold := t.holds[subject]
	if hold == nil || hold.Trials == 0 {
		return
	}
	hold.Trials--
	hold.NextTrial = now.Add(unsentTrialRetry)
	t.changes.holds[subject] = struct{}{}
}

// ownsTrials reports whether this VM makes the trials of a subject. Rendezvous hashing
// selects one VM, so that the fleet makes one trial and not each VM one.
func (t *Tracker) ownsTrials(subject Subject) bool {
	own := trialWeight(t.self, subject)
	for _, vm := range t.members {
		if vm != t.self && trialWeight(vm, subject) > own {
			return false
		}
	}
	return true
}

func trialWeight(vm version.VMID, subject Subject) uint64 {
	return xxhash.Sum64String(string(vm) + "/" + subject.String())
}

// hold holds a subject.
func (t *Tracker) hold(now time.Time, c candidate) {
	h := &Hold{
		Subject:   c.subject,
		Round:     t.releases[c.subject].round + 1,
		Since:     now,
		LastCrash: c.lastCrash,
		Crashes:   c.crashes,
		NextTrial: now.Add(firstTrial),
		RefusedAt: now,
	}
	t.addHold(now, h)
	t.changes.holds[h.Subject] = struct{}{}
}

// maxHoldUpstreams limits Hold.Upstreams.
const maxHoldUpstreams = 8

// addHold puts a hold in force.
func (t *Tracker) addHold(now time.Time, h *Hold) {
	t.displaceHold(now, h.Subject.Request)
	for _, c := range t.crashes {
		if _, present := c.suspects[h.Subject]; present && len(h.Upstreams) < maxHoldUpstreams {
			h.Upstreams = append(h.Upstreams, c.upstream)
		}
	}
	t.holds[h.Subject] = h
	t.notices = append(t.notices, Notice{Hold: *h})
}

// displaceHold makes room for another hold on a request, or on a segment: if there are too many,
// it releases the one that was refused least recently.
func (t *Tracker) displaceHold(now time.Time, request bool) {
	var idle *Hold
	count, limit := 0, maxHolds
	if request {
		limit = maxHeldRequests
	}
	for _, h := range t.holds {
		if h.Subject.Request != request {
			continue
		}
		count++
		if idle == nil || h.RefusedAt.Before(idle.RefusedAt) {
			idle = h
		}
	}
	if count >= limit {
		t.release(now, idle, CauseDisplaced)
	}
}

// Release ends the holds on what has an identifier on behalf of an operator. It reports whether
// there was one.
func (t *Tracker) Release(now time.Time, id uint64) bool {
	released := false
	for _, subject := range []Subject{{ID: id}, {Request: true, ID: id}} {
		if hold := t.holds[subject]; hold != nil {
			t.release(now, hold, CauseOperator)
			released = true
		}
	}
	return released
}

// release ends a hold and drops the evidence for it.
func (t *Tracker) release(now time.Time, hold *Hold, cause ReleaseCause) {
	delete(t.holds, hold.Subject)
	t.forgetEvidence(hold.Subject, now.Add(time.Nanosecond), false)
	t.releases[hold.Subject] = release{round: hold.Round, at: now}
	t.changes.holds[hold.Subject] = struct{}{}
	t.notices = append(t.notices, Notice{Hold: *hold, Cause: cause})
}

// maxReleases limits the releases that are remembered.
const maxReleases = maxHeldRequests

func (t *Tracker) expireReleases(now time.Time) {
	for subject, r := range t.releases {
		if now.Sub(r.at) > releaseRetention || len(t.releases) > maxReleases {
			delete(t.releases, subject)
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

// Counts returns the number of crashes that are kept as evidence, and of segments and requests
// that are suspects in them.
func (t *Tracker) Counts() (crashes, segments, requests int) {
	for subject := range t.suspects {
		if subject.Request {
			requests++
		}
	}
	return len(t.crashes), len(t.suspects) - requests, requests
}
