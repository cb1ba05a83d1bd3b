package request

import "time"

// Part is one part of a prompt. Requests whose prompts begin with the same
// parts can share what an engine has read of them.
type Part struct {
	// ID identifies the part's text.
	ID uint64
	// Tokens is the part's length.
	Tokens int
}

// Prompt is what a caller tells of a model request.
type Prompt struct {
	Model string
	// Tokens is the length of the whole prompt.
	Tokens int
	// MaxOutput bounds the tokens to generate.
	MaxOutput int
	// OutputHint is the caller's guess at the tokens to generate; 0 is none.
	OutputHint int
	// Parts are the prompt's parts in order; the last one belongs to this
	// request or its session alone.
	Parts []Part
}

// Incoming is what a caller's headers say of a request on the general path.
type Incoming struct {
	// ID identifies the request in logs and to upstreams. The caller draws
	// another one for each request that it sends.
	ID string
	// Key is the caller's API key; "" is none.
	Key string
	// Deadline is how long the caller waits; 0 is no bound.
	Deadline time.Duration
	// Prompt is nil for a request that describes none.
	Prompt *Prompt
	// LastEvent is the identifier of the last event that the caller has of a
	// stream that it resumes; "" starts it.
	LastEvent string
}

// Outgoing is what an attempt tells its upstream beside the caller's request.
type Outgoing struct {
	// ID is Incoming.ID; the upstream echoes it.
	ID string
	// Instance is the process that is meant; any other one refuses.
	Instance string
	// Account is the name of the caller's client account; "" is none.
	Account string
	// Left is how long the caller still waits; 0 is no bound.
	Left time.Duration
	// LastEvent is the identifier of the last event that was relayed; ""
	// starts the stream.
	LastEvent string
}

// Load is what an upstream says of its load beside an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}
