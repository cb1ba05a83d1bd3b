package relay

import (
	"bytes"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// progressBytes is how much of an answer must come within the stall timeout; of a service's
// stream of events, the end of a line. A sound upstream sends so much in one piece, one
// that drips does not.
const progressBytes = 256

// holdBytes bounds the answer that is held until it is whole. One that is held
// and cut has not been written at all, so that it may be retried.
const holdBytes = 256 << 10

// Held is a whole answer that waits to be written.
type Held struct {
	Status int
	header http.Header
	body   []byte
	out    *callerWriter
}

// Len returns the length of the answer's body in bytes.
func (h *Held) Len() int { return len(h.body) }

// Write writes the answer to the caller.
func (h *Held) Write() error {
	if h.Status != http.StatusNoContent && h.Status != http.StatusNotModified {
		h.out.w.Header().Set("Content-Length", strconv.Itoa(len(h.body)))
	}
	h.out.recorder = nil
	h.out.begin(h.Status, h.header)
	if err := h.out.write(h.body); err != nil {
		return err
	}
	return h.out.flush()
}

// whole relays an answer that is no stream of events.
func (a *attempt) whole(response *http.Response, timer *stallTimer) Result {
	if unframed(response) && !a.relay.options.General {
		return a.failed(errors.Wrap(ErrCut, "answer without a length"))
	}
	if a.call.Kind == version.PoolService {
		a.first = time.Since(a.started)
	}
	if a.holds(response) {
		return a.hold(response, timer)
	}
	return a.pass(response, nil, timer)
}

// unframed reports whether the answer's end could not be told from a cut.
func unframed(response *http.Response) bool {
	return response.Request.Method != http.MethodHead && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// holds reports whether the answer is held until it is whole. A plain service
// that does not tell its answer's length may be streaming.
func (a *attempt) holds(response *http.Response) bool {
	if response.Request.Method == http.MethodHead || response.ContentLength > holdBytes {
		return false
	}
	return a.call.Kind == version.PoolModel || response.ContentLength >= 0 || a.needsLength(response)
}

// needsLength reports whether the caller could not tell the answer's end from
// a cut: HTTP/1.0 has no chunks.
func (a *attempt) needsLength(response *http.Response) bool {
	return response.ContentLength < 0 && !a.call.Request.ProtoAtLeast(1, 1)
}

// hold reads an answer and leaves its writing to the caller of Do. One that
// turns out too long to be held is passed on.
func (a *attempt) hold(response *http.Response, timer *stallTimer) Result {
	var body bytes.Buffer
	if response.ContentLength > 0 {
		body.Grow(int(response.ContentLength) + bytes.MinRead)
	}
	n, err := io.Copy(&body, io.LimitReader(response.Body, holdBytes+1))
	if err != nil {
		return a.failed(a.cause(response.Request.Context(), err))
	}
	if n > holdBytes && a.needsLength(response) {
		result := a.failed(errors.New("answer is too long for HTTP/1.0"))
		result.Retry = false
		return result
	}
	if n > holdBytes {
		return a.pass(response, body.Bytes(), timer)
	}
	if a.call.Kind == version.PoolModel && claimsJSON(response) && !json.Valid(body.Bytes()) {
		return a.failed(errors.Wrap(ErrCut, "answer is not whole JSON"))
	}
	a.count(response, body.Bytes())
	a.out.record(response.StatusCode, response.Header)
	if a.out.recorder != nil {
		a.out.recorder.add(body.Bytes())
	}
	result := a.done(EndHeld, response.StatusCode)
	result.Retry = a.upstreamAtFault(response.StatusCode)
	result.Held = &Held{Status: response.StatusCode, header: response.Header, body: body.Bytes(), out: a.out}
	return result
}

// pass relays an answer of any length as it comes, after what was read of it.
func (a *attempt) pass(response *http.Response, read []byte, timer *stallTimer) Result {
	if response.ContentLength >= 0 {
		a.out.w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	a.out.begin(response.StatusCode, response.Header)
	if response.Request.Method == http.MethodHead {
		a.count(response, nil)
		return a.done(EndRelayed, response.StatusCode)
	}
	err := a.passPiece(read)
	timer.progress(a.relay.options.StallTimeout)
	buffer, fresh, events := make([]byte, readBytes), 0, isEventStream(response)
	for err == nil {
		var n int
		n, err = a.passNext(response, buffer)
		fresh += n
		if fresh >= progressBytes || events && bytes.IndexByte(buffer[:n], '\n') >= 0 {
			timer.progress(a.relay.options.StallTimeout)
			fresh = 0
		}
	}
	a.count(response, nil)
	switch {
	case errors.Is(err, io.EOF):
		return a.done(EndRelayed, response.StatusCode)
	case errors.Is(err, ErrCallerGone):
		return a.gone()
	}
	return a.broken()
}

// passNext passes on what the upstream sends next and returns its length; io.EOF is the
// proper end.
func (a *attempt) passNext(response *http.Response, buffer []byte) (int, error) {
	n, err := response.Body.Read(buffer)
	if n > 0 {
		if err := a.passPiece(buffer[:n]); err != nil {
			return n, err
		}
	}
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	return n, a.cause(response.Request.Context(), err)
}

func (a *attempt) passPiece(piece []byte) error {
	if err := a.out.write(piece); err != nil {
		return err
	}
	return a.out.flush()
}

// count charges a whole answer.
func (a *attempt) count(response *http.Response, body []byte) {
	switch {
	case a.call.Kind == version.PoolService:
		a.meter.plain(time.Since(a.started))
	case response.StatusCode == http.StatusOK:
		a.meter.answer(body)
	}
	a.meter.end()
}

func claimsJSON(response *http.Response) bool {
	media, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && media == "application/json"
}
