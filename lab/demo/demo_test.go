package demo

import (
	"log/slog"
	"strings"
	"testing"
)

func TestDemoServesEveryAccountWholeAnswers(t *testing.T) {
	var out strings.Builder
	options := Options{Out: &out, Log: slog.New(slog.DiscardHandler)}
	results, err := run(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range results {
		if r.broken != 0 || r.refused != 0 {
			t.Errorf("%s: %d broken, %d refused, want none", r.user.name, r.broken, r.refused)
		}
		if want := r.answers * tokensPerAnswer; r.answers == 0 || r.tokens != want {
			t.Errorf("%s: %d tokens in %d answers, want %d", r.user.name, r.tokens, r.answers, want)
		}
		if !strings.Contains(out.String(), r.user.name) {
			t.Errorf("the table does not name %s", r.user.name)
		}
	}
}
