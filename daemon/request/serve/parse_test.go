package serve

import (
	"net/http"
	"testing"

	"github.com/trefoilwell/trefoilwell/fleet/request"
)

func FuzzParseCompletion(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`,
		`{"model":"m","prompt":["a","b"],"max_completion_tokens":1}`,
		`{"model":"m","model":"n"}`,
		`{"model":null,"max_tokens":1e400}`,
		`{"model":"m","max_tokens":-1}`,
		`[[[[[[`, ``, "\xff\xfe", `{"model":{}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		parsed, refusal := parseCompletion(body)
		if refusal != nil {
			if refusal.Execution != request.NotExecuted || refusal.Reason != request.ReasonBadRequest {
				t.Fatalf("refusal is %+v", refusal)
			}
			return
		}
		if parsed.Model == "" || parsed.OutputLimit < 0 || parsed.OutputLimit > MaxOutputTokens {
			t.Fatalf("parsed request is invalid: %+v", parsed)
		}
		for _, hint := range []request.Cost{0, 1, MaxCostHint} {
			if cost := parsed.estimate(len(body), hint); cost <= 0 || cost > MaxCostHint+request.Cost(len(body)) {
				t.Fatalf("estimate %g is out of range", cost)
			}
		}
	})
}

func FuzzHeaders(f *testing.F) {
	f.Add("Bearer key", "1000", "12", "019351a5-8c00-7000-8000-000000000001")
	f.Add("", "-1", "1e3", `"019351a5-8c00-7000-8000-000000000001"`)
	f.Add("bearer", "99999999999999999999", "0", "{019351a5-8c00-7000-8000-000000000001}")
	f.Add("Basic x", " 1", "+1", "urn:uuid:019351a5-8c00-7000-8000-000000000001")
	f.Fuzz(func(t *testing.T, authorization, deadline, hint, key string) {
		header := http.Header{
			"Authorization":      {authorization},
			HeaderDeadline:       {deadline},
			HeaderCostHint:       {hint},
			HeaderIdempotencyKey: {key},
		}
		var a admission
		if refusal := a.parseHeaders(header); refusal != nil {
			if refusal.Execution != request.NotExecuted {
				t.Fatalf("refusal is %+v", refusal)
			}
			return
		}
		if a.deadline <= 0 || a.deadline > MaxDeadline || a.costHint <= 0 || a.costHint > MaxCostHint || a.idempotencyKey == nil {
			t.Fatalf("parsed invalid values %+v from %v", a, header)
		}
	})
}

func TestCostHintIsCappedByTokenLimitOfRequest(t *testing.T) {
	cases := []struct {
		outputLimit int
		hint        request.Cost
		want        request.Cost
	}{
		{0, 0, request.DefaultOutput},
		{0, 7, 7},
		{50, 0, 50},
		{50, 7, 7},
		{50, 700, 50},
	}
	for _, c := range cases {
		parsed := completion{Model: "m", OutputLimit: c.outputLimit}
		if got := parsed.estimate(0, c.hint); got != c.want {
			t.Errorf("output limit %d and hint %g: estimate %g, want %g", c.outputLimit, c.hint, got, c.want)
		}
	}
}
