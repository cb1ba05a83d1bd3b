package edge

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/cmd/trefoilctl/command"
	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
	"github.com/trefoilwell/trefoilwell/platform"
	"github.com/trefoilwell/trefoilwell/platform/platformtest"
)

// explainPause is the time between two questions, which daemons limit.
const explainPause = 150 * time.Millisecond

// explain asks one VM with trefoilctl and returns its answer.
func (f *crashingFleet) explain(vm int, args ...string) operator.ExplainResponse {
	f.t.Helper()
	time.Sleep(explainPause)
	var list []operator.ExplainResponse
	out := f.operate(vm, append([]string{"explain"}, args...)...)
	if err := json.Unmarshal([]byte(out), &list); err != nil || len(list) != 1 {
		f.t.Fatalf("explain prints %s: %v", out, err)
	}
	return list[0]
}

// explainForPeople asks one VM with trefoilctl and returns the exit code, output and errors.
func (f *crashingFleet) explainForPeople(vm int, token string, args ...string) (int, string, string) {
	f.t.Helper()
	time.Sleep(explainPause)
	_, operators := f.addresses(vm)
	var out, errs bytes.Buffer
	args = append([]string{"--operator", operators, "--operator-token", token, "explain"}, args...)
	code := command.Run(f.t.Context(), args, &out, &errs)
	return code, out.String(), errs.String()
}

// verdicts returns why each upstream was excluded.
func verdicts(r operator.ExplainResponse) string {
	var texts []string
	for _, u := range r.Upstreams {
		texts = append(texts, u.Name+" "+u.Excluded)
	}
	return strings.Join(texts, ", ")
}

