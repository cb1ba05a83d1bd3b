package serve

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// stoppingBody is a body that sends some bytes and then waits until its reading is aborted.
type stoppingBody struct {
	first   []byte
	aborted chan struct{}
}

func (b *stoppingBody) Read(p []byte) (int, error) {
	if len(b.first) > 0 {
		n := copy(p, b.first)
		b.first = b.first[n:]
		return n, nil
	}
	<-b.aborted
	return 0, errors.New("deadline")
}

// writer is a response writer that calls onDeadline when the reading of the body is to end.
type writer struct {
	*httptest.ResponseRecorder
	onDeadline func()
}

// SetReadDeadline is called through an http.ResponseController.
func (w writer) SetReadDeadline(time.Time) error {
	w.onDeadline()
	return nil
}

// enter begins a request.
func enter(l *requestLimiter, account version.AccountID) (*reservation, *request.Refusal) {
	r := &reservation{}
	return r, l.enter(account, r)
}

// startStopping begins a request whose body stops short of its end, and returns the channel on which
// the error of its reading comes. It returns once the body is being read.
func startStopping(t *testing.T, l *requestLimiter, account version.AccountID, length int64) <-chan error {
	t.Helper()
	r, refusal := enter(l, account)
	if refusal != nil {
		t.Fatal(refusal)
	}
	if refusal := r.grow(length); refusal != nil {
		t.Fatal(refusal)
	}
	body := &stoppingBody{first: make([]byte, length-1), aborted: make(chan struct{})}
	ended := make(chan error, 1)
	reading := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.reading)
	}
	before := reading()
	defer func() {
		for reading() == before {
			time.Sleep(time.Millisecond)
		}
	}()
	go func() {
		_, err := r.readAll(writer{onDeadline: func() { close(body.aborted) }}, body, make([]byte, 0, length), true, length)
		r.release()
		ended <- err
	}()
	return ended
}

// Guards against bodies that stop short of their end and keep their whole reservations, so that no
// other request of the account, or of any, is served until they time out.
func TestBodiesThatDoNotMoveGiveWay(t *testing.T) {
	const bodyBytes, stopping = 1000, 4
	for _, c := range []struct {
		name    string
		account version.AccountID
		// maxRequests and maxBytes are the limits of all; each of two accounts has half.
		maxRequests int
		maxBytes    int64
	}{
		{"bytes of the account", 1, 100, 2 * stopping * bodyBytes},
		{"bytes of all", 2, 100, stopping * bodyBytes},
		{"requests of the account", 1, 2 * stopping, 100 * bodyBytes},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newRequestLimiter(c.maxRequests, c.maxBytes, 2)
			var ended []<-chan error
			for n := range stopping {
				account := version.AccountID(1)
				if c.account == 2 {
					account += version.AccountID(n % 2)
				}
				ended = append(ended, startStopping(t, l, account, bodyBytes))
			}
			time.Sleep(stillTime + 50*time.Millisecond)
			last, refusal := enter(l, c.account)
			if refusal != nil {
				t.Fatalf("the request that came last got %v", refusal)
			}
			if refusal := last.grow(bodyBytes); refusal != nil {
				t.Errorf("the body that came last got %v", refusal)
			}
			if refusal := last.beginReading(writer{onDeadline: func() {}}); refusal != nil {
				t.Errorf("the body that came last and takes time got %v", refusal)
			}
			stats := l.stats()
			if stats.Revoked == 0 || stats.BodyBytes > stats.MaxBytes || stats.Requests > stats.MaxRequests {
				t.Errorf("%+v, want some revoked and all within the limits", stats)
			}
			if refusal := last.endReading(true); refusal != nil {
				t.Errorf("the body that came last got %v at its end", refusal)
			}
			last.release()
			first := firstOf(ended)
			for range stats.Revoked {
				err := <-first
				var refusal *request.Refusal
				if !errors.As(err, &refusal) || refusal.Execution != request.NotExecuted {
					t.Errorf("a body that gave way ended with %v", err)
				}
			}
			l.mu.Lock()
			for r := range l.reading {
				l.revoke(r)
			}
			l.mu.Unlock()
			if stats := l.stats(); stats.Requests != 0 || stats.BodyBytes != 0 || l.total.reading != 0 {
				t.Errorf("%+v is held without requests", stats)
			}
		})
	}
}

