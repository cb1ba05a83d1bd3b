package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// kinds are the routes that callers use, by the first part of the path.
var kinds = []string{"safe", "unsafe", "stream", "resume-stream"}

const (
	// callPause is the longest pause between two requests of a caller.
	callPause = 30 * time.Millisecond
	// callTimeout is how long a caller waits; it tells the daemons callDeadline.
	callTimeout  = 4 * time.Second
	callDeadline = 3 * time.Second
)

// call is one request of a caller, with what came of it.
type call struct {
	id   string
	kind string
	vm   int
	// life and lifeAfter are the VM's process before and after the request; they
	// differ if it was restarted meanwhile.
	life, lifeAfter int
	// key is the version that brought the API key.
	key        int
	sent, done time.Time
	// status is 0 without an answer.
	status int
	seal   string
	body   string
	// whole is set if the answer ended as it should.
	whole bool
	// leaving is set if the answer said that its upstream leaves.
	leaving bool
}

// ledger keeps all calls. It is safe for concurrent use.
type ledger struct {
	mu    sync.Mutex
	calls []call
}

func (l *ledger) add(c call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}

func (l *ledger) all() []call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]call(nil), l.calls...)
}

// callFor sends requests over kept connections until ctx ends.
func (w *world) callFor(ctx context.Context, l *ledger, caller int, random *rand.Rand) {
	client := &http.Client{
		Transport: &http.Transport{DisableCompression: true},
		Timeout:   callTimeout,
	}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		c := call{
			id:   fmt.Sprintf("c%d-%d", caller, n),
			kind: kinds[random.IntN(len(kinds))],
			vm:   random.IntN(len(w.daemons)),
			key:  w.newest(),
		}
		switch random.IntN(10) {
		case 0:
			c.key = max(c.key-1, 1)
		case 1:
			c.key = max(c.key-2-random.IntN(2), 0)
		}
		d := w.daemons[c.vm]
		c.life = d.lives()
		c.sent = time.Now()
		w.send(client, d, &c)
		c.done, c.lifeAfter = time.Now(), d.lives()
		l.add(c)
		time.Sleep(time.Duration(random.Int64N(int64(callPause))))
	}
}

func (w *world) send(client *http.Client, d *daemon, c *call) {
	// A body that cannot be had again keeps the client from sending it twice.
	body := io.NopCloser(strings.NewReader("body of " + c.id))
	request, err := http.NewRequest(http.MethodPost, "http://"+d.callers.Address()+"/"+c.kind+"/x", body)
	if err != nil {
		panic(err)
	}
	request.ContentLength = int64(len("body of " + c.id))
	request.Host = host
	request.Header.Set(platformtest.HeaderRequestID, c.id)
	request.Header.Set(platformtest.HeaderKey, keyOf(c.key))
	request.Header.Set(platformtest.HeaderDeadline, fmt.Sprint(callDeadline.Milliseconds()))
	answer, err := client.Do(request)
	if err != nil {
		return
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	c.leaving = answer.Header.Get(platformtest.HeaderLeaving) == "1"
	c.status, c.seal, c.body, c.whole = answer.StatusCode, answer.Header.Get(platformtest.HeaderReceipt), string(text), err == nil
}

// wanted is the whole answer of an upstream to a call.
func (c call) wanted() string {
	if !strings.Contains(c.kind, generalupstream.StreamPath) {
		return generalupstream.Answer(c.id)
	}
	return generalupstream.WholeStream()
}

func (c call) served() bool { return c.whole && c.status == http.StatusOK }
