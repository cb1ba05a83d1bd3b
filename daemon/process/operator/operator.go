// Package operator serves the operators' HTTP interface of one daemon: its status,
// timeline and metrics, and orders that are sent to the daemon directly, without the
// platform.
//
// Every request must carry the operators' token as a bearer token.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// PathStatus answers GET with a Status.
	PathStatus = "/v1/status"
	// PathTimeline answers GET with events as JSON lines, oldest first.
	PathTimeline = "/v1/timeline"
	// PathOrders accepts a version.Order by POST and answers with an OrderResponse.
	PathOrders = "/v1/orders"
	// PathMetrics answers GET with the daemon's metrics in expvar's format.
	PathMetrics = "/debug/vars"
	// maxOrderBytes limits the body of an order.
	maxOrderBytes = 64 << 10
)

var (
	// ErrBadOrder is returned by Options.ApplyOrder for an invalid order, which every
	// daemon would refuse.
	ErrBadOrder = errors.New("bad order")
	// ErrNotReady is returned by Options.ApplyOrder while the daemon cannot apply orders,
	// in particular while it has no configuration.
	ErrNotReady = errors.New("no configuration yet")
)

// Options set up a Handler.
type Options struct {
	// Token authorises operators; required.
	Token string
	// Status returns the daemon's current state; required.
	Status func() Status
	// Timeline holds the daemon's events; required.
	Timeline *timeline.Ring
	// Metrics serves the daemon's metrics; required.
	Metrics http.Handler
	// Prompts are the held prompt segments; required.
	Prompts Prompts
	// Limits returns the limits that upstreams name; required.
	Limits func() []UpstreamLimit
	// ApplyOrder applies an order on this daemon and forwards it to others; required. It
	// returns the number of the configuration that includes the order.
	ApplyOrder func(ctx context.Context, order version.Order) (version.Number, error)
	Log        *slog.Logger
}

// OrderResponse is the response to an accepted order.
type OrderResponse struct {
	// Number is the number of this daemon's configuration that includes the order.
	Number version.Number `json:"number"`
}

// ErrorResponse is the response body of every status other than 200.
type ErrorResponse struct {
	Error string `json:"error"`
}

// Handler serves the operators' interface.
type Handler struct {
	options Options
	mux     *http.ServeMux
}

// New returns a handler.
func New(options Options) *Handler {
	h := &Handler{options: options, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET "+PathStatus, h.status)
	h.mux.HandleFunc("GET "+PathTimeline, h.timeline)
	h.mux.HandleFunc("POST "+PathOrders, h.order)
	h.mux.HandleFunc("POST "+PathExplain, notExplained)
	h.mux.Handle("GET "+PathMetrics, options.Metrics)
	AddPrompts(h.mux, options.Prompts, options.Log)
	AddLimits(h.mux, options.Limits)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if Authorise(w, r, h.options.Token) {
		h.mux.ServeHTTP(w, r)
	}
}

// Authorise reports whether a request carries the operators' token, and answers it with status
// 401 if not. It compares digests in constant time, so that the response time reveals neither
// the token's content nor its length. An empty token authorises nobody.
func Authorise(w http.ResponseWriter, r *http.Request, token string) bool {
	given, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	givenDigest, digest := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(token))
	if found && token != "" && subtle.ConstantTimeCompare(givenDigest[:], digest[:]) == 1 {
		return true
	}
	w.Header().Set("WWW-Authenticate", "Bearer")
	fail(w, http.StatusUnauthorized, "send the operators' token as a bearer token")
	return false
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.options.Status())
}

func (h *Handler) timeline(w http.ResponseWriter, r *http.Request) {
	filter, err := ParseFilter(r.URL.Query())
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	encoder := json.NewEncoder(w)
	for _, event := range h.options.Timeline.Events() {
		if !filter.Matches(event) {
			continue
		}
		if err := encoder.Encode(event); err != nil {
			return
		}
	}
}

func (h *Handler) order(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrderBytes))
	if err != nil {
		fail(w, http.StatusRequestEntityTooLarge, "the order is too large or was cut short")
		return
	}
	var order version.Order
	if err := json.Unmarshal(body, &order); err != nil {
		fail(w, http.StatusBadRequest, "the order is not JSON: "+err.Error())
		return
	}
	number, err := h.options.ApplyOrder(r.Context(), order)
	if err != nil {
		fail(w, statusCodeOf(err), err.Error())
		return
	}
	h.options.Log.Info("order accepted", "operation", order.Operation, "target", order.Target,
		"name", order.Name, "out", order.Out, "version", number)
	writeJSON(w, http.StatusOK, OrderResponse{Number: number})
}

// statusCodeOf returns the HTTP status for an error of Options.ApplyOrder.
func statusCodeOf(err error) int {
	switch {
	case errors.Is(err, ErrBadOrder):
		return http.StatusBadRequest
	case errors.Is(err, ErrNotReady):
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

func fail(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, ErrorResponse{Error: message})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails if the operator has disconnected; the error cannot be reported.
	_ = json.NewEncoder(w).Encode(body)
}
