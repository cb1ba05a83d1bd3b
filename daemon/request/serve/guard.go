package serve

import (
	"context"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/request/relay"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Guard keeps requests that crash upstreams away from them.
type Guard interface {
	// Admit admits a request by the segments of its prompt, of which it may have none, or refuses
	// it. The pass of an admitted request must be closed. ctx is the context of the request.
	Admit(ctx context.Context, segments []request.PromptSegment) (Pass, *request.Refusal)
}

// Pass is a request that was admitted by a Guard.
type Pass interface {
	// Context is the context of the request. It is cancelled with the refusal as its cause if
	// the request is refused after all, before an answer has begun.
	Context() context.Context
	// Identify admits the request, whose body has been read by now, by its fingerprint, or
	// refuses it.
	Identify(fingerprint uint64) *request.Refusal
	// Begin records that an event of the answer has arrived.
	Begin()
	// EndAttempt records the outcome of an attempt.
	EndAttempt(upstream version.UpstreamID, result relay.Result)
	// MayRepeat reports whether the request may be sent to another upstream after an attempt
	// that was sent at sentAt.
	MayRepeat(sentAt time.Time) bool
	Close()
}

// refusalOf returns the refusal with which a pass was cancelled, or nil.
func refusalOf(pass Pass) *request.Refusal {
	refusal, _ := context.Cause(pass.Context()).(*request.Refusal)
	return refusal
}

// openPass is the pass of a request that no Guard judges.
type openPass struct{ ctx context.Context }

// Context implements Pass.
func (p openPass) Context() context.Context { return p.ctx }

// Identify implements Pass.
func (openPass) Identify(uint64) *request.Refusal { return nil }

// Begin implements Pass.
func (openPass) Begin() {}

// EndAttempt implements Pass.
func (openPass) EndAttempt(version.UpstreamID, relay.Result) {}

// MayRepeat implements Pass.
func (openPass) MayRepeat(time.Time) bool { return true }

// Close implements Pass.
func (openPass) Close() {}

// openGuard admits every request.
type openGuard struct{}

// Admit implements Guard.
func (openGuard) Admit(ctx context.Context, _ []request.PromptSegment) (Pass, *request.Refusal) {
	return openPass{ctx}, nil
}
