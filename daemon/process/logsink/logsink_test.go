package logsink

import (
	"bytes"
	"strings"
	"testing"
)

func TestLinesThatDoNotFitAreDroppedAndCounted(t *testing.T) {
	var out bytes.Buffer
	s := New(&out, 10)
	for range 4 {
		if n, err := s.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	s.Flush()
	if lines := strings.Split(out.String(), "\n"); len(lines) != 4 || !strings.Contains(lines[2], `"count":2`) {
		t.Errorf("wrote %q, want two lines and a line with the count 2", out.String())
	}
	if s.Dropped() != 2 {
		t.Errorf("%d lines dropped, want 2", s.Dropped())
	}
	out.Reset()
	_, _ = s.Write([]byte("next\n"))
	s.Flush()
	if out.String() != "next\n" {
		t.Errorf("wrote %q, want only the next line", out.String())
	}
}
