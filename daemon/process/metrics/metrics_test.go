package metrics

import (
	"encoding/json"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/membership"
	"github.com/trefoilwell/trefoilwell/fleet/process/node"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// fakeSource is a Source with constant results.
type fakeSource struct {
	stats  *node.Stats
	config *version.Config
}

func (f fakeSource) Stats() *node.Stats         { return f.stats }
func (f fakeSource) Config() *version.Config    { return f.config }
func (f fakeSource) EventQueueFill() (int, int) { return 3, 16 }

// sample returns a source with one pool, one account, and an upstream that the
// configuration does not have.
func sample() fakeSource {
	pool, account, upstream := version.NewPoolID("polish"), version.NewAccountID("crews"), version.NewUpstreamID("bne-1")
	config := &version.Config{
		Accounts: map[version.AccountID]*version.Account{account: {ID: account, Name: "crews"}},
		Pools:    map[version.PoolID]*version.Pool{pool: {ID: pool, Name: "polish"}},
	}
	return fakeSource{config: config, stats: &node.Stats{
		Version: 9,
		Entry:   node.EntryStats{Waiting: 4, Running: 2},
		Members: []membership.Member{{VM: "a"}, {VM: "b", State: membership.Lapsed}},
		Service: []node.ServiceStats{{Account: account, Level: 250, Counted: 100}},
		Pools: []node.PoolStats{{
			Pool:      pool,
			Waiting:   4,
			Accounts:  []node.AccountStats{{Account: account, Waiting: 4, Oldest: 1500 * time.Millisecond}},
			Upstreams: []node.UpstreamStats{{Upstream: upstream, Used: 1, Limit: 8, Cold: true}},
		}},
	}}
}

// read returns all metrics, decoded.
func read(t *testing.T, m *Metrics) map[string]any {
	t.Helper()
	recorder := httptest.NewRecorder()
	m.ServeHTTP(recorder, httptest.NewRequest("GET", "/debug/vars", nil))
	var all map[string]any
	if err := json.Unmarshal(recorder.Body.Bytes(), &all); err != nil {
		t.Fatalf("the metrics are not one JSON object: %v", err)
	}
	return all
}

// at returns the value at a path of keys that are separated by slashes.
func at(t *testing.T, value any, path string) any {
	t.Helper()
	for key := range strings.SplitSeq(path, "/") {
		object, ok := value.(map[string]any)
		if !ok {
			t.Fatalf("%s: no object that holds %q", path, key)
		}
		value = object[key]
	}
	return value
}

func TestMetricsUseConfiguredNames(t *testing.T) {
	m := New(sample(), Counters{PlatformCalls: func() uint64 { return 12 }})
	m.Refused(request.ReasonDeadline)
	m.Refused(request.ReasonDeadline)
	m.Answered()
	all := read(t, m)
	tests := map[string]any{
		"requests_refused/deadline":                        2.0,
		"requests_answered":                                1.0,
		"platform_calls":                                   12.0,
		"event_ring/waiting":                               3.0,
		"fleet/version":                                    9.0,
		"fleet/members/lapsed":                             1.0,
		"fleet/pools/polish/accounts/crews/waiting":        4.0,
		"fleet/service/crews/level_units":                  250.0,
		"fleet/pools/polish/accounts/crews/oldest_seconds": 1.5,
	}
	for path, want := range tests {
		if got := at(t, all, path); got != want {
			t.Errorf("%s = %v, want %v", path, got, want)
		}
	}
	upstreams := at(t, all, "fleet/pools/polish/upstreams").(map[string]any)
	for name := range upstreams {
		if !strings.HasPrefix(name, "#") {
			t.Errorf("upstream %q is not in the configuration, want a key of the form #identifier", name)
		}
	}
}

func TestEveryMetricIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	var missing []string
	var visit func(value any, configuredKeys bool)
	visit = func(value any, configuredKeys bool) {
		object, ok := value.(map[string]any)
		if !ok {
			return
		}
		for key, inner := range object {
			if !configuredKeys && !strings.Contains(string(page), "`"+key+"`") {
				missing = append(missing, key)
			}
			visit(inner, keyedByName[key])
		}
	}
	visit(read(t, New(sample(), Counters{})), false)
	if len(missing) > 0 {
		t.Errorf("docs/metrics.md does not document %v", missing)
	}
}

// keyedByName lists the objects whose keys vary (configured names, reasons, states) and so
// are not documented one by one.
var keyedByName = map[string]bool{
	"requests_refused": true, "members": true, "pools": true, "accounts": true, "upstreams": true, "service": true,
}
