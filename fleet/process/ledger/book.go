package ledger

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// slot is where attempts compete: a key of an account.
type slot struct {
	account version.AccountID
	key     claim.Key
}

// ending is how an attempt ended: closed without having been sent, or with an
// answer, which is nil if it was not whole.
type ending struct {
	closed bool
	answer *wire.LedgerAnswer
}

// candidate is a claim that waits for its verdict.
type candidate struct {
	from    version.VMID
	subject wire.LedgerSubject
	request [16]byte
	stamp   uint64
	// since is when the claim arrived, and heard when it was last repeated.
	since time.Time
	heard time.Time
	// uncertain is set once a write with the claim ended unresolved.
	uncertain bool
	// looked is set once the store was read after since and the key was free.
	looked bool
	// holder is the attempt that holds the key; it is nil if none does.
	holder *claimRecord
}

// note is an ending that is to be written.
type note struct {
	subject wire.LedgerSubject
	ending  ending
	from    version.VMID
	since   time.Time
}

// book is what a writer knows of the log of one place, and what it still has
// to write there.
type book struct {
	place Place
	// segment numbers the last segment, the only one that is written to.
	segment int
	// version is the store's version of the last segment; 0 if the segment
	// does not exist.
	version uint64
	open    segment
	// stale is set if the store may hold more than is known here. A stale
	// book is read before it is written.
	stale bool

	claims map[slot][]claimRecord
	ended  map[uuid.UUID]ending

	waiting []*candidate
	notes   []*note
	noted   map[uuid.UUID]*note
	probes  map[uuid.UUID]*probe
	touched time.Time
}

func newBook(now time.Time, place Place) *book {
	return &book{
		place: place,
		// The log of a span that has just begun is likely to be empty.
		stale:   now.After(place.Bucket.End()),
		open:    segment{Format: segmentFormat},
		claims:  make(map[slot][]claimRecord),
		ended:   make(map[uuid.UUID]ending),
		noted:   make(map[uuid.UUID]*note),
		probes:  make(map[uuid.UUID]*probe),
		touched: now,
	}
}

// idle reports whether the book has nothing left to do.
func (b *book) idle() bool { return len(b.waiting) == 0 && len(b.notes) == 0 }

// learn adds the records of a segment. Records may be learnt again.
func (b *book) learn(s segment) {
	for _, record := range s.Claims {
		at := slot{record.Account, record.Key}
		if !holds(b.claims[at], record.Attempt) {
			b.claims[at] = append(b.claims[at], record)
		}
	}
	for _, attempt := range s.Closed {
		if _, present := b.ended[attempt]; !present {
			b.ended[attempt] = ending{closed: true}
		}
	}
	for _, outcome := range s.Outcomes {
		b.ended[outcome.Attempt] = ending{answer: outcome.Answer}
	}
}

func holds(records []claimRecord, attempt uuid.UUID) bool {
	for _, record := range records {
		if record.Attempt == attempt {
			return true
		}
	}
	return false
}

// replace takes over the last segment as the store has it.
func (b *book) replace(s segment, version uint64) {
	b.learn(s)
	if s.Sealed {
		b.segment++
		b.version = 0
		b.open = segment{Format: segmentFormat}
		return
	}
	b.version = version
	b.open = s
}

// end returns how an attempt ended, written or not.
func (b *book) end(attempt uuid.UUID) (ending, bool) {
	if e, present := b.ended[attempt]; present {
		return e, true
	}
	if n, present := b.noted[attempt]; present {
		return n.ending, true
	}
	return ending{}, false
}

// standing is what a candidate's key looks like from this book.
type standing uint8

const (
	// free is a key that no attempt holds.
	free standing = iota
	// mine is a key that the candidate holds.
	mine
	// closed is a candidate whose own attempt was closed.
	closed
	// reused is a key that was claimed for another request.
	reused
	// answered is a key whose attempt ended with a whole answer.
	answered
	// broken is a key whose attempt ended without a whole answer.
	broken
	// held is a key whose attempt has not ended as far as is known.
	held
)

// judge returns a candidate's standing. The record and the answer are those of
// the attempt that holds the key.
//
// Only free may be out of date. Every other standing is final but held, which
// ends when the holder does.
func (b *book) judge(c *candidate) (standing, *claimRecord, *wire.LedgerAnswer) {
	if e, present := b.end(c.subject.Attempt); present && e.closed {
		return closed, nil, nil
	}
	for _, record := range b.claims[slot{c.subject.Account, c.subject.Key}] {
		if record.Attempt == c.subject.Attempt {
			return mine, nil, nil
		}
		if record.Request != c.request {
			return reused, nil, nil
		}
		e, present := b.end(record.Attempt)
		switch {
		case !present:
			return held, &record, nil
		case e.closed:
			continue
		case e.answer == nil:
			return broken, &record, nil
		default:
			return answered, &record, e.answer
		}
	}
	return free, nil, nil
}

// batch returns the records that are to be written next: one claim for each
// free key, and the endings. A claim that follows a closed attempt is written
// together with the closing or after it.
func (b *book) batch() segment {
	added := segment{Format: segmentFormat}
	bytes := 0
	taken := make(map[slot]bool)
	for _, c := range b.waiting {
		at := slot{c.subject.Account, c.subject.Key}
		if c.holder != nil || taken[at] || len(added.Claims) == maxBatchClaims {
			continue
		}
		taken[at] = true
		added.Claims = append(added.Claims, claimRecord{
			Account: c.subject.Account,
			Key:     c.subject.Key,
			Attempt: c.subject.Attempt,
			Request: c.request,
			Entry:   c.from,
		})
	}
	for _, n := range b.notes {
		if n.ending.closed {
			added.Closed = append(added.Closed, n.subject.Attempt)
			continue
		}
		if bytes > maxBatchBodyBytes {
			continue
		}
		added.Outcomes = append(added.Outcomes, outcomeRecord{Attempt: n.subject.Attempt, Answer: n.ending.answer})
		if n.ending.answer != nil {
			bytes += len(n.ending.answer.Body)
		}
	}
	return added
}

// candidate returns the waiting claim of an attempt, or nil.
func (b *book) candidate(attempt uuid.UUID) *candidate {
	for _, c := range b.waiting {
		if c.subject.Attempt == attempt {
			return c
		}
	}
	return nil
}

// remove takes a candidate out.
func (b *book) remove(gone *candidate) {
	b.waiting = slices.DeleteFunc(b.waiting, func(c *candidate) bool { return c == gone })
}

// addNote adds an ending that is to be written.
func (b *book) addNote(n *note) {
	b.notes = append(b.notes, n)
	b.noted[n.subject.Attempt] = n
}

// takeWritten takes out the notes whose endings are in the store.
func (b *book) takeWritten() []*note {
	var written []*note
	kept := b.notes[:0]
	for _, n := range b.notes {
		if _, present := b.ended[n.subject.Attempt]; present {
			written = append(written, n)
			delete(b.noted, n.subject.Attempt)
			continue
		}
		kept = append(kept, n)
	}
	clear(b.notes[len(kept):])
	b.notes = kept
	return written
}
