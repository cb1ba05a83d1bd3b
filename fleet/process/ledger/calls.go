package ledger

import "time"

// advance starts the next call of the store if there is need and none is under
// way.
func (w *writer) advance(now time.Time) {
	if w.call != nil || now.Before(w.nextCall) {
		return
	}
	var next *book
	var oldest time.Time
	for _, b := range w.books {
		since, needed := w.need(now, b)
		if needed && (next == nil || since.Before(oldest)) {
			next, oldest = b, since
		}
	}
	switch {
	case next == nil:
	case next.stale:
		w.read(now, next)
	default:
		w.write(now, next)
	}
}

// need returns since when the book has needed the call that it may have now.
func (w *writer) need(now time.Time, b *book) (time.Time, bool) {
	if !b.stale && now.Before(w.nextWrite) {
		return time.Time{}, false
	}
	for _, c := range b.waiting {
		if c.holder == nil {
			return c.since, true
		}
	}
	if b.stale {
		if since, lost := b.lostProbe(); lost {
			return since, true
		}
	}
	if len(b.notes) > 0 && (w.ledger.flushing || now.Sub(b.notes[0].since) >= FlushDelay) {
		return b.notes[0].since, true
	}
	return time.Time{}, false
}

func (w *writer) read(now time.Time, b *book) {
	w.call = &call{book: b, issued: now, operation: w.ledger.operations.begin(w)}
	w.ledger.act(Read{Operation: w.call.operation, Name: ObjectName(b.place, b.segment)})
}

// write adds all that waits to the last segment and seals it if it is full.
func (w *writer) write(now time.Time, b *book) {
	added := b.batch()
	next := b.open.joined(added)
	value, err := next.encode()
	if err == nil && len(value) >= SegmentBytes {
		next.Sealed = true
		value, err = next.encode()
	}
	if err != nil {
		w.pause(now)
		return
	}
	w.call = &call{
		operation: w.ledger.operations.begin(w),
		book:      b,
		issued:    now,
		claims:    added.Claims,
		written:   next,
	}
	w.nextWrite = now.Add(w.ledger.writeInterval)
	w.ledger.act(Write{
		Operation: w.call.operation,
		Name:      ObjectName(b.place, b.segment),
		Value:     value,
		Expected:  b.version,
	})
}

// readDone takes over what the store has. A sealed segment is followed by the
// next one, until one is open or missing.
func (w *writer) readDone(now time.Time, e ReadDone) {
	if w.call == nil || w.call.operation != e.Operation {
		return
	}
	done := w.call
	w.call = nil
	b := done.book
	switch e.Result {
	case Done:
		read, err := decodeSegment(e.Value)
		if err != nil {
			w.pause(now)
			return
		}
		b.replace(read, e.Version)
		b.stale = read.Sealed
	case NotFound:
		b.version = 0
		b.open = segment{Format: segmentFormat}
		b.stale = false
	default:
		w.pause(now)
		return
	}
	w.resume(now)
	if !b.stale {
		w.looked(now, b, done.issued)
	}
}

// looked handles a book that was read to its end by a call issued at a time.
func (w *writer) looked(now time.Time, b *book, issued time.Time) {
	w.settle(now, b)
	for _, c := range b.waiting {
		if c.holder == nil && !c.since.After(issued) {
			c.looked = true
		}
	}
	w.concludeProbes(b, issued)
}

// writeDone takes over what was written. After any failure the book is read
// again, which tells whether the write took effect: the claims are then found
// with their attempts.
func (w *writer) writeDone(now time.Time, e WriteDone) {
	if w.call == nil || w.call.operation != e.Operation {
		return
	}
	done := w.call
	w.call = nil
	b := done.book
	switch e.Result {
	case Done:
		b.replace(done.written, e.Version)
		w.resume(now)
		w.settle(now, b)
		return
	case Conflict:
		b.stale = true
		w.resume(now)
		return
	case Unresolved:
		for _, record := range done.claims {
			if c := b.candidate(record.Attempt); c != nil {
				c.uncertain = true
			}
		}
	}
	b.stale = true
	w.pause(now)
}

// resume ends the pause after failures.
func (w *writer) resume(now time.Time) {
	w.failures = 0
	w.nextCall = now
}

// pause waits longer after each failure.
func (w *writer) pause(now time.Time) {
	pause := min(backoffMin<<min(w.failures, maxDoublings), backoffMax)
	w.failures++
	w.nextCall = now.Add(pause)
}

// maxDoublings bounds the doublings of the pause.
const maxDoublings = 8
