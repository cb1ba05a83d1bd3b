package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/retry"
)

const (
	// maxResumes limits the consecutive resumes of a response that yield no event.
	maxResumes = 3
	// drainTimeout limits the wait for the end of the body after the last event.
	drainTimeout = time.Second
)

// errorEvent is the last event of a stream that failed.
const errorEvent = "event: error\ndata: {\"error\":{\"type\":\"upstream-failed\"," +
	"\"message\":\"the answer was cut and could not be resumed\",\"execution\":\"unknown\"}}\n\n"

// streamRelay is the state of relaying one event stream.
type streamRelay struct {
	*attempt
	firstResponse *http.Response
	// eventsWritten counts the events with data that were written to the caller.
	eventsWritten int
	// lastEvent is the ID of the last event that was written.
	lastEvent string
}

// relayStream relays an event stream, complete events only, and resumes it at the same
// upstream if it is truncated.
func (a *attempt) relayStream(response *http.Response, timer *stallTimer) Result {
	s := &streamRelay{attempt: a, firstResponse: response, lastEvent: a.call.Outgoing.LastEvent}
	err := s.relayEvents(response, timer)
	for failures := 0; s.shouldResume(err) && failures < maxResumes; failures++ {
		eventsBefore := s.eventsWritten
		err = s.resume(failures)
		if s.eventsWritten > eventsBefore {
			failures = -1
		}
	}
	a.meter.settle()
	switch {
	case err == nil:
		if !a.writer.headerWritten {
			// A stream that is resumed after its last event has no events left; the caller
			// still gets the upstream's status and header.
			a.writer.writeHeader(response.StatusCode, response.Header)
		}
		return a.completedResult(DeliveryComplete, response.StatusCode)
	case errors.Is(err, ErrCallerGone):
		return a.callerGoneResult()
	case !a.writer.headerWritten:
		return a.failedResult(err)
	case s.relay.options.General:
		return s.interruptedResult(err)
	}
	s.writeErrorEvent()
	return a.brokenResult()
}

// interruptedResult returns the result of an attempt that failed in the middle of a stream.
// Another upstream may continue the stream unless the deadline has passed.
func (s *streamRelay) interruptedResult(err error) Result {
	result := s.brokenResult()
	result.Err = err
	// The events that arrived together with the broken one were not flushed yet. A caller that
	// has disconnected needs none.
	_ = s.writer.flush()
	if errors.Is(err, ErrDeadlinePassed) {
		result.finish.Outcome = request.OutcomeCancelled
		return result
	}
	result.Continuation = &Continuation{writer: s.writer, LastEvent: s.lastEvent}
	return result
}

// shouldResume reports whether to ask the same upstream for the rest of the response. An
// attempt that stalled before its first event is retried at another upstream instead,
// unless it is recorded.
func (s *streamRelay) shouldResume(err error) bool {
	if s.relay.options.General {
		return false
	}
	if errors.Is(err, ErrStalled) {
		return s.writer.headerWritten || s.call.Record
	}
	// The rest of an answer that is too large would be too large again.
	return errors.Is(err, ErrTruncated) && !errors.Is(err, ErrOversized)
}

// relayEvents relays events up to the last one. It returns ErrTruncated or ErrStalled if the
// response ends before that.
func (s *streamRelay) relayEvents(response *http.Response, timer *stallTimer) error {
	reader := newEventReader(response.Body, s.holding.hold)
	defer reader.release()
	for {
		next, err := reader.next()
		if errors.Is(err, io.EOF) && s.relay.options.General && !s.isEmpty(response) {
			return nil
		}
		if err != nil {
			return s.classify(response.Request.Context(), err)
		}
		if next.hasData {
			// Comments are keep-alives; they do not count as progress.
			timer.restart(s.relay.options.StallTimeout)
		}
		if err := s.relayEvent(next, !reader.hasBuffered()); err != nil {
			return err
		}
		if next.endsStream() && !s.relay.options.General {
			timer.restart(drainTimeout)
			// The response is complete; draining the body only lets the connection be
			// reused.
			_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, readBufferBytes))
			return nil
		}
	}
}

