package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// appearance is a crash in which a subject is a suspect.
type appearance struct {
	*crash
	suspect
	// explained is set if a held request was in flight at the crash.
	explained bool
}

// sentAt is when the last attempt with the subject was sent before the crash.
func (a appearance) sentAt() time.Time { return a.at.Add(-a.inFlight) }

// candidate is a subject that is suspect enough to be held.
type candidate struct {
	subject Subject
	// crashes is the number of crashes that nothing held explains.
	crashes   int
	lastCrash time.Time
	// answered is set if the subject has been in a complete answer before.
	answered bool
	// position is the highest index of a segment in a prompt, or behind all segments for a
	// request.
	position int
}

// judge holds the subjects whose evidence suffices and has stood for settleTime, in which
// answers that other VMs received clear the sound ones. A crash in which a held subject was in
// flight is explained by it and is no evidence against others.
func (t *Tracker) judge(now time.Time) {
	for t.undecided || len(t.pending) > 0 {
		t.undecided = false
		appearances := t.appearances()
		found := t.candidates(appearances)
		t.updatePending(now, found)
		found = slices.DeleteFunc(found, func(c candidate) bool {
			return t.hasLikelierDescendant(c, appearances.bySubject) || t.isOfOneRequest(c, appearances.bySubject[c.subject])
		})
		worst, settled := t.worst(now, found)
		if !settled {
			return
		}
		t.hold(now, worst)
	}
}

// worst returns the most suspect candidate, if its evidence has stood for settleTime. A request
// whose evidence has, need not wait for a more suspect candidate.
func (t *Tracker) worst(now time.Time, found []candidate) (worst candidate, settled bool) {
	if len(found) == 0 {
		return candidate{}, false
	}
	isSettled := func(c candidate) bool { return now.Sub(t.pending[c.subject]) >= settleTime }
	compare := compareCandidates(found)
	if worst = slices.MinFunc(found, compare); isSettled(worst) {
		return worst, true
	}
	found = slices.DeleteFunc(found, func(c candidate) bool { return !c.subject.Request || !isSettled(c) })
	if len(found) == 0 {
		return candidate{}, false
	}
	return slices.MinFunc(found, compare), true
}

// updatePending sets the candidates that may be held once they have stood for settleTime.
func (t *Tracker) updatePending(now time.Time, found []candidate) {
	since := t.pending
	t.pending = make(map[Subject]time.Time, len(found))
	for _, c := range found {
		t.pending[c.subject] = now
		if known, present := since[c.subject]; present {
			t.pending[c.subject] = known
		}
	}
}

// compareCandidates returns a comparison that orders the most suspect candidate first. The
// segment that crashes upstreams is often accompanied by sound ones that few others use, and
// all have about the same crashes. Then one that was never answered goes first, and after that
// the request itself, or the segment that comes later in the prompt, which is in fewer other
// prompts: if it is the wrong one, the next crash shows it, while holding the more common one
// would hide the mistake.
func compareCandidates(found []candidate) func(a, b candidate) int {
	most := 0
	for _, c := range found {
		most = max(most, c.crashes)
	}
	explainsMany := func(c candidate) int {
		if 2*c.crashes >= most {
			return 0
		}
		return 1
	}
	return func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(explainsMany(a), explainsMany(b)),
			compareBool(a.answered, b.answered),
			cmp.Compare(b.position, a.position),
			cmp.Compare(b.crashes, a.crashes),
			a.subject.compare(b.subject),
		)
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// unexplained holds the crashes that nothing held explains, in the order of their times.
type unexplained struct {
	crashes []*crash
	// bySubject holds the appearances of the subjects that are suspects of several crashes.
	bySubject map[Subject][]appearance
}

