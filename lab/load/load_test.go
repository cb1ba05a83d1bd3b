package load

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	"github.com/trefoilwell/trefoilwell/fleet/request"
)

func TestRunCountsCompleteBrokenAndRefusedAnswers(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		switch calls.Add(1) % 4 {
		case 0:
			fmt.Fprint(w, "data: a\n\ndata: b\n\ndata: [DONE]\n\n")
		case 1:
			fmt.Fprint(w, "data: a\n\n")
		case 2:
			serve.WriteRefusal(w, &request.Refusal{Reason: request.ReasonDeadline, Execution: request.NotExecuted})
		case 3:
			http.Error(w, "not a refusal", http.StatusBadGateway)
		}
	}))
	defer server.Close()
	result := Run(t.Context(), Options{
		Addresses: []string{strings.TrimPrefix(server.URL, "http://")},
		Accounts:  []Account{{Name: "counters", Callers: 1, Requests: 8, Weight: 1, Model: "m", MaxTokens: 2}},
	})[0]
	if result.Answers != 2 || result.Tokens != 4 {
		t.Errorf("%d complete answers with %d tokens, want 2 with 4", result.Answers, result.Tokens)
	}
	if result.Broken != 4 {
		t.Errorf("%d broken answers, want 4: truncated streams and errors that are no refusal are both broken", result.Broken)
	}
	if result.Refused[request.ReasonDeadline] != 2 {
		t.Errorf("refusals are %v, want 2 for the deadline", result.Refused)
	}
}

func TestRequestsAreDividedAmongCallers(t *testing.T) {
	account := Account{Callers: 3, Requests: 8}
	total := 0
	for j := range account.Callers {
		total += requestsOf(account, j)
	}
	if total != account.Requests {
		t.Errorf("callers send %d requests, want %d", total, account.Requests)
	}
}
