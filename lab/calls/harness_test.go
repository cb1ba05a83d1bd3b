// Package calls tests the callers' interface against the stand-ins of
// upstreams, with a fleet that grants at once.
package calls

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
	"github.com/trefoilwell/trefoilwell/daemon/request/relay"
	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	testKey     = "a-key"
	testModel   = "polish-7b"
	testAccount = "counters"
)

// grants is a fleet that grants at once, to the upstreams in turn but for the
// one to avoid.
type grants struct {
	config *version.Config
	order  []version.UpstreamID

	mu       sync.Mutex
	nextID   request.ID
	next     int
	granted  int
	charged  request.Cost
	finishes []request.Finish
}

func (g *grants) Config() *version.Config { return g.config }

func (g *grants) NewID() request.ID {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	return g.nextID
}

func (g *grants) Acquire(_ context.Context, ticket request.Ticket) (request.Grant, *request.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var candidates []version.UpstreamID
	for _, id := range g.order {
		if g.config.Upstreams[id].Pool == ticket.Pool {
			candidates = append(candidates, id)
		}
	}
	chosen := candidates[g.next%len(candidates)]
	if chosen == ticket.Avoid && len(candidates) > 1 {
		g.next++
		chosen = candidates[g.next%len(candidates)]
	}
	g.granted++
	return request.Grant{ID: ticket.ID, Attempt: ticket.Attempt, Pool: ticket.Pool, Upstream: chosen}, nil
}

func (g *grants) Charge(_ request.ID, _ version.AccountID, cost request.Cost) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.charged += cost
}

func (g *grants) End(finish request.Finish) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.finishes = append(g.finishes, finish)
}

// ended returns the attempts that ended, and waits until as many as granted
// have.
func (g *grants) ended(t *testing.T) []request.Finish {
	t.Helper()
	for {
		g.mu.Lock()
		finishes, granted := append([]request.Finish(nil), g.finishes...), g.granted
		g.mu.Unlock()
		if len(finishes) > granted {
			t.Fatalf("%d ends of %d grants", len(finishes), granted)
		}
		if len(finishes) == granted {
			return finishes
		}
		time.Sleep(time.Millisecond)
	}
}

// ledger is a ledger with a fixed verdict. It notes what it is told.
type ledger struct {
	verdict claim.Verdict

	mu       sync.Mutex
	claims   int
	answers  []*claim.Answer
	released int
}

func (l *ledger) Claim(context.Context, claim.Claim) claim.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.claims++
	return l.verdict
}

func (l *ledger) Record(_ claim.Claim, answer *claim.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, answer)
}

func (l *ledger) Release(claim.Claim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released++
}

func running() *ledger {
	return &ledger{verdict: claim.Verdict{Run: &claim.Permit{Deadline: time.Now().Add(time.Hour)}}}
}

// counter counts final answers.
type counter struct {
	answered atomic.Int64
	refused  atomic.Int64
}

// Answered implements serve.Counter.
func (c *counter) Answered() { c.answered.Add(1) }

// Refused implements serve.Counter.
func (c *counter) Refused(request.Reason) { c.refused.Add(1) }

// router is the callers' interface in front of stand-ins.
type router struct {
	url     string
	fleet   *grants
	handler *serve.Handler
}

// setup is what a test may change of a router.
type setup struct {
	engines  []http.Handler
	services []http.Handler
	// addresses are further upstreams of the service pool.
	addresses []string
	ledger    serve.Ledger
	serve     serve.Options
	relay     relay.Options
}

func newRouter(t testing.TB, s setup) *router {
	t.Helper()
	document := &version.Document{
		Accounts: []version.AccountSpec{{Name: testAccount, KeyDigests: []string{version.KeyDigest(testKey)}}},
		Pools: []version.PoolSpec{
			{Name: "polish", Kind: version.PoolModel, Models: []string{testModel}},
			{Name: "booking", Kind: version.PoolService, PathPrefix: "/booking/", NonRepeatable: []string{"POST", "DELETE"}},
		},
		Presets: []version.PresetSpec{{Name: "ordinary"}},
	}
	fleet := &grants{}
	add := func(pool, name, address string) {
		document.Upstreams = append(document.Upstreams, version.UpstreamSpec{Name: name, Pool: pool, Address: address})
		fleet.order = append(fleet.order, version.NewUpstreamID(name))
	}
	for i, handler := range s.engines {
		add("polish", "engine-"+string(rune('a'+i)), listen(t, handler))
	}
	for i, handler := range s.services {
		add("booking", "service-"+string(rune('a'+i)), listen(t, handler))
	}
	for _, address := range s.addresses {
		add("booking", address, address)
	}
	config, err := version.Compile(document, version.Head{Number: 1, Preset: "ordinary"})
	if err != nil {
		t.Fatal(err)
	}
	fleet.config = config
	transport := upstream.NewTransport(nil)
	t.Cleanup(transport.CloseIdleConnections)
	s.relay.Accounting, s.relay.Transport = fleet, transport
	s.serve.Fleet, s.serve.Relay, s.serve.Ledger = fleet, relay.New(s.relay), s.ledger
	handler := serve.New(s.serve)
	server := httptest.NewUnstartedServer(handler)
	server.Config = serve.NewServer(handler)
	server.Start()
	t.Cleanup(server.Close)
	return &router{url: server.URL, fleet: fleet, handler: handler}
}

func listen(t testing.TB, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a answer) whole() bool { return a.err == nil && strings.HasSuffix(a.body, "data: [DONE]\n\n") }

func (r *router) newRequest(t testing.TB, method, path, body string, header ...string) *http.Request {
	t.Helper()
	out, err := http.NewRequestWithContext(t.Context(), method, r.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	out.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(header); i += 2 {
		out.Header.Set(header[i], header[i+1])
	}
	return out
}

func (r *router) do(t testing.TB, out *http.Request) answer {
	t.Helper()
	response, err := http.DefaultTransport.RoundTrip(out)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// chat asks for a streamed completion of some tokens.
func (r *router) chat(t testing.TB, body string) answer {
	t.Helper()
	return r.do(t, r.newRequest(t, http.MethodPost, serve.PathChat, body, "Content-Type", "application/json"))
}

const (
	streamBody = `{"model":"polish-7b","stream":true,"max_tokens":10,"messages":[{"role":"user","content":"hello"}]}`
	wholeBody  = `{"model":"polish-7b","max_tokens":10,"messages":[{"role":"user","content":"hello"}]}`
)
