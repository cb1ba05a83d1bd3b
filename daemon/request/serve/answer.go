package serve

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"

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

// statusOf gives the HTTP status of each reason.
var statusOf = map[request.Reason]int{
	request.ReasonUnauthorised:      http.StatusUnauthorized,
	request.ReasonBadRequest:        http.StatusBadRequest,
	request.ReasonTooLarge:          http.StatusRequestEntityTooLarge,
	request.ReasonUnknownModel:      http.StatusNotFound,
	request.ReasonUnknownService:    http.StatusNotFound,
	request.ReasonAccountQueueFull:  http.StatusTooManyRequests,
	request.ReasonQueueFull:         http.StatusServiceUnavailable,
	request.ReasonDeadline:          http.StatusGatewayTimeout,
	request.ReasonNoUpstream:        http.StatusServiceUnavailable,
	request.ReasonNotReady:          http.StatusServiceUnavailable,
	request.ReasonUpstreamFailed:    http.StatusBadGateway,
	request.ReasonUpstreamRefused:   http.StatusServiceUnavailable,
	request.ReasonLedgerUnavailable: http.StatusServiceUnavailable,
	request.ReasonBadIdempotencyKey: http.StatusBadRequest,
	request.ReasonKeyReuse:          http.StatusUnprocessableEntity,
	request.ReasonOutcomeUnknown:    http.StatusConflict,
}

// WriteRefusal answers a caller with a refusal.
func WriteRefusal(w http.ResponseWriter, refusal *request.Refusal) {
	w.Header().Set(HeaderExecution, string(refusal.Execution))
	if refusal.RetryAfter > 0 {
		seconds := int(math.Ceil(refusal.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	status, known := statusOf[refusal.Reason]
	if !known {
		status = http.StatusInternalServerError
	}
	writeJSON(w, status, refusalBody{Error: refusalError{
		Type:      refusal.Reason,
		Message:   refusal.Detail,
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

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(body)
}