func (t *Tracker) appearances() unexplained {
	u := unexplained{bySubject: make(map[Subject][]appearance)}
	for _, c := range t.crashes {
		segmentHeld, heldRequest := t.heldAt(c)
		if segmentHeld {
			continue
		}
		if heldRequest == nil {
			u.crashes = append(u.crashes, c)
		}
		for subject, s := range c.suspects {
			if t.suspects[subject] < 2 || t.holds[subject] != nil {
				continue
			}
			if subject.Request && heldRequest != nil && heldRequest.Since.Before(c.at) {
				// Nothing but the held request is to blame for the end of its trial.
				continue
			}
			u.bySubject[subject] = append(u.bySubject[subject], appearance{c, s, heldRequest != nil})
		}
	}
	return u
}

// heldAt reports whether a held segment was in flight at a crash, and returns the request in
// flight there that has been held longest, or nil.
func (t *Tracker) heldAt(c *crash) (segment bool, longest *Hold) {
	if len(t.holds) == 0 {
		return false, nil
	}
	for subject := range c.suspects {
		switch hold := t.holds[subject]; {
		case hold == nil:
		case !subject.Request:
			return true, nil
		case longest == nil || hold.Since.Before(longest.Since):
			longest = hold
		}
	}
	return false, longest
}

// candidates returns the subjects that are suspect enough to be held.
func (t *Tracker) candidates(u unexplained) []candidate {
	var found []candidate
	for subject, list := range u.bySubject {
		if len(list) < crashesToHold {
			continue
		}
		answered := !t.answered(subject).at(subject).IsZero()
		if !subject.Request {
			list = countExplainedOnce(list)
		}
		if len(list) < crashesToHold {
			continue
		}
		others := max(countBetween(u.crashes, list[0].at, list[len(list)-1].at)-len(list), 0)
		if subject.Request && !t.requestSuffices(list, answered, others) ||
			!subject.Request && !suffices(list, answered, others/othersPerCrash) {
			continue
		}
		c := candidate{subject: subject, crashes: len(list), answered: answered}
		for _, a := range list {
			c.position = max(c.position, a.position)
			c.lastCrash = a.crash.at
		}
		if subject.Request {
			c.position = maxSegments
		}
		found = append(found, c)
	}
	return found
}

// countBetween returns the number of crashes, ordered by time, from one time to another.
func countBetween(crashes []*crash, from, to time.Time) int {
	count := 0
	for _, c := range crashes {
		if !c.at.Before(from) && !c.at.After(to) {
			count++
		}
	}
	return count
}

// hasLikelierDescendant reports whether a segment that follows a candidate in prompts may soon
// be held in its place: it is as unknown, and in at least half as many crashes.
func (t *Tracker) hasLikelierDescendant(c candidate, appearances map[Subject][]appearance) bool {
	if c.subject.Request {
		return false
	}
	for other, list := range appearances {
		if other.Request || len(list) < crashesToHold-1 || 2*len(list) < c.crashes || len(list) == c.crashes || !c.answered && !t.answered(other).at(other).IsZero() {
			continue
		}
		if descends(other, c.subject, appearances) {
			return true
		}
	}
	return false
}

// isOfOneRequest reports whether one request that was never answered was in flight at all crashes
// of a segment. Then that request may soon be held in its place.
func (t *Tracker) isOfOneRequest(c candidate, list []appearance) bool {
	if c.subject.Request {
		return false
	}
	for subject := range list[0].suspects {
		if subject.Request && t.suspects[subject] >= len(list) && t.answered(subject).at(subject).IsZero() &&
			!slices.ContainsFunc(list, func(a appearance) bool { _, present := a.suspects[subject]; return !present }) {
			return true
		}
	}
	return false
}

// descends reports whether a segment follows another one, at any distance, in prompts that were
// in flight at crashes.
func descends(segment, ancestor Subject, appearances map[Subject][]appearance) bool {
	for range maxSegments {
		list := appearances[segment]
		if len(list) == 0 {
			return false
		}
		segment = Subject{ID: list[len(list)-1].previous}
		if segment == ancestor {
			return true
		}
	}
	return false
}

// countExplainedOnce drops the crashes of a segment that held requests explain, but for the first
// one: however often these requests came, they are no others that have the segment.
func countExplainedOnce(list []appearance) []appearance {
	seen := false
	return slices.DeleteFunc(slices.Clone(list), func(a appearance) bool {
		repeated := a.explained && seen
		seen = seen || a.explained
		return repeated
	})
}

