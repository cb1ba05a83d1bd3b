package serve

import (
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/process/placement"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// ErrUnknownQuestion is returned by GeneralHandler.Explain for a route or an account that the
// configuration does not name.
var ErrUnknownQuestion = errors.New("not in the configuration")

// Question describes a request whose way is to be explained.
type Question struct {
	// Route is the name of the route; empty if Host and Path select it as those of a request do.
	Route, Host, Path string
	// Account is the name of the caller's account; empty for a request without an API key.
	Account string
	// RequestID selects the service if the route splits its requests.
	RequestID string
	Prompt    *request.Prompt
	BodyBytes int
	// Deadline is how long the caller waits; 0 is no bound but that of the route.
	Deadline time.Duration
}

// Judges decide about requests that they are only asked about. They record nothing.
type Judges struct {
	// Place decides where a ticket would go.
	Place func(ticket request.Ticket) placement.Explanation
	// Held returns the refusal of a request with held prompt segments, or nil, and whether it would
	// be sent as a trial nevertheless.
	Held func(segments []request.PromptSegment) (*request.Refusal, bool)
	// AdmittedFraction is the fraction of requests that this process admits, 0 to 1.
	AdmittedFraction func() float64
}

// Outlook is where a request would go now, and why.
type Outlook struct {
	Version   version.Number
	ConfigAge time.Duration
	// Route and Pool are empty if the request ends before they are known.
	Route, Pool string
	// Pools is the number of services among which the route splits its requests.
	Pools         int
	TTFBObjective time.Duration
	// AdmittedFraction is the fraction of requests that this process admits, 0 to 1, because it is
	// behind with its work.
	AdmittedFraction float64
	// Trial is set if the request would be sent although a segment of its prompt is held.
	Trial bool
	// EndedBefore is the refusal that ends the request before an upstream is sought; nil if none does.
	EndedBefore *request.Refusal
	// Placement is set if an upstream is sought.
	Placement *placement.Explanation
	// Status and RetryAfter are those of the refusal; 0 if the request would be sent.
	Status     int
	RetryAfter time.Duration
}

// Refusal returns the refusal that the request would get, or nil.
func (o *Outlook) Refusal() *request.Refusal {
	if o.EndedBefore == nil && o.Placement != nil {
		return o.Placement.Refusal
	}
	return o.EndedBefore
}

// Explain tells where a request would go now. It passes the checks of a real request in their order
// and changes nothing. Its error is an ErrUnknownQuestion.
func (g *GeneralHandler) Explain(q Question, judges Judges) (Outlook, error) {
	c := &generalCall{handler: g, started: time.Now()}
	c.incoming = request.Incoming{ID: q.RequestID, Deadline: q.Deadline, Prompt: q.Prompt}
	if q.Prompt != nil {
		c.incoming.Segments = q.Prompt.Segments
	}
	outlook := Outlook{AdmittedFraction: judges.AdmittedFraction()}
	var err error
	outlook.EndedBefore, err = c.foresee(q, judges, &outlook)
	if err != nil {
		return Outlook{}, err
	}
	if refusal := outlook.Refusal(); refusal != nil {
		outlook.Status = c.refusalStatus(refusal)
		outlook.RetryAfter = c.refusalRetryAfter(refusal, outlook.Status)
	}
	return outlook, nil
}

// foresee returns the refusal that ends the request before an upstream is sought. Otherwise it sets
// the outlook's placement.
func (c *generalCall) foresee(q Question, judges Judges, outlook *Outlook) (*request.Refusal, error) {
	g := c.handler
	if c.config = g.options.Fleet.Config(); c.config == nil {
		return refuse(request.ReasonNotReady, "this router has no configuration yet"), nil
	}
	_, outlook.ConfigAge = g.options.ConfigFresh()
	outlook.Version = c.config.Number
	var err error
	if c.route, err = q.findRoute(c.config); err != nil {
		return nil, err
	}
	if c.route == nil {
		return refuse(request.ReasonUnknownService, "no route takes this host and path"), nil
	}
	outlook.Route, outlook.Pools, outlook.TTFBObjective = c.route.Name, len(c.route.Pools), c.route.TTFBObjective
	if refusal, err := c.assumeAccount(q.Account); refusal != nil || err != nil {
		return refusal, err
	}
	if refusal := c.fillTicket(); refusal != nil {
		return refusal, nil
	}
	outlook.Pool = c.pool.Name
	var held *request.Refusal
	if held, outlook.Trial = judges.Held(c.incoming.Segments); held != nil {
		return held, nil
	}
	if refusal := g.limiter.wouldRefuse(c.ticket.Account); refusal != nil {
		refusal.RetryAfter = shedRetryAfter
		return refusal, nil
	}
	if limit := c.bodyLimit(); int64(q.BodyBytes) > limit {
		return refuse(request.ReasonTooLarge, "the body is over the limit"), nil
	}
	c.ticket.Resumable = c.mayBeTakenUp()
	c.ticket.BodyBytes = q.BodyBytes
	c.setTimes(c.started)
	if refusal := c.checkStop(c.started); refusal != nil {
		return refusal, nil
	}
	explained := judges.Place(c.ticket)
	outlook.Placement = &explained
	return nil, nil
}

// findRoute returns the route of the question; nil if none takes its host and path.
func (q *Question) findRoute(config *version.Config) (*version.Route, error) {
	if q.Route == "" {
		return findRoute(config, &http.Request{Host: q.Host, RequestURI: q.Path, URL: &url.URL{Path: q.Path}}), nil
	}
	for _, route := range config.Routes.All() {
		if route.Name == q.Route {
			return route, nil
		}
	}
	return nil, errors.Wrapf(ErrUnknownQuestion, "route %q", q.Route)
}

// assumeAccount sets the account as if the request had a valid API key of it.
func (c *generalCall) assumeAccount(name string) (*request.Refusal, error) {
	if name == "" {
		if _, admitted := c.config.Authenticate(c.route, ""); !admitted {
			return refuse(request.ReasonUnauthorised, "the API key is missing or unknown"), nil
		}
		return nil, nil
	}
	account, found := c.config.Accounts[version.NewAccountID(name)]
	if !found {
		return nil, errors.Wrapf(ErrUnknownQuestion, "account %q", name)
	}
	c.account = account
	c.ticket.Account = account.ID
	return c.checkFresh(), nil
}
