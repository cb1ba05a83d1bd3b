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
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes = 4 << 20
	// DefaultBodyTimeout is the default of Options.BodyTimeout.
	DefaultBodyTimeout = 30 * time.Second
)

// readBody reads a request's body, which the account holds from then on.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, account version.AccountID) ([]byte, *request.Refusal) {
	if r.ContentLength > MaxBodyBytes {
		w.Header().Set("Connection", "close")
		return nil, refuse(request.ReasonTooLarge, "the body is over the limit")
	}
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = MaxBodyBytes
	}
	if refusal := h.holdings.reserve(account, reserved); refusal != nil {
		return nil, refusal
	}
	body, err := h.readInTime(w, r)
	if err != nil {
		h.holdings.free(account, reserved)
		return nil, unreadable(err)
	}
	h.holdings.free(account, reserved-int64(len(body)))
	return body, nil
}

// readInTime reads the body before the body timeout ends.
func (h *Handler) readInTime(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	// A writer without deadlines is one of a test.
	_ = control.SetReadDeadline(time.Now().Add(h.options.BodyTimeout))
	limited := http.MaxBytesReader(w, r.Body, MaxBodyBytes)
	body, err := readAll(limited, r.ContentLength)
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, err
}

// readAll reads to the end, without growing a buffer if the length is known.
func readAll(reader io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(reader)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(reader, body)
	return body, err
}

func unreadable(err error) *request.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuse(request.ReasonTooLarge, "the body is over the limit")
	}
	return refuse(request.ReasonBadRequest, "the body did not arrive whole and in time")
}
