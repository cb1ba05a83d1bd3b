// Package relay sends one attempt to an upstream and relays the answer to the
// caller as it streams.
//
// An answer reaches the caller whole or not as a success at all: one that is
// cut is resumed if the engine can, and otherwise ends visibly broken.
package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

var (
	// ErrCrossed is an answer that belongs to another attempt.
	ErrCrossed = errors.New("answer of another attempt")
	// ErrCut is an answer that ended before it was whole.
	ErrCut = errors.New("answer was cut")
	// ErrStalled is an upstream that sent nothing for too long.
	ErrStalled = errors.New("answer stalled")
	// ErrLate is an upstream that did not answer by the request's deadline.
	ErrLate = errors.New("no answer by the deadline")
	// ErrCallerGone is a caller that went away or reads too slowly.
	ErrCallerGone = errors.New("caller is gone")
	// ErrPermitOver is a permit that ended before the attempt was sent.
	ErrPermitOver = errors.New("permit ended before sending")
	// ErrWithdrawn is an upstream that was taken out before the attempt was sent.
	ErrWithdrawn = errors.New("upstream was taken out before sending")
	// ErrUnconfigured is a grant for an upstream that is no longer configured.
	ErrUnconfigured = errors.New("upstream is not configured")
)

// Accounting is told what an attempt used.
type Accounting interface {
	Config() *version.Config
	// Charge counts service of a request as it streams.
	Charge(id request.ID, account version.AccountID, cost request.Cost)
	// End frees the attempt's slot.
	End(finish request.Finish)
}

// Options set up a Relay.
type Options struct {
	Accounting Accounting
	Transport  http.RoundTripper
	// Scheme is how upstreams are reached, "http" or "https"; default "http".
	Scheme string
	// StallTimeout is how long an upstream may send nothing within an answer;
	// default 30 s.
	StallTimeout time.Duration
	// SlowReader is how long a caller may take to accept a piece of the
	// answer; default 30 s.
	SlowReader time.Duration
	// Dialect is how upstreams are spoken to; default upstream.Native.
	Dialect upstream.Dialect
	// General is set for upstreams that are sent requests of any form. They
	// take the caller's Host, may answer without a length, end a stream with
	// the answer's body, and serve nothing beside the request itself: another
	// upstream continues a stream, and closing the connection cancels it.
	General bool
	// Begun is told when an answer begins, with the load that it tells or nil;
	// default nothing. It must not block.
	Begun func(grant request.Grant, load *request.Load)
	// Advised is told what an answer says of its upstream's wishes, with the caller's
	// identifier of the request; default nothing. It must not block.
	Advised func(at version.UpstreamID, requestID string, advice request.Advice)
	// Declines reports whether an upstream has said that it wants nothing now; default
	// never. It must not block.
	Declines func(id version.UpstreamID) bool
}

const (
	defaultStallTimeout = 30 * time.Second
	defaultSlowReader   = 30 * time.Second
)

// Relay carries attempts. It is safe for concurrent use.
type Relay struct {
	options Options
}

// New returns a relay.
func New(options Options) *Relay {
	if options.Scheme == "" {
		options.Scheme = "http"
	}
	if options.StallTimeout == 0 {
		options.StallTimeout = defaultStallTimeout
	}
	if options.SlowReader == 0 {
		options.SlowReader = defaultSlowReader
	}
	if options.Dialect == nil {
		options.Dialect = upstream.Native{}
	}
	if options.Begun == nil {
		options.Begun = func(request.Grant, *request.Load) {}
	}
	if options.Advised == nil {
		options.Advised = func(version.UpstreamID, string, request.Advice) {}
	}
	if options.Declines == nil {
		options.Declines = func(version.UpstreamID) bool { return false }
	}
	return &Relay{options: options}
}