// Guards against an explanation that differs from what requests get, that sends or changes something,
// or that anyone but an operator gets. The complaint is that bookings of an account are refused.
func TestExplanationLeadsFromComplaintToCause(t *testing.T) {
	f := startCrashingFleet(t, 2, 4, generalupstream.Deadly{}, generalupstream.Faults{})
	f.store.Put(platform.KindConfig, platform.ConfigName, twoAccounts())
	question := []string{"--host", host, "--path", "/bookings/x", "--account", account, "--segment", commonSegment + ":100", "--segment", "77:400", "--max-output", "20", "--body", "2000"}
	waitUntil(t, "the configuration is applied", func() bool { return f.explain(0, question...).Version == 2 })

	calm := f.explain(0, question...)
	if calm.Outcome != operator.OutcomeSent || calm.Upstream == "" || len(calm.Upstreams) != 4 || calm.Route != "booking" || calm.VM != "vm-0" {
		t.Errorf("in calm conditions: %+v", calm)
	}
	arrivals := func() (total int) {
		for _, u := range f.upstreams {
			total += len(u.Arrivals())
		}
		return total
	}
	if n := arrivals(); n != 0 {
		t.Errorf("explanations sent %d requests", n)
	}

	f.upstreams[0].mu.Lock()
	f.store.Put(platform.KindUpstream, f.upstreams[0].Instance, platformtest.Registration("calls", f.upstreams[0].proxy.Address(), platformtest.StateDraining,
		platformtest.Fields{"born": 1700000000000 + f.upstreams[0].born, "slots": 64, "version": "v1"}))
	f.upstreams[0].mu.Unlock()
	f.upstreams[1].SetFaults(generalupstream.Faults{Refuse: 100, RefusePause: 30 * time.Second})
	f.upstreams[2].SetLimit("1")
	f.upstreams[3].SetLimit("1")
	n := 0
	burst := func() (last promptReply) {
		for range 8 {
			n++
			last = f.send(0, "/bookings/x", fmt.Sprintf("call-%d", n), commonSegment)
		}
		return last
	}
	var last promptReply
	var refused operator.ExplainResponse
	waitUntil(t, "requests are refused, and the explanation names the cause", func() bool {
		last = burst()
		refused = f.explain(0, question...)
		return last.status != http.StatusOK && verdicts(refused) == "i-0 draining, i-1 paused, i-2 named-limit, i-3 named-limit" &&
			refused.Refusal != nil && refused.Refusal.Reason == last.reason
	})
	if refused.Outcome != operator.OutcomeRefused || refused.Refusal.Status != last.status ||
		refused.Refusal.RetryAfterMS <= 0 || refused.Refusal.BeforePlacement {
		t.Errorf("the explanation says %+v, a request got status %d, reason %s, Retry-After %s", refused.Refusal, last.status, last.reason, last.retryAfter)
	}

	token := f.secret()
	var table string
	waitUntil(t, "the table names the cause", func() bool {
		burst()
		var code int
		code, table, _ = f.explainForPeople(0, token, question...)
		return code == command.ExitOK && strings.Contains(table, "outcome: refused at once: status 503") && strings.Count(table, "named-limit") == 4 &&
			strings.Contains(table, "draining") && strings.Contains(table, "paused (")
	})
	t.Logf("trefoilctl explain %s\n%s", strings.Join(question, " "), table)

	_, table, _ = f.explainForPeople(0, token, "--route", "booking", "--account", "harbour-desk")
	t.Logf("trefoilctl explain --route booking --account harbour-desk\n%s", table)
	elsewhere := f.explain(0, "--route", "booking", "--account", "harbour-desk")
	if elsewhere.Outcome != operator.OutcomeRefused || strings.Count(verdicts(elsewhere), " region") != 3 {
		t.Errorf("for an account of another region: outcome %s, %s", elsewhere.Outcome, verdicts(elsewhere))
	}
	for _, ending := range []struct {
		args   []string
		status int
	}{
		{[]string{"--host", host, "--path", "/nowhere/"}, http.StatusNotFound},
		{[]string{"--route", "safe"}, http.StatusUnauthorized},
		{[]string{"--route", "safe", "--account", account, "--body", "5000000"}, http.StatusRequestEntityTooLarge},
	} {
		if r := f.explain(1, ending.args...); r.Refusal == nil || !r.Refusal.BeforePlacement || r.Refusal.Status != ending.status {
			t.Errorf("%v: %+v, want status %d before an upstream is sought", ending.args, r.Refusal, ending.status)
		}
	}
	for _, failing := range []struct {
		token string
		args  []string
		code  int
	}{
		{"wrong", question, command.ExitFailure},
		{token, []string{"--route", "safe", "--account", "nobody"}, command.ExitFailure},
		{token, []string{"--route", "none"}, command.ExitFailure},
		{token, []string{"--route", "safe", "--account", account, "--vm", "vm-7"}, command.ExitFailure},
		{token, []string{"--account", account}, command.ExitUsage},
		{token, []string{"--route", "safe", "--segment", "xyz:1"}, command.ExitUsage},
	} {
		if code, out, errs := f.explainForPeople(0, failing.token, failing.args...); code != failing.code || errs == "" {
			t.Errorf("%v exits with %d: %s%s", failing.args, code, out, errs)
		}
	}
	f.explain(0, question...)
	if code := f.ask(token, strings.Repeat(" ", 20_000)); code != http.StatusRequestEntityTooLarge {
		t.Errorf("a question of 20 kB gets status %d, want 413", code)
	}
	f.ask(token, `{"route":"safe"}`)
	if code := f.ask(token, `{"route":"safe"}`); code != http.StatusTooManyRequests {
		t.Errorf("a question right after another gets status %d, want 429", code)
	}
}

// ask sends a question to the first VM and returns the status.
func (f *crashingFleet) ask(token, body string) int {
	f.t.Helper()
	_, operators := f.addresses(0)
	asked, err := http.NewRequest(http.MethodPost, "http://"+operators+operator.PathExplain, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	asked.Header.Set("Authorization", "Bearer "+token)
	answer, err := f.client.Do(asked)
	if err != nil {
		f.t.Fatal(err)
	}
	answer.Body.Close()
	return answer.StatusCode
}

// twoAccounts returns a configuration with a second account that is served only in another region.
func twoAccounts() map[string]any {
	config := platformtest.Config(2, []any{
		platformtest.Route("booking", host, "/bookings/", platformtest.KindUnsafe, "calls", nil),
		platformtest.Route("safe", host, "/safe/", platformtest.KindSafe, "calls", nil),
	}, platformtest.Service("calls", nil), account, key)
	config["tenants"] = append(config["tenants"].([]any), map[string]any{
		"name": "harbour-desk", "api_keys": []string{"key-of-harbour-desk"}, "allowed_regions": []string{"region-2"},
	})
	return config
}
