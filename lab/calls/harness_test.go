// Package calls tests the callers' interface against fake engines and services,
// with a fake fleet that grants each request at once.
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

// fakeFleet grants each request at once, on the current upstream of its pool. If the ticket avoids
// that one, or it could not be reached, the next upstream of the pool becomes the current one.
type fakeFleet struct {
	config *version.Config
	// order holds the upstreams of all pools in order of use.
	order []version.UpstreamID

	mu           sync.Mutex
	nextID       request.ID
	nextUpstream int
	granted      int
	charged      request.Cost
	finishes     []request.Finish
}

func (f *fakeFleet) Config() *version.Config { return f.config }

func (f *fakeFleet) NewID() request.ID {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextID++
	return f.nextID
}

func (f *fakeFleet) Acquire(_ context.Context, ticket request.Ticket) (request.Grant, *request.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := f.candidates(ticket.Pool)
	chosen := candidates[f.nextUpstream%len(candidates)]
	if chosen == ticket.Avoid && len(candidates) > 1 {
		f.nextUpstream++
		chosen = candidates[f.nextUpstream%len(candidates)]
	}
	f.granted++
	return request.Grant{ID: ticket.ID, Attempt: ticket.Attempt, Pool: ticket.Pool, Upstream: chosen}, nil
}

// candidates returns the upstreams of a pool in order of use.
func (f *fakeFleet) candidates(pool version.PoolID) []version.UpstreamID {
	var list []version.UpstreamID
	for _, id := range f.order {
		if f.config.Upstreams[id].Pool == pool {
			list = append(list, id)
		}
	}
	return list
}

func (f *fakeFleet) Charge(_ request.ID, _ version.AccountID, cost request.Cost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.charged += cost
}

func (f *fakeFleet) End(finish request.Finish) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finishes = append(f.finishes, finish)
	candidates := f.candidates(finish.Pool)
	if finish.Outcome == request.OutcomeUnreachable && candidates[f.nextUpstream%len(candidates)] == finish.Upstream {
		f.nextUpstream++
	}
}

// waitFinishes waits until every granted attempt has finished, and returns how they
// finished.
func (f *fakeFleet) waitFinishes(t *testing.T) []request.Finish {
	t.Helper()
	for {
		f.mu.Lock()
		finishes, granted := append([]request.Finish(nil), f.finishes...), f.granted
		f.mu.Unlock()
		if len(finishes) > granted {
			t.Fatalf("%d attempts finished, but only %d were granted", len(finishes), granted)
		}
		if len(finishes) == granted {
			return finishes
		}
		time.Sleep(time.Millisecond)
	}
}

// fakeLedger answers every claim with the same verdict. It counts the claims and
// releases and keeps the recorded answers; a nil answer records an unknown outcome.
type fakeLedger struct {
	verdict claim.Verdict

	mu       sync.Mutex
	claims   int
	answers  []*claim.Answer
	released int
}

func (l *fakeLedger) Claim(context.Context, claim.Claim) claim.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.claims++
	return l.verdict
}

func (l *fakeLedger) Record(_ claim.Claim, answer *claim.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, answer)
}

func (l *fakeLedger) Release(claim.Claim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released++
}

// permittingLedger returns a ledger that permits every call for an hour.
func permittingLedger() *fakeLedger {
	return &fakeLedger{verdict: claim.Verdict{Run: &claim.Permit{Deadline: time.Now().Add(time.Hour)}}}
}

// answerCounter counts the final answers and refusals to callers.
type answerCounter struct {
	answered atomic.Int64
	refused  atomic.Int64
}

// Answered implements serve.Counter.
func (c *answerCounter) Answered() { c.answered.Add(1) }

// Refused implements serve.Counter.
func (c *answerCounter) Refused(request.Reason) { c.refused.Add(1) }

// router is the callers' interface in front of fake upstreams.
type router struct {
	url     string
	fleet   *fakeFleet
	handler *serve.Handler
}

