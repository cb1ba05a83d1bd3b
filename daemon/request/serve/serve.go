// Package serve is the callers' HTTP interface: it turns an HTTP request into
// a ticket, waits for a grant and relays the upstream's answer.
package serve

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/request/relay"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes = 4 << 20
	// DefaultDeadline bounds a request's wait if the caller sets none.
	DefaultDeadline = 60 * time.Second
	// charactersPerToken converts a prompt's length to tokens.
	charactersPerToken = 4
	// shortLaneLimit is the estimate up to which a request is short.
	shortLaneLimit = 256
	// defaultEstimate is the expected cost without any hint.
	defaultEstimate = 128
)

// Fleet decides when a request may run and where.
type Fleet interface {
	Config() *version.Config
	NewID() request.ID
	Acquire(ctx context.Context, ticket request.Ticket) (request.Grant, *request.Refusal)
}

// Options set up a Handler.
type Options struct {
	Fleet Fleet
	Relay *relay.Relay
	// Ledger claims requests with an idempotency key; without one they are
	// refused.
	Ledger Ledger
	Log    *slog.Logger
}

// Handler serves callers.
type Handler struct {
	options Options
	mux     *http.ServeMux
}

// New returns a handler.
func New(options Options) *Handler {
	h := &Handler{options: options, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST /v1/chat/completions", h.completion)
	h.mux.HandleFunc("POST /v1/completions", h.completion)
	h.mux.HandleFunc("GET /v1/models", h.models)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// authenticate returns the caller's client account.
func (h *Handler) authenticate(r *http.Request) (*version.Config, *version.Account, *request.Refusal) {
	config := h.options.Fleet.Config()
	if config == nil {
		return nil, nil, &request.Refusal{
			Reason:     request.ReasonNotReady,
			Execution:  request.NotRun,
			RetryAfter: time.Second,
			Detail:     "this router has no configuration yet",
		}
	}
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	account, known := config.AccountByKey(key)
	if !known {
		return nil, nil, &request.Refusal{
			Reason:    request.ReasonUnauthorised,
			Execution: request.NotRun,
			Detail:    "send a known API key as a bearer token",
		}
	}
	return config, account, nil
}

// completionBody is what the router reads of a completion request.
type completionBody struct {
	Model     string `json:"model"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (h *Handler) completion(w http.ResponseWriter, r *http.Request) {
	config, account, refusal := h.authenticate(r)
	if refusal != nil {
		WriteRefusal(w, refusal)
		return
	}
	body, refusal := readBody(w, r)
	if refusal != nil {
		WriteRefusal(w, refusal)
		return
	}
	var parsed completionBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		WriteRefusal(w, &request.Refusal{
			Reason:    request.ReasonBadRequest,
			Execution: request.NotRun,
			Detail:    "the body is not JSON: " + err.Error(),
		})
		return
	}
	pool, known := config.PoolByModel(parsed.Model)
	if !known {
		WriteRefusal(w, &request.Refusal{
			Reason:    request.ReasonUnknownModel,
			Execution: request.NotRun,
			Detail:    "no pool serves this model; see GET /v1/models",
		})
		return
	}
	h.run(w, r, account, pool, parsed, body)
}

func (h *Handler) run(w http.ResponseWriter, r *http.Request, account *version.Account, pool *version.Pool, parsed completionBody, body []byte) {
	ctx, cancel := context.WithTimeout(r.Context(), DefaultDeadline)
	defer cancel()
	estimate := estimateCost(parsed, body)
	ticket := request.Ticket{
		ID:       h.options.Fleet.NewID(),
		Account:  account.ID,
		Pool:     pool.ID,
		Lane:     laneOf(estimate),
		Estimate: estimate,
		Wait:     DefaultDeadline,
		Attempt:  1,
	}
	grant, refusal := h.options.Fleet.Acquire(ctx, ticket)
	if refusal != nil {
		WriteRefusal(w, refusal)
		return
	}
	call := relay.Call{Grant: grant, Account: account.ID, Request: r, Body: body}
	if refusal := h.options.Relay.Do(r.Context(), w, call); refusal != nil {
		WriteRefusal(w, refusal)
	}
}

func (h *Handler) models(w http.ResponseWriter, r *http.Request) {
	config, _, refusal := h.authenticate(r)
	if refusal != nil {
		WriteRefusal(w, refusal)
		return
	}
	writeJSON(w, http.StatusOK, modelList(config))
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *request.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &request.Refusal{
			Reason:    request.ReasonTooLarge,
			Execution: request.NotRun,
			Detail:    "the body is over the limit",
		}
	}
	if err != nil {
		return nil, &request.Refusal{
			Reason:    request.ReasonBadRequest,
			Execution: request.NotRun,
			Detail:    "the body could not be read",
		}
	}
	return body, nil
}

func estimateCost(parsed completionBody, body []byte) request.Cost {
	output := parsed.MaxTokens
	if output <= 0 {
		output = defaultEstimate
	}
	return request.Cost(output + len(body)/charactersPerToken/promptDiscount)
}

// promptDiscount is how many prompt tokens cost as much as one generated one.
const promptDiscount = 10

func laneOf(estimate request.Cost) request.Lane {
	if estimate <= shortLaneLimit {
		return request.LaneShort
	}
	return request.LaneLong
}