// Call is one granted attempt.
type Call struct {
	Grant   request.Grant
	Account version.AccountID
	Kind    version.PoolKind
	// Request is the caller's request; its body has been read into Body.
	Request *http.Request
	Body    []byte
	// Out is what the upstream is told beside the caller's request. Its ID
	// identifies the attempt. Instance and Left are filled in when it is sent.
	Out request.Outgoing
	// AnswerBy is when the answer must have begun.
	AnswerBy time.Time
	// EndBy is when the answer must have ended; zero sets no bound.
	EndBy time.Time
	// Rest continues a stream that broke off at another upstream; nil begins
	// an answer.
	Rest *Rest
	// Stream is set if the caller asked for a stream of events. Its first one
	// must come within the stall timeout.
	Stream bool
	// Permit must not have ended when the attempt is sent; nil needs none.
	Permit *claim.Permit
	// Wanted is asked before the attempt's first byte is sent; nil sends it always.
	Wanted func() bool
	// Record keeps the answer for the ledger and lets the attempt run to its
	// end after the caller went away.
	Record bool
}

// Ending tells what has become of the caller's answer.
type Ending uint8

const (
	// EndRefused is an attempt of which nothing was written; Result.Refusal
	// says why.
	EndRefused Ending = iota
	// EndHeld is a whole answer that is not written yet: Result.Held.
	EndHeld
	// EndRelayed is a whole answer that was written.
	EndRelayed
	// EndBroken is an answer of which a part was written. The caller's
	// connection must be aborted.
	EndBroken
	// EndGone is a caller that went away.
	EndGone
)

// Result tells how an attempt ended. Each Result must be given to Settle, once.
type Result struct {
	Ending  Ending
	Refusal *request.Refusal
	Held    *Held
	// NotRun promises that the attempt did not run.
	NotRun bool
	// Retry is set if nothing was written and another attempt may fare better.
	Retry bool
	// Answer is the whole answer, for Call.Record.
	Answer *claim.Answer
	// Rest is what another upstream needs to continue the stream, with
	// EndBroken; nil if nothing can.
	Rest *Rest
	// Err says why the attempt failed; nil if it did not.
	Err error
	// Begun is the time until the answer began; 0 if it did not.
	Begun time.Duration

	finish request.Finish
	// cancel is the attempt to cancel at its upstream.
	cancel *attempt
}

// Rest is a stream of which a part was relayed.
type Rest struct {
	out *callerWriter
	// LastEvent is the identifier of the last event that was relayed.
	LastEvent string
}

// attempt is one attempt on its way.
type attempt struct {
	relay   *Relay
	call    Call
	target  *version.Upstream
	out     *callerWriter
	meter   *meter
	started time.Time
	first   time.Duration
	// began is when the answer's header came.
	began time.Duration
}

// Do runs the attempt until its answer ends.
func (r *Relay) Do(w http.ResponseWriter, call Call) Result {
	a := &attempt{relay: r, call: call, started: time.Now()}
	a.out = newCallerWriter(w, call, r.options.SlowReader)
	if call.Rest != nil {
		a.out = call.Rest.out
	}
	a.meter = newMeter(r.options.Accounting, call)
	target, known := r.options.Accounting.Config().Upstreams[call.Grant.Upstream]
	if !known {
		return a.unsent(ErrUnconfigured, request.OutcomeUnused)
	}
	a.target = target
	a.call.Out.Instance = target.Instance
	result := a.run()
	result.finish = a.finish(result.finish.Outcome)
	result.Begun = a.began
	return result
}

// Settle cancels what may still run of an attempt, reports its end and frees
// its slot.
func (r *Relay) Settle(result Result) {
	if result.cancel != nil {
		result.cancel.cancelUpstream()
	}
	r.options.Accounting.End(result.finish)
}

// Unused is the Result of a grant that is handed back.
func (r *Relay) Unused(grant request.Grant) Result {
	return Result{NotRun: true, finish: grant.Unused()}
}

// finish describes the attempt's end for its dispatcher.
func (a *attempt) finish(outcome request.Outcome) request.Finish {
	return request.Finish{
		ID:         a.call.Grant.ID,
		Attempt:    a.call.Grant.Attempt,
		Pool:       a.call.Grant.Pool,
		Upstream:   a.call.Grant.Upstream,
		Outcome:    outcome,
		Cost:       a.meter.total,
		FirstToken: a.first,
	}
}