// routerOptions configure a router for a test.
type routerOptions struct {
	engines  []http.Handler
	services []http.Handler
	// addresses are further upstreams of the service pool, engineAddresses of the model pool.
	addresses       []string
	engineAddresses []string
	ledger          serve.Ledger
	serve           serve.Options
	relay           relay.Options
}

// newRouter serves a router over loopback, with a model pool of the engines and a
// service pool of the services and addresses.
func newRouter(t testing.TB, options routerOptions) *router {
	t.Helper()
	document := &version.Document{
		Accounts: []version.AccountSpec{{Name: testAccount, KeyDigests: []string{version.KeyDigest(testKey)}}},
		Pools: []version.PoolSpec{
			{Name: "polish", Kind: version.PoolModel, Models: []string{testModel}},
			{Name: "booking", Kind: version.PoolService, PathPrefix: "/booking/", NonRepeatable: []string{"POST", "DELETE"}},
		},
		Presets: []version.PresetSpec{{Name: "ordinary"}},
	}
	fleet := &fakeFleet{}
	add := func(pool, name, address string) {
		document.Upstreams = append(document.Upstreams, version.UpstreamSpec{Name: name, Pool: pool, Address: address})
		fleet.order = append(fleet.order, version.NewUpstreamID(name))
	}
	for i, handler := range options.engines {
		add("polish", "engine-"+string(rune('a'+i)), listen(t, handler))
	}
	for _, address := range options.engineAddresses {
		add("polish", address, address)
	}
	for i, handler := range options.services {
		add("booking", "service-"+string(rune('a'+i)), listen(t, handler))
	}
	for _, address := range options.addresses {
		add("booking", address, address)
	}
	config, err := version.Compile(document, version.Head{Number: 1, Preset: "ordinary"})
	if err != nil {
		t.Fatal(err)
	}
	fleet.config = config
	transport := upstream.NewTransport(nil)
	t.Cleanup(transport.CloseIdleConnections)
	options.relay.Accounting, options.relay.Transport = fleet, transport
	options.serve.Fleet, options.serve.Relay, options.serve.Ledger = fleet, relay.New(options.relay), options.ledger
	handler := serve.New(options.serve)
	server := httptest.NewUnstartedServer(handler)
	server.Config = serve.NewServer(handler)
	server.Start()
	t.Cleanup(server.Close)
	return &router{url: server.URL, fleet: fleet, handler: handler}
}

// listen serves a handler over loopback and returns its host:port.
func listen(t testing.TB, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// answer is the answer that a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	// err is set if there is no answer or its body is truncated.
	err error
}

// complete reports whether a stream has its last event.
func (a answer) complete() bool { return a.err == nil && strings.HasSuffix(a.body, "data: [DONE]\n\n") }

// newRequest returns an authorized request with pairs of header names and values.
func (r *router) newRequest(t testing.TB, method, path, body string, header ...string) *http.Request {
	t.Helper()
	httpRequest, err := http.NewRequestWithContext(t.Context(), method, r.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	httpRequest.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(header); i += 2 {
		httpRequest.Header.Set(header[i], header[i+1])
	}
	return httpRequest
}

// do sends a request and reads its answer. It follows no redirects.
func (r *router) do(t testing.TB, httpRequest *http.Request) answer {
	t.Helper()
	response, err := http.DefaultTransport.RoundTrip(httpRequest)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// chat sends a chat completion request with a body.
func (r *router) chat(t testing.TB, body string) answer {
	t.Helper()
	return r.do(t, r.newRequest(t, http.MethodPost, serve.PathChat, body, "Content-Type", "application/json"))
}

const (
	// streamBody asks for a streamed completion of 10 tokens, unstreamedBody for one that
	// is not streamed.
	streamBody     = `{"model":"polish-7b","stream":true,"max_tokens":10,"messages":[{"role":"user","content":"hello"}]}`
	unstreamedBody = `{"model":"polish-7b","max_tokens":10,"messages":[{"role":"user","content":"hello"}]}`
)
