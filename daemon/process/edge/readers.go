package edge

import (
	"context"
	"sync"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/peer"
	"github.com/trefoilwell/trefoilwell/daemon/process/clock"
	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// askInterval is how often a process asks the one that reads the store for it.
	// It adds to the time until a change is in force.
	askInterval = 300 * time.Millisecond
	// askTimeout is how long a reader may take to answer before another one is
	// asked.
	askTimeout = 450 * time.Millisecond
)

// reading is what a process keeps of its questions to the process that reads the
// store for it. It is safe for concurrent use.
type reading struct {
	mu sync.Mutex
	// seq and asked are the number and the time of the newest question.
	seq   uint64
	asked time.Time
	// answered is when the newest answer came that was of use.
	answered time.Time
	// reader is the index of the reader that is asked.
	reader int
}

// next returns the reader to ask and the number of the question.
func (r *reading) next(readers []version.VMID) (version.VMID, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Boot()
	if now.Sub(r.answered) > askTimeout {
		r.reader++
	}
	r.seq++
	r.asked = now
	return readers[r.reader%len(readers)], r.seq
}

// when returns when a question was asked, if it is the newest.
func (r *reading) when(seq uint64) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asked, seq == r.seq
}

// served notes an answer that was of use. Without one, another reader is asked.
func (r *reading) served() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered = clock.Boot()
}

// askReaders asks the process that reads the store for this one, again and again
// until ctx ends.
func (e *Edge) askReaders(ctx context.Context) error {
	for {
		if err := wait.Sleep(ctx, askInterval); err != nil {
			return err
		}
		peers, readers := e.peers.Load(), e.placing.Readers()
		switch {
		case peers == nil:
		case len(readers) > 0:
			ask := e.mirror.Ask()
			var reader version.VMID
			reader, ask.Seq = e.reading.next(readers)
			// Without a link there is no answer, and another one is asked next.
			peers.Send(reader, ask)
		case e.mirror.Starved():
			e.borrow(peers)
		}
	}
}

// borrow asks all that may have read the store lately. It is for a process that the
// store does not answer while it answers others.
func (e *Edge) borrow(peers *peer.Manager) {
	lenders := e.placing.Lenders()
	if len(lenders) == 0 {
		return
	}
	ask := e.mirror.Ask()
	_, ask.Seq = e.reading.next(lenders)
	for _, vm := range lenders {
		peers.Send(vm, ask)
	}
}

// answerReader answers a process that this one reads the store for.
func (e *Edge) answerReader(peers *peer.Manager, to version.VMID, ask wire.StateAsk) {
	if tell, known := e.mirror.Tell(ask); known {
		peers.Send(to, tell)
	}
}

func (e *Edge) takeState(from version.VMID, tell wire.StateTell) {
	if asked, newest := e.reading.when(tell.Seq); newest && e.mirror.Take(from, tell, asked) {
		e.reading.served()
	}
}
