package request

import "time"

// PromptSegment is a segment of a prompt. Requests whose prompts begin with the same
// segments can share the engine's prefix cache.
type PromptSegment struct {
	// ID identifies the segment's text.
	ID uint64
	// Tokens is the segment's length.
	Tokens int
}

// Prompt is a caller's description of a model request.
type Prompt struct {
	Model string
	// Tokens is the length of the whole prompt.
	Tokens int
	// MaxOutput bounds the number of tokens to generate.
	MaxOutput int
	// OutputHint is the caller's estimate of the number of tokens to generate; 0 is
	// none.
	OutputHint int
	// Segments are the prompt's segments in order. The last one is not shared: it belongs
	// to this request or its session alone.
	Segments []PromptSegment
}

// Incoming is the information in a caller's headers about a request on the general
// path.
type Incoming struct {
	// ID identifies the request in logs and to upstreams. The caller generates a new one
	// for each request that it sends.
	ID string
	// Key is the caller's API key; "" is none.
	Key string
	// Deadline is how long the caller waits for the answer; 0 is no bound.
	Deadline time.Duration
	// Prompt describes the prompt; nil if the caller does not.
	Prompt *Prompt
	// Segments are the prompt's segments, which are known although the rest of its
	// description may be malformed.
	Segments []PromptSegment
	// LastEvent is the identifier of the last event that the caller received of a
	// stream that it resumes; "" starts the stream.
	LastEvent string
	// Resumes is the ID of the caller's request that brought the first event of the stream
	// that it resumes; "" if it names none.
	Resumes string
}

// Outgoing is what an attempt sends to its upstream in addition to the caller's
// request.
type Outgoing struct {
	// ID is Incoming.ID; the upstream echoes it.
	ID string
	// Instance identifies the process that the request is meant for. Any other process
	// refuses it.
	Instance string
	// Account is the name of the caller's client account; "" is none.
	Account string
	// TimeLeft is how long the caller still waits for the answer; 0 is no bound.
	TimeLeft time.Duration
	// LastEvent is the identifier of the last event that was relayed to the caller; ""
	// starts the stream.
	LastEvent string
}

// Load is the load that an upstream reports with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// PacePercent is how long work takes on the upstream's machine at this moment, in percent
	// of the usual time; 0 if the upstream does not report it.
	PacePercent int
}
