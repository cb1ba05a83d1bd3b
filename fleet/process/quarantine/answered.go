package quarantine

import "time"

// answerTimes remembers for a bounded number of subjects when the last complete answer began.
// It has two generations: when the newer one is full, it replaces the older one, which drops
// the subjects that have not been answered for longest.
type answerTimes struct {
	limit        int
	newer, older map[Subject]time.Time
}

func newAnswerTimes(limit int) *answerTimes {
	return &answerTimes{limit: limit / 2, newer: make(map[Subject]time.Time), older: make(map[Subject]time.Time)}
}

// at returns when the last complete answer to a request with the subject began; zero if none is
// known.
func (a *answerTimes) at(subject Subject) time.Time {
	if at, present := a.newer[subject]; present {
		return at
	}
	return a.older[subject]
}

// record records an answer, unless a later one is known.
func (a *answerTimes) record(subject Subject, begunAt time.Time) {
	if known := a.at(subject); known.After(begunAt) {
		begunAt = known
	}
	a.newer[subject] = begunAt
	if len(a.newer) >= a.limit {
		a.older, a.newer = a.newer, make(map[Subject]time.Time, a.limit)
	}
}
