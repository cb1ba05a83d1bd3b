// Package upstream is the client side of an upstream's HTTP interface.
//
// Requests go to the upstream under the caller's own method and path. Every
// answer echoes the attempt's identifier; one that does not is discarded.
// Beside that, a model engine serves:
//
//	GET    /v1/load                    its load as a Load, lagging
//	GET    /v1/attempts/{id}?offset=N  the stream of an attempt, from event N on
//	DELETE /v1/attempts/{id}           cancels an attempt
//
// Events are counted from 0; only those with data count. An engine that
// cannot resume answers 404 or 410.
package upstream

const (
	// HeaderAttempt carries the attempt's identifier. An upstream echoes it
	// in its answer.
	HeaderAttempt = "X-Attempt-Id"
	// HeaderFencing carries a fencing number with an order.
	HeaderFencing = "X-Fencing-Number"
	// HeaderNotRun is "true" on an upstream's refusal that promises that
	// nothing ran.
	HeaderNotRun = "X-Not-Run"
	// PathLoad serves the load report.
	PathLoad = "/v1/load"
	// PathAttempts serves resume and cancel.
	PathAttempts = "/v1/attempts/"
	// QueryOffset is the number of events of a resumed stream to leave out.
	QueryOffset = "offset"
)

// Load is an upstream's report of its own load.
type Load struct {
	// Running and Waiting count requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Cold is set while the upstream cannot bear its warm limit.
	Cold bool `json:"cold"`
}
