// Package operator is the operators' HTTP interface of one daemon: its status,
// its time line, its metrics and the orders that reach it past the platform.
//
// Every call needs the operators' token as a bearer token.
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
	// PathOrders takes a version.Order by POST and answers with an Accepted.
	PathOrders = "/v1/orders"
	// PathMetrics answers GET with the process's expvar metrics.
	PathMetrics = "/debug/vars"
	// maxOrderBytes bounds the body of an order.
	maxOrderBytes = 64 << 10
)

var (
	// ErrBadOrder is returned by Options.Order for an order that no daemon
	// would accept.
	ErrBadOrder = errors.New("bad order")
	// ErrNotReady is returned by Options.Order while the daemon has no
	// configuration that an order could change.
	ErrNotReady = errors.New("no configuration yet")
)

// Options set up a Handler.
type Options struct {
	// Token authorises operators; required.
	Token string
	// Status returns the daemon's present state; required.
	Status func() Status
	// Timeline holds the process's events; required.
	Timeline *timeline.Ring
	// Metrics serves the process's metrics; required.
	Metrics http.Handler
	// Order puts an order in force here and passes it on; required. It
	// returns the configuration number that includes the order.
	Order func(ctx context.Context, order version.Order) (version.Number, error)
	Log   *slog.Logger
}

// Accepted answers an order.
type Accepted struct {
	// Number is the configuration number that includes the order here.
	Number version.Number `json:"number"`
}

// Failure is the body of every answer but 200.
type Failure struct {
	Error string `json:"error"`
}

// Handler serves operators.
type Handler struct {
	options Options
	token   [sha256.Size]byte
	mux     *http.ServeMux
}

// New returns a handler.
func New(options Options) *Handler {
	h := &Handler{
		options: options,
		token:   sha256.Sum256([]byte(options.Token)),
		mux:     http.NewServeMux(),
	}
	h.mux.HandleFunc("GET "+PathStatus, h.status)
	h.mux.HandleFunc("GET "+PathTimeline, h.timeline)
	h.mux.HandleFunc("POST "+PathOrders, h.order)
	h.mux.Handle("GET "+PathMetrics, options.Metrics)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !h.authorised(r) {
		w.Header().Set("WWW-Authenticate", "Bearer")
		fail(w, http.StatusUnauthorized, "send the operators' token as a bearer token")
		return
	}
	h.mux.ServeHTTP(w, r)
}

// authorised compares digests, so that neither the token's content nor its
// length shows in the time taken.
func (h *Handler) authorised(r *http.Request) bool {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || h.options.Token == "" {
		return false
	}
	sum := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(sum[:], h.token[:]) == 1
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
	number, err := h.options.Order(r.Context(), order)
	if err != nil {
		fail(w, statusOf(err), err.Error())
		return
	}
	h.options.Log.Info("order accepted", "operation", order.Operation, "target", order.Target,
		"name", order.Name, "out", order.Out, "version", number)
	writeJSON(w, http.StatusOK, Accepted{Number: number})
}

func statusOf(err error) int {
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
	writeJSON(w, status, Failure{Error: message})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The operator may have gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(body)
}
