package operator

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// PathExplain accepts an ExplainRequest by POST and answers with an ExplainResponse.
	PathExplain = "/v1/explain"
	// maxExplainBytes limits the body of an ExplainRequest.
	maxExplainBytes = 16 << 10
	// MaxExplainSegments limits the prompt segments, MaxExplainTokens the tokens of a prompt and of
	// each of its segments, and MaxExplainText the length of each text in bytes.
	MaxExplainSegments = 64
	MaxExplainTokens   = 10_000_000
	MaxExplainText     = 2048
	// maxExplainBody is the largest size of a body that may be asked about, in bytes.
	maxExplainBody = 1 << 40
	// maxExplainDeadlineMS is the longest deadline that may be asked about.
	maxExplainDeadlineMS = int64(time.Hour / time.Millisecond)
	// explainInterval is the least time between two explanations. Each holds up the decisions of
	// requests, for 0.5 ms of processor time in a pool of 400 upstreams.
	explainInterval = 100 * time.Millisecond
)

// ErrBadQuestion marks a question that names something unknown.
var ErrBadQuestion = errors.New("bad question")

// ExplainRequest describes a request whose way is to be explained.
type ExplainRequest struct {
	// Route is the name of the route; empty if Host and Path select it.
	Route string `json:"route,omitempty"`
	Host  string `json:"host,omitempty"`
	Path  string `json:"path,omitempty"`
	// Account is the name of the caller's account; empty for a request without an API key.
	Account string `json:"account,omitempty"`
	// RequestID selects the service if the route splits its requests.
	RequestID  string         `json:"request_id,omitempty"`
	Prompt     *ExplainPrompt `json:"prompt,omitempty"`
	BodyBytes  int            `json:"body_bytes,omitempty"`
	DeadlineMS int64          `json:"deadline_ms,omitempty"`
}

// ExplainPrompt describes a prompt. Tokens includes those of the segments.
type ExplainPrompt struct {
	Tokens     int              `json:"tokens"`
	MaxOutput  int              `json:"max_output"`
	OutputHint int              `json:"output_hint,omitempty"`
	Segments   []ExplainSegment `json:"segments,omitempty"`
}

// ExplainSegment is a segment of a prompt. ID is hexadecimal, as callers write it.
type ExplainSegment struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// Check returns an error if a value of the request is out of bounds.
func (r *ExplainRequest) Check() error {
	for name, text := range map[string]string{"route": r.Route, "host": r.Host, "path": r.Path, "account": r.Account, "request_id": r.RequestID} {
		if len(text) > MaxExplainText {
			return errors.Wrapf(ErrBadQuestion, "%s is longer than %d bytes", name, MaxExplainText)
		}
	}
	switch {
	case r.Route == "" && (r.Host == "" || r.Path == ""):
		return errors.Wrap(ErrBadQuestion, "give a route, or a host and a path")
	case r.BodyBytes < 0 || r.BodyBytes > maxExplainBody:
		return errors.Wrapf(ErrBadQuestion, "body_bytes is %d", r.BodyBytes)
	case r.DeadlineMS < 0 || r.DeadlineMS > maxExplainDeadlineMS:
		return errors.Wrapf(ErrBadQuestion, "deadline_ms is %d, want at most %d", r.DeadlineMS, maxExplainDeadlineMS)
	}
	if r.Prompt == nil {
		return nil
	}
	counts := []int{r.Prompt.Tokens, r.Prompt.MaxOutput, r.Prompt.OutputHint}
	for _, segment := range r.Prompt.Segments {
		counts = append(counts, segment.Tokens)
	}
	for _, n := range counts {
		if n < 0 || n > MaxExplainTokens {
			return errors.Wrapf(ErrBadQuestion, "a number of tokens is %d, want 0 to %d", n, MaxExplainTokens)
		}
	}
	if len(r.Prompt.Segments) > MaxExplainSegments {
		return errors.Wrapf(ErrBadQuestion, "%d prompt segments, want at most %d", len(r.Prompt.Segments), MaxExplainSegments)
	}
	return nil
}

