package operations

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/cmd/trefoilctl/command"
	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
)

// explainPause is the time between two questions, which daemons limit.
const explainPause = 150 * time.Millisecond

// Guards against a table that leaves out the cause or the age of what is known, JSON that scripts
// cannot read, and a VM among several that cannot be picked out.
func TestExplanationIsPrinted(t *testing.T) {
	pace, load := 120.0, 2500.0
	answer := operator.ExplainResponse{
		VM: "vm-1", Version: 7, ConfigAgeMS: 300, Route: "booking", Pool: "rooms", Pools: 2, Account: "harbour", AdmittedFraction: 0.5,
		Outcome: operator.OutcomeRefused, ShareUsed: 1.4, OfHighest: 1, ShareWindowMS: 4000, Omitted: 3,
		Refusal: &operator.ExplainRefusal{Status: 429, Reason: "account-queue-full", Detail: "the account has had its share while others wait", RetryAfterMS: 350, PredictedMS: 410, LimitMS: 60},
		Rule:    &operator.ExplainRule{Except: []string{"v2"}},
		Upstreams: []operator.ExplainUpstream{
			{Name: "i-0", ScoreMS: 420, TTFBMS: 410, LimitMS: 60, QueueMS: 300, PacePercent: 250, PaceAgeMS: &pace, Running: 5, Waiting: 2, Slots: 8, LoadAgeMS: &load},
			{Name: "i-1", Excluded: "paused", ExcludedForMS: 1500},
			{Name: "i-2", Chance: 0.12},
		},
	}
	var asked operator.ExplainRequest
	mux := http.NewServeMux()
	operator.AddExplain(mux, func(question operator.ExplainRequest) (operator.ExplainResponse, error) {
		asked = question
		return answer, nil
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	env := newEnvironment(t)
	env.operators = []string{server.Listener.Addr().String()}
	args := []string{"explain", "--route", "booking", "--account", "harbour", "--segment", "c0:100", "--segment", "d1:50", "--max-output", "9"}
	out, _ := env.expectExit(command.ExitOK, args...)
	env.checkContains(out, "status 429, account-queue-full", "Retry-After 350ms", "140 % of its fair share", "admits 50 %", "splits its requests among 2",
		"not versions v2", "3 further upstreams", "too slow", "paused (1500ms)", "considered (12% of draws)", "250% (120ms)", "5+2/8 (2.5s)")
	if asked.Prompt == nil || asked.Prompt.Tokens != 150 || len(asked.Prompt.Segments) != 2 {
		t.Errorf("the daemon is asked %+v", asked)
	}
	time.Sleep(explainPause)
	out, _ = env.expectExit(command.ExitOK, append([]string{"--json"}, args...)...)
	var list []operator.ExplainResponse
	if err := json.Unmarshal([]byte(out), &list); err != nil || len(list) != 1 || list[0].Refusal.Reason != answer.Refusal.Reason {
		t.Errorf("JSON %s: %v", out, err)
	}
	time.Sleep(explainPause)
	if _, errs := env.expectExit(command.ExitFailure, append(args, "--vm", "vm-2")...); !strings.Contains(errs, `"vm-2"`) {
		t.Errorf("for a VM that is not asked: %s", errs)
	}
}

// Guards against daemons that queue requests at dispatchers and give a guess as the answer.
func TestDispatchersSayThatTheyCannotExplain(t *testing.T) {
	handler := operator.New(operator.Options{Token: operatorToken, Metrics: http.NotFoundHandler()})
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	env := newEnvironment(t)
	env.operators = []string{server.Listener.Addr().String()}
	_, errs := env.expectExit(command.ExitFailure, "explain", "--route", "booking")
	env.checkContains(errs, "status 501", "dispatcher", "trefoilctl timeline")
}
