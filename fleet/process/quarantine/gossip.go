package quarantine

import (
	"iter"
	"math"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
)

// maxPerMessage limits the entries of each kind in a message. The rest goes into the next one.
const maxPerMessage = 64

// Messages are what a VM tells the others: of prompt segments, and of requests. Either is nil if
// there is nothing to tell.
type Messages struct {
	Prompts  *wire.PromptEvidence
	Requests *wire.RequestEvidence
}

// List returns the messages.
func (m Messages) List() []wire.Message {
	var list []wire.Message
	if m.Prompts != nil {
		list = append(list, *m.Prompts)
	}
	if m.Requests != nil {
		list = append(list, *m.Requests)
	}
	return list
}

// evidenceMessages collects the entries of both messages.
type evidenceMessages struct {
	segments wire.PromptEvidence
	requests wire.RequestEvidence
}

// addCrash adds a crash with the suspects of each message.
func (m *evidenceMessages) addCrash(now time.Time, c *crash) {
	segments := wire.UpstreamCrash{Upstream: c.upstream, AgeMS: ageMS(now, c.at)}
	requests := wire.RequestCrash{Upstream: c.upstream, Pool: c.pool, AgeMS: segments.AgeMS}
	for subject, s := range c.suspects {
		inFlightMS := uint32(min(s.inFlight.Milliseconds(), math.MaxUint32))
		if subject.Request {
			requests.Suspects = append(requests.Suspects, wire.RequestSuspect{Fingerprint: subject.ID, InFlightMS: inFlightMS})
			continue
		}
		segments.Suspects = append(segments.Suspects, wire.SegmentSuspect{
			Segment: subject.ID, InFlightMS: inFlightMS, Position: uint8(s.position), Previous: s.previous, Begun: s.begun,
		})
	}
	if len(segments.Suspects) > 0 {
		m.segments.Crashes = append(m.segments.Crashes, segments)
	}
	m.requests.Crashes = append(m.requests.Crashes, requests)
}

func (m *evidenceMessages) addAnswered(subject Subject, answer wire.SegmentAnswer) {
	if subject.Request {
		m.requests.Answered = append(m.requests.Answered, answer)
	} else {
		m.segments.Answered = append(m.segments.Answered, answer)
	}
}

func (m *evidenceMessages) addBegun(subject Subject, answer wire.SegmentAnswer) {
	if subject.Request {
		m.requests.Begun = append(m.requests.Begun, answer)
	} else {
		m.segments.Begun = append(m.segments.Begun, answer)
	}
}

func (m *evidenceMessages) addHolds(subject Subject, holds []wire.SegmentHold) {
	if subject.Request {
		m.requests.Holds = append(m.requests.Holds, holds...)
	} else {
		m.segments.Holds = append(m.segments.Holds, holds...)
	}
}

// messages returns the messages that are not empty.
func (m *evidenceMessages) messages() Messages {
	var list Messages
	if !m.segments.IsEmpty() {
		list.Prompts = &m.segments
	}
	if !m.requests.IsEmpty() {
		list.Requests = &m.requests
	}
	return list
}

// changes are the entries that other VMs have not been told yet.
type changes struct {
	crashes  map[*crash]struct{}
	answered map[Subject]struct{}
	begun    map[Subject]struct{}
	// holds are the subjects whose hold began, changed or ended.
	holds map[Subject]struct{}
}

func newChanges() changes {
	return changes{crashes: make(map[*crash]struct{}), answered: make(map[Subject]struct{}), begun: make(map[Subject]struct{}), holds: make(map[Subject]struct{})}
}

// Tick judges new evidence and returns what to tell the other VMs. It has to be called several
// times a second.
func (t *Tracker) Tick(now time.Time) Messages {
	t.expire(now)
	t.judge(now)
	var messages evidenceMessages
	for c := range take(t.changes.crashes) {
		messages.addCrash(now, c)
	}
	for subject := range take(t.changes.answered) {
		messages.addAnswered(subject, wire.SegmentAnswer{Segment: subject.ID, AgeMS: ageMS(now, t.answered(subject).at(subject))})
	}
	for subject := range take(t.changes.begun) {
		messages.addBegun(subject, wire.SegmentAnswer{Segment: subject.ID, AgeMS: ageMS(now, t.begun.at(subject))})
	}
	for subject := range take(t.changes.holds) {
		messages.addHolds(subject, t.encodeHold(now, subject))
	}
	return messages.messages()
}

// take removes up to maxPerMessage keys from a set and returns them.
func take[K comparable](set map[K]struct{}) iter.Seq[K] {
	return func(yield func(K) bool) {
		taken := 0
		for key := range set {
			if taken == maxPerMessage {
				return
			}
			taken++
			delete(set, key)
			if !yield(key) {
				return
			}
		}
	}
}

// All returns everything that a VM needs to know that has just been linked.
func (t *Tracker) All(now time.Time) Messages {
	var messages evidenceMessages
	for _, c := range t.crashes {
		if !c.again {
			messages.addCrash(now, c)
		}
	}
	for subject := range t.holds {
		messages.addHolds(subject, t.encodeHold(now, subject))
	}
	for subject := range t.releases {
		if t.holds[subject] == nil {
			messages.addHolds(subject, t.encodeHold(now, subject))
		}
	}
	return messages.messages()
}