// run sends the attempt and relays its answer.
func (a *attempt) run() Result {
	ctx, timer := a.firstContext()
	defer timer.stop()
	probe := &upstream.Probe{Check: a.mayStillBeSent}
	out, err := a.newRequest(probe.Context(ctx))
	if err != nil {
		return a.unsent(err, request.OutcomeUnused)
	}
	if a.call.Permit != nil && !time.Now().Before(a.call.Permit.Deadline) {
		return a.unsent(ErrPermitOver, request.OutcomeUnused)
	}
	response, err := a.relay.options.Transport.RoundTrip(out)
	if err != nil {
		sent := probe.Seal()
		err = a.cause(ctx, err)
		if !sent {
			return a.unsent(err, request.OutcomeUnreachable)
		}
		return a.failed(err)
	}
	defer response.Body.Close()
	return a.answer(response, timer)
}

// mayStillBeSent reports why an attempt that was granted must not be sent any more. A
// connection may take seconds, and in a process that is behind so may anything else.
func (a *attempt) mayStillBeSent() error {
	if a.call.Wanted != nil && !a.call.Wanted() {
		return ErrCallerGone
	}
	config := a.relay.options.Accounting.Config()
	target, known := config.Upstreams[a.call.Grant.Upstream]
	if !known || target.Draining || config.UpstreamOut(target) {
		return ErrWithdrawn
	}
	if a.relay.options.Declines(a.call.Grant.Upstream) {
		return ErrWithdrawn
	}
	return nil
}

// answer relays the answer according to its form.
func (a *attempt) answer(response *http.Response, timer *stallTimer) Result {
	dialect := a.relay.options.Dialect
	if !dialect.Echoes(response.Header, a.call.Out) {
		return a.failed(ErrCrossed)
	}
	if response.StatusCode < http.StatusOK {
		return a.failed(errors.Wrapf(ErrCut, "final status %d", response.StatusCode))
	}
	advice := dialect.Advice(response.StatusCode, response.Header)
	if !advice.None() {
		a.relay.options.Advised(a.call.Grant.Upstream, a.call.Out.ID, advice)
	}
	if dialect.NotRun(response.StatusCode, response.Header) {
		return a.refusedByUpstream(advice)
	}
	a.begun(response)
	switch {
	case a.call.Kind == version.PoolModel && isEventStream(response):
		return a.stream(response, timer)
	case a.call.Rest != nil:
		return a.failed(errors.Wrapf(ErrCut, "stream was continued with status %d", response.StatusCode))
	}
	return a.whole(response, timer)
}

// begun tells that the answer has begun.
func (a *attempt) begun(response *http.Response) {
	a.began = time.Since(a.started)
	if load, told := a.relay.options.Dialect.Load(response.Header); told {
		a.relay.options.Begun(a.call.Grant, &load)
		return
	}
	a.relay.options.Begun(a.call.Grant, nil)
}

// context returns the context of one of the attempt's calls, which ends with
// cause if the upstream sends nothing within limit. An attempt that is
// recorded outlives its caller.
func (a *attempt) context(limit time.Duration, cause error) (context.Context, *stallTimer) {
	parent := a.call.Request.Context()
	if a.call.Record {
		parent = context.WithoutCancel(parent)
	}
	return newStallTimer(parent, limit, cause, a.call.EndBy)
}

// firstContext bounds the wait for the beginning of the answer. An attempt that
// is recorded has no successor, so it may take its time.
func (a *attempt) firstContext() (context.Context, *stallTimer) {
	limit := time.Until(a.call.AnswerBy)
	if a.call.Stream && !a.call.Record && limit > a.relay.options.StallTimeout {
		return a.context(a.relay.options.StallTimeout, ErrStalled)
	}
	return a.context(limit, ErrLate)
}

// cause turns an error of the transport into one of this package.
func (a *attempt) cause(ctx context.Context, err error) error {
	if errors.Is(err, ErrCallerGone) || !a.call.Record && a.call.Request.Context().Err() != nil {
		return ErrCallerGone
	}
	if errors.Is(err, ErrWithdrawn) {
		return ErrWithdrawn
	}
	if cause := context.Cause(ctx); errors.IsAny(cause, ErrLate, ErrStalled) {
		return cause
	}
	return errors.Mark(errors.Wrap(err, "upstream"), ErrCut)
}
