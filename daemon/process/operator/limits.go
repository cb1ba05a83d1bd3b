package operator

import (
	"net/http"
	"time"
)

// PathUpstreamLimits answers GET with the limits that upstreams name, a list of UpstreamLimit.
const PathUpstreamLimits = "/v1/upstreams/limits"

// UpstreamLimit is the request rate that an upstream takes from the whole fleet, as one daemon
// knows it. Rates are in requests per second, counts are of the last 4 s.
type UpstreamLimit struct {
	Upstream  string  `json:"upstream"`
	PerSecond float64 `json:"per_second"`
	// Since is when the daemon learned that the upstream names a limit.
	Since time.Time `json:"since"`
	// AgeMS is the time since the request was sent whose answer named the limit last, in
	// milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Hearsay is set if another daemon had that answer.
	Hearsay bool `json:"hearsay"`
	// Sent is the number of requests that the daemon has sent, Quota the number that it may
	// send, and FleetSent the number that all daemons have sent, as far as this one knows.
	Sent      int `json:"sent"`
	Quota     int `json:"quota"`
	FleetSent int `json:"fleet_sent"`
}

// AddLimits adds the handler of the limits that upstreams name to a mux. Authorisation is up to
// the caller.
func AddLimits(mux *http.ServeMux, limits func() []UpstreamLimit) {
	mux.HandleFunc("GET "+PathUpstreamLimits, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, limits())
	})
}