// encodeHold returns the hold on a subject, or its release, or nothing.
func (t *Tracker) encodeHold(now time.Time, subject Subject) []wire.SegmentHold {
	if h := t.holds[subject]; h != nil {
		return []wire.SegmentHold{{
			Segment: subject.ID, Round: h.Round, AgeMS: ageMS(now, h.Since), LastCrashAgeMS: ageMS(now, h.LastCrash),
			Crashes: uint32(h.Crashes), Trials: uint32(h.Trials), NextTrialMS: ageMS(h.NextTrial, now),
		}}
	}
	if r, present := t.releases[subject]; present {
		return []wire.SegmentHold{{Segment: subject.ID, Round: r.round, Released: true, AgeMS: ageMS(now, r.at)}}
	}
	return nil
}

// ageMS returns the time from then to now in milliseconds; 0 if then is later.
func ageMS(now, then time.Time) uint32 {
	return uint32(min(max(now.Sub(then).Milliseconds(), 0), math.MaxUint32))
}

func ago(now time.Time, ms uint32) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// Merge adds what another VM knows of prompt segments.
func (t *Tracker) Merge(now time.Time, message wire.PromptEvidence) {
	t.mergeVerdicts(now, false, message.Answered, message.Begun, message.Holds)
	for _, c := range message.Crashes {
		suspects := make(map[Subject]suspect, min(len(c.Suspects), maxSuspects))
		for _, s := range c.Suspects[:min(len(c.Suspects), maxSuspects)] {
			suspects[Subject{ID: s.Segment}] = suspect{inFlight: time.Duration(s.InFlightMS) * time.Millisecond, position: int(s.Position), previous: s.Previous, begun: s.Begun}
		}
		t.mergeCrash(now, c.Upstream, 0, ago(now, c.AgeMS), suspects)
	}
}

// MergeRequests adds what another VM knows of requests.
func (t *Tracker) MergeRequests(now time.Time, message wire.RequestEvidence) {
	t.mergeVerdicts(now, true, message.Answered, message.Begun, message.Holds)
	for _, c := range message.Crashes {
		suspects := make(map[Subject]suspect, min(len(c.Suspects), maxSuspects))
		for _, s := range c.Suspects[:min(len(c.Suspects), maxSuspects)] {
			suspects[Subject{Request: true, ID: s.Fingerprint}] = suspect{inFlight: time.Duration(s.InFlightMS) * time.Millisecond}
		}
		t.mergeCrash(now, c.Upstream, c.Pool, ago(now, c.AgeMS), suspects)
	}
}

// mergeVerdicts adds the answers and the holds that another VM knows, of segments or of requests.
func (t *Tracker) mergeVerdicts(now time.Time, requests bool, answered, begun []wire.SegmentAnswer, holds []wire.SegmentHold) {
	for _, answer := range answered {
		t.clear(now, Subject{Request: requests, ID: answer.Segment}, ago(now, answer.AgeMS))
	}
	for _, answer := range begun {
		t.clearBegun(Subject{Request: requests, ID: answer.Segment}, ago(now, answer.AgeMS))
	}
	for _, hold := range holds {
		t.mergeHold(now, Subject{Request: requests, ID: hold.Segment}, hold)
	}
}

func (t *Tracker) mergeHold(now time.Time, subject Subject, told wire.SegmentHold) {
	known, release := t.holds[subject], t.releases[subject]
	if told.Released {
		t.mergeRelease(now, subject, told, known, release)
		return
	}
	if told.Round <= release.round {
		// The other VM does not know of the release.
		t.changes.holds[subject] = struct{}{}
		return
	}
	if known != nil && known.Round > told.Round {
		t.changes.holds[subject] = struct{}{}
		return
	}
	if known != nil && known.Round == told.Round {
		if int(told.Trials) > known.Trials {
			known.Trials = int(told.Trials)
			known.NextTrial = now.Add(time.Duration(told.NextTrialMS) * time.Millisecond)
			t.changes.holds[subject] = struct{}{}
		}
		return
	}
	t.addHold(now, &Hold{
		Subject: subject, Round: told.Round, Since: ago(now, told.AgeMS), LastCrash: ago(now, told.LastCrashAgeMS),
		Crashes: int(told.Crashes), Trials: int(told.Trials), RefusedAt: now,
		NextTrial: now.Add(time.Duration(told.NextTrialMS) * time.Millisecond),
	})
	t.changes.holds[subject] = struct{}{}
	t.undecided = true
}

func (t *Tracker) mergeRelease(now time.Time, subject Subject, told wire.SegmentHold, known *Hold, remembered release) {
	switch {
	case known != nil && known.Round > told.Round:
		t.changes.holds[subject] = struct{}{}
	case known != nil:
		t.release(now, known, CauseOtherVM)
		t.releases[subject] = release{round: told.Round, at: now}
	case remembered.round < told.Round:
		t.forgetEvidence(subject, ago(now, told.AgeMS), false)
		t.releases[subject] = release{round: told.Round, at: now}
		t.changes.holds[subject] = struct{}{}
	}
}
