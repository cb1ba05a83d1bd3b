// Package load sends completions to daemons as callers would and counts what
// comes back: whole answers, refusals by reason, and broken answers.
package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
	"github.com/trefoilwell/trefoilwell/fleet/request"
)

const (
	// maxLatency bounds the recorded latencies, in microseconds.
	maxLatency = 600_000_000
	// significantDigits is the precision of the recorded latencies.
	significantDigits = 3
	// doneEvent is the data of the event that ends a whole answer.
	doneEvent = "[DONE]"
)

// Account describes the callers of one client account.
type Account struct {
	Name string
	// Key is the API key.
	Key string
	// Callers is how many requests are in progress at a time.
	Callers int
	// Weight is the account's share, shown beside what it got.
	Weight float64
	// Requests bounds the requests of all callers together; 0 is no bound.
	Requests int
	// Model is the model that is asked for.
	Model string
	// MaxTokens is the length of each answer, in tokens.
	MaxTokens int
	// Prompt is the text of each request.
	Prompt string
}

// Options set up a run.
type Options struct {
	// Addresses are the host:port of the daemons' callers' listeners; callers
	// spread over them in turn.
	Addresses []string
	Accounts  []Account
	// Duration ends the sending of new requests; 0 is no bound.
	Duration time.Duration
	// Client sends the requests; default http.DefaultClient.
	Client *http.Client
}

// Result is what the callers of one account saw.
type Result struct {
	Account Account
	// Answers counts whole answers, Broken those that ended early.
	Answers int
	Broken  int
	// FirstError says why the first broken answer broke; nil if none did.
	FirstError error
	// Refused counts refusals by reason.
	Refused map[request.Reason]int
	// Tokens counts the tokens of whole answers.
	Tokens int
	// FirstToken and Gap hold microseconds: from sending to the first token,
	// and between tokens.
	FirstToken *hdrhistogram.Histogram
	Gap        *hdrhistogram.Histogram

	mu sync.Mutex
}

// Refusals returns the number of refusals of all reasons.
func (r *Result) Refusals() int {
	total := 0
	for _, n := range r.Refused {
		total += n
	}
	return total
}

// Run sends every account's requests and returns the results in the order of
// the accounts.
func Run(ctx context.Context, options Options) []*Result {
	if options.Client == nil {
		options.Client = http.DefaultClient
	}
	var results []*Result
	var callers sync.WaitGroup
	started := time.Now()
	more := func() bool {
		inTime := options.Duration == 0 || time.Since(started) < options.Duration
		return inTime && ctx.Err() == nil
	}
	for i, account := range options.Accounts {
		result := newResult(account)
		results = append(results, result)
		for j := range account.Callers {
			c := &caller{
				client:  options.Client,
				address: options.Addresses[(i+j)%len(options.Addresses)],
				result:  result,
			}
			callers.Go(func() { c.run(ctx, share(account, j), more) })
		}
	}
	callers.Wait()
	return results
}

// share is how many of an account's requests caller j sends.
func share(account Account, j int) int {
	if account.Requests == 0 {
		return math.MaxInt
	}
	n := account.Requests / account.Callers
	if j < account.Requests%account.Callers {
		n++
	}
	return n
}

func newResult(account Account) *Result {
	return &Result{
		Account:    account,
		Refused:    make(map[request.Reason]int),
		FirstToken: hdrhistogram.New(1, maxLatency, significantDigits),
		Gap:        hdrhistogram.New(1, maxLatency, significantDigits),
	}
}

// caller sends one request after another to one daemon.
type caller struct {
	client  *http.Client
	address string
	result  *Result
}

func (c *caller) run(ctx context.Context, requests int, more func() bool) {
	for range requests {
		if !more() {
			return
		}
		c.result.add(c.call(ctx))
	}
}

// answer is what one request came to.
type answer struct {
	err        error
	refusal    request.Reason
	tokens     int
	firstToken time.Duration
	gaps       []time.Duration
}

// errShort is an answer without its end.
var errShort = errors.New("answer ended early")

func (c *caller) call(ctx context.Context) answer {
	httpRequest, err := c.build(ctx)
	if err != nil {
		return answer{err: err}
	}
	started := time.Now()
	response, err := c.client.Do(httpRequest)
	if err != nil {
		return answer{err: errors.Wrap(err, "call")}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refused(response)
	}
	return readStream(response, started)
}

// chat is the body of a request.
type chat struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (c *caller) build(ctx context.Context) (*http.Request, error) {
	account := c.result.Account
	body, err := json.Marshal(chat{
		Model:     account.Model,
		Stream:    true,
		MaxTokens: account.MaxTokens,
		Messages:  []message{{Role: "user", Content: account.Prompt}},
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	target := fmt.Sprintf("http://%s/v1/chat/completions", c.address)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(string(body)))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	httpRequest.Header.Set("Authorization", "Bearer "+account.Key)
	httpRequest.Header.Set("Content-Type", "application/json")
	return httpRequest, nil
}

// refused reads a refusal. An answer that is no refusal of the router counts
// as broken.
func refused(response *http.Response) answer {
	var body struct {
		Error struct {
			Type request.Reason `json:"type"`
		} `json:"error"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return answer{err: errors.Wrapf(err, "status %d", response.StatusCode)}
	}
	if response.Header.Get(serve.HeaderExecution) == "" {
		return answer{err: errors.Newf("status %d without an execution header", response.StatusCode)}
	}
	return answer{refusal: body.Error.Type}
}

func readStream(response *http.Response, started time.Time) answer {
	var a answer
	last := started
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == doneEvent {
			return a
		}
		now := time.Now()
		if a.tokens == 0 {
			a.firstToken = now.Sub(started)
		} else {
			a.gaps = append(a.gaps, now.Sub(last))
		}
		a.tokens++
		last = now
	}
	a.err = errors.CombineErrors(errors.Wrapf(errShort, "after %d tokens", a.tokens), lines.Err())
	return a
}

func (r *Result) add(a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case a.err != nil:
		r.Broken++
		if r.FirstError == nil {
			r.FirstError = a.err
		}
	case a.refusal != "":
		r.Refused[a.refusal]++
	default:
		r.Answers++
		r.Tokens += a.tokens
		record(r.FirstToken, a.firstToken)
		for _, gap := range a.gaps {
			record(r.Gap, gap)
		}
	}
}

// record clips a latency to the histogram's bound.
func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	// The value is within bounds, so it cannot be refused.
	_ = histogram.RecordValue(min(latency.Microseconds(), maxLatency))
}
