package calls

import (
	"net/http"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/request/relay"
	"github.com/trefoilwell/trefoilwell/lab/engine"
)

// Guards against streams whose first event never ends, which are held until the caller gives up: each
// is broken off, and its caller is served by another engine.
func TestEndlessStreamsAreServedElsewhere(t *testing.T) {
	faulty := engine.New(engine.Options{FirstToken: time.Millisecond, ColdLimit: 100})
	faulty.SetFaults(engine.Faults{Endless: 1 << 20})
	sound := engine.New(engine.Options{FirstToken: time.Millisecond, ColdLimit: 100})
	r := newRouter(t, routerOptions{engines: []http.Handler{faulty, sound}, relay: relay.Options{MaxAnswerBytes: 2 << 20}})
	const (
		chats = 5
		// maxWait is far below the time after which a stream without progress is given up.
		maxWait = 5 * time.Second
	)
	for n := range chats {
		r.fleet.mu.Lock()
		r.fleet.nextUpstream = 0
		r.fleet.mu.Unlock()
		begin := time.Now()
		if got := r.chat(t, chatBody(true, n)); got.status != http.StatusOK || got.err != nil || time.Since(begin) > maxWait {
			t.Errorf("chat %d: status %d, error %v, after %v", n, got.status, got.err, time.Since(begin))
		}
	}
	if sound.Counters().Served < chats {
		t.Errorf("the sound engine served %d of %d chats", sound.Counters().Served, chats)
	}
}
