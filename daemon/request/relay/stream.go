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
	// maxResumes bounds how often one answer is resumed without any progress.
	maxResumes = 3
	// drainTimeout bounds the wait for the end of a body after its last event.
	drainTimeout = time.Second
)

// errorEvent tells the caller that a stream ends broken.
const errorEvent = "event: error\ndata: {\"error\":{\"type\":\"upstream-failed\"," +
	"\"message\":\"the answer was cut and could not be resumed\",\"execution\":\"unknown\"}}\n\n"

// streaming is an answer of events on its way to the caller.
type streaming struct {
	*attempt
	first *http.Response
	// events counts the events with data that were written.
	events int
	// lastEvent is the identifier of the last event that was written.
	lastEvent string
}

// stream relays an answer of events, whole events only.
func (a *attempt) stream(response *http.Response, timer *stallTimer) Result {
	s := &streaming{attempt: a, first: response, lastEvent: a.call.Out.LastEvent}
	err := s.pump(response, timer)
	for failures := 0; s.resumable(err) && failures < maxResumes; failures++ {
		before := s.events
		err = s.resume(failures)
		if s.events > before {
			failures = -1
		}
	}
	a.meter.end()
	switch {
	case err == nil:
		if !a.out.begun {
			// A stream that is resumed after its last event has no events, and still
			// its upstream's status and header.
			a.out.begin(response.StatusCode, response.Header)
		}
		return a.done(EndRelayed, response.StatusCode)
	case errors.Is(err, ErrCallerGone):
		return a.gone()
	case !a.out.begun:
		return a.failed(err)
	case s.relay.options.General:
		return s.interrupted(err)
	}
	s.breakOff()
	return a.broken()
}

// interrupted ends an attempt that broke off in the midst of a stream, which
// another upstream may continue unless time is up.
func (s *streaming) interrupted(err error) Result {
	result := s.broken()
	result.Err = err
	if errors.Is(err, ErrLate) {
		result.finish.Outcome = request.OutcomeCancelled
		return result
	}
	result.Rest = &Rest{out: s.out, LastEvent: s.lastEvent}
	return result
}

// resumable reports whether the same upstream is asked for the rest. One that
// stalled before the first event is left for another one.
func (s *streaming) resumable(err error) bool {
	if s.relay.options.General {
		return false
	}
	if errors.Is(err, ErrStalled) {
		return s.out.begun || s.call.Record
	}
	return errors.Is(err, ErrCut)
}

// pump relays events until the last one. It returns ErrCut or ErrStalled if the
// answer ended before that.
func (s *streaming) pump(response *http.Response, timer *stallTimer) error {
	reader := newEventReader(response.Body)
	defer reader.release()
	for {
		next, err := reader.next()
		if errors.Is(err, io.EOF) && s.relay.options.General {
			return nil
		}
		if err != nil {
			return s.cause(response.Request.Context(), err)
		}
		if next.data != nil {
			// Comments keep a connection open; they are no progress.
			timer.progress(s.relay.options.StallTimeout)
		}
		if err := s.relayEvent(next, !reader.pending()); err != nil {
			return err
		}
		if next.last() && !s.relay.options.General {
			timer.progress(drainTimeout)
			// The answer is whole; reading on only frees the connection.
			_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, readBytes))
			return nil
		}
	}
}

// relayEvent writes one event and counts it.
func (s *streaming) relayEvent(next event, flush bool) error {
	if !s.out.begun {
		s.attempt.first = time.Since(s.started)
		s.out.begin(s.first.StatusCode, s.first.Header)
	}
	if err := s.out.write(next.text); err != nil {
		return err
	}
	if flush || next.last() {
		if err := s.out.flush(); err != nil {
			return err
		}
	}
	if next.id != nil {
		s.lastEvent = string(next.id)
	}
	if next.data != nil && !next.last() {
		s.events++
		s.meter.event(next.data)
	}
	return nil
}

// resume asks the same upstream for the rest of the answer and relays it.
func (s *streaming) resume(failures int) error {
	pause := retry.Backoff(failures+2, rand.Float64())
	select {
	case <-time.After(pause):
	case <-s.call.Request.Context().Done():
		if !s.call.Record {
			return ErrCallerGone
		}
	}
	ctx, timer := s.resumeContext()
	defer timer.stop()
	target := s.url(upstream.PathAttempts + s.call.Out.ID +
		"?" + upstream.QueryOffset + "=" + strconv.Itoa(s.events))
	out, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return errors.Wrap(err, "build resume")
	}
	response, err := s.relay.options.Transport.RoundTrip(out)
	if err != nil {
		return s.cause(ctx, err)
	}
	defer response.Body.Close()
	if err := s.checkResumed(response); err != nil {
		return err
	}
	return s.pump(response, timer)
}

// resumeContext bounds the wait for the next event. Before the first one, the
// request's deadline still holds.
func (s *streaming) resumeContext() (context.Context, *stallTimer) {
	if !s.out.begun {
		return s.firstContext()
	}
	return s.context(s.relay.options.StallTimeout, ErrStalled)
}

// errCannotResume is an upstream that does not have the attempt any more.
var errCannotResume = errors.New("answer was cut and cannot be resumed")

func (s *streaming) checkResumed(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusNotFound, http.StatusGone, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return errCannotResume
	}
	if !isEventStream(response) {
		return errors.Wrapf(ErrCut, "resume was answered with status %d", response.StatusCode)
	}
	if !s.relay.options.Dialect.Echoes(response.Header, s.call.Out) {
		return errors.Wrap(ErrCut, "resume got another attempt's answer")
	}
	return nil
}

// breakOff tells the caller that the stream ends broken. The connection is
// aborted after that, so the stream has no proper end either.
func (s *streaming) breakOff() {
	if err := s.out.write([]byte(errorEvent)); err != nil {
		return
	}
	// A caller that is gone needs no event.
	_ = s.out.flush()
}