// firstOf returns a channel with the first value of any of several.
func firstOf(all []<-chan error) <-chan error {
	first := make(chan error, len(all))
	for _, one := range all {
		go func() { first <- <-one }()
	}
	return first
}

// Guards against requests whose bodies are still read keeping out one that is whole: bodies barely
// begun took all requests of an account.
func TestBodiesBeingReadKeepNoWholeRequestOut(t *testing.T) {
	l := newRequestLimiter(8, 1<<20, 2)
	for range 4 {
		startStopping(t, l, 1, 1000)
	}
	if _, refusal := enter(l, 1); refusal != nil {
		t.Errorf("a whole request got %v", refusal)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for r := range l.reading {
		l.revoke(r)
	}
}

// Guards against a sender that moves, if slowly, losing its reservation to others.
func TestABodyThatMovesIsKept(t *testing.T) {
	const size = 64 << 10
	l := newRequestLimiter(8, size, 1)
	r, _ := enter(l, 1)
	reader, sender := io.Pipe()
	go func() {
		for range size / movedBytes {
			_, _ = sender.Write(make([]byte, movedBytes))
			time.Sleep(stillTime / 10)
		}
		sender.Close()
	}()
	if refusal := r.grow(size); refusal != nil {
		t.Fatal(refusal)
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for ctx.Err() == nil {
			if other, refusal := enter(l, 2); refusal == nil {
				_ = other.grow(size)
				other.release()
			}
			time.Sleep(time.Millisecond)
		}
	}()
	body, err := r.readAll(writer{onDeadline: func() { reader.Close() }}, reader, make([]byte, 0, size), true, size)
	cancel()
	if err != nil || len(body) != size {
		t.Errorf("got %d bytes, error %v", len(body), err)
	}
}

// Guards against chunked bodies that reserve the whole limit for a few bytes, and against one that is
// cut at the limit or let through beyond it.
func TestBodiesOfUnknownLengthReserveWhatTheyHold(t *testing.T) {
	const limit = 100_000
	for _, size := range []int{1, firstChunkedBytes, firstChunkedBytes + 1, limit, limit + 1} {
		l := newRequestLimiter(8, 1<<20, 1)
		r, _ := enter(l, 1)
		text := strings.Repeat("b", size)
		req := httptest.NewRequest("POST", "/", io.NopCloser(strings.NewReader(text)))
		req.ContentLength = -1
		body, refusal := r.readBody(httptest.NewRecorder(), req, limit, time.Now().Add(time.Minute))
		switch {
		case size > limit:
			if refusal == nil || refusal.Reason != request.ReasonTooLarge {
				t.Errorf("%d bytes: %v, want too-large", size, refusal)
			}
		case refusal != nil || !bytes.Equal(body, []byte(text)):
			t.Errorf("%d bytes: got %d, %v", size, len(body), refusal)
		case l.stats().BodyBytes > max(firstChunkedBytes, 2*int64(size)):
			t.Errorf("%d bytes reserve %d", size, l.stats().BodyBytes)
		}
	}
}

// Guards against an explanation that counts as a request, or foresees another refusal than a request gets.
func TestForeseenRefusalCountsNothing(t *testing.T) {
	l := newRequestLimiter(6, 1<<20, 2)
	refused := map[request.Reason]int{}
	for n := range 12 {
		id := version.AccountID(n % 3)
		if n == 11 {
			l.close()
		}
		before := l.stats()
		foreseen := l.wouldRefuse(id)
		if after := l.stats(); after != before || len(l.accounts) > 3 {
			t.Fatalf("request %d: the question changes %+v to %+v", n, before, after)
		}
		got := l.enter(id, &reservation{})
		if (got == nil) != (foreseen == nil) || got != nil && *got != *foreseen {
			t.Errorf("request %d gets %+v, foreseen was %+v", n, got, foreseen)
		}
		if got != nil {
			refused[got.Reason]++
		}
	}
	if len(refused) < 2 || refused[request.ReasonNotReady] != 1 {
		t.Errorf("refused for %v, want some for the limits and one for the end", refused)
	}
}
