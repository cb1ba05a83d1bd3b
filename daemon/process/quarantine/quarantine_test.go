package quarantine

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/request/relay"
	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	core "github.com/trefoilwell/trefoilwell/fleet/process/quarantine"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const deadly = 0xdead

// environment is a Quarantine with upstreams 1 to 9, whose connections have a given outcome.
type environment struct {
	*Quarantine
	t      *testing.T
	config *version.Config
	// dialError is the error of connections to upstreams; nil accepts them.
	dialError error
	// dials counts the connections.
	dials int
}

func newEnvironment(t *testing.T, dialError error) *environment {
	env := &environment{t: t, dialError: dialError}
	env.config = &version.Config{Upstreams: make(map[version.UpstreamID]*version.Upstream)}
	for id := version.UpstreamID(1); id < 10; id++ {
		env.config.Upstreams[id] = &version.Upstream{ID: id, Name: "i-" + string(rune('0'+id)), Address: "upstream"}
	}
	env.Quarantine = New(Options{
		VM: "vm-1", Config: func() *version.Config { return env.config }, Log: slog.New(slog.DiscardHandler),
		Dial: func(context.Context, string, string) (net.Conn, error) {
			env.dials++
			if env.dialError != nil {
				return nil, env.dialError
			}
			conn, other := net.Pipe()
			return conn, other.Close()
		},
	})
	return env
}

func segments(ids ...uint64) []request.PromptSegment {
	var list []request.PromptSegment
	for _, id := range append(ids, 1<<40) {
		list = append(list, request.PromptSegment{ID: id})
	}
	return list
}

// admit admits a request.
func (env *environment) admit(ids ...uint64) serve.Pass {
	env.t.Helper()
	p, refusal := env.Admit(env.t.Context(), segments(ids...))
	if refusal != nil {
		env.t.Fatalf("refused: %v", refusal)
	}
	env.t.Cleanup(p.Close)
	return p
}

// disconnect ends an attempt without an answer, by the upstream, and makes the check.
func (env *environment) disconnect(p serve.Pass, upstream version.UpstreamID) {
	p.EndAttempt(upstream, relay.Result{SentAt: time.Now().Add(-time.Second), DisconnectedAt: time.Now()})
	env.runChecks()
}

func (env *environment) runChecks() {
	for {
		select {
		case id := <-env.checks:
			env.check(env.t.Context(), id)
		default:
			return
		}
	}
}

// refused is the error of a connection to an upstream that is down.
var refused = &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}

// Guards against blaming a prompt for an upstream that has not crashed: one connection broke
// off, and the upstream accepts the next one, or it cannot be told.
func TestOnlyAnUpstreamThatRefusesConnectionsHasCrashed(t *testing.T) {
	for name, c := range map[string]struct {
		dialError error
		crashes   uint64
	}{
		"accepts connections": {nil, 0},
		"does not answer":     {context.DeadlineExceeded, 0},
		"refuses connections": {refused, 1},
	} {
		env := newEnvironment(t, c.dialError)
		env.disconnect(env.admit(1, deadly), 1)
		if got := env.Stats().Crashes; got != c.crashes || env.dials != 1 {
			t.Errorf("%s: %d crashes after %d checks, want %d after 1", name, got, env.dials, c.crashes)
		}
	}
}

// Guards against taking the crashes of an upstream that is back at once, under the identifier that
// it had, for one crash: an attempt on a connection that was opened since is one of another crash.
func TestUpstreamThatIsBackAtOnceIsCheckedAgain(t *testing.T) {
	env := newEnvironment(t, refused)
	p := env.admit(1, deadly)
	for range 2 {
		now := time.Now()
		p.EndAttempt(1, relay.Result{SentAt: now, ConnectedAt: now, DisconnectedAt: now})
		env.runChecks()
		p.EndAttempt(1, relay.Result{SentAt: now, ConnectedAt: now, DisconnectedAt: time.Now()})
		env.runChecks()
	}
	if got := env.Stats().Crashes; got != 2 || env.dials != 2 {
		t.Errorf("%d crashes after %d checks, want 2 after 2", got, env.dials)
	}
}

// Guards against an upstream that restarts faster than it is checked: its next incarnation
// shows that it has crashed, unless it has answered a later request.
func TestUpstreamThatIsReplacedHasCrashed(t *testing.T) {
	for name, answersLater := range map[string]bool{"at once": false, "after it answered": true} {
		env := newEnvironment(t, nil)
		p := env.admit(1, deadly)
		env.disconnect(p, 1)
		if answersLater {
			now := time.Now().Add(time.Second)
			p.EndAttempt(1, relay.Result{Delivery: relay.DeliveryComplete, Status: http.StatusOK, SentAt: now, BegunAt: now})
		}
		delete(env.config.Upstreams, 1)
		env.Configured(env.config)
		want := uint64(1)
		if answersLater {
			want = 0
		}
		if got := env.Stats().Crashes; got != want {
			t.Errorf("%s: %d crashes, want %d", name, got, want)
		}
	}
}

