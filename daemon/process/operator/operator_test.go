package operator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const testToken = "operators-only"

func newTestHandler(t *testing.T, log *bytes.Buffer) *Handler {
	t.Helper()
	ring := timeline.New("vm-1", 16)
	start := time.UnixMilli(1_000)
	key := request.Key{Entry: "vm-1", Incarnation: 7, ID: 3}
	ring.Record(start, timeline.Event{Kind: timeline.KindSubmitted, Request: key, Account: version.NewAccountID("crews")})
	ring.Record(start.Add(time.Second), timeline.Event{Kind: timeline.KindGranted, Request: key, Upstream: version.NewUpstreamID("north-1")})
	return New(Options{
		Token:    testToken,
		Status:   func() Status { return Status{VM: "vm-1", Ready: true} },
		Timeline: ring,
		Metrics:  http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }),
		ApplyOrder: func(_ context.Context, order version.Order) (version.Number, error) {
			if err := order.Check(); err != nil {
				return 0, errors.Mark(err, ErrBadOrder)
			}
			return 9, nil
		},
		Log: slog.New(slog.NewJSONHandler(log, nil)),
	})
}

// do sends a request to h; an empty token is not sent.
func do(h http.Handler, method, target, token, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func TestEveryPathRequiresTheToken(t *testing.T) {
	var log bytes.Buffer
	h := newTestHandler(t, &log)
	for _, path := range []string{PathStatus, PathTimeline, PathMetrics, "/anything"} {
		for _, token := range []string{"", "wrong", testToken + "x", testToken[:4]} {
			if w := do(h, http.MethodGet, path, token, ""); w.Code != http.StatusUnauthorized {
				t.Errorf("%s with token %q: status %d, want 401", path, token, w.Code)
			}
		}
	}
	for _, path := range []string{PathStatus, PathTimeline, PathMetrics} {
		if w := do(h, http.MethodGet, path, testToken, ""); w.Code != http.StatusOK {
			t.Errorf("%s: status %d, want 200", path, w.Code)
		}
	}
	if strings.Contains(log.String(), testToken) {
		t.Error("the log contains the token")
	}
}

// Guards against an unset token that admits requests with an empty bearer token.
func TestEmptyTokenAuthorisesNobody(t *testing.T) {
	h := New(Options{Status: func() Status { return Status{} }, Metrics: http.NotFoundHandler()})
	r := httptest.NewRequest(http.MethodGet, PathStatus, nil)
	r.Header.Set("Authorization", "Bearer ")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	if w.Code != http.StatusUnauthorized {
		t.Errorf("status %d, want 401", w.Code)
	}
}

func TestTimelineFilters(t *testing.T) {
	h := newTestHandler(t, &bytes.Buffer{})
	for query, want := range map[string]int{
		"":                       2,
		"?since=1500":            1,
		"?kind=granted":          1,
		"?request=vm-1/7/3":      2,
		"?request=vm-1/7/4":      0,
		"?account=crews":         1,
		"?upstream=north-1":      1,
		"?account=other&since=0": 0,
	} {
		w := do(h, http.MethodGet, PathTimeline+query, testToken, "")
		lines := 0
		for scanner := bufio.NewScanner(w.Body); scanner.Scan(); lines++ {
			var event timeline.Event
			if err := json.Unmarshal(scanner.Bytes(), &event); err != nil || event.VM != "vm-1" {
				t.Errorf("%s: line %q: %v", query, scanner.Text(), err)
			}
		}
		if lines != want {
			t.Errorf("%q: %d events, want %d", query, lines, want)
		}
	}
	for _, query := range []string{"?since=soon", "?request=vm-1", "?request=a/b/c", "?request=a/1/c"} {
		if w := do(h, http.MethodGet, PathTimeline+query, testToken, ""); w.Code != http.StatusBadRequest {
			t.Errorf("%q: status %d, want 400", query, w.Code)
		}
	}
}

func TestOrders(t *testing.T) {
	h := newTestHandler(t, &bytes.Buffer{})
	validOrder := `{"operation":"op-1","ms":1,"target":"datacentre","name":"north","out":true}`
	w := do(h, http.MethodPost, PathOrders, testToken, validOrder)
	var response OrderResponse
	if err := json.Unmarshal(w.Body.Bytes(), &response); err != nil || w.Code != http.StatusOK || response.Number != 9 {
		t.Errorf("status %d, body %q, want 200 and number 9", w.Code, w.Body)
	}
	for body, want := range map[string]int{
		"":                                   http.StatusBadRequest,
		`{"operation":"op-1"}`:               http.StatusBadRequest,
		strings.Repeat(" ", maxOrderBytes+1): http.StatusRequestEntityTooLarge,
	} {
		if w := do(h, http.MethodPost, PathOrders, testToken, body); w.Code != want {
			t.Errorf("%.20q: status %d, want %d", body, w.Code, want)
		}
	}
}
