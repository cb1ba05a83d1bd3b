// Package relay sends one attempt to an upstream and streams the response to the caller.
//
// A caller never receives a truncated response that looks complete. A truncated stream is
// resumed at the same engine if possible; otherwise the response ends with a visible
// failure.
package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/unread"
	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
	"github.com/trefoilwell/trefoilwell/fleet/process/answers"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

var (
	// ErrWrongAttempt is returned for a response that belongs to another attempt.
	ErrWrongAttempt = errors.New("answer of another attempt")
	// ErrTruncated is returned for a response that ended before it was complete.
	ErrTruncated = errors.New("answer was cut")
	// ErrOversized is returned for a response whose head or event is longer than its limit, or than
	// the memory for responses allows.
	ErrOversized = errors.New("answer is too large")
	// ErrStalled is returned if the upstream sent nothing for the stall timeout.
	ErrStalled = errors.New("answer stalled")
	// ErrDeadlinePassed is returned if the upstream did not respond by the request's deadline.
	ErrDeadlinePassed = errors.New("no answer by the deadline")
	// ErrCallerGone is returned if the caller disconnected or reads too slowly.
	ErrCallerGone = errors.New("caller is gone")
	// ErrPermitExpired is returned if the claim's permit expired before the attempt was
	// sent.
	ErrPermitExpired = errors.New("claim permit expired before the attempt was sent")
	// ErrWithdrawn is returned if the upstream left service, or asked for no requests,
	// before the attempt was sent.
	ErrWithdrawn = errors.New("upstream was withdrawn before the attempt was sent")
	// ErrUntrusted is returned if the upstream may have started again with another software version
	// than the attempt needs.
	ErrUntrusted = errors.New("upstream may have started again with another software version")
	// ErrStopping is returned if this process stops before the response could end.
	ErrStopping = errors.New("this router stops before the answer could end")
	// ErrAborted is returned for an attempt whose Call.Context was cancelled with a refusal.
	ErrAborted = errors.New("request was refused while its attempt was in progress")
	// ErrUnconfigured is returned if the grant's upstream is no longer configured.
	ErrUnconfigured = errors.New("upstream is not configured")
)

// Accounting provides the configuration and records what attempts use.
type Accounting interface {
	Config() *version.Config
	// Charge adds cost, in generated tokens, to the account while a request streams.
	Charge(id request.ID, account version.AccountID, cost request.Cost)
	// End reports the outcome of an attempt and frees its slot.
	End(finish request.Finish)
}

// Options configure a Relay.
type Options struct {
	Accounting Accounting
	Transport  http.RoundTripper
	// Scheme is the URL scheme of upstreams, "http" or "https"; default "http".
	Scheme string
	// StallTimeout is the longest time without progress in a response; default 30 s.
	StallTimeout time.Duration
	// CallerWriteTimeout limits how long a caller may take to accept one write; default 30 s.
	CallerWriteTimeout time.Duration
	// Dialect defines the headers of requests to upstreams and of their responses; default
	// upstream.Native.
	Dialect upstream.Dialect
	// General is set if upstreams receive requests of any form. They receive the caller's
	// Host header, may respond without a length, and end a stream by ending the body. They
	// have no endpoints to resume or cancel an attempt: a stream is continued at another
	// upstream, and closing the connection cancels the request.
	General bool
	// MaxAnswerBytes limits what all attempts together hold of heads, incomplete events and
	// buffered responses, in bytes, beyond some KiB each; default 64 MiB.
	MaxAnswerBytes int64
	// OnLoad is called with the load that a response reports. The default does nothing. It must
	// not block.
	OnLoad func(at version.UpstreamID, load request.Load)
	// OnFirstByte is called when the first event of a stream is complete, and at the head of any
	// other response. The default does nothing. It must not block.
	OnFirstByte func(grant request.Grant, event bool)
	// OnAdvice is called with what a response says of its upstream's availability (drain,
	// pause, rate limit), the caller's request ID and the time at which the attempt was
	// started. The default does nothing. It must not block.
	OnAdvice func(at version.UpstreamID, requestID string, sentAt time.Time, advice request.Advice)
	// OnBreak is called with the host:port of an upstream that ended a connection before its response
	// was complete. The default does nothing. It must not block.
	OnBreak func(address string)
	// Declines reports whether an upstream has advised that it accepts no requests now. The
	// default returns false. It must not block.
	Declines func(id version.UpstreamID) bool
	// Observer learns of each attempt that is sent; the default permits and ignores all.
	Observer Observer
}

