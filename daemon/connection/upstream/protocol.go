// Package upstream implements the client side of an upstream's HTTP interface.
//
// Requests are sent to the upstream with the caller's method and path. Every
// answer must echo the attempt's identifier; an answer that does not is
// discarded. A model engine also serves:
//
//	GET    /v1/load                    its load report, a Load; may lag behind
//	GET    /v1/attempts/{id}?offset=N  resumes the stream of an attempt at event N
//	DELETE /v1/attempts/{id}           cancels an attempt
//
// Events are numbered from 0; events without data are not counted. An engine
// that cannot resume the stream answers 404 or 410.
package upstream

const (
	// HeaderAttempt carries the attempt's identifier. An upstream echoes it
	// in its answer.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderFencing carries the fencing number of an order to an upstream.
	HeaderFencing = "X-Fencing-Number"
	// HeaderNotRun is "true" in a refusal by which an upstream guarantees that
	// the request was not executed.
	HeaderNotRun = "X-Not-Run"
	// HeaderRateLimit is the number of requests a second, a decimal number, that the
	// upstream takes from all routers together. It holds until an answer without it.
	HeaderRateLimit = "X-Rate-Limit"
	// PathLoad is the path of the load report.
	PathLoad = "/v1/load"
	// PathAttempts is the path prefix for resuming and cancelling an attempt.
	PathAttempts = "/v1/attempts/"
	// QueryOffset is the query parameter with the number of events that a
	// resumed stream skips.
	QueryOffset = "offset"
)

// Load is an upstream's report of its own load.
type Load struct {
	// Running and Waiting are the numbers of requests that the upstream is
	// executing and has queued.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Cold is set while the upstream cannot handle as many requests as its warm
	// limit allows.
	Cold bool `json:"cold"`
}
