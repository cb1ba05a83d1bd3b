package serve

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/unread"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// HeaderExecution carries the request.Execution of a refusal.
const HeaderExecution = "X-Trefoilwell-Execution"

// refusalBody is the JSON body of every refusal.
type refusalBody struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	// Type is the reason of the refusal.
	Type      request.Reason    `json:"type"`
	Message   string            `json:"message"`
	Execution request.Execution `json:"execution"`
}

// refusalForm is how a refusal reason is presented to callers.
type refusalForm struct {
	status int
	// detail is the message of refusals that have no detail of their own.
	detail string
	// retryable is set if the same request may succeed later.
	retryable bool
}

// statusClientClosedRequest is the status commonly recorded when the caller has
// disconnected; no caller receives it.
const statusClientClosedRequest = 499

// refusalForms maps each reason to its form.
var refusalForms = map[request.Reason]refusalForm{
	request.ReasonUnauthorised:      {http.StatusUnauthorized, "the API key is missing or unknown", false},
	request.ReasonBadRequest:        {http.StatusBadRequest, "the request cannot be understood", false},
	request.ReasonTooLarge:          {http.StatusRequestEntityTooLarge, "the body is over the limit", false},
	request.ReasonUnknownModel:      {http.StatusNotFound, "no pool serves this model", false},
	request.ReasonUnknownService:    {http.StatusNotFound, "no pool serves this path", false},
	request.ReasonMethodNotAllowed:  {http.StatusMethodNotAllowed, "the path does not take this method", false},
	request.ReasonAccountQueueFull:  {http.StatusTooManyRequests, "the account has too many requests waiting", true},
	request.ReasonQueueFull:         {http.StatusServiceUnavailable, "too many requests are waiting", true},
	request.ReasonDeadline:          {http.StatusGatewayTimeout, "the deadline passed", true},
	request.ReasonCallerGone:        {statusClientClosedRequest, "the caller went away", false},
	request.ReasonNoUpstream:        {http.StatusServiceUnavailable, "the pool has no upstream in service", true},
	request.ReasonNotReady:          {http.StatusServiceUnavailable, "this router is not ready", true},
	request.ReasonUpstreamFailed:    {http.StatusBadGateway, "the upstream failed", true},
	request.ReasonUpstreamRefused:   {http.StatusServiceUnavailable, "the upstream refused before running", true},
	request.ReasonLedgerUnavailable: {http.StatusServiceUnavailable, "the claim could not be recorded", true},
	request.ReasonBadIdempotencyKey: {http.StatusBadRequest, "the idempotency key cannot be used", false},
	request.ReasonKeyReuse:          {http.StatusUnprocessableEntity, "the idempotency key was used with another request", false},
	request.ReasonAnswerNotKept:     {http.StatusConflict, "the request ran and its answer was not kept", false},
	request.ReasonPromptHeld:        {http.StatusBadRequest, "a segment of the prompt crashes upstreams; do not repeat the request", false},
	request.ReasonStreamUnknown:     {http.StatusServiceUnavailable, "it is not known which software version began the stream", true},
	request.ReasonRequestHeld:       {http.StatusBadRequest, "the request crashes upstreams; do not repeat it", false},
	request.ReasonOutcomeUnknown:    {http.StatusConflict, "the request may have run", false},
}

// defaultRetryAfter is the Retry-After of a retryable refusal that specifies none.
const defaultRetryAfter = time.Second

// responseWriteTimeout limits the writing of a response that the router itself generates.
const responseWriteTimeout = 30 * time.Second

// refuse returns a refusal of a request that was not executed.
func refuse(reason request.Reason, detail string) *request.Refusal {
	return &request.Refusal{Reason: reason, Execution: request.NotExecuted, Detail: detail}
}

// WriteRefusal writes a refusal to the caller and flushes it.
func WriteRefusal(w http.ResponseWriter, refusal *request.Refusal) {
	form, found := refusalForms[refusal.Reason]
	if !found {
		form = refusalForm{status: http.StatusInternalServerError}
	}
	detail := refusal.Detail
	if detail == "" {
		detail = form.detail
	}
	retryAfter := refusal.RetryAfter
	if retryAfter <= 0 && form.retryable {
		retryAfter = defaultRetryAfter
	}
	header := w.Header()
	header.Set(HeaderExecution, string(refusal.Execution))
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	if refusal.Reason == request.ReasonUnauthorised {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if refusal.Reason == request.ReasonNotReady {
		// Close the connection so that the caller's next request reaches another router.
		header.Set("Connection", "close")
	}
	writeJSON(w, form.status, refusalBody{Error: refusalError{
		Type:      refusal.Reason,
		Message:   detail,
		Execution: refusal.Execution,
	}})
}

// modelsBody is the response to GET /v1/models.
type modelsBody struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func modelList(config *version.Config) modelsBody {
	list := modelsBody{Object: "list", Data: []modelBody{}}
	for _, pool := range config.Pools {
		for _, model := range pool.Models {
			list.Data = append(list.Data, modelBody{ID: model, Object: "model", OwnedBy: pool.Name})
		}
	}
	slices.SortFunc(list.Data, func(a, b modelBody) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// RefusalBody returns the JSON body of a refusal.
func RefusalBody(refusal *request.Refusal) []byte {
	return encodeJSON(refusalBody{Error: refusalError{
		Type: refusal.Reason, Message: refusal.Detail, Execution: refusal.Execution,
	}})
}

// encodeJSON returns the JSON of one of this package's bodies, all of which can be encoded.
func encodeJSON(body any) []byte {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return append(text, '\n')
}

// writeJSON writes a JSON response and flushes it.
func writeJSON(w http.ResponseWriter, status int, body any) {
	text := encodeJSON(body)
	extendWriteDeadline(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	// The caller may have disconnected; a write error needs no handling.
	_, _ = w.Write(text)
	_ = http.NewResponseController(w).Flush()
}

// extendWriteDeadline gives the caller responseWriteTimeout to accept the response.
func extendWriteDeadline(w http.ResponseWriter) {
	// Writers in tests may not support deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseWriteTimeout))
}

// abort ends a request whose response broke off, so that the response does not look complete. It does not
// return.
func abort(r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		unread.Abort(r.Context())
	}
	panic(http.ErrAbortHandler)
}
