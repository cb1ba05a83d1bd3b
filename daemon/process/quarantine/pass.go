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
	ctx        context.Context
	cancel     context.CancelCauseFunc

	// The following fields are protected by Quarantine.mu.

	content request.Content

	// begun is set once an event of the answer has arrived.
	begun bool
	// trial is set if the request is sent although tried is held, and sent once an upstream may
	// have executed it.
	trial bool
	tried quarantine.Subject
	sent  bool
}

// Admit implements serve.Guard.
func (q *Quarantine) Admit(ctx context.Context, segments []request.PromptSegment) (serve.Pass, *request.Refusal) {
	p := &pass{quarantine: q, content: request.Content{Segments: segments}}
	q.mu.Lock()
	defer q.mu.Unlock()
	if refusal := p.admit(p.content); refusal != nil {
		return nil, refusal
	}
	p.ctx, p.cancel = context.WithCancelCause(ctx)
	q.passes[p] = struct{}{}
	return p, nil
}

// Judge returns the refusal that a request with these segments would get, or nil, without recording
// anything. trial is set if the request would be sent although a segment is held, to find out whether
// that is sound again.
func (q *Quarantine) Judge(segments []request.PromptSegment) (held *request.Refusal, trial bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	hold, trial := q.tracker.Judge(time.Now(), request.Content{Segments: segments})
	if hold == nil || trial {
		return nil, trial
	}
	return refusal(hold), false
}

// Identify implements serve.Pass.
func (p *pass) Identify(fingerprint uint64) *request.Refusal {
	p.quarantine.mu.Lock()
	defer p.quarantine.mu.Unlock()
	p.content.Fingerprint = fingerprint
	if p.trial {
		// The trial of a segment tells nothing if the request itself is held.
		return p.refusalIfHeld(request.Content{Fingerprint: fingerprint})
	}
	return p.admit(p.content)
}

// admit asks the tracker whether the request may be sent. Quarantine.mu must be held.
func (p *pass) admit(content request.Content) *request.Refusal {
	q := p.quarantine
	decision := q.tracker.Admit(time.Now(), content)
	if decision.Held != nil {
		q.refused++
		return refusal(decision.Held)
	}
	if decision.Trial {
		p.trial, p.tried = true, decision.Tried
		q.options.Log.Info(logText(decision.Tried, "held prompt segment is tried", "held request is tried"), subjectAttribute(decision.Tried))
	}
	return nil
}

// refusalIfHeld returns the refusal of a request that is held, or nil. Quarantine.mu must be held.
func (p *pass) refusalIfHeld(content request.Content) *request.Refusal {
	hold := p.quarantine.tracker.HeldIn(time.Now(), content)
	if hold == nil {
		return nil
	}
	p.quarantine.refused++
	return refusal(hold)
}

// endIfHeld ends a request that is held now, unless it is a trial or its answer has begun, which
// what is deadly does not let it. Quarantine.mu must be held.
func (p *pass) endIfHeld() {
	if p.trial || p.begun || p.ctx.Err() != nil {
		return
	}
	if refusal := p.refusalIfHeld(p.content); refusal != nil {
		p.cancel(refusal)
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
	return !p.trial && p.quarantine.tracker.MayRepeat(p.content, sentAt)
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
		q.tracker.RecordAnswer(now, answeredContent(result, p.content), result.BegunAt)
		q.applyNotices(now)
		q.recordAlive(upstream, result.SentAt)
	case !result.DisconnectedAt.IsZero():
		attempt := quarantine.Attempt{Content: p.content, SentAt: result.SentAt, BegunAt: result.BegunAt, ConnectedAt: result.ConnectedAt}
		q.recordDisconnect(now, upstream, result.DisconnectedAt, attempt)
		if result.UpstreamDown {
			q.confirmCrash(now, upstream)
		}
	}
}

// isCompleteAnswer reports whether an attempt gave a complete answer that is no failure of the
// upstream.
func isCompleteAnswer(result relay.Result) bool {
	complete := result.Delivery == relay.DeliveryComplete || result.Delivery == relay.DeliveryBuffered
	return complete && result.Status < http.StatusInternalServerError && !result.BegunAt.IsZero()
}

// answeredContent returns what a complete answer clears. An upstream that rejects a request has
// not read its prompt.
func answeredContent(result relay.Result, content request.Content) request.Content {
	if result.Status >= http.StatusMultipleChoices {
		content.Segments = nil
	}
	return content
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
