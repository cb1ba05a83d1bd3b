package edge

import (
	"net/http"
	"strings"
	"testing"

	"github.com/trefoilwell/trefoilwell/lab/generalupstream"
)

// Guards against an answer or a stream without a length and chunks, which ends with its
// connection, that is not relayed whole, or that looks whole although it broke off inside an
// event or before the first one.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	whole := generalupstream.CompleteStream()
	for name, c := range map[string]struct {
		path   string
		faults generalupstream.Faults
		// body is the body if the answer is to be complete.
		body string
		// begin is the beginning of an answer that is not.
		begin string
	}{
		"plain":                         {"/safe/x", generalupstream.Faults{NoFraming: true}, generalupstream.Answer("id"), ""},
		"stream":                        {"/stream/x", generalupstream.Faults{NoFraming: true}, whole, ""},
		"stream, cut inside an event":   {"/stream/x", generalupstream.Faults{NoFraming: true, TruncateAfter: 2}, "", generalupstream.Event(1) + generalupstream.Event(2)},
		"stream, cut, may be resumed":   {"/resume-stream/x", generalupstream.Faults{NoFraming: true, TruncateAfter: 2}, "", generalupstream.Event(1) + generalupstream.Event(2)},
		"stream, nothing but its start": {"/stream/x", generalupstream.Faults{NoFraming: true, NoEvents: true}, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			env := start(t, 1, nil)
			env.setFaults(c.faults)
			got := env.do(call{path: c.path, id: "id"})
			complete := got.err == nil && got.status == http.StatusOK
			switch {
			case c.body != "" && (!complete || got.body != c.body):
				t.Errorf("status %d, error %v, body %q, want the whole answer", got.status, got.err, got.body)
			case c.body == "" && complete:
				t.Errorf("body %q looks complete", got.body)
			case !strings.HasPrefix(got.body, c.begin):
				t.Errorf("body %q, want it to begin with the complete events", got.body)
			}
		})
	}
}