// ExplainResponse tells where a request would go now, and why. Durations are in milliseconds.
type ExplainResponse struct {
	VM      version.VMID   `json:"vm"`
	Version version.Number `json:"version"`
	// ConfigAgeMS is the time since the store confirmed the configuration; -1 if it has not.
	ConfigAgeMS int64  `json:"config_age_ms"`
	Route       string `json:"route,omitempty"`
	Pool        string `json:"pool,omitempty"`
	// Pools is the number of services among which the route splits its requests.
	Pools       int     `json:"pools,omitempty"`
	Account     string  `json:"account,omitempty"`
	ObjectiveMS float64 `json:"objective_ms,omitempty"`
	// AdmittedFraction is below 1 while the VM is behind with its work and rejects some requests.
	AdmittedFraction float64 `json:"admitted_fraction"`
	// Trial is set if the request would be sent although a prompt segment is held.
	Trial bool `json:"trial,omitempty"`
	// Outcome is OutcomeSent or OutcomeRefused.
	Outcome string `json:"outcome"`
	// Upstream is the chosen one, and PredictedMS its predicted time to first byte.
	Upstream    string          `json:"upstream,omitempty"`
	PredictedMS float64         `json:"predicted_ms,omitempty"`
	Refusal     *ExplainRefusal `json:"refusal,omitempty"`
	// ShareUsed is what the account was granted lately relative to its fair share, and OfHighest the
	// same relative to the account that was granted most. What was granted fades within ShareWindowMS.
	ShareUsed     float64 `json:"share_used"`
	OfHighest     float64 `json:"of_highest"`
	ShareWindowMS float64 `json:"share_window_ms,omitempty"`
	// Rule is the rule of a rollout that the decision keeps to.
	Rule *ExplainRule `json:"rule,omitempty"`
	// LastResort is set if only upstreams that this VM considers unresponsive were left.
	LastResort bool              `json:"last_resort,omitempty"`
	Upstreams  []ExplainUpstream `json:"upstreams,omitempty"`
	// Omitted is the number of upstreams of the pool beyond those listed.
	Omitted int `json:"omitted,omitempty"`
}

// The outcomes of an ExplainResponse.
const (
	OutcomeSent    = "sent"
	OutcomeRefused = "refused"
)

// ExplainRefusal is the refusal that the request would get. RetryAfterMS is 0 if the response would
// have no Retry-After.
type ExplainRefusal struct {
	// BeforePlacement is set if the request ends before an upstream is sought.
	BeforePlacement bool    `json:"before_placement"`
	Status          int     `json:"status"`
	Reason          string  `json:"reason"`
	Detail          string  `json:"detail"`
	RetryAfterMS    float64 `json:"retry_after_ms"`
	PredictedMS     float64 `json:"predicted_ms,omitempty"`
	LimitMS         float64 `json:"limit_ms,omitempty"`
}

// ExplainRule is the rule of a rollout: the only software version, those excluded, and whether only
// the canary upstreams are allowed.
type ExplainRule struct {
	Only   string   `json:"only,omitempty"`
	Except []string `json:"except,omitempty"`
	Canary bool     `json:"canary,omitempty"`
}