const (
	// maxMoreForRequest limits how much longer the chain of a request that was never answered has
	// to be because of other crashes: beyond the third, each crash by it is one too many.
	maxMoreForRequest = 1
	// sameEventWindow is how far apart the crashes of upstreams are that may fail together.
	sameEventWindow = 250 * time.Millisecond
	// samePoolWindow is how long before the first and after the last crash of a request no other
	// upstream of the pool must crash if the request alone is to blame.
	samePoolWindow = time.Second
)

// requestSuffices reports whether the appearances of a request, ordered by time, suffice to hold
// it. others is the number of crashes meanwhile in which it is no suspect. Copies of a request that
// come together crash several upstreams at once. They count one by one if no other upstream of the
// pool crashed, or if the crashes are too far apart for one event.
func (t *Tracker) requestSuffices(list []appearance, answered bool, others int) bool {
	switch {
	case answered:
		return len(chainOf(list)) >= answeredCrashesToHold+others/othersPerCrash
	case t.isOnlyOneOfItsPool(list):
		return true
	}
	return len(eventsOf(list)) >= crashesToHold+min(others, maxMoreForRequest)
}

// isOnlyOneOfItsPool reports whether the crashes are all those of one pool in their time.
func (t *Tracker) isOnlyOneOfItsPool(list []appearance) bool {
	pool := list[0].pool
	from, to := list[0].at.Add(-samePoolWindow), list[len(list)-1].at.Add(samePoolWindow)
	inPool := 0
	for _, c := range t.crashes {
		if !c.at.Before(from) && !c.at.After(to) && (c.pool == pool || c.pool == 0) {
			inPool++
		}
	}
	return pool != 0 && inPool == len(list) && !slices.ContainsFunc(list, func(a appearance) bool { return a.pool != pool })
}

// eventsOf returns the crashes of a list that are not parts of one event: the attempt was sent
// after the crash before, or the crash came sameEventWindow after it.
func eventsOf(list []appearance) []appearance {
	var events []appearance
	for _, a := range list {
		if len(events) == 0 || a.sentAt().After(events[len(events)-1].at) || a.at.Sub(events[len(events)-1].at) >= sameEventWindow {
			events = append(events, a)
		}
	}
	return events
}

// suffices reports whether the appearances of a segment, ordered by time, suffice to hold it.
// more is added to the length of the chain that is needed.
func suffices(list []appearance, answered bool, more int) bool {
	length := crashesToHold + more
	if answered {
		length = answeredCrashesToHold + more
	}
	if len(list) < length {
		return false
	}
	notBegun := slices.DeleteFunc(slices.Clone(list), func(a appearance) bool { return a.begun })
	return isChain(notBegun, length) || isChain(list, max(length, begunCrashesToHold+more))
}

// isChain reports whether there are so many crashes that in each the request was sent after
// the crash before, while other prompts were answered. Upstreams that crash at the same time
// for another reason, with the same sound segments in flight, count once.
func isChain(list []appearance, length int) bool {
	links := chainOf(list)
	return len(links) >= length && links[len(links)-1].answersBefore >= links[0].answersBefore+controlAnswers
}

// chainOf returns the crashes of a list in each of which the attempt was sent after the crash
// before.
func chainOf(list []appearance) []appearance {
	var links []appearance
	for _, a := range list {
		if len(links) == 0 || a.sentAt().After(links[len(links)-1].at) {
			links = append(links, a)
		}
	}
	return links
}

// MayRepeat reports whether a request that was sent at sentAt, and whose upstream crashed, may
// be sent to another one: not if it or one of its segments was in flight at an earlier crash
// and was not answered since.
func (t *Tracker) MayRepeat(content request.Content, sentAt time.Time) bool {
	for _, subject := range subjects(content) {
		if t.suspects[subject] == 0 {
			continue
		}
		for _, c := range t.crashes {
			if _, present := c.suspects[subject]; present && c.at.Before(sentAt) {
				return false
			}
		}
	}
	return true
}
