package serve

import (
	"context"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
	"github.com/trefoilwell/trefoilwell/daemon/request/relay"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/retry"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// maxSentAttempts limits the upstreams to which a request is sent, including those that
	// refuse it before execution.
	maxSentAttempts = 4
	// generalRetryAfter is the Retry-After of a refusal that specifies none, when the
	// request was not executed. It is short because another router may be able to serve the
	// request.
	generalRetryAfter = 300 * time.Millisecond
)

// generalCall is one request to a GeneralHandler, from its admission to its final response.
type generalCall struct {
	handler  *GeneralHandler
	w        http.ResponseWriter
	r        *http.Request
	incoming request.Incoming
	config   *version.Config
	route    *version.Route
	pool     *version.Pool
	// account is nil for a request without an API key.
	account *version.Account
	body    []byte
	// reserved is the usage of the request, and of its body, while it is held.
	reserved reservation
	// fingerprint identifies what the request asks for; 0 until its body has been read.
	fingerprint uint64
	ticket      request.Ticket
	started     time.Time
	// deadline is when the final response must be complete.
	deadline time.Time
	// configAge is the time since the configuration was confirmed, when the key was
	// checked.
	configAge time.Duration
	// sentAttempts counts the attempts that were granted, executedAttempts those that an
	// upstream may have executed.
	sentAttempts, executedAttempts int
	// sent is set once an attempt was sent.
	sent atomic.Bool
	// pass may end the request early.
	pass Pass
	// storeAsked counts how often the store was asked for a connection to go on over.
	storeAsked int
	// continuation is the interrupted stream to be continued; nil if there is none.
	continuation *relay.Continuation
}

// run sends the caller the final response.
func (c *generalCall) run() {
	for {
		grant, refusal := c.acquire()
		if refusal != nil {
			c.respondWithoutUpstream(refusal)
			return
		}
		if c.attempt(grant) {
			return
		}
	}
}

func (c *generalCall) acquire() (request.Grant, *request.Refusal) {
	now := time.Now()
	c.ticket.BodyBytes = len(c.body)
	c.setTimes(now)
	if c.ticket.Wait <= 0 {
		c.recordUnplaced()
		return request.Grant{}, refuse(request.ReasonDeadline, "the deadline passed before the request was sent")
	}
	if c.callerGone() {
		c.recordUnplaced()
		return request.Grant{}, refuse(request.ReasonCallerGone, "the caller went away before the request was sent")
	}
	if refusal := c.checkStop(now); refusal != nil {
		return request.Grant{}, refusal
	}
	ctx, cancel := context.WithDeadline(c.pass.Context(), c.deadline)
	defer cancel()
	grant, refusal := c.handler.options.Fleet.Acquire(ctx, c.ticket)
	if held := refusalOf(c.pass); refusal != nil && held != nil {
		return request.Grant{}, held
	}
	return grant, refusal
}

// recordUnplaced counts a request that ends before it was placed.
func (c *generalCall) recordUnplaced() {
	if c.ticket.Attempt == 1 {
		c.handler.options.OnUnplaced(c.ticket)
	}
}

// setTimes sets the fields of the ticket that depend on the time.
func (c *generalCall) setTimes(now time.Time) {
	c.ticket.Age = now.Sub(c.started)
	c.ticket.Wait = c.deadline.Sub(now)
	c.ticket.TTFBObjective = 0
	if c.route.TTFBObjective > 0 && !c.continuesStream() {
		c.ticket.TTFBObjective = max(c.route.TTFBObjective-c.ticket.Age, time.Nanosecond)
	}
}

