package serve

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

func TestRefusalBeforeClaimGuaranteesNothingAboutEarlierCalls(t *testing.T) {
	tests := []struct {
		name    string
		key     string
		refusal request.Refusal
		want    request.Execution
	}{
		{"without a key", "", request.Refusal{Reason: request.ReasonQueueFull, Execution: request.NotExecuted}, request.NotExecuted},
		{"queue full", "k", request.Refusal{Reason: request.ReasonQueueFull, Execution: request.NotExecuted}, request.ExecutionUnknown},
		{"deadline", "k", request.Refusal{Reason: request.ReasonDeadline, Execution: request.NotExecuted}, request.ExecutionUnknown},
		{"draining", "k", request.Refusal{Reason: request.ReasonNotReady, Execution: request.NotExecuted}, request.ExecutionUnknown},
		{"no ledger, so no keyed call ever runs", "k", request.Refusal{Reason: request.ReasonLedgerUnavailable, Execution: request.NotExecuted}, request.NotExecuted},
		{"bad key", "k", request.Refusal{Reason: request.ReasonBadIdempotencyKey, Execution: request.NotExecuted}, request.NotExecuted},
		{"unknown model", "k", request.Refusal{Reason: request.ReasonUnknownModel, Execution: request.NotExecuted}, request.NotExecuted},
	}
	for _, test := range tests {
		r := httptest.NewRequest(http.MethodPost, "/booking/visit", nil)
		if test.key != "" {
			r.Header.Set(HeaderIdempotencyKey, test.key)
		}
		if got := refusalBeforeClaim(r, &test.refusal); got.Execution != test.want {
			t.Errorf("%s: execution %q, want %q", test.name, got.Execution, test.want)
		}
	}
}

// unconfiguredFleet is a Fleet without a configuration.
type unconfiguredFleet struct{ Fleet }

// Config implements Fleet.
func (unconfiguredFleet) Config() *version.Config { return nil }

func TestUnconfiguredRouterReportsUnknownExecutionForKeyedRequest(t *testing.T) {
	h := New(Options{Fleet: unconfiguredFleet{}})
	r := httptest.NewRequest(http.MethodPost, "/booking/visit", nil)
	r.Header.Set(HeaderIdempotencyKey, "018f0000-0000-7000-8000-000000000000")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	if got := w.Header().Get(HeaderExecution); w.Code != http.StatusServiceUnavailable || got != string(request.ExecutionUnknown) {
		t.Errorf("status %d with execution %q, want 503 with unknown", w.Code, got)
	}
}
