package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// maxCrashes limits the crashes that are kept, and maxSuspects the segments and the requests,
	// each, that are suspects of one crash.
	maxCrashes  = 128
	maxSuspects = 64
	// crashRetention is how long a crash is kept as evidence.
	crashRetention = 10 * time.Minute
	// recentCrash is how long after a crash the upstream may still be down.
	recentCrash = 5 * time.Second
	// sameCrashWindow is how far the times of a crash may differ that several VMs report. An
	// upstream that keeps its identifier over a restart may crash again later.
	sameCrashWindow = 1500 * time.Millisecond
	// maxAnswerTimes limits the segments, and the requests, whose last complete answer is remembered.
	maxAnswerTimes = 4096
)

// Attempt is an attempt that was in flight at an upstream when that crashed.
type Attempt struct {
	Content request.Content
	SentAt  time.Time
	// BegunAt is when the first event of the answer arrived; zero if none did.
	BegunAt time.Time
	// ConnectedAt is when the opening of its connection began; zero if it is not known.
	ConnectedAt time.Time
}

// Returned reports whether the upstream had returned, when the attempt was sent, from a crash that
// was known at a time.
func (a Attempt) Returned(knownAt time.Time) bool { return a.ConnectedAt.After(knownAt) }

// crash is the end of one upstream, with the subjects that may have caused it.
type crash struct {
	upstream version.UpstreamID
	// pool is the upstream's pool; 0 until it is known.
	pool     version.PoolID
	at       time.Time
	suspects map[Subject]suspect
	// requests is the number of suspects that are requests.
	requests int
	// answersBefore is Tracker.answers when this VM learned of the crash.
	answersBefore uint64
	// knownAt is when this VM learned of the crash.
	knownAt time.Time
	// again is set if the upstream had just returned from another crash under the same identifier.
	// Only this VM can tell the two apart, so the others are not told of it.
	again bool
}

// suspect is how a subject was in flight at an upstream when that crashed.
type suspect struct {
	// inFlight is how long before the crash the last attempt with the subject was sent, in
	// whole milliseconds.
	inFlight time.Duration
	// position is a segment's index in the prompt, and previous the segment before it; 0 if
	// it is the first one.
	position int
	previous uint64
	// begun is set if the answers of all its requests had begun.
	begun bool
}

// RecordCrash records that an upstream of a pool crashed with attempts in flight. Several VMs, or
// several calls, may report parts of what was in flight.
func (t *Tracker) RecordCrash(now time.Time, upstream version.UpstreamID, pool version.PoolID, at time.Time, attempts []Attempt) {
	suspects := make(map[Subject]suspect)
	for _, attempt := range attempts {
		begun := !attempt.BegunAt.IsZero() && at.Sub(attempt.BegunAt) >= beginGrace
		previous := uint64(0)
		for position, subject := range subjects(attempt.Content) {
			if begun {
				t.clearBegun(subject, attempt.BegunAt)
			}
			if subject.Request {
				if !begun {
					// A deadly request does not let its answer begin.
					addSuspect(suspects, subject, suspect{inFlight: attempt.inFlight(at)})
				}
				continue
			}
			addSuspect(suspects, subject, suspect{inFlight: attempt.inFlight(at), position: position, previous: previous, begun: begun})
			previous = subject.ID
		}
	}
	if before := t.crashOf(upstream, at); before != nil && allReturned(attempts, before.knownAt) && now.Sub(at) <= crashRetention {
		c := t.newCrash(now, upstream, at)
		c.again = true
		t.mergeSuspects(c, pool, suspects)
		return
	}
	t.mergeCrash(now, upstream, pool, at, suspects)
}

// allReturned reports whether there are attempts, all sent after the upstream had returned from a
// crash that was known at a time.
func allReturned(attempts []Attempt, knownAt time.Time) bool {
	for _, attempt := range attempts {
		if !attempt.Returned(knownAt) {
			return false
		}
	}
	return len(attempts) > 0
}

// inFlight returns how long before a crash the attempt was sent, in whole milliseconds.
func (a Attempt) inFlight(crash time.Time) time.Duration {
	return max(crash.Sub(a.SentAt), 0).Truncate(time.Millisecond)
}