// isEmpty reports whether a stream that ended with its connection had no events, though it is
// no continuation, of which no event may be left. Nothing else tells it from one that broke off.
func (s *streamRelay) isEmpty(response *http.Response) bool {
	return s.events == 0 && lacksFraming(response) && s.call.Outgoing.LastEvent == ""
}

// relayEvent writes one event to the caller and counts it.
func (s *streamRelay) relayEvent(next event, flush bool) error {
	if !s.writer.headerWritten {
		s.attempt.firstToken = time.Since(s.started)
		s.writer.writeHeader(s.firstResponse.StatusCode, s.firstResponse.Header)
	}
	arrivedAt := time.Now()
	if err := s.writer.write(next.raw); err != nil {
		return err
	}
	if flush || next.endsStream() {
		if err := s.writer.flush(); err != nil {
			return err
		}
	}
	s.observed.event(arrivedAt, time.Now(), next.hasData)
	if next.id != nil {
		s.lastEvent = string(next.id)
	}
	if next.hasData && !next.endsStream() {
		s.recordBegin()
		s.eventsWritten++
		s.events++
		s.meter.countEvent(next)
	}
	return nil
}

// recordBegin records that the first event of the attempt has arrived.
func (s *streamRelay) recordBegin() {
	if !s.begunAt.IsZero() {
		return
	}
	s.begunAt = time.Now()
	s.relay.options.OnFirstByte(s.call.Grant, true)
	if s.call.OnBegin != nil {
		s.call.OnBegin()
	}
}

// resume waits for the retry backoff, then requests the rest of the response from the same
// upstream and relays it.
func (s *streamRelay) resume(failures int) error {
	backoff := retry.Backoff(failures+2, rand.Float64())
	select {
	case <-time.After(backoff):
	case <-s.call.Request.Context().Done():
		if !s.call.Record {
			return ErrCallerGone
		}
	}
	ctx, timer := s.resumeContext()
	defer timer.stop()
	targetURL := s.upstreamURL(upstream.PathAttempts + s.call.Outgoing.ID +
		"?" + upstream.QueryOffset + "=" + strconv.Itoa(s.eventsWritten))
	s.holding.nextHead()
	tracker := &upstream.SendTracker{OnHead: s.holding.readHead}
	s.tracker = tracker
	outgoing, err := http.NewRequestWithContext(tracker.Context(ctx), http.MethodGet, targetURL, nil)
	if err != nil {
		return errors.Wrap(err, "build resume request")
	}
	response, err := s.relay.options.Transport.RoundTrip(outgoing)
	tracker.EndHead()
	if err != nil {
		return s.classify(ctx, err)
	}
	defer response.Body.Close()
	tracker.GuardEnd(response)
	if err := s.checkResumed(response); err != nil {
		return err
	}
	return s.relayEvents(response, timer)
}

// resumeContext returns the context that limits the wait for the next event. Until the
// first event is written, the limit on the first byte applies.
func (s *streamRelay) resumeContext() (context.Context, *stallTimer) {
	if !s.writer.headerWritten {
		return s.firstByteContext()
	}
	return s.newContext(s.relay.options.StallTimeout, ErrStalled)
}

// errCannotResume is returned if the upstream no longer has the attempt.
var errCannotResume = errors.New("answer was cut and cannot be resumed")

func (s *streamRelay) checkResumed(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusNotFound, http.StatusGone, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return errCannotResume
	}
	if err := s.checkFrame(response); err != nil {
		return err
	}
	if !isEventStream(response) {
		return errors.Wrapf(ErrTruncated, "resume request returned status %d", response.StatusCode)
	}
	if !s.relay.options.Dialect.Echoes(response.Header, s.call.Outgoing) {
		return errors.Wrap(ErrTruncated, "resume request returned another attempt's response")
	}
	return nil
}

// writeErrorEvent tells the caller that the stream failed. The connection is aborted
// afterwards, so that the body has no proper end either.
func (s *streamRelay) writeErrorEvent() {
	if err := s.writer.write([]byte(errorEvent)); err != nil {
		return
	}
	// A caller that has disconnected needs no event.
	_ = s.writer.flush()
}