// Guards against blaming prompts that were in flight at an upstream that was shut down.
func TestDrainingUpstreamDoesNotCrash(t *testing.T) {
	env := newEnvironment(t, refused)
	env.config.Upstreams[1].Draining = true
	env.disconnect(env.admit(1, deadly), 1)
	if got := env.Stats(); got.Crashes != 0 || got.Suspects != 0 {
		t.Errorf("counters are %+v, want no crash", got)
	}
}

// Guards against outcomes that say nothing of the upstream's health being taken for crashes, and
// against failures being taken for answers.
func TestOtherOutcomesAreNoEvidence(t *testing.T) {
	env := newEnvironment(t, refused)
	p := env.admit(1, deadly)
	now := time.Now()
	for _, result := range []relay.Result{
		{NotExecuted: true, SentAt: now, Err: relay.ErrWithdrawn},
		{Delivery: relay.DeliveryBuffered, Status: http.StatusInternalServerError, SentAt: now, BegunAt: now},
		{Delivery: relay.DeliveryNone, SentAt: now, Err: relay.ErrDeadlinePassed},
		{Delivery: relay.DeliveryCallerGone, SentAt: now, Err: relay.ErrCallerGone},
	} {
		p.EndAttempt(1, result)
	}
	env.runChecks()
	if got := env.Stats(); got.Crashes != 0 || got.Suspects != 0 || env.dials != 0 {
		t.Errorf("counters are %+v after %d checks, want neither", got, env.dials)
	}
}

// hold makes the quarantine hold the deadly segment.
func (env *environment) hold() {
	env.t.Helper()
	now := time.Now()
	for n := range 3 {
		at := now.Add(time.Duration(n) * time.Second)
		attempt := core.Attempt{Content: request.Content{Segments: segments(1, deadly)}, SentAt: at.Add(-100 * time.Millisecond)}
		env.tracker.RecordCrash(at, version.UpstreamID(n+1), 1, at, []core.Attempt{attempt})
		for range 5 {
			env.tracker.RecordAnswer(at, request.Content{Segments: segments(1, 7)}, at.Add(50*time.Millisecond))
		}
	}
	env.tracker.Tick(now.Add(3 * time.Second))
	env.tracker.Tick(now.Add(4 * time.Second))
	env.mu.Lock()
	env.applyNotices(time.Now())
	env.mu.Unlock()
	if held := env.Held(); len(held) != 1 || held[0].Segment != "dead" || len(held[0].Upstreams) != 3 {
		env.t.Fatalf("held segments are %+v, want the deadly one", held)
	}
}

// Guards against requests that were sent or wait when a segment becomes known: they end with
// the refusal, while those whose answer has begun, and sound ones, go on.
func TestRequestsInProgressEndWhenTheirSegmentIsHeld(t *testing.T) {
	env := newEnvironment(t, refused)
	waiting, begun, sound := env.admit(1, deadly), env.admit(1, deadly), env.admit(1, 7)
	begun.Begin()
	env.hold()
	var refusal *request.Refusal
	if !errors.As(context.Cause(waiting.Context()), &refusal) || refusal.Reason != request.ReasonPromptHeld {
		t.Errorf("the request ends with %v, want the refusal", context.Cause(waiting.Context()))
	}
	if begun.Context().Err() != nil || sound.Context().Err() != nil {
		t.Error("an answer that has begun or a sound request was ended")
	}
	if _, refusal := env.Admit(t.Context(), segments(1, deadly)); refusal == nil || refusal.Execution != request.NotExecuted {
		t.Errorf("the next request gets %+v, want a refusal", refusal)
	}
	if got := env.Stats(); got.Held != 1 || got.Refused != 2 {
		t.Errorf("counters are %+v, want 1 held and 2 refused", got)
	}
}

// Guards against a hold that an operator cannot lift.
func TestOperatorReleasesASegment(t *testing.T) {
	env := newEnvironment(t, refused)
	env.hold()
	if env.Release(7) {
		t.Error("a segment is released that is not held")
	}
	if !env.Release(deadly) || len(env.Held()) != 0 {
		t.Error("the segment is still held")
	}
	env.admit(1, deadly)
}
