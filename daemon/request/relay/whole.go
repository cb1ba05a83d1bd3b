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

// minProgressBytes is how many bytes of a response must arrive within the stall timeout; in
// a plain service's event stream the end of a line suffices. A healthy upstream sends that
// many at once, while one that trickles single bytes does not.
const minProgressBytes = 256

// maxBufferedBytes limits the size of a response that is buffered until it is complete. A
// buffered response that is truncated has not been written at all, so the attempt may be
// retried.
const maxBufferedBytes = 256 << 10

// BufferedResponse is a complete response that has not been written yet.
type BufferedResponse struct {
	Status int
	header http.Header
	body   []byte
	writer *callerWriter
}

// Len returns the length of the body in bytes.
func (b *BufferedResponse) Len() int { return len(b.body) }

// Write writes the response to the caller.
func (b *BufferedResponse) Write() error {
	if b.Status != http.StatusNoContent && b.Status != http.StatusNotModified {
		b.writer.w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	}
	b.writer.recorder = nil
	b.writer.writeHeader(b.Status, b.header)
	if err := b.writer.write(b.body); err != nil {
		return err
	}
	return b.writer.flush()
}

// relayNonStream relays a response that is not a model engine's event stream.
func (a *attempt) relayNonStream(response *http.Response, timer *stallTimer) Result {
	if lacksFraming(response) && !a.relay.options.General && !a.validatesJSON(response) {
		return a.failedResult(errors.Wrap(ErrTruncated, "response has neither a length nor chunked encoding"))
	}
	a.begunAt = time.Now()
	if a.call.Kind == version.PoolService {
		a.firstToken = time.Since(a.started)
	}
	if a.shouldBuffer(response) {
		return a.buffer(response, timer)
	}
	return a.passThrough(response, nil, timer)
}

// lacksFraming reports whether the response has neither a length nor chunked encoding, so
// that a truncated body would look complete.
func lacksFraming(response *http.Response) bool {
	return response.Request.Method != http.MethodHead && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// shouldBuffer reports whether to buffer the response until it is complete. A plain
// service's response without a length may be a stream, so it is not buffered.
func (a *attempt) shouldBuffer(response *http.Response) bool {
	if response.Request.Method == http.MethodHead || response.ContentLength > maxBufferedBytes {
		return false
	}
	return a.call.Kind == version.PoolModel || response.ContentLength >= 0 || a.needsLength(response)
}

// needsLength reports whether the response must be sent with a length that isn't known yet:
// HTTP/1.0 has no chunked encoding, so the caller could not recognise a truncated body.
func (a *attempt) needsLength(response *http.Response) bool {
	return response.ContentLength < 0 && !a.call.Request.ProtoAtLeast(1, 1)
}

// buffer reads a response and leaves it to the caller of Do to write. A response that
// exceeds maxBufferedBytes is passed through instead.
func (a *attempt) buffer(response *http.Response, timer *stallTimer) Result {
	body, err := a.readBuffered(response)
	if err != nil {
		return a.failedResult(a.classify(response.Request.Context(), err))
	}
	whole := body.complete
	if !whole && a.needsLength(response) {
		result := a.failedResult(errors.New("response without a length exceeds the buffer limit and cannot be sent over HTTP/1.0"))
		result.Retryable = false
		return result
	}
	if !whole && lacksFraming(response) && !a.relay.options.General {
		result := a.failedResult(errors.New("response without a length exceeds the buffer limit, so its end cannot be told from a truncation"))
		result.Retryable = false
		return result
	}
	if !whole {
		return a.passThrough(response, body.bytes, timer)
	}
	if a.validatesJSON(response) && !json.Valid(body.bytes) {
		return a.failedResult(errors.Wrap(ErrTruncated, "response is not complete JSON"))
	}
	a.chargeResponse(response, body.bytes)
	a.writer.setHeader(response.StatusCode, response.Header)
	if a.writer.recorder != nil {
		a.writer.recorder.add(body.bytes)
	}
	result := a.completedResult(DeliveryBuffered, response.StatusCode)
	result.Retryable = a.upstreamAtFault(response.StatusCode)
	result.Buffered = &BufferedResponse{Status: response.StatusCode, header: response.Header, body: body.bytes, writer: a.writer}
	return result
}

// bufferedBody is the begin of a response's body that has been read.
type bufferedBody struct {
	bytes []byte
	// complete is set if it is the whole body.
	complete bool
}

// minBufferCapacity is the least capacity for a buffered body, in bytes.
const minBufferCapacity = 1 << 10

// readBuffered reads the body of a response. It stops, with an incomplete body, at
// maxBufferedBytes and where the memory for answers does not suffice to buffer more.
func (a *attempt) readBuffered(response *http.Response) (bufferedBody, error) {
	var body []byte
	expected := min(max(int(response.ContentLength)+1, minBufferCapacity), freeContentBytes)
	for {
		if len(body) == cap(body) {
			capacity := min(max(2*cap(body), expected), maxBufferedBytes+1)
			if len(body) > maxBufferedBytes || a.holding.hold(capacity) != nil {
				return bufferedBody{bytes: body}, nil
			}
			grown := make([]byte, len(body), capacity)
			copy(grown, body)
			body = grown
		}
		n, err := response.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return bufferedBody{bytes: body, complete: len(body) <= maxBufferedBytes}, nil
		}
		if err != nil {
			return bufferedBody{}, err
		}
	}
}

