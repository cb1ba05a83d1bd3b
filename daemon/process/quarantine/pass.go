package quarantine

import (
	"context"
	"net/http"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/request/relay"
	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	"github.com/trefoilwell/trefoilwell/fleet/process/quarantine"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// pass is a request in progress. It implements serve.Pass.
type pass struct {
	quarantine *Quarantine
	segments   []request.PromptSegment
	ctx        context.Context
	cancel     context.CancelCauseFunc

	// The following fields are protected by Quarantine.mu.

	// begun is set once an event of the answer has arrived.
	begun bool
	// trial is set if the request is sent although tried is held, and sent once an upstream may
	// have executed it.
	trial bool
	tried uint64
	sent  bool
}

// Admit implements serve.Guard.
func (q *Quarantine) Admit(ctx context.Context, segments []request.PromptSegment) (serve.Pass, *request.Refusal) {
	p := &pass{quarantine: q, segments: segments}
	q.mu.Lock()
	defer q.mu.Unlock()
	decision := q.tracker.Admit(time.Now(), segments)
	if decision.Held != nil {
		q.refused++
		return nil, refusal(decision.Held)
	}
	if decision.Trial {
		p.trial, p.tried = true, decision.Tried
		q.options.Log.Info("held prompt segment is tried", "segment", SegmentName(decision.Tried))
	}
	p.ctx, p.cancel = context.WithCancelCause(ctx)
	q.passes[p] = struct{}{}
	return p, nil
}

// endIfHeld ends a request with a segment that is held now, unless it is a trial or its answer
// has begun, which a deadly segment does not let it. Quarantine.mu must be held.
func (p *pass) endIfHeld(now time.Time) {
	if p.trial || p.begun || p.ctx.Err() != nil {
		return
	}
	if hold := p.quarantine.tracker.HeldIn(now, p.segments); hold != nil {
		p.quarantine.refused++
		p.cancel(refusal(hold))
	}
}

// Context implements serve.Pass.
func (p *pass) Context() context.Context { return p.ctx }

// Begin implements serve.Pass.
func (p *pass) Begin() {
	p.quarantine.mu.Lock()
	defer p.quarantine.mu.Unlock()
	p.begun = true
}

// MayRepeat implements serve.Pass. A trial is not repeated.
func (p *pass) MayRepeat(sentAt time.Time) bool {
	p.quarantine.mu.Lock()
	defer p.quarantine.mu.Unlock()
	return !p.trial && p.quarantine.tracker.MayRepeat(p.segments, sentAt)
}

// EndAttempt implements serve.Pass.
func (p *pass) EndAttempt(upstream version.UpstreamID, result relay.Result) {
	q := p.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if result.NotExecuted {
		return
	}
	p.sent = true
	now := time.Now()
	switch {
	case isCompleteAnswer(result):
		q.tracker.RecordAnswer(now, p.segments, result.BegunAt)
		q.applyNotices(now)
		q.recordAlive(upstream, result.SentAt)
	case !result.DisconnectedAt.IsZero():
		attempt := quarantine.Attempt{Segments: p.segments, SentAt: result.SentAt, BegunAt: result.BegunAt}
		q.recordDisconnect(now, upstream, result.DisconnectedAt, attempt)
		if result.UpstreamDown {
			q.confirmCrash(now, upstream)
		}
	}
}

// isCompleteAnswer reports whether an attempt gave a complete answer to its prompt.
func isCompleteAnswer(result relay.Result) bool {
	complete := result.Delivery == relay.DeliveryComplete || result.Delivery == relay.DeliveryBuffered
	return complete && result.Status < http.StatusMultipleChoices && !result.BegunAt.IsZero()
}

// Close implements serve.Pass.
func (p *pass) Close() {
	q := p.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.passes, p)
	if p.trial && !p.sent {
		q.tracker.EndTrial(time.Now(), p.tried)
	}
	p.cancel(nil)
}
