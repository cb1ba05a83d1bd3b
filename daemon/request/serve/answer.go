package serve

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// HeaderExecution carries a refusal's request.Execution.
const HeaderExecution = "X-Trefoilwell-Execution"

// refusalBody is the JSON form of every refusal.
type refusalBody struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	// Type is the request.Reason.
	Type      request.Reason    `json:"type"`
	Message   string            `json:"message"`
	Execution request.Execution `json:"execution"`
}

// form is how a reason is told to callers.
type form struct {
	status int
	// detail is one sentence for refusals that carry none.
	detail string
	// again is set if the same request may fare better later.
	again bool
}

// statusClientClosedRequest is the usual status for a caller that went away;
// nobody reads it.
const statusClientClosedRequest = 499

// forms gives the form of each reason.
var forms = map[request.Reason]form{
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
	request.ReasonOutcomeUnknown:    {http.StatusConflict, "the request may have run", false},
}

// defaultRetryAfter is when to come back if nothing better is known.
const defaultRetryAfter = time.Second

// answerWriteTimeout bounds the writing of an answer that the router itself
// gives.
const answerWriteTimeout = 30 * time.Second

// refuse returns a refusal of a request that has not run.
func refuse(reason request.Reason, detail string) *request.Refusal {
	return &request.Refusal{Reason: reason, Execution: request.NotRun, Detail: detail}
}

// WriteRefusal answers a caller with a refusal, at once.
func WriteRefusal(w http.ResponseWriter, refusal *request.Refusal) {
	reason, known := forms[refusal.Reason]
	if !known {
		reason = form{status: http.StatusInternalServerError}
	}
	detail := refusal.Detail
	if detail == "" {
		detail = reason.detail
	}
	wait := refusal.RetryAfter
	if wait <= 0 && reason.again {
		wait = defaultRetryAfter
	}
	header := w.Header()
	header.Set(HeaderExecution, string(refusal.Execution))
	if wait > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	if refusal.Reason == request.ReasonUnauthorised {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if refusal.Reason == request.ReasonNotReady {
		// The caller's next request should find another router.
		header.Set("Connection", "close")
	}
	writeJSON(w, reason.status, refusalBody{Error: refusalError{
		Type:      refusal.Reason,
		Message:   detail,
		Execution: refusal.Execution,
	}})
}

// modelsBody is the answer to GET /v1/models.
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

// RefusalBody returns the body of a refusal.
func RefusalBody(refusal *request.Refusal) []byte {
	return encode(refusalBody{Error: refusalError{
		Type: refusal.Reason, Message: refusal.Detail, Execution: refusal.Execution,
	}})
}

// encode returns a body of this package, all of which can be encoded.
func encode(body any) []byte {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return append(text, '\n')
}

// writeJSON answers with a body and sends it.
func writeJSON(w http.ResponseWriter, status int, body any) {
	text := encode(body)
	extendWrite(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	// The caller may have gone; there is nobody to tell.
	_, _ = w.Write(text)
	_ = http.NewResponseController(w).Flush()
}

// extendWrite gives the caller time to accept an answer.
func extendWrite(w http.ResponseWriter) {
	// A writer without deadlines is one of a test.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerWriteTimeout))
}