// addSuspect adds a suspect and reports whether that tells anything new. Of two attempts with
// a subject, the more suspect one counts.
func addSuspect(suspects map[Subject]suspect, subject Subject, added suspect) bool {
	known, present := suspects[subject]
	if present && !known.supersededBy(added) {
		return false
	}
	suspects[subject] = added
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
func (t *Tracker) mergeCrash(now time.Time, upstream version.UpstreamID, pool version.PoolID, at time.Time, suspects map[Subject]suspect) {
	if now.Sub(at) > crashRetention {
		return
	}
	c := t.crashOf(upstream, at)
	if c == nil {
		c = t.newCrash(now, upstream, at)
	}
	t.mergeSuspects(c, pool, suspects)
}

// newCrash adds a crash without suspects.
func (t *Tracker) newCrash(now time.Time, upstream version.UpstreamID, at time.Time) *crash {
	c := &crash{upstream: upstream, at: at, suspects: make(map[Subject]suspect), answersBefore: t.answers, knownAt: now}
	t.addCrash(c)
	if now.Sub(at) <= recentCrash {
		t.newCrashes = append(t.newCrashes, upstream)
	}
	return c
}

func (t *Tracker) mergeSuspects(c *crash, pool version.PoolID, suspects map[Subject]suspect) {
	if c.pool == 0 && pool != 0 {
		c.pool = pool
		t.tell(c)
	}
	for _, subject := range t.mostSuspectFirst(suspects) {
		t.mergeSuspect(c, subject, suspects[subject])
	}
}

func (t *Tracker) mergeSuspect(c *crash, subject Subject, added suspect) {
	if t.answered(subject).at(subject).After(c.at) || !added.begun && t.begun.at(subject).After(c.at) {
		return
	}
	if hold := t.holds[subject]; hold != nil && c.at.After(hold.LastCrash) {
		hold.LastCrash = c.at
	}
	_, present := c.suspects[subject]
	if !present && c.isFull(subject.Request) {
		return
	}
	if !addSuspect(c.suspects, subject, added) {
		return
	}
	if !present {
		t.suspects[subject]++
		if subject.Request {
			c.requests++
		}
	}
	t.undecided = true
	t.tell(c)
	t.tellEarlierAnswer(subject)
}

// tell has the other VMs told of what is new of a crash.
func (t *Tracker) tell(c *crash) {
	if !c.again {
		t.changes.crashes[c] = struct{}{}
	}
}

// isFull reports whether a crash has as many segments, or requests, as suspects as are kept.
func (c *crash) isFull(requests bool) bool {
	if requests {
		return c.requests >= maxSuspects
	}
	return len(c.suspects)-c.requests >= maxSuspects
}

// tellEarlierAnswer tells the other VMs once that a subject which is a suspect of several
// crashes was answered before.
func (t *Tracker) tellEarlierAnswer(subject Subject) {
	if t.suspects[subject] < crashesToHold-1 || t.answered(subject).at(subject).IsZero() {
		return
	}
	if _, told := t.answersTold[subject]; !told {
		t.answersTold[subject] = struct{}{}
		t.changes.answered[subject] = struct{}{}
	}
}

// mostSuspectFirst returns the subjects of suspects, those first that were never answered, and
// of these the ones that are suspects of other crashes too. New requests, which are never known
// to be answered, do not displace them.
func (t *Tracker) mostSuspectFirst(suspects map[Subject]suspect) []Subject {
	list := make([]Subject, 0, len(suspects))
	for subject := range suspects {
		list = append(list, subject)
	}
	slices.SortFunc(list, func(a, b Subject) int {
		return cmp.Or(
			t.answered(a).at(a).Compare(t.answered(b).at(b)),
			cmp.Compare(t.suspects[b], t.suspects[a]),
			cmp.Compare(suspects[a].inFlight, suspects[b].inFlight),
			a.compare(b),
		)
	})
	return list
}

// crashOf returns the crash of an upstream that is nearest to a time, or nil if none is near.
func (t *Tracker) crashOf(upstream version.UpstreamID, at time.Time) *crash {
	var nearest *crash
	distance := sameCrashWindow
	for _, c := range t.crashes {
		if d := c.at.Sub(at).Abs(); c.upstream == upstream && d < distance {
			nearest, distance = c, d
		}
	}
	return nearest
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
	for subject := range c.suspects {
		t.forgetSuspect(c, subject)
	}
	t.crashes = slices.DeleteFunc(t.crashes, func(other *crash) bool { return other == c })
	delete(t.changes.crashes, c)
}

func (t *Tracker) forgetSuspect(c *crash, subject Subject) {
	delete(c.suspects, subject)
	if subject.Request {
		c.requests--
	}
	if t.suspects[subject]--; t.suspects[subject] <= 0 {
		delete(t.suspects, subject)
		delete(t.answersTold, subject)
	}
}

// RecordAnswer records a complete answer whose first event arrived at begunAt. It clears the
// request and its prompt's segments of all crashes before that.
func (t *Tracker) RecordAnswer(now time.Time, content request.Content, begunAt time.Time) {
	if len(shared(content.Segments)) > 0 {
		t.answers++
	}
	for _, subject := range subjects(content) {
		t.clear(now, subject, begunAt)
	}
}

// clear clears a subject of all crashes before an answer that began at begunAt, and ends a
// hold on it that has no later crash.
func (t *Tracker) clear(now time.Time, subject Subject, begunAt time.Time) {
	t.answered(subject).record(subject, begunAt)
	cleared := false
	if t.suspects[subject] > 0 {
		cleared = t.forgetEvidence(subject, begunAt, false)
		t.tellEarlierAnswer(subject)
	}
	if hold := t.holds[subject]; hold != nil && begunAt.After(hold.LastCrash) {
		t.release(now, hold, CauseAnswered)
		cleared = true
	}
	if cleared {
		t.changes.answered[subject] = struct{}{}
	}
}

// clearBegun clears a subject of the crashes before an answer that began at begunAt and broke
// off later, except those in which its answers had begun too.
func (t *Tracker) clearBegun(subject Subject, begunAt time.Time) {
	t.begun.record(subject, begunAt)
	if t.suspects[subject] > 0 && t.forgetEvidence(subject, begunAt, true) {
		t.changes.begun[subject] = struct{}{}
	}
}

// forgetEvidence removes a subject from the suspects of crashes before a time and reports
// whether there were any. If keepBegun is set, it keeps those in which its answers had begun.
func (t *Tracker) forgetEvidence(subject Subject, before time.Time, keepBegun bool) bool {
	forgotten := false
	for _, c := range t.crashes {
		if s, present := c.suspects[subject]; present && c.at.Before(before) && !(keepBegun && s.begun) {
			t.forgetSuspect(c, subject)
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