// passThrough relays a response of any length as it arrives, starting with the bytes in
// alreadyRead.
func (a *attempt) passThrough(response *http.Response, alreadyRead []byte, timer *stallTimer) Result {
	if response.ContentLength >= 0 {
		a.writer.w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	a.writer.writeHeader(response.StatusCode, response.Header)
	if response.Request.Method == http.MethodHead {
		a.chargeResponse(response, nil)
		return a.completedResult(DeliveryComplete, response.StatusCode)
	}
	err := a.writeAndFlush(alreadyRead)
	// Holding less is never refused.
	_ = a.holding.hold(0)
	timer.restart(a.relay.options.StallTimeout)
	buffer, bytesSinceProgress, events := make([]byte, readBufferBytes), 0, isEventStream(response)
	empty := len(alreadyRead) == 0
	for err == nil {
		var n int
		n, err = a.passNextChunk(response, buffer)
		empty = empty && n == 0
		bytesSinceProgress += n
		if bytesSinceProgress >= minProgressBytes || events && bytes.IndexByte(buffer[:n], '\n') >= 0 {
			timer.restart(a.relay.options.StallTimeout)
			bytesSinceProgress = 0
		}
	}
	a.chargeResponse(response, nil)
	if empty && lacksFraming(response) {
		// Nothing shows that the upstream has begun to write it.
		a.begunAt = time.Time{}
	}
	switch {
	case errors.Is(err, io.EOF):
		return a.completedResult(DeliveryComplete, response.StatusCode)
	case errors.Is(err, ErrCallerGone):
		return a.callerGoneResult()
	}
	return a.brokenResult()
}

// passNextChunk relays the next chunk from the upstream and returns its length in bytes. It
// returns io.EOF at the proper end of the body.
func (a *attempt) passNextChunk(response *http.Response, buffer []byte) (int, error) {
	n, err := response.Body.Read(buffer)
	if n > 0 {
		if err := a.writeAndFlush(buffer[:n]); err != nil {
			return n, err
		}
	}
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	return n, a.classify(response.Request.Context(), err)
}

func (a *attempt) writeAndFlush(chunk []byte) error {
	if err := a.writer.write(chunk); err != nil {
		return err
	}
	return a.writer.flush()
}

// chargeResponse charges the cost of a response that was not counted event by event.
func (a *attempt) chargeResponse(response *http.Response, body []byte) {
	switch {
	case a.call.Kind == version.PoolService:
		a.meter.countPlainCall(time.Since(a.started))
	case response.StatusCode == http.StatusOK:
		a.meter.countResponse(body)
	}
	a.meter.settle()
}

// validatesJSON reports whether a response is an engine's JSON, whose end is recognised by its
// form once it is buffered.
func (a *attempt) validatesJSON(response *http.Response) bool {
	return a.call.Kind == version.PoolModel && declaresJSON(response)
}

func declaresJSON(response *http.Response) bool {
	media, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && media == "application/json"
}