// attempt makes one attempt and reports whether the caller has received the final response.
func (c *generalCall) attempt(grant request.Grant) bool {
	c.sentAttempts++
	software := c.softwareNow(grant.Upstream)
	// fits is the version that another upstream has to have to go on with the stream, and noted is set
	// once other VMs may be told of it. unchecked is set if the connection would be trusted with the
	// rest of a stream if the store had just answered.
	fits, noted, unchecked := software, false, false
	// stopping is the refusal of a request that may not be sent any more.
	var stopping *request.Refusal
	relayer := c.handler.options.Relay
	result := relayer.Do(c.w, relay.Call{
		Grant:              grant,
		Account:            c.ticket.Account,
		Kind:               c.poolKind(),
		Route:              c.route.Name,
		Resumable:          c.mayBeTakenUp(),
		Request:            c.r,
		Body:               c.body,
		Outgoing:           c.outgoing(),
		Software:           software,
		FirstByteDeadline:  c.deadline,
		CompletionDeadline: c.deadline,
		Continuation:       c.continuation,
		CallerWaits:        func() bool { return !c.callerGone() },
		Context:            c.pass.Context(),
		OnSend: func(conn upstream.Trust) error {
			// Opening the connection may have taken seconds.
			if stopping = c.checkStop(time.Now()); stopping != nil {
				return relay.ErrStopping
			}
			if !c.mayBeTakenUp() {
				c.sent.Store(true)
				return nil
			}
			trusted := conn.Trusted()
			if c.continuesStream() {
				unchecked = trusted && !conn.Checked(c.handler.options.Streams.StoreAnsweredAt())
				if !trusted || unchecked {
					return relay.ErrUntrusted
				}
			}
			if !trusted {
				fits = ""
			}
			c.beginStream(fits)
			noted = true
			c.sent.Store(true)
			return nil
		},
		OnBegin: c.pass.Begin,
	})
	defer result.Release()
	relayer.Settle(result)
	c.pass.EndAttempt(grant.Upstream, result)
	if !result.NotExecuted {
		c.executedAttempts++
	}
	c.logFailedAttempt(grant, result)
	if stopping != nil && result.NotExecuted {
		c.respondWithoutUpstream(stopping)
		return true
	}
	if unchecked && c.askStore() {
		c.ticket.Attempt++
		return false
	}
	if c.takeRetry(result, fits) {
		c.ticket.Avoided = append(c.ticket.Avoided, grant.Upstream)
		c.ticket.Attempt++
		if result.Continuation != nil {
			c.continuation = result.Continuation
		}
		if noted {
			// Other VMs may know the stream by this version, and this process may end before it
			// tells them of another one.
			c.ticket.Software = fits
		}
		return false
	}
	c.respond(grant, result)
	return true
}

// poolKind tells the relay whether to expect an event stream: it relays events only for
// PoolModel.
func (c *generalCall) poolKind() version.PoolKind {
	if c.route.Stream {
		return version.PoolModel
	}
	return version.PoolService
}

func (c *generalCall) outgoing() request.Outgoing {
	out := request.Outgoing{ID: c.incoming.ID, LastEvent: c.incoming.LastEvent}
	if c.account != nil {
		out.Account = c.account.Name
	}
	if c.continuation != nil && c.continuation.LastEvent != "" {
		out.LastEvent = c.continuation.LastEvent
	}
	return out
}

// takeRetry reports whether another attempt may follow one at a software version. If so, it takes
// the retry from the budget.
func (c *generalCall) takeRetry(result relay.Result, software string) bool {
	if c.sentAttempts >= maxSentAttempts || c.r.Context().Err() != nil || !time.Now().Before(c.deadline) {
		return false
	}
	if result.Continuation != nil && software == "" {
		// No upstream is known to fit what the caller has received.
		return false
	}
	if !c.retryable(result) || refusalOf(c.pass) != nil || !c.pass.MayRepeat(result.SentAt) {
		return false
	}
	return c.handler.withRetryBudget(c.pool.ID, func(w *retry.Window) bool { return w.Take(time.Now()) })
}

// retryable reports whether the route allows another attempt after this result.
func (c *generalCall) retryable(result relay.Result) bool {
	if result.NotExecuted {
		return result.Retryable
	}
	if c.executedAttempts >= c.route.MaxAttempts || c.route.Repeat == version.RepeatNever {
		return false
	}
	switch result.Delivery {
	case relay.DeliveryBuffered:
		return result.Buffered.Status >= http.StatusInternalServerError
	case relay.DeliveryNone:
		return result.Retryable
	case relay.DeliveryTruncated:
		return c.route.Repeat == version.RepeatResume && result.Continuation != nil
	}
	return false
}

