package serve

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// MaxOutputTokens is the largest limit on generated tokens that a request may set.
const MaxOutputTokens = 1_000_000

// completionBody holds the fields of a completion request that the router reads.
type completionBody struct {
	Model               string
	Stream              bool
	MaxTokens           *int
	MaxCompletionTokens *int
	Messages            json.RawMessage
	Prompt              json.RawMessage
}

// field returns a pointer to the field for a JSON key, or nil for a key that the router
// does not read.
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
	errNotObject    = errors.New("it is not an object")
	errDuplicateKey = errors.New("a key comes twice")
	errTrailingData = errors.New("something follows the object")
)

// decode parses the JSON object of a completion request. Keys are matched exactly, as
// engines do, and a key that the router reads must not be repeated. Otherwise the router
// and the engine could interpret the request differently.
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
		return errTrailingData
	}
	return nil
}

func (b *completionBody) decodeField(decoder *json.Decoder, field any, seen map[any]bool) error {
	if field == nil {
		var skipped json.RawMessage
		return decoder.Decode(&skipped)
	}
	if seen[field] {
		return errDuplicateKey
	}
	seen[field] = true
	return decoder.Decode(field)
}

// completion is a parsed completion request.
type completion struct {
	Model string
	// Stream is set if the caller requested an event stream.
	Stream bool
	// OutputLimit is the request's limit on generated tokens; 0 means none.
	OutputLimit int
	prefix      uint64
	// segments are the messages of a chat, by their text.
	segments []request.PromptSegment
}

// parseResult is the result of parseCompletion.
type parseResult struct {
	completion *completion
	refusal    *request.Refusal
}

// parseInGoroutine calls parseCompletion in a goroutine of its own. Decoding needs a deep
// stack, which the request's own goroutine would keep while it waits.
func parseInGoroutine(body []byte) (*completion, *request.Refusal) {
	parsed := make(chan parseResult)
	go func() {
		completion, refusal := parseCompletion(body)
		parsed <- parseResult{completion, refusal}
	}()
	result := <-parsed
	return result.completion, result.refusal
}

// parseCompletion parses the body of a completion request.
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
		if *limit < 1 || *limit > MaxOutputTokens {
			return nil, refuse(request.ReasonBadRequest, "the bound on generated tokens is out of range")
		}
		result.OutputLimit = *limit
	}
	prompt := parsed.Messages
	if len(prompt) == 0 {
		prompt = parsed.Prompt
	}
	result.prefix = request.Prefix(prompt)
	result.segments = messageSegments(parsed.Messages)
	return result, nil
}

// maxMessageSegments limits the messages of a chat that are told apart.
const maxMessageSegments = 64

// messageSegments returns the messages of a chat as the segments of its prompt. Requests of one
// application begin with the same ones.
func messageSegments(messages json.RawMessage) []request.PromptSegment {
	var texts []json.RawMessage
	if err := json.Unmarshal(messages, &texts); err != nil {
		// The engine judges the form of the messages.
		return nil
	}
	segments := make([]request.PromptSegment, 0, min(len(texts), maxMessageSegments))
	for _, text := range texts[:min(len(texts), maxMessageSegments)] {
		segments = append(segments, request.PromptSegment{ID: xxhash.Sum64(text), Tokens: request.PromptTokens(len(text))})
	}
	return segments
}

// estimate returns the expected cost in generated tokens. The caller's hint is capped by
// the request's own limit on generated tokens.
func (c *completion) estimate(bodyBytes int, hint request.Cost) request.Cost {
	output := request.Cost(request.DefaultOutput)
	if hint > 0 {
		output = hint
	}
	if c.OutputLimit > 0 && (hint == 0 || hint > request.Cost(c.OutputLimit)) {
		output = request.Cost(c.OutputLimit)
	}
	return output + request.PromptCost(request.PromptTokens(bodyBytes))
}

// servicePool returns the pool of plain services that serves the request's path.
func servicePool(config *version.Config, r *http.Request) (*version.Pool, *request.Refusal) {
	switch r.Method {
	case http.MethodConnect, http.MethodTrace:
		return nil, refuse(request.ReasonMethodNotAllowed, "the router does not take this method")
	}
	if !strings.HasPrefix(r.URL.Path, "/") || hasDotSegment(r.URL.Path) {
		return nil, refuse(request.ReasonBadRequest, "the path must be absolute and without dot segments")
	}
	pool, found := config.PoolByPath(r.URL.Path)
	if !found {
		return nil, refuse(request.ReasonUnknownService, "no pool serves this path")
	}
	return pool, nil
}

// hasDotSegment reports whether a path contains "." or "..", which a service could resolve
// to another path.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
