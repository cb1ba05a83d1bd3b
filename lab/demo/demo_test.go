package demo

import (
	"log/slog"
	"strings"
	"testing"
)

func TestDemoServesCompleteAnswersToEveryAccount(t *testing.T) {
	var out strings.Builder
	options := Options{Out: &out, Log: slog.New(slog.DiscardHandler)}
	results, err := run(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range results {
		if r.Broken != 0 || r.Refusals() != 0 {
			t.Errorf("%s: %d broken answers, %d refusals, want none; first error: %+v", r.Account.Name, r.Broken, r.Refusals(), r.FirstError)
		}
		if want := r.Answers * tokensPerAnswer; r.Answers == 0 || r.Tokens != want {
			t.Errorf("%s: %d tokens in %d answers, want %d tokens", r.Account.Name, r.Tokens, r.Answers, want)
		}
		if !strings.Contains(out.String(), r.Account.Name) {
			t.Errorf("account %s is missing in the table", r.Account.Name)
		}
	}
}
