package ledger

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// ProbeTimeout is how long an entry may take to say what became of an
	// attempt.
	ProbeTimeout = time.Second
	// ProbeInterval is how often a running attempt is asked about.
	ProbeInterval = time.Second
)

// probe follows an attempt that holds a key which others wait for.
type probe struct {
	holder claimRecord
	// asked is when the entry was asked last, and due when its answer is late
	// or it is to be asked again.
	asked time.Time
	due   time.Time
	// running is set if the entry answered since asked.
	running bool
	// lost is when the entry was found not to know the attempt or not to
	// answer; zero while neither is so.
	lost time.Time
}

// follow makes a candidate wait for the end of the attempt that holds its key.
func (w *writer) follow(now time.Time, b *book, c *candidate, holder *claimRecord) {
	if c.holder == nil {
		w.ledger.send(c.from, wire.LedgerVerdict{
			Attempt: c.subject.Attempt,
			Stamp:   c.stamp,
			Result:  wire.LedgerWaiting,
			Held:    true,
		})
	}
	c.holder = holder
	if _, present := b.probes[holder.Attempt]; present {
		return
	}
	p := &probe{holder: *holder}
	b.probes[holder.Attempt] = p
	w.ask(now, p)
}

func (w *writer) ask(now time.Time, p *probe) {
	p.asked = now
	p.due = now.Add(ProbeTimeout)
	p.running = false
	w.ledger.send(p.holder.Entry, wire.LedgerProbe{Subject: subjectOfRecord(p.holder)})
}

func subjectOfRecord(r claimRecord) wire.LedgerSubject {
	return wire.LedgerSubject{Account: r.Account, Key: r.Key, Attempt: r.Attempt}
}

// probeOf returns the book and the probe of an attempt, or nil.
func (w *writer) probeOf(subject wire.LedgerSubject) (*book, *probe) {
	i, present := w.find(placeOf(subject).Bucket)
	if !present {
		return nil, nil
	}
	return w.books[i], w.books[i].probes[subject.Attempt]
}

// running handles an entry's word that an attempt may still run or end.
func (w *writer) running(now time.Time, subject wire.LedgerSubject) {
	if _, p := w.probeOf(subject); p != nil && p.lost.IsZero() {
		p.running = true
		p.due = now.Add(ProbeInterval)
	}
}

// gone handles an entry that does not know an attempt or cannot be asked.
func (w *writer) gone(now time.Time, subject wire.LedgerSubject) {
	if b, p := w.probeOf(subject); p != nil {
		lose(now, b, p)
	}
}

// linkLost ends the probes of a daemon that cannot be asked any more.
func (w *writer) linkLost(now time.Time, vm version.VMID) {
	for _, b := range w.books {
		for _, p := range b.probes {
			if p.holder.Entry == vm {
				lose(now, b, p)
			}
		}
	}
}

// lose makes the store the last resort for an attempt's outcome.
func lose(now time.Time, b *book, p *probe) {
	if p.lost.IsZero() {
		p.lost = now
		b.stale = true
	}
}

// lostProbe returns since when a read of the store has been needed to conclude
// a probe.
func (b *book) lostProbe() (time.Time, bool) {
	var since time.Time
	for _, p := range b.probes {
		if !p.lost.IsZero() && (since.IsZero() || p.lost.Before(since)) {
			since = p.lost
		}
	}
	return since, !since.IsZero()
}

// concludeProbes answers those that follow a lost attempt whose outcome the
// store does not have either. The read was issued at a time.
func (w *writer) concludeProbes(b *book, issued time.Time) {
	for _, attempt := range sortedProbes(b) {
		p := b.probes[attempt]
		if p.lost.IsZero() || p.lost.After(issued) {
			continue
		}
		delete(b.probes, attempt)
		for _, c := range followers(b, attempt) {
			b.remove(c)
			w.decide(c, wire.LedgerUnknown, nil)
		}
	}
}

func followers(b *book, attempt uuid.UUID) []*candidate {
	var following []*candidate
	for _, c := range b.waiting {
		if c.holder != nil && c.holder.Attempt == attempt {
			following = append(following, c)
		}
	}
	return following
}

// tickProbes repeats the probes that are due, and forgets those that nobody
// needs any more.
func (w *writer) tickProbes(now time.Time, b *book) {
	if len(b.probes) == 0 {
		return
	}
	for _, attempt := range sortedProbes(b) {
		p := b.probes[attempt]
		switch {
		case len(followers(b, attempt)) == 0:
			delete(b.probes, attempt)
		case !p.lost.IsZero() || now.Before(p.due):
		case p.running:
			w.ask(now, p)
		default:
			lose(now, b, p)
		}
	}
}

func sortedProbes(b *book) []uuid.UUID {
	attempts := make([]uuid.UUID, 0, len(b.probes))
	for attempt := range b.probes {
		attempts = append(attempts, attempt)
	}
	slices.SortFunc(attempts, func(x, y uuid.UUID) int { return slices.Compare(x[:], y[:]) })
	return attempts
}
