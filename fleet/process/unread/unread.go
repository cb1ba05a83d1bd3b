// Package unread decides which answers are given up when the memory for answers that their callers have
// not read yet is scarce: those that hold most and move least. A caller who has just begun to read
// slowly is not given up before one that has stopped, and one who reads on is made to wait for a moment
// where nobody has stopped.
package unread

import (
	"math"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// paceHalfLife is the time after which bytes that moved count half in the pace of an answer. A
	// caller behind a bad line pauses for a second or two.
	paceHalfLife = 2 * time.Second
	// newcomerBytes counts as moved when an answer begins to wait, so that it is not taken for one that
	// has stopped; it is a pace of 128 KiB/s.
	newcomerBytes = 370 << 10
	// longRead is the time to read an answer from which it is given up at once where memory is scarce.
	longRead = 10 * time.Second
	// maxPause is how long an upstream's answer may pause for memory. Upstreams cut answers that stay
	// unread for some seconds.
	maxPause = time.Second
)

// ID identifies an answer that waits for its caller.
type ID uint64

// Options are the bounds of a Budget, in bytes.
type Options struct {
	// TotalBytes bounds all answers of the process, AccountBytes those of one account, and AnswerBytes
	// one answer.
	TotalBytes, AccountBytes, AnswerBytes int64
}

// Cause says which bound an answer was given up for.
type Cause string

const (
	// CauseAnswer is the bound of one answer.
	CauseAnswer Cause = "answer"
	// CauseAccount is the bound of an account.
	CauseAccount Cause = "account"
	// CauseProcess is the bound of the process.
	CauseProcess Cause = "process"
)

// GivenUp is an answer that was given up.
type GivenUp struct {
	ID    ID
	Cause Cause
	// HeldBytes is what it held, and Waited the time since it began to wait.
	HeldBytes int64
	Waited    time.Duration
}

// answer is an answer that waits for its caller.
type answer struct {
	account version.AccountID
	held    int64
	since   time.Time
	// moved is the bytes that its caller read, as of movedAt, with the weight that paceHalfLife gives
	// them.
	moved   float64
	movedAt time.Time
}

// Budget is the memory that answers take which wait for their callers.
//
// Invariant: used is the sum of the answers' bytes and of byAccount, and at most Options.TotalBytes.
type Budget struct {
	options   Options
	used      int64
	byAccount map[version.AccountID]int64
	answers   map[ID]*answer
	givenUp   map[Cause]uint64
}

// New returns a budget.
func New(options Options) *Budget {
	return &Budget{
		options: options, byAccount: make(map[version.AccountID]int64), answers: make(map[ID]*answer), givenUp: make(map[Cause]uint64),
	}
}

// Request asks for memory for an answer.
type Request struct {
	ID      ID
	Account version.AccountID
	Bytes   int64
	// Paused is how long the answer has paused for this request.
	Paused time.Duration
}

// Grow takes more bytes for an answer, which begins to wait if it is not known. It returns the answers
// that are given up for that, whose bytes are free then; the answer itself may be among them. If it
// returns pause, nothing was taken for the answer, and the request is to be made again after a moment.
func (b *Budget) Grow(now time.Time, r Request) (givenUp []GivenUp, pause bool) {
	a := b.answers[r.ID]
	if a == nil {
		a = &answer{account: r.Account, since: now, moved: newcomerBytes, movedAt: now}
		b.answers[r.ID] = a
	}
	if a.held+r.Bytes > b.options.AnswerBytes {
		if r.Paused < maxPause && r.Bytes <= b.options.AnswerBytes {
			return nil, true
		}
		return []GivenUp{b.giveUp(now, r.ID, CauseAnswer)}, false
	}
	for b.answers[r.ID] != nil {
		cause, eligible := CauseProcess, func(*answer) bool { return true }
		if b.byAccount[a.account]+r.Bytes > b.options.AccountBytes {
			cause, eligible = CauseAccount, func(other *answer) bool { return other.account == a.account }
		} else if b.used+r.Bytes <= b.options.TotalBytes {
			b.add(a, r.Bytes)
			break
		}
		worst, left := b.worst(now, eligible)
		if left < longRead && r.Paused < maxPause {
			return givenUp, true
		}
		givenUp = append(givenUp, b.giveUp(now, worst, cause))
	}
	return givenUp, false
}

// Moved records that the caller of an answer has read n bytes and that freed bytes are free.
func (b *Budget) Moved(now time.Time, id ID, n, freed int64) {
	if a := b.answers[id]; a != nil {
		a.moved = a.movedNow(now) + float64(n)
		a.movedAt = now
		b.add(a, -freed)
	}
}

// End forgets an answer, whose bytes are free then.
func (b *Budget) End(id ID) {
	if a := b.answers[id]; a != nil {
		b.add(a, -a.held)
		delete(b.answers, id)
	}
}

func (b *Budget) add(a *answer, n int64) {
	a.held += n
	b.used += n
	if b.byAccount[a.account] += n; b.byAccount[a.account] <= 0 {
		delete(b.byAccount, a.account)
	}
}

func (b *Budget) giveUp(now time.Time, id ID, cause Cause) GivenUp {
	a := b.answers[id]
	given := GivenUp{ID: id, Cause: cause, HeldBytes: a.held, Waited: now.Sub(a.since)}
	b.givenUp[cause]++
	b.End(id)
	return given
}

// worst returns the answer that would take the longest to be read at its caller's pace, and that time.
// At least one answer must be eligible.
func (b *Budget) worst(now time.Time, eligible func(*answer) bool) (ID, time.Duration) {
	var worst ID
	longest := -1.0
	for id, a := range b.answers {
		if !eligible(a) {
			continue
		}
		perSecond := (a.movedNow(now) + 1) * math.Ln2 / paceHalfLife.Seconds()
		// The ID decides between equals, so that the order of the map does not.
		if left := float64(a.held) / perSecond; left > longest || left == longest && id < worst {
			worst, longest = id, left
		}
	}
	return worst, time.Duration(min(longest, maxRead.Seconds()) * float64(time.Second))
}

// maxRead is the longest time to read an answer that is told apart.
const maxRead = 24 * time.Hour

func (a *answer) movedNow(now time.Time) float64 {
	return a.moved * math.Exp2(-now.Sub(a.movedAt).Seconds()/paceHalfLife.Seconds())
}

// Stats are the figures of a Budget.
type Stats struct {
	// Answers is the number of answers that wait for their callers, HeldBytes what they hold, and
	// LimitBytes the limit of the process.
	Answers    int   `json:"answers"`
	HeldBytes  int64 `json:"held_bytes"`
	LimitBytes int64 `json:"limit_bytes"`
	// GivenUp counts the answers that were given up, by cause.
	GivenUp map[Cause]uint64 `json:"given_up"`
}

// Stats returns the figures of the budget.
func (b *Budget) Stats() Stats {
	stats := Stats{Answers: len(b.answers), HeldBytes: b.used, LimitBytes: b.options.TotalBytes, GivenUp: make(map[Cause]uint64)}
	for _, cause := range []Cause{CauseAnswer, CauseAccount, CauseProcess} {
		stats.GivenUp[cause] = b.givenUp[cause]
	}
	return stats
}
