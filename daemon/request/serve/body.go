package serve

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

const (
	// MaxBodyBytes limits the size of a request's body.
	MaxBodyBytes = 4 << 20
	// DefaultBodyTimeout is the default of Options.BodyTimeout.
	DefaultBodyTimeout = 30 * time.Second
	// firstChunkedBytes is what a body of unknown length holds at first. It doubles as the body grows.
	firstChunkedBytes = 16 << 10
	// movedBytes is the part of a body that must arrive for its sender to count as moving.
	movedBytes = 4 << 10
)

// limitUnreadBody sets a read deadline for the body of a request, until a handler that reads it sets
// another one; see generalCall.limitUnreadBody.
func limitUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// Writers in tests may not support deadlines.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

// readBody reads the body of the request that holds r, at most limit bytes of it, until the deadline.
// Its bytes count against the account's limit until r is released.
func (r *reservation) readBody(w http.ResponseWriter, req *http.Request, limit int64, deadline time.Time) ([]byte, *request.Refusal) {
	if req.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, refuse(request.ReasonTooLarge, "the body is over the limit")
	}
	if req.ContentLength == 0 {
		return nil, nil
	}
	size := req.ContentLength
	if size < 0 {
		size = min(firstChunkedBytes, limit)
	}
	if refusal := r.grow(size); refusal != nil {
		return nil, refusal
	}
	controller := http.NewResponseController(w)
	// Writers in tests may not support deadlines.
	_ = controller.SetReadDeadline(deadline)
	body, err := r.readAll(w, http.MaxBytesReader(w, req.Body, limit), make([]byte, 0, size), req.ContentLength >= 0, limit)
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, bodyReadRefusal(err)
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// readAll reads to the end into body, whose capacity is reserved. If the length is known, it is that
// capacity; otherwise body grows, up to limit. A read deadline of w ends the
// reading if the reservation is revoked.
func (r *reservation) readAll(w http.ResponseWriter, reader io.Reader, body []byte, known bool, limit int64) ([]byte, error) {
	reading, mark := false, 0
	for {
		if len(body) == cap(body) {
			if known {
				break
			}
			// One byte more than the limit lets the reader report what is over it.
			size := min(2*int64(cap(body)), limit+1)
			if refusal := r.grow(size - int64(cap(body))); refusal != nil {
				r.endReading(false)
				return nil, refusal
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) && (!known || len(body) == cap(body)) {
			break
		}
		if err != nil {
			if refusal := r.endReading(false); refusal != nil {
				return nil, refusal
			}
			return nil, err
		}
		switch {
		case known && len(body) == cap(body):
		case !reading:
			// A body that has arrived with its head costs nothing here.
			reading, mark = true, len(body)
			if refusal := r.beginReading(w); refusal != nil {
				return nil, refusal
			}
		case len(body)-mark >= movedBytes:
			mark = len(body)
			r.movedAt.Store(time.Now().UnixNano())
		}
	}
	if refusal := r.endReading(true); refusal != nil {
		return nil, refusal
	}
	return body, nil
}

func bodyReadRefusal(err error) *request.Refusal {
	var refusal *request.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuse(request.ReasonTooLarge, "the body is over the limit")
	}
	return refuse(request.ReasonBadRequest, "the body did not arrive whole and in time")
}
