package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// maxCrashes limits the crashes that are kept, and maxSuspects the suspects of one crash.
	maxCrashes  = 128
	maxSuspects = 64
	// crashRetention is how long a crash is kept as evidence.
	crashRetention = 10 * time.Minute
	// recentCrash is how long after a crash the upstream may still be down.
	recentCrash = 5 * time.Second
	// sameCrashWindow is how far the times of a crash may differ that several VMs report. An
	// upstream that keeps its identifier over a restart may crash again later.
	sameCrashWindow = 1500 * time.Millisecond
	// maxAnswerTimes limits the segments whose last complete answer is remembered.
	maxAnswerTimes = 4096
)

// Attempt is an attempt that was in flight at an upstream when that crashed.
type Attempt struct {
	Segments []request.PromptSegment
	SentAt   time.Time
	// BegunAt is when the first event of the answer arrived; zero if none did.
	BegunAt time.Time
}

// crash is the end of one upstream, with the segments that may have caused it.
type crash struct {
	upstream version.UpstreamID
	at       time.Time
	suspects map[uint64]suspect
	// answersBefore is Tracker.answers when this VM learned of the crash.
	answersBefore uint64
}

// suspect is a segment that was in flight at an upstream when that crashed.
type suspect struct {
	// inFlight is how long before the crash the last request with the segment was sent, in
	// whole milliseconds.
	inFlight time.Duration
	// position is the segment's index in the prompt, and previous the segment before it; 0 if
	// it is the first one.
	position int
	previous uint64
	// begun is set if the answers of all its requests had begun.
	begun bool
}

// RecordCrash records that an upstream crashed with attempts in flight. Several VMs, or
// several calls, may report parts of what was in flight.
func (t *Tracker) RecordCrash(now time.Time, upstream version.UpstreamID, at time.Time, attempts []Attempt) {
	suspects := make(map[uint64]suspect)
	for _, attempt := range attempts {
		begun := !attempt.BegunAt.IsZero() && at.Sub(attempt.BegunAt) >= beginGrace
		previous := uint64(0)
		for position, segment := range shared(attempt.Segments) {
			if begun {
				t.clearBegun(segment.ID, attempt.BegunAt)
			}
			addSuspect(suspects, segment.ID, suspect{
				inFlight: max(at.Sub(attempt.SentAt), 0).Truncate(time.Millisecond),
				position: position, previous: previous, begun: begun,
			})
			previous = segment.ID
		}
	}
	t.mergeCrash(now, upstream, at, suspects)
}

// addSuspect adds a suspect and reports whether that tells anything new. Of two requests with
// a segment, the more suspect one counts.
func addSuspect(suspects map[uint64]suspect, segment uint64, added suspect) bool {
	known, present := suspects[segment]
	if present && !known.supersededBy(added) {
		return false
	}
	suspects[segment] = added
	return true
}

// supersededBy reports whether other tells more than s: its answer had not begun, or it was
// sent later.
func (s suspect) supersededBy(other suspect) bool {
	if s.begun != other.begun {
		return s.begun
	}
	return other.inFlight < s.inFlight
}

// mergeCrash adds the suspects of a crash to the evidence, except those that were cleared
// since.
func (t *Tracker) mergeCrash(now time.Time, upstream version.UpstreamID, at time.Time, suspects map[uint64]suspect) {
	if now.Sub(at) > crashRetention {
		return
	}
	c := t.crashOf(upstream, at)
	if c == nil {
		c = &crash{upstream: upstream, at: at, suspects: make(map[uint64]suspect), answersBefore: t.answers}
		t.addCrash(c)
		if now.Sub(at) <= recentCrash {
			t.newCrashes = append(t.newCrashes, upstream)
		}
	}
	for _, segment := range t.mostSuspectFirst(suspects) {
		t.mergeSuspect(c, segment, suspects[segment])
	}
}

func (t *Tracker) mergeSuspect(c *crash, segment uint64, added suspect) {
	if t.answered.at(segment).After(c.at) || !added.begun && t.begun.at(segment).After(c.at) {
		return
	}
	if hold := t.holds[segment]; hold != nil && c.at.After(hold.LastCrash) {
		hold.LastCrash = c.at
	}
	_, present := c.suspects[segment]
	if !present && len(c.suspects) >= maxSuspects {
		return
	}
	if !addSuspect(c.suspects, segment, added) {
		return
	}
	if !present {
		t.suspects[segment]++
	}
	t.undecided = true
	t.changes.crashes[c] = struct{}{}
	t.tellEarlierAnswer(segment)
}

