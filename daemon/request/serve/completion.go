package serve

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// MaxOutput bounds the number of tokens that a request may ask for.
const MaxOutput = 1_000_000

// completionBody is what the router reads of a completion request.
type completionBody struct {
	Model               string
	Stream              bool
	MaxTokens           *int
	MaxCompletionTokens *int
	Messages            json.RawMessage
	Prompt              json.RawMessage
}

// field returns where the value of a key goes, or nil for a key that the
// router does not read.
func (b *completionBody) field(key string) any {
	switch key {
	case "model":
		return &b.Model
	case "stream":
		return &b.Stream
	case "max_tokens":
		return &b.MaxTokens
	case "max_completion_tokens":
		return &b.MaxCompletionTokens
	case "messages":
		return &b.Messages
	case "prompt":
		return &b.Prompt
	}
	return nil
}

var (
	errNotObject = errors.New("it is not an object")
	errTwice     = errors.New("a key comes twice")
	errTrailing  = errors.New("something follows the object")
)

// decode reads the object of a completion request. Keys are taken literally,
// as engines do, and those that the router reads may come once: otherwise
// router and engine could read different requests.
func (b *completionBody) decode(body []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if start, err := decoder.Token(); err != nil || start != json.Delim('{') {
		return errNotObject
	}
	seen := make(map[any]bool)
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return err
		}
		name, _ := key.(string)
		if err := b.decodeField(decoder, b.field(name), seen); err != nil {
			return err
		}
	}
	if _, err := decoder.Token(); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errTrailing
	}
	return nil
}

func (b *completionBody) decodeField(decoder *json.Decoder, field any, seen map[any]bool) error {
	if field == nil {
		var skipped json.RawMessage
		return decoder.Decode(&skipped)
	}
	if seen[field] {
		return errTwice
	}
	seen[field] = true
	return decoder.Decode(field)
}

// completion is a completion request as the router needs it.
type completion struct {
	Model string
	// Stream is set for an answer of events.
	Stream bool
	// Output bounds the generated tokens; 0 is no bound.
	Output int
	prefix uint64
}

// parsedCompletion is what parseCompletion returns.
type parsedCompletion struct {
	completion *completion
	refusal    *request.Refusal
}

// parseApart calls parseCompletion on a goroutine of its own: decoding needs a
// deep stack, which the request's own goroutine would keep while it waits.
func parseApart(body []byte) (*completion, *request.Refusal) {
	parsed := make(chan parsedCompletion)
	go func() {
		completion, refusal := parseCompletion(body)
		parsed <- parsedCompletion{completion, refusal}
	}()
	result := <-parsed
	return result.completion, result.refusal
}

// parseCompletion reads the body of a completion request.
func parseCompletion(body []byte) (*completion, *request.Refusal) {
	var parsed completionBody
	if err := parsed.decode(body); err != nil {
		return nil, refuse(request.ReasonBadRequest, "the body is not a JSON completion request: "+err.Error())
	}
	if parsed.Model == "" {
		return nil, refuse(request.ReasonBadRequest, "model is missing")
	}
	result := &completion{Model: parsed.Model, Stream: parsed.Stream}
	for _, limit := range []*int{parsed.MaxTokens, parsed.MaxCompletionTokens} {
		if limit == nil {
			continue
		}
		if *limit < 1 || *limit > MaxOutput {
			return nil, refuse(request.ReasonBadRequest, "the bound on generated tokens is out of range")
		}
		result.Output = *limit
	}
	prompt := parsed.Messages
	if len(prompt) == 0 {
		prompt = parsed.Prompt
	}
	result.prefix = request.Prefix(prompt)
	return result, nil
}

// estimate returns the expected cost. A hint counts up to the bound that the
// request itself sets.
func (c *completion) estimate(bodyBytes int, hint request.Cost) request.Cost {
	output := request.Cost(request.DefaultOutput)
	if hint > 0 {
		output = hint
	}
	if c.Output > 0 && (hint == 0 || hint > request.Cost(c.Output)) {
		output = request.Cost(c.Output)
	}
	return output + request.PromptCost(request.PromptTokens(bodyBytes))
}

// servicePool returns the pool of plain services that serves a request.
func servicePool(config *version.Config, r *http.Request) (*version.Pool, *request.Refusal) {
	switch r.Method {
	case http.MethodConnect, http.MethodTrace:
		return nil, refuse(request.ReasonMethodNotAllowed, "the router does not take this method")
	}
	if !strings.HasPrefix(r.URL.Path, "/") || hasDotSegment(r.URL.Path) {
		return nil, refuse(request.ReasonBadRequest, "the path must be absolute and without dot segments")
	}
	pool, known := config.PoolByPath(r.URL.Path)
	if !known {
		return nil, refuse(request.ReasonUnknownService, "no pool serves this path")
	}
	return pool, nil
}

// hasDotSegment reports whether a path could mean another one to a service.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
