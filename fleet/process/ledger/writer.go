package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// FlushDelay is how long an ending may wait for a claim to be written
	// with.
	FlushDelay = time.Second
	// maxBatchClaims bounds the claims of one write.
	maxBatchClaims = 512
	// maxBatchBodyBytes bounds the answers of one write.
	maxBatchBodyBytes = 256 << 10
	// maxWaiting bounds the claims that wait for one place.
	maxWaiting = 4096
	// maxNotes bounds the endings that wait for one place.
	maxNotes = 4096
	// maxBooks bounds the places that a writer knows.
	maxBooks = 64
	// bookKeep is how long an idle book is kept.
	bookKeep = time.Minute
	// candidateKeep is how long a claim is kept that its entry no longer
	// repeats.
	candidateKeep = 2 * ClaimTimeout
	// backoffMin and backoffMax bound the pause after a failed call.
	backoffMin = 100 * time.Millisecond
	backoffMax = 2 * time.Second
)

// writer writes the log of one shard. Any daemon may write any shard; that one
// daemon does it for the fleet only makes writes fewer.
//
// Invariant: at most one call of the store is under way.
type writer struct {
	ledger *Ledger
	// books are ordered by their places.
	books []*book
	call  *call
	// nextWrite spaces writes; nextCall pauses after a failure.
	nextWrite time.Time
	nextCall  time.Time
	failures  int
}

// call is a call of the store under way.
type call struct {
	operation Operation
	book      *book
	issued    time.Time
	// claims are those that a write adds, and written is the whole segment.
	claims  []claimRecord
	written segment
}

// find returns where the book of a bucket is or belongs.
func (w *writer) find(bucket Bucket) (int, bool) {
	return slices.BinarySearchFunc(w.books, bucket, func(b *book, bucket Bucket) int {
		return cmp.Compare(b.place.Bucket, bucket)
	})
}

// book returns the book of a place, or nil if there are too many.
func (w *writer) book(now time.Time, place Place) *book {
	if i, present := w.find(place.Bucket); present {
		w.books[i].touched = now
		return w.books[i]
	}
	if len(w.books) >= maxBooks && !w.evict() {
		return nil
	}
	b := newBook(now, place)
	i, _ := w.find(place.Bucket)
	w.books = slices.Insert(w.books, i, b)
	return b
}

// evict forgets the idle book that was not used for longest.
func (w *writer) evict() bool {
	oldest := -1
	for i, b := range w.books {
		if !b.idle() || w.calling(b) {
			continue
		}
		if oldest < 0 || b.touched.Before(w.books[oldest].touched) {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	w.books = slices.Delete(w.books, oldest, oldest+1)
	return true
}

func (w *writer) calling(b *book) bool { return w.call != nil && w.call.book == b }

// claim handles a claim, which may be a repeated one.
func (w *writer) claim(now time.Time, from version.VMID, m wire.LedgerClaim) {
	b := w.book(now, placeOf(m.Subject))
	if b == nil || len(b.waiting) >= maxWaiting {
		w.ledger.send(from, wire.LedgerVerdict{Attempt: m.Subject.Attempt, Stamp: m.Stamp, Result: wire.LedgerBusy})
		return
	}
	if c := b.candidate(m.Subject.Attempt); c != nil {
		w.repeat(now, c, m)
		return
	}
	c := &candidate{
		from:    from,
		subject: m.Subject,
		request: m.Request,
		stamp:   m.Stamp,
		since:   now,
		heard:   now,
	}
	b.waiting = append(b.waiting, c)
	w.settleClaim(now, b, c)
}

// repeat answers a repeated claim that still waits. The stamp of a claim that
// may have been written stays, so that a permit never outlives it.
func (w *writer) repeat(now time.Time, c *candidate, m wire.LedgerClaim) {
	c.heard = now
	if c.holder != nil {
		c.stamp = m.Stamp
	}
	w.ledger.send(c.from, wire.LedgerVerdict{
		Attempt: m.Subject.Attempt,
		Stamp:   m.Stamp,
		Result:  wire.LedgerWaiting,
		Held:    c.holder != nil,
		Looked:  c.looked,
	})
}

// end handles how an attempt ended. sole is set if a candidate that was never
// written needs no closing in the store.
func (w *writer) end(now time.Time, from version.VMID, subject wire.LedgerSubject, e ending, sole bool) {
	b := w.book(now, placeOf(subject))
	if b == nil {
		return
	}
	c := b.candidate(subject.Attempt)
	if c != nil {
		b.remove(c)
	}
	_, written := b.ended[subject.Attempt]
	unwritten := sole && c != nil && !c.uncertain && !w.writing(b, subject.Attempt)
	if written || unwritten {
		w.ledger.send(from, wire.LedgerAck{Attempt: subject.Attempt})
		return
	}
	if _, present := b.noted[subject.Attempt]; present || len(b.notes) >= maxNotes {
		return
	}
	b.addNote(&note{subject: subject, ending: e, from: from, since: now})
	w.settle(now, b)
}

// writing reports whether a write under way holds the claim of an attempt.
func (w *writer) writing(b *book, attempt uuid.UUID) bool {
	return w.calling(b) && holds(w.call.claims, attempt)
}

// settle gives the verdicts that the book allows.
func (w *writer) settle(now time.Time, b *book) {
	for _, c := range slices.Clone(b.waiting) {
		w.settleClaim(now, b, c)
	}
	for _, n := range b.takeWritten() {
		w.ledger.send(n.from, wire.LedgerAck{Attempt: n.subject.Attempt})
	}
}

// settleClaim gives a claim the verdict that the book allows.
func (w *writer) settleClaim(now time.Time, b *book, c *candidate) {
	s, holder, answer := b.judge(c)
	switch s {
	case free:
		c.holder = nil
	case held:
		w.follow(now, b, c, holder)
	default:
		b.remove(c)
		w.decide(c, resultOf[s], answer)
	}
}

// resultOf gives the result of each standing that ends a candidate's wait.
var resultOf = map[standing]wire.LedgerResult{
	mine:     wire.LedgerClaimed,
	closed:   wire.LedgerClosed,
	reused:   wire.LedgerReused,
	answered: wire.LedgerReplay,
	broken:   wire.LedgerBroken,
}

func (w *writer) decide(c *candidate, result wire.LedgerResult, answer *wire.LedgerAnswer) {
	w.ledger.send(c.from, wire.LedgerVerdict{
		Attempt: c.subject.Attempt,
		Stamp:   c.stamp,
		Result:  result,
		Answer:  answer,
	})
}

// tick drops what is no longer needed and repeats probes.
func (w *writer) tick(now time.Time) {
	for _, b := range w.books {
		w.tickWaiting(now, b)
		w.tickProbes(now, b)
	}
	w.books = slices.DeleteFunc(w.books, func(b *book) bool {
		return b.idle() && !w.calling(b) && now.Sub(b.touched) > bookKeep
	})
}

func (w *writer) tickWaiting(now time.Time, b *book) {
	b.waiting = slices.DeleteFunc(b.waiting, func(c *candidate) bool {
		return now.Sub(c.heard) > candidateKeep && !w.writing(b, c.subject.Attempt)
	})
}

// busy reports whether time alone can make the writer act.
func (w *writer) busy() bool {
	if w.call != nil {
		return true
	}
	return slices.ContainsFunc(w.books, func(b *book) bool { return !b.idle() })
}