// tellEarlierAnswer tells the other VMs once that a segment which is a suspect of several
// crashes was answered before.
func (t *Tracker) tellEarlierAnswer(segment uint64) {
	if t.suspects[segment] < crashesToHold-1 || t.answered.at(segment).IsZero() {
		return
	}
	if _, told := t.answersTold[segment]; !told {
		t.answersTold[segment] = struct{}{}
		t.changes.answered[segment] = struct{}{}
	}
}

// mostSuspectFirst returns the segments of suspects, those first that were never answered.
func (t *Tracker) mostSuspectFirst(suspects map[uint64]suspect) []uint64 {
	segments := make([]uint64, 0, len(suspects))
	for segment := range suspects {
		segments = append(segments, segment)
	}
	slices.SortFunc(segments, func(a, b uint64) int {
		return cmp.Or(t.answered.at(a).Compare(t.answered.at(b)), cmp.Compare(a, b))
	})
	return segments
}

// crashOf returns the crash of an upstream at about a time, or nil.
func (t *Tracker) crashOf(upstream version.UpstreamID, at time.Time) *crash {
	for _, c := range t.crashes {
		if c.upstream == upstream && c.at.Sub(at).Abs() < sameCrashWindow {
			return c
		}
	}
	return nil
}

// addCrash adds a crash, in the order of their times. Beyond maxCrashes the oldest one is
// dropped.
func (t *Tracker) addCrash(c *crash) {
	i, _ := slices.BinarySearchFunc(t.crashes, c, func(a, b *crash) int { return a.at.Compare(b.at) })
	t.crashes = slices.Insert(t.crashes, i, c)
	if len(t.crashes) > maxCrashes {
		t.dropCrash(t.crashes[0])
	}
}

func (t *Tracker) dropCrash(c *crash) {
	for segment := range c.suspects {
		t.forgetSuspect(c, segment)
	}
	t.crashes = slices.DeleteFunc(t.crashes, func(other *crash) bool { return other == c })
	delete(t.changes.crashes, c)
}

func (t *Tracker) forgetSuspect(c *crash, segment uint64) {
	delete(c.suspects, segment)
	if t.suspects[segment]--; t.suspects[segment] <= 0 {
		delete(t.suspects, segment)
		delete(t.answersTold, segment)
	}
}

// RecordAnswer records a complete answer whose first event arrived at begunAt. It clears the
// prompt's segments of all crashes before that.
func (t *Tracker) RecordAnswer(now time.Time, segments []request.PromptSegment, begunAt time.Time) {
	sharedSegments := shared(segments)
	if len(sharedSegments) == 0 {
		return
	}
	t.answers++
	for _, segment := range sharedSegments {
		t.clear(now, segment.ID, begunAt)
	}
}

// clear clears a segment of all crashes before an answer that began at begunAt, and ends a
// hold on it that has no later crash.
func (t *Tracker) clear(now time.Time, segment uint64, begunAt time.Time) {
	t.answered.record(segment, begunAt)
	cleared := false
	if t.suspects[segment] > 0 {
		cleared = t.forgetEvidence(segment, begunAt, false)
		t.tellEarlierAnswer(segment)
	}
	if hold := t.holds[segment]; hold != nil && begunAt.After(hold.LastCrash) {
		t.release(now, hold, CauseAnswered)
		cleared = true
	}
	if cleared {
		t.changes.answered[segment] = struct{}{}
	}
}

// clearBegun clears a segment of the crashes before an answer that began at begunAt and broke
// off later, except those in which its answers had begun too.
func (t *Tracker) clearBegun(segment uint64, begunAt time.Time) {
	t.begun.record(segment, begunAt)
	if t.suspects[segment] > 0 && t.forgetEvidence(segment, begunAt, true) {
		t.changes.begun[segment] = struct{}{}
	}
}

// forgetEvidence removes a segment from the suspects of crashes before a time and reports
// whether there were any. If keepBegun is set, it keeps those in which its answers had begun.
func (t *Tracker) forgetEvidence(segment uint64, before time.Time, keepBegun bool) bool {
	forgotten := false
	for _, c := range t.crashes {
		if s, present := c.suspects[segment]; present && c.at.Before(before) && !(keepBegun && s.begun) {
			t.forgetSuspect(c, segment)
			forgotten = true
		}
	}
	return forgotten
}

// expire drops crashes and releases that are too old.
func (t *Tracker) expire(now time.Time) {
	t.expireReleases(now)
	for len(t.crashes) > 0 && now.Sub(t.crashes[0].at) > crashRetention {
		t.dropCrash(t.crashes[0])
	}
}