const (
	defaultStallTimeout = 30 * time.Second
	defaultWriteTimeout = 30 * time.Second
)

// Relay sends attempts to upstreams. It is safe for concurrent use.
type Relay struct {
	options Options
	answers *answerBudget
}

// New returns a relay with the defaults filled in.
func New(options Options) *Relay {
	if options.Scheme == "" {
		options.Scheme = "http"
	}
	if options.StallTimeout == 0 {
		options.StallTimeout = defaultStallTimeout
	}
	if options.CallerWriteTimeout == 0 {
		options.CallerWriteTimeout = defaultWriteTimeout
	}
	if options.Dialect == nil {
		options.Dialect = upstream.Native{}
	}
	if options.OnFirstByte == nil {
		options.OnFirstByte = func(request.Grant, bool) {}
	}
	if options.OnLoad == nil {
		options.OnLoad = func(version.UpstreamID, request.Load) {}
	}
	if options.MaxAnswerBytes == 0 {
		options.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if options.OnAdvice == nil {
		options.OnAdvice = func(version.UpstreamID, string, time.Time, request.Advice) {}
	}
	if options.OnBreak == nil {
		options.OnBreak = func(string) {}
	}
	if options.Declines == nil {
		options.Declines = func(version.UpstreamID) bool { return false }
	}
	if options.Observer == nil {
		options.Observer = openObserver{}
	}
	return &Relay{options: options, answers: &answerBudget{core: answers.NewBudget(options.MaxAnswerBytes)}}
}

// Answers returns the figures of the memory for responses.
func (r *Relay) Answers() answers.Stats { return r.answers.stats() }

// Call describes one granted attempt.
type Call struct {
	Grant   request.Grant
	Account version.AccountID
	Kind    version.PoolKind
	// Route is the name of the request's route; "" if routes have none.
	Route string
	// Resumable is set for a stream that its caller may take up again.
	Resumable bool
	// Request is the caller's request. Its body has already been read into Body.
	Request *http.Request
	Body    []byte
	// Outgoing holds what the upstream receives in addition to the caller's request. Its ID
	// identifies the attempt. Instance and TimeLeft are set when the attempt is sent.
	Outgoing request.Outgoing
	// Software is the software version that the upstream must have when the attempt is sent; ""
	// allows any.
	Software string
	// FirstByteDeadline is the deadline for the first byte of the response.
	FirstByteDeadline time.Time
	// CompletionDeadline is the deadline for the end of the response; zero means none.
	CompletionDeadline time.Time
	// Continuation is set to continue a stream that was interrupted at another upstream;
	// nil starts a new response.
	Continuation *Continuation
	// Stream is set if the caller requested an event stream. The first event must then
	// arrive within the stall timeout.
	Stream bool
	// Permit must still be valid when the attempt is sent; nil means that none is needed.
	Permit *claim.Permit
	// CallerWaits is called before the first byte of the attempt is sent and reports whether
	// the caller still waits; nil means that the attempt is always sent.
	CallerWaits func() bool
	// OnSend is called just before the first byte of the attempt is sent on a connection. An
	// error of this package keeps the attempt from being sent; nil does nothing.
	OnSend func(conn upstream.Trust) error
	// Record keeps the response for the ledger, and lets the attempt complete after the
	// caller has disconnected.
	Record bool
	// Context ends the attempt early; nil is the context of Request. If it is cancelled with a
	// *request.Refusal as its cause, the attempt ends with that refusal. It has no effect on
	// an attempt that is recorded.
	Context context.Context
	// OnBegin is called when the first event of a stream has arrived; nil does nothing.
	OnBegin func()
}

// Continuation is a stream that was relayed in part and may be continued.
type Continuation struct {
	writer *callerWriter
	// LastEvent is the ID of the last event that was relayed.
	LastEvent string
}

// attempt is an attempt in progress.
type attempt struct {
	relay   *Relay
	call    Call
	target  *version.Upstream
	writer  *callerWriter
	meter   *meter
	holding *holding
	started time.Time
	// firstToken is the time from started to the first event of a stream, or to the header
	// of a plain service's response; 0 before.
	firstToken time.Duration
	// ttfb is the time from started to the response header; 0 before it arrives.
	ttfb time.Duration
	// events is the number of complete events that were relayed, and begunAt when the first one
	// or the header of a response that is not a stream arrived.
	events  int
	begunAt time.Time
	// disconnectedAt is when the upstream first ended the connection, and upstreamDown is set if
	// it refused a connection since.
	disconnectedAt time.Time
	upstreamDown   bool
	// connectedAt is when the opening of the attempt's connection began; zero if it is not known.
	connectedAt time.Time
	// tracker follows the present request to the upstream.
	tracker  *upstream.SendTracker
	observed observed
}

// Do sends the attempt and relays the response until it ends.
func (r *Relay) Do(w http.ResponseWriter, call Call) Result {
	a := &attempt{relay: r, call: call, started: time.Now()}
	unread.SetAccount(call.Request.Context(), call.Account)
	a.writer = newCallerWriter(w, call, r.options.CallerWriteTimeout)
	if call.Continuation != nil {
		a.writer = call.Continuation.writer
	}
	a.meter = newMeter(r.options.Accounting, call)
	target, found := r.options.Accounting.Config().Upstreams[call.Grant.Upstream]
	if !found {
		return a.unsentResult(ErrUnconfigured, request.OutcomeUnused)
	}
	a.target = target
	a.call.Outgoing.Instance = target.Instance
	a.holding = r.newHolding(target.ID)
	result := a.run()
	a.reportEnd(result)
	result.holding = a.holding
	if result.Delivery != DeliveryBuffered {
		a.holding.release()
	}
	result.finish = a.finish(result.finish.Outcome)
	result.TTFB = a.ttfb
	result.Events, result.SentAt, result.BegunAt = a.events, a.started, a.begunAt
	if result.finish.Outcome == request.OutcomeBroken {
		result.DisconnectedAt, result.UpstreamDown, result.ConnectedAt = a.disconnectedAt, a.upstreamDown, a.connectedAt
	}
	return result
}

// Settle cancels the attempt at its upstream if it may still be executing there, then
// reports its outcome and frees its slot.
func (r *Relay) Settle(result Result) {
	if result.toCancel != nil {
		result.toCancel.cancelUpstream()
	}
	r.options.Accounting.End(result.finish)
}

// UnusedResult returns the Result of a grant that is handed back without an attempt.
func (r *Relay) UnusedResult(grant request.Grant) Result {
	return Result{NotExecuted: true, finish: grant.Unused()}
}

// finish returns the report of the attempt's outcome for its dispatcher.
func (a *attempt) finish(outcome request.Outcome) request.Finish {
	return request.Finish{
		ID:         a.call.Grant.ID,
		Attempt:    a.call.Grant.Attempt,
		Pool:       a.call.Grant.Pool,
		Upstream:   a.call.Grant.Upstream,
		Outcome:    outcome,
		Cost:       a.meter.total,
		FirstToken: a.firstToken,
	}
}

// run sends the attempt and relays the response.
func (a *attempt) run() Result {
	ctx, timer := a.firstByteContext()
	defer timer.stop()
	tracker := &upstream.SendTracker{BeforeFirstByte: a.checkSendable, OnHead: a.holding.readHead}
	a.tracker = tracker
	outgoing, err := a.newRequest(tracker.Context(ctx))
	if err != nil {
		return a.unsentResult(err, request.OutcomeUnused)
	}
	if a.call.Permit != nil && !time.Now().Before(a.call.Permit.Deadline) {
		return a.unsentResult(ErrPermitExpired, request.OutcomeUnused)
	}
	response, err := a.relay.options.Transport.RoundTrip(outgoing)
	tracker.EndHead()
	a.connectedAt = tracker.OpenedAt()
	if err != nil {
		sent := tracker.Seal()
		err = a.classify(ctx, err)
		if !sent {
			return a.unsentResult(err, request.OutcomeUnreachable)
		}
		return a.failedResult(err)
	}
	defer response.Body.Close()
	tracker.GuardEnd(response)
	return a.relayResponse(response, timer)
}

// checkSendable returns an error if a granted attempt must no longer be sent. It is called
// just before the first byte is sent: opening the connection may take seconds, and in an
// overloaded process so may any other step since the grant.
func (a *attempt) checkSendable(conn upstream.Trust) error {
	if a.call.CallerWaits != nil && !a.call.CallerWaits() {
		return ErrCallerGone
	}
	if a.abortRefusal() != nil {
		return ErrAborted
	}
	config := a.relay.options.Accounting.Config()
	target, found := config.Upstreams[a.call.Grant.Upstream]
	if !found || target.Draining || config.UpstreamOut(target) || a.call.Software != "" && target.Software != a.call.Software {
		return ErrWithdrawn
	}
	if a.relay.options.Declines(a.call.Grant.Upstream) {
		return ErrWithdrawn
	}
	if a.call.OnSend != nil {
		if err := a.call.OnSend(conn); err != nil {
			return err
		}
	}
	return a.observeSend(target)
}

// relayResponse checks the response and relays it, as an event stream or otherwise.
func (a *attempt) relayResponse(response *http.Response, timer *stallTimer) Result {
	dialect := a.relay.options.Dialect
	if !dialect.Echoes(response.Header, a.call.Outgoing) {
		return a.failedResult(ErrWrongAttempt)
	}
	if err := a.checkFrame(response); err != nil {
		return a.failedResult(err)
	}
	advice := dialect.Advice(response.StatusCode, response.Header)
	if !advice.IsZero() {
		a.relay.options.OnAdvice(a.call.Grant.Upstream, a.call.Outgoing.ID, a.started, advice)
	}
	if dialect.NotExecuted(response.StatusCode, response.Header) {
		return a.refusedResult(advice)
	}
	a.ttfb = time.Since(a.started)
	if load, reported := dialect.Load(response.Header); reported {
		a.relay.options.OnLoad(a.call.Grant.Upstream, load)
	}
	if a.call.Kind == version.PoolModel && isEventStream(response) {
		// The head alone is no progress of the upstream.
		return a.relayStream(response, timer)
	}
	a.relay.options.OnFirstByte(a.call.Grant, false)
	if a.call.Continuation != nil {
		return a.failedResult(errors.Wrapf(ErrTruncated, "upstream continued the stream with status %d", response.StatusCode))
	}
	return a.relayNonStream(response, timer)
}

// newContext returns the context of one HTTP request of the attempt. It is cancelled with
// cause if the upstream sends nothing within limit. An attempt that is recorded is not
// cancelled when its caller disconnects.
func (a *attempt) newContext(limit time.Duration, cause error) (context.Context, *stallTimer) {
	parent := a.call.Request.Context()
	switch {
	case a.call.Record:
		parent = context.WithoutCancel(parent)
	case a.call.Context != nil:
		parent = a.call.Context
	}
	return newStallTimer(parent, limit, cause, a.call.CompletionDeadline)
}

// firstByteContext returns the context that limits the wait for the first byte. A stream is
// limited to the stall timeout, so that another attempt may follow. An attempt that is
// recorded cannot be followed by another one, so it may wait until its deadline.
func (a *attempt) firstByteContext() (context.Context, *stallTimer) {
	limit := time.Until(a.call.FirstByteDeadline)
	if a.call.Stream && !a.call.Record && limit > a.relay.options.StallTimeout {
		return a.newContext(a.relay.options.StallTimeout, ErrStalled)
	}
	return a.newContext(limit, ErrDeadlinePassed)
}
