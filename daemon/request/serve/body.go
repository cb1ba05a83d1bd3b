package serve

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// MaxBodyBytes limits the size of a request's body.
	MaxBodyBytes = 4 << 20
	// DefaultBodyTimeout is the default of Options.BodyTimeout.
	DefaultBodyTimeout = 30 * time.Second
)

// readBody reads a request's body. Its bytes count against the account's limit until the
// request's reservation is released.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, account version.AccountID) ([]byte, *request.Refusal) {
	if r.ContentLength > MaxBodyBytes {
		w.Header().Set("Connection", "close")
		return nil, refuse(request.ReasonTooLarge, "the body is over the limit")
	}
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = MaxBodyBytes
	}
	if refusal := h.limiter.reserve(account, reserved); refusal != nil {
		return nil, refusal
	}
	body, err := h.readWithTimeout(w, r)
	if err != nil {
		h.limiter.free(account, reserved)
		return nil, bodyReadRefusal(err)
	}
	h.limiter.free(account, reserved-int64(len(body)))
	return body, nil
}

// readWithTimeout reads the body within Options.BodyTimeout.
func (h *Handler) readWithTimeout(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	controller := http.NewResponseController(w)
	// Writers in tests may not support deadlines.
	_ = controller.SetReadDeadline(time.Now().Add(h.options.BodyTimeout))
	limited := http.MaxBytesReader(w, r.Body, MaxBodyBytes)
	body, err := readAll(limited, r.ContentLength)
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
	}
	return body, err
}

// readAll reads to the end. If the length is known (not negative), it allocates the buffer
// once.
func readAll(reader io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(reader)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(reader, body)
	return body, err
}

func bodyReadRefusal(err error) *request.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuse(request.ReasonTooLarge, "the body is over the limit")
	}
	return refuse(request.ReasonBadRequest, "the body did not arrive whole and in time")
}
