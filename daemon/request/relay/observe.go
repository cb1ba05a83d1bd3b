package relay

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Observer learns of each attempt that is sent. Its methods must not block. They are safe for
// concurrent use.
type Observer interface {
	// Send is the last look before the first byte of an attempt is sent, and reports whether it
	// may be. If so, Ended is called once for the attempt.
	Send(grant request.Grant, route string, target *version.Upstream) bool
	// Ended is called when an attempt that was sent has ended at its upstream.
	Ended(grant request.Grant, route string, end End)
}

// End is how an attempt ended that was sent.
type End struct {
	// Failed is set for a 5xx of the upstream, unless it says that the request has not run, and for a
	// response that was broken, truncated or not complete by its deadline.
	Failed bool
	// Overdue is set beside Failed if the response was only late.
	Overdue bool
	// Unfinished is set for a stream that its caller may take up again: it had begun, and has ended
	// before its last event, whoever broke it off.
	Unfinished bool
	// SinceSent is the time since the first byte of the attempt was sent.
	SinceSent time.Duration
	// FirstByte is the time from the first byte of the attempt to the first event of a stream, or to
	// the head of another response; 0 if none came. Without it and without Failed the attempt says
	// nothing of its upstream: the caller went away, or the upstream refused.
	FirstByte time.Duration
	// EventPace is the average time between the events of a stream, less the time in which its caller
	// took none; 0 with fewer than three events.
	EventPace time.Duration
}

type openObserver struct{}

// Send implements Observer.
func (openObserver) Send(request.Grant, string, *version.Upstream) bool { return true }

// Ended implements Observer.
func (openObserver) Ended(request.Grant, string, End) {}

// minPacedEvents is the least number of events of which a pace is told.
const minPacedEvents = 3

// observed is what is seen of an attempt for the Observer.
type observed struct {
	// sentAt is when the first byte was sent; nil if none was. The transport sends in a goroutine of
	// its own.
	sentAt atomic.Pointer[time.Time]
	// firstAt and lastAt are when the first and the last event arrived, and written how long the
	// caller took to accept events between them.
	firstAt, lastAt time.Time
	written         time.Duration
	// unaccounted is the writing of the last event.
	unaccounted time.Duration
	events      int
}

// event records an event that arrived and was written.
func (o *observed) event(arrivedAt, writtenAt time.Time, hasData bool) {
	if hasData {
		if o.events == 0 {
			o.firstAt = arrivedAt
		} else {
			o.written += o.unaccounted
		}
		o.events++
		o.lastAt = arrivedAt
		o.unaccounted = 0
	}
	o.unaccounted += writtenAt.Sub(arrivedAt)
}

// pace returns the average time between events; 0 if there were too few.
func (o *observed) pace() time.Duration {
	if o.events < minPacedEvents {
		return 0
	}
	return max(o.lastAt.Sub(o.firstAt)-o.written, 0) / time.Duration(o.events-1)
}

// observeSend asks the observer before the first byte of the attempt is sent.
func (a *attempt) observeSend(target *version.Upstream) error {
	if a.observed.sentAt.Load() != nil {
		// The transport took a second connection for the attempt.
		return nil
	}
	if !a.relay.options.Observer.Send(a.call.Grant, a.call.Route, target) {
		return ErrWithdrawn
	}
	now := time.Now()
	a.observed.sentAt.Store(&now)
	return nil
}

// reportEnd reports the end of an attempt that was sent to the observer.
func (a *attempt) reportEnd(result Result) {
	sentAt := a.observed.sentAt.Load()
	if sentAt == nil {
		return
	}
	end := End{Failed: failed(result), SinceSent: time.Since(*sentAt), EventPace: a.observed.pace()}
	end.Overdue = end.Failed && errors.IsAny(result.Err, ErrDeadlinePassed, ErrStalled)
	broken := result.Delivery == DeliveryTruncated || result.Delivery == DeliveryCallerGone
	end.Unfinished = broken && a.call.Resumable && (a.events > 0 || a.call.Outgoing.LastEvent != "")
	first := a.begunAt
	if first.IsZero() && result.Status != 0 {
		first = a.started.Add(a.ttfb)
	}
	if !first.IsZero() {
		end.FirstByte = max(first.Sub(*sentAt), time.Nanosecond)
	}
	a.relay.options.Observer.Ended(a.call.Grant, a.call.Route, end)
}

// failed reports whether the result of an attempt that was sent is a failure of its upstream.
func failed(result Result) bool {
	switch {
	case result.NotExecuted, result.Delivery == DeliveryCallerGone, errors.IsAny(result.Err, ErrAborted, ErrCallerGone):
		return false
	case result.Err != nil, result.Delivery == DeliveryTruncated:
		return true
	}
	return result.Status >= http.StatusInternalServerError
}