// respond gives the caller the outcome of the last attempt.
func (c *generalCall) respond(grant request.Grant, result relay.Result) {
	upstream := slog.Group("",
		slog.String("upstream", c.upstreamName(grant.Upstream)),
		slog.String("software", c.softwareOf(grant.Upstream)),
		slog.Int64("predicted_ms", grant.PredictedTTFB.Milliseconds()),
		slog.Int64("begun_ms", result.TTFB.Milliseconds()),
		slog.Int("unread", grant.UncachedPromptTokens))
	switch result.Delivery {
	case relay.DeliveryNone:
		c.respondWithoutUpstream(result.Refusal)
	case relay.DeliveryBuffered:
		if err := result.Buffered.Write(); err != nil {
			c.logOutcome("caller gone", upstream)
			abort(c.r)
		}
		c.handler.options.Counter.Answered()
		c.handler.recordDuration(c, time.Now())
		c.logOutcome("answered", upstream, slog.Int("status", result.Buffered.Status))
	case relay.DeliveryComplete:
		c.handler.options.Counter.Answered()
		c.handler.recordDuration(c, time.Now())
		c.logOutcome("answered", upstream)
	case relay.DeliveryTruncated:
		c.logOutcome("broken off", upstream)
		// Abort the connection, so that the truncated response does not look complete.
		abort(c.r)
	case relay.DeliveryCallerGone:
		c.logOutcome("caller gone", upstream)
		abort(c.r)
	}
}

// respondWithoutUpstream ends the request without an upstream's response.
func (c *generalCall) respondWithoutUpstream(refusal *request.Refusal) {
	if c.continuation != nil {
		c.logOutcome("broken off", slog.String("reason", string(refusal.Reason)))
		abort(c.r)
	}
	if c.r.Context().Err() != nil || refusal.Reason == request.ReasonCallerGone {
		c.logOutcome("caller gone")
		abort(c.r)
	}
	c.refuse(refusal)
}

// refuse responds with a refusal. The refusal says not executed only if no upstream can
// have executed the request.
func (c *generalCall) refuse(refusal *request.Refusal) {
	c.limitUnreadBody()
	status := c.refusalStatus(refusal)
	header := c.w.Header()
	after := c.refusalRetryAfter(refusal, status)
	if after > 0 {
		header.Set("Retry-After", formatRetryAfter(after))
	}
	if refusal.Reason == request.ReasonNotReady {
		// Close the connection so that the caller's next request reaches another router.
		header.Set("Connection", "close")
	}
	c.handler.options.Counter.Refused(refusal.Reason)
	c.logOutcome("refused", slog.Int("status", status), slog.String("reason", string(refusal.Reason)),
		slog.String("detail", refusal.Detail), slog.Int64("retry_after_ms", after.Milliseconds()),
		slog.Int64("predicted_ms", refusal.PredictedTTFB.Milliseconds()),
		slog.Int64("limit_ms", refusal.TTFBLimit.Milliseconds()),
		slog.Float64("share_used", refusal.ShareUsed))
	writeJSON(c.w, status, refusalBody{Error: refusalError{
		Type:      refusal.Reason,
		Message:   refusal.Detail,
		Execution: c.refusalExecution(refusal),
	}})
}

// unreadBodyTimeout limits the wait for the rest of a body that is no longer needed.
const unreadBodyTimeout = time.Second

