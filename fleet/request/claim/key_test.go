package claim

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func TestParseKey(t *testing.T) {
	now := time.UnixMilli(1_790_000_000_000)
	at := func(age time.Duration) string { return NewKey(now.Add(-age), [10]byte{1, 2, 3}).String() }
	for _, test := range []struct {
		name, text string
		want       error
	}{
		{"fresh", at(0), nil},
		{"oldest", at(MaxKeyAge), nil},
		{"old", at(MaxKeyAge + time.Millisecond), ErrKeyOld},
		{"ahead within the bound", at(-MaxKeyAhead), nil},
		{"ahead", at(-MaxKeyAhead - time.Millisecond), ErrKeyAhead},
		{"random UUID", "7e0f1c1e-53a7-4b0c-9d51-8a4c8a9f0c11", ErrKeyMalformed},
		{"no variant", "01a0c3b5-5c00-7102-0300-000000000000", ErrKeyMalformed},
		{"braces", "{" + at(0) + "}", ErrKeyMalformed},
		{"text", "order 12", ErrKeyMalformed},
		{"empty", "", ErrKeyMalformed},
	} {
		if _, err := ParseKey(test.text, now); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, err, test.want)
		}
	}
}
