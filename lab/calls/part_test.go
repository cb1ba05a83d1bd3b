package calls

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/lab/engine"
)

// Guards against a part of an answer that its caller takes for the whole: an engine that answers a long
// prompt at once, without a length, and resets the connection, and one whose status is none. The part is
// complete JSON.
func TestPartOfAnAnswerIsNotWhole(t *testing.T) {
	long := strings.Replace(unstreamedBody, "{", `{"padding":"`+strings.Repeat("u", 2<<20)+`",`, 1)
	for name, c := range map[string]struct {
		body   string
		faults engine.Faults
	}{
		"early, reset": {long, engine.Faults{CutEarly: 1 << 20}},
		"status 000":   {unstreamedBody, engine.Faults{BadStatus: 1 << 20, Status: 0}},
		"status 999":   {unstreamedBody, engine.Faults{BadStatus: 1 << 20, Status: 999}},
	} {
		t.Run(name, func(t *testing.T) {
			e := engine.New(engine.Options{FirstToken: time.Millisecond, ColdLimit: 100})
			r := newRouter(t, routerOptions{engines: []http.Handler{e}})
			e.SetFaults(c.faults)
			for range 5 {
				if got := r.chat(t, c.body); got.err == nil && (got.status < http.StatusInternalServerError || got.status > 599) {
					t.Fatalf("status %d with %q looks complete", got.status, got.body)
				}
			}
		})
	}
}