// limitUnreadBody sets a read deadline on the connection of a refused request whose body
// has not been read. The server reads the body to its end and sets a deadline of its own
// only for the next request, so a body that never arrives would keep the connection open
// forever.
func (c *generalCall) limitUnreadBody() {
	if c.body == nil && c.r.ContentLength != 0 {
		// Writers in tests may not support deadlines.
		_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

// refusalStatus returns the HTTP status of a refusal. Callers take some statuses as a
// promise that the request was not executed: one of these is returned if that is true, and
// never otherwise.
func (c *generalCall) refusalStatus(refusal *request.Refusal) int {
	status := refusalForms[refusal.Reason].status
	switch {
	case c.executedAttempts > 0 && promisesNotExecuted(status):
		return http.StatusBadGateway
	case c.executedAttempts == 0 && refusal.Execution == request.NotExecuted && status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	}
	return status
}

// refusalRetryAfter returns the Retry-After of a refusal with a status; 0 if it has none.
func (c *generalCall) refusalRetryAfter(refusal *request.Refusal, status int) time.Duration {
	switch {
	case c.executedAttempts > 0 || !promisesNotExecuted(status):
		return 0
	case refusal.RetryAfter <= 0:
		return generalRetryAfter
	}
	return refusal.RetryAfter
}

func (c *generalCall) refusalExecution(refusal *request.Refusal) request.Execution {
	if c.executedAttempts > 0 {
		return request.ExecutionUnknown
	}
	return refusal.Execution
}

// promisesNotExecuted reports whether callers take a status as a promise that the request
// was not executed and never will be.
func promisesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// formatRetryAfter formats a Retry-After value in seconds. Callers of a GeneralHandler accept
// fractions of a second.
func formatRetryAfter(after time.Duration) string {
	return strconv.FormatFloat(math.Ceil(after.Seconds()*100)/100, 'f', -1, 64)
}

// logFailedAttempt logs an attempt that gave no complete response.
func (c *generalCall) logFailedAttempt(grant request.Grant, result relay.Result) {
	if result.Err == nil && !result.NotExecuted {
		return
	}
	reason := "refused by the upstream before running"
	if result.Err != nil {
		reason = errors.UnwrapAll(result.Err).Error()
		if text := relayErrorText(result.Err); text != "" {
			reason = text + ": " + reason
		}
	}
	c.handler.options.Log.LogAttrs(context.Background(), slog.LevelInfo, "attempt failed",
		slog.String("request", c.incoming.ID),
		slog.Int("attempt", c.sentAttempts),
		slog.String("upstream", c.upstreamName(grant.Upstream)),
		slog.String("software", c.softwareOf(grant.Upstream)),
		slog.Bool("not_run", result.NotExecuted),
		slog.String("reason", reason),
		slog.Int("events", result.Events),
		slog.Any("segments", segmentNames(c.incoming.Segments)),
		slog.String("fingerprint", fingerprintName(c.fingerprint)))
}

// fingerprintName returns a fingerprint as logs write it.
func fingerprintName(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// maxLoggedSegments limits the prompt segments in a log line.
const maxLoggedSegments = 16

// segmentNames returns the identifiers of the first segments of a prompt as callers write them.
func segmentNames(segments []request.PromptSegment) []string {
	segments = segments[:min(len(segments), maxLoggedSegments)]
	names := make([]string, 0, len(segments))
	for _, segment := range segments {
		names = append(names, strconv.FormatUint(segment.ID, 16))
	}
	return names
}

// relayErrorText returns the text of the relay's error that err matches, or "".
func relayErrorText(err error) string {
	for _, sentinel := range []error{
		relay.ErrWrongAttempt, relay.ErrOversized, relay.ErrStalled, relay.ErrDeadlinePassed, relay.ErrCallerGone, relay.ErrUnconfigured, relay.ErrWithdrawn, relay.ErrUntrusted, relay.ErrStopping, relay.ErrAborted, relay.ErrTruncated,
	} {
		if errors.Is(err, sentinel) {
			return sentinel.Error()
		}
	}
	return ""
}

func (c *generalCall) upstreamName(id version.UpstreamID) string {
	if upstream := c.upstreamOf(id); upstream != nil {
		return upstream.Name
	}
	return "#" + strconv.FormatUint(uint64(id), 10)
}

// softwareNow returns the software version of an upstream by the present configuration; empty if it
// is not known.
func (c *generalCall) softwareNow(id version.UpstreamID) string {
	if config := c.handler.options.Fleet.Config(); config != nil && config.Upstreams[id] != nil {
		return config.Upstreams[id].Software
	}
	return ""
}

// softwareOf returns the software version of an upstream; empty if it is not known.
func (c *generalCall) softwareOf(id version.UpstreamID) string {
	if upstream := c.upstreamOf(id); upstream != nil {
		return upstream.Software
	}
	return ""
}

// upstreamOf returns an upstream of the configuration at the admission of the request, or of the
// present one; nil if neither has it.
func (c *generalCall) upstreamOf(id version.UpstreamID) *version.Upstream {
	if upstream, found := c.config.Upstreams[id]; found {
		return upstream
	}
	if config := c.handler.options.Fleet.Config(); config != nil {
		return config.Upstreams[id]
	}
	return nil
}
