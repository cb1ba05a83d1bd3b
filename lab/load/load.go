// Package load is a load generator: it sends completion requests to daemons as
// callers would, and counts complete answers, refusals by reason and broken answers.
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
	// maxLatencyMicros bounds the recorded latencies, in microseconds.
	maxLatencyMicros = 600_000_000
	// significantDigits is the precision of the recorded latencies, in decimal
	// digits.
	significantDigits = 3
	// doneEvent is the data of the event that ends a complete answer.
	doneEvent = "[DONE]"
)

// Account describes the callers of one client account.
type Account struct {
	Name string
	// Key is the API key.
	Key string
	// Callers is the number of concurrent callers, each with one request in
	// progress.
	Callers int
	// Weight is the account's weight in the fair shares. It is only printed, beside
	// the share of tokens that the account got.
	Weight float64
	// Requests is the number of requests of all callers together; 0 is no limit.
	Requests int
	// Model is the requested model.
	Model string
	// MaxTokens is the requested length of each answer, in tokens.
	MaxTokens int
	// Prompt is the text of each request.
	Prompt string
}

// Options configure a run of the load generator.
type Options struct {
	// Addresses holds the host:port of each daemon's listener for callers.
	// Callers are assigned to them round-robin.
	Addresses []string
	Accounts  []Account
	// Duration is how long new requests are sent; 0 is no limit.
	Duration time.Duration
	// Client sends the requests; default http.DefaultClient.
	Client *http.Client
}

// Result holds the outcomes of the requests of one account.
type Result struct {
	Account Account
	// Answers counts the complete answers.
	Answers int
	// Broken counts the answers that were truncated, and errors that are no
	// refusal of a router.
	Broken int
	// FirstError is the error of the first broken answer; nil if there is none.
	FirstError error
	// Refused counts the refusals by reason.
	Refused map[request.Reason]int
	// Tokens counts the tokens of the complete answers.
	Tokens int
	// FirstToken is the time from sending to the first token, and Gap the time
	// between two tokens, both in microseconds and of complete answers.
	FirstToken *hdrhistogram.Histogram
	Gap        *hdrhistogram.Histogram

	mu sync.Mutex
}

// Refusals returns the number of refusals for all reasons.
func (r *Result) Refusals() int {
	total := 0
	for _, n := range r.Refused {
		total += n
	}
	return total
}

// Run sends every account's requests, waits for their answers, and returns the
// results in the order of the accounts.
func Run(ctx context.Context, options Options) []*Result {
	if options.Client == nil {
		options.Client = http.DefaultClient
	}
	var results []*Result
	var callers sync.WaitGroup
	started := time.Now()
	sendMore := func() bool {
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
			callers.Go(func() { c.run(ctx, requestsOf(account, j), sendMore) })
		}
	}
	callers.Wait()
	return results
}

// requestsOf returns how many of an account's requests caller j sends.
func requestsOf(account Account, j int) int {
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
		FirstToken: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		Gap:        hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
}

// caller sends requests to one daemon, one after another.
type caller struct {
	client  *http.Client
	address string
	result  *Result
}

// run sends up to a number of requests, as long as sendMore returns true.
func (c *caller) run(ctx context.Context, requests int, sendMore func() bool) {
	for range requests {
		if !sendMore() {
			return
		}
		c.result.add(c.call(ctx))
	}
}

// answer is the outcome of one request: an error, a refusal, or a complete answer.
type answer struct {
	err        error
	refusal    request.Reason
	tokens     int
	firstToken time.Duration
	gaps       []time.Duration
}

// errTruncated is the error of an answer that ends before its last event.
var errTruncated = errors.New("answer is truncated")

// call sends one request and reads its answer.
func (c *caller) call(ctx context.Context) answer {
	httpRequest, err := c.newRequest(ctx)
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
		return readRefusal(response)
	}
	return readStream(response, started)
}

// chatRequest is the body of a request.
type chatRequest struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// newRequest returns a streaming chat completion request of the caller's account.
func (c *caller) newRequest(ctx context.Context) (*http.Request, error) {
	account := c.result.Account
	body, err := json.Marshal(chatRequest{
		Model:     account.Model,
		Stream:    true,
		MaxTokens: account.MaxTokens,
		Messages:  []message{{Role: "user", Content: account.Prompt}},
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode request body")
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

// readRefusal reads a refusal. Its result is an error if the response is no refusal
// of a router.
func readRefusal(response *http.Response) answer {
	var body struct {
		Error struct {
			Type request.Reason `json:"type"`
		} `json:"error"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return answer{err: errors.Wrapf(err, "decode refusal with status %d", response.StatusCode)}
	}
	if response.Header.Get(serve.HeaderExecution) == "" {
		return answer{err: errors.Newf("answer with status %d has no execution header, so it is no refusal of a router", response.StatusCode)}
	}
	return answer{refusal: body.Error.Type}
}

// readStream reads a streamed answer up to its last event and measures its
// latencies.
// started is when the request was sent.
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
	a.err = errors.CombineErrors(errors.Wrapf(errTruncated, "after %d tokens", a.tokens), lines.Err())
	return a
}

// add counts the outcome of one request.
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

// record adds a latency to a histogram, clipped to its upper bound.
func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	// RecordValue fails only for values out of bounds.
	_ = histogram.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
}
