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
	// stateRequestInterval is the time between two state requests to a reader. It adds to
	// the time until a change is applied.
	stateRequestInterval = 300 * time.Millisecond
	// stateRequestTimeout is the time without a usable response after which requests go to
	// another reader.
	stateRequestTimeout = 450 * time.Millisecond
)

// stateRequests tracks the state requests of this process to its readers, the processes that
// read the store for it. It is safe for concurrent use.
type stateRequests struct {
	mu sync.Mutex
	// seq is the number of the newest request, sentAt when it was sent.
	seq    uint64
	sentAt time.Time
	// lastResponseAt is when the latest usable response was received.
	lastResponseAt time.Time
	// readerIndex is the index of the current reader, modulo the number of readers.
	readerIndex int
}

// next returns the reader for the next request and that request's number. readers must not be
// empty.
func (r *stateRequests) next(readers []version.VMID) (version.VMID, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Boot()
	if now.Sub(r.lastResponseAt) > stateRequestTimeout {
		r.readerIndex++
	}
	r.seq++
	r.sentAt = now
	return readers[r.readerIndex%len(readers)], r.seq
}

// sendTime returns when the newest request was sent, and whether seq is its number.
func (r *stateRequests) sendTime(seq uint64) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sentAt, seq == r.seq
}

// recordResponse records a usable response. Without any for stateRequestTimeout, next moves on
// to another reader.
func (r *stateRequests) recordResponse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastResponseAt = clock.Boot()
}

// requestState requests the state of the store every stateRequestInterval until ctx ends:
// from a reader if this process has readers, else from all processes that read the store for
// themselves, while the store does not answer this process or it has just started.
func (d *Daemon) requestState(ctx context.Context) error {
	for {
		if err := wait.Sleep(ctx, stateRequestInterval); err != nil {
			return err
		}
		peers, readers := d.peers.Load(), d.placing.Readers()
		switch {
		case peers == nil:
		case len(readers) > 0:
			request := d.mirror.StateRequest()
			var reader version.VMID
			reader, request.Seq = d.stateRequests.next(readers)
			// Without a link no response comes, and after stateRequestTimeout the request
			// goes to another reader.
			peers.Send(reader, request)
		case d.mirror.StoreUnreachable(), d.mirror.NeedsPeers():
			d.requestStateFromSources(peers)
		}
	}
}

// requestStateFromSources requests the state of the store from all processes that read it for
// themselves. It serves a process that the store does not answer while it answers others, and one
// that has just started while the store may lack what others know.
func (d *Daemon) requestStateFromSources(peers *peer.Manager) {
	sources := d.placing.Lenders()
	if len(sources) == 0 {
		return
	}
	request := d.mirror.StateRequest()
	_, request.Seq = d.stateRequests.next(sources)
	for _, vm := range sources {
		peers.Send(vm, request)
	}
}

// answerStateRequest sends the state of the store to a process that requested it, if this
// process has read it recently.
func (d *Daemon) answerStateRequest(peers *peer.Manager, to version.VMID, request wire.StateRequest) {
	if response, ok := d.mirror.AnswerStateRequest(request); ok {
		peers.Send(to, response)
	}
}

// receiveState applies the response to the newest state request; older responses are ignored.
func (d *Daemon) receiveState(from version.VMID, response wire.StateResponse) {
	if sentAt, newest := d.stateRequests.sendTime(response.Seq); newest && d.mirror.ApplyStateResponse(from, response, sentAt) {
		d.stateRequests.recordResponse()
	}
}