// ExplainUpstream is what the decision made of one upstream. Ages are null if nothing is known.
type ExplainUpstream struct {
	Name     string `json:"name"`
	Software string `json:"software,omitempty"`
	// Excluded is why the upstream was not considered, for ExcludedForMS at most if that is known.
	Excluded      string  `json:"excluded,omitempty"`
	ExcludedForMS float64 `json:"excluded_for_ms,omitempty"`
	Chosen        bool    `json:"chosen,omitempty"`
	Affinity      bool    `json:"affinity,omitempty"`
	AtCapacity    bool    `json:"at_capacity,omitempty"`
	// Chance is the probability with which a request like this is drawn for the upstream; 0 if nothing
	// was drawn and the lowest score decided.
	Chance float64 `json:"chance,omitempty"`
	// ScoreMS is what the request would cost: TTFBMS and the penalties. TTFBMS is the predicted time
	// to first byte, the sum of QueueMS, PrefillMS, OverheadMS and NetworkMS. LimitMS is the highest
	// one that is admitted; 0 if there is none.
	ScoreMS           float64 `json:"score_ms"`
	TTFBMS            float64 `json:"ttfb_ms"`
	LimitMS           float64 `json:"limit_ms,omitempty"`
	QueueMS           float64 `json:"queue_ms"`
	PrefillMS         float64 `json:"prefill_ms"`
	OverheadMS        float64 `json:"overhead_ms"`
	NetworkMS         float64 `json:"network_ms"`
	UncachedTokens    int     `json:"uncached_tokens"`
	UncachedPenaltyMS float64 `json:"uncached_penalty_ms"`
	FailurePenaltyMS  float64 `json:"failure_penalty_ms"`
	RegionPenaltyMS   float64 `json:"region_penalty_ms"`
	LoadPenaltyMS     float64 `json:"load_penalty_ms"`
	// Slowness is the factor of the times above against a usual upstream. PacePercent is the pace
	// that the upstream reported PaceAgeMS ago.
	Slowness    float64  `json:"slowness"`
	PacePercent int      `json:"pace_percent,omitempty"`
	PaceAgeMS   *float64 `json:"pace_age_ms"`
	// Own is the number of this VM's requests there, and Peers that of other VMs by reports of which
	// the oldest is PeerAgeMS old.
	Own       int      `json:"own"`
	Peers     int      `json:"peers"`
	PeerAgeMS *float64 `json:"peer_age_ms"`
	// Running, Waiting and Slots are what the upstream reported itself LoadAgeMS ago.
	Running   int            `json:"running"`
	Waiting   int            `json:"waiting"`
	Slots     int            `json:"slots"`
	LoadAgeMS *float64       `json:"load_age_ms"`
	Limits    []ExplainLimit `json:"limits,omitempty"`
}

// ExplainLimit bounds the requests of this VM to an upstream in any window. AgeMS is the time since
// the upstream named the limit.
type ExplainLimit struct {
	Kind     string  `json:"kind"`
	WindowMS float64 `json:"window_ms"`
	Sent     int     `json:"sent"`
	Quota    int     `json:"quota"`
	AgeMS    float64 `json:"age_ms,omitempty"`
}

// AddExplain adds the handler of explanations to a mux. Authorisation is up to the caller. The error
// of explain is an ErrBadQuestion.
func AddExplain(mux *http.ServeMux, explain func(ExplainRequest) (ExplainResponse, error)) {
	var mu sync.Mutex
	var last time.Time
	due := func() bool {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		if now.Sub(last) < explainInterval {
			return false
		}
		last = now
		return true
	}
	mux.HandleFunc("POST "+PathExplain, func(w http.ResponseWriter, r *http.Request) {
		// A body that does not come must not hold the handler.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(explainReadTimeout))
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxExplainBytes))
		if err != nil {
			fail(w, http.StatusRequestEntityTooLarge, "the question is too large or was cut short")
			return
		}
		var question ExplainRequest
		if err := json.Unmarshal(body, &question); err != nil {
			fail(w, http.StatusBadRequest, "the question is not JSON: "+err.Error())
			return
		}
		if err := question.Check(); err != nil {
			fail(w, http.StatusBadRequest, err.Error())
			return
		}
		if !due() {
			w.Header().Set("Retry-After", "1")
			fail(w, http.StatusTooManyRequests, "another explanation was given a moment ago; ask again")
			return
		}
		response, err := explain(question)
		if err != nil {
			fail(w, http.StatusBadRequest, err.Error())
			return
		}
		writeJSON(w, http.StatusOK, response)
	})
}

// explainReadTimeout limits the time in which a question arrives.
const explainReadTimeout = 2 * time.Second

// notExplained answers at daemons that queue requests at dispatchers.
func notExplained(w http.ResponseWriter, _ *http.Request) {
	fail(w, http.StatusNotImplemented, "this daemon queues requests at the dispatcher of their pool, which chooses an upstream only when a slot is free; "+
		"where a request would go is not known before. See trefoilctl status for the queues and trefoilctl timeline for what happened to requests")
}
