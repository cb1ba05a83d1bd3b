package wire

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// KindLimitReport tags LimitReport.
	KindLimitReport Kind = 71
	// KindAttemptLimit tags AttemptLimit.
	KindAttemptLimit Kind = 72
)

// limitReportDecoders decodes the messages on upstreams that name a rate limit.
var limitReportDecoders = map[Kind]decoder{
	KindLimitReport:  decodeAs[LimitReport],
	KindAttemptLimit: decodeAs[AttemptLimit],
}

// AttemptLimit tells a dispatcher what the answer to an attempt says of its upstream's limit.
type AttemptLimit struct {
	_     struct{} `cbor:",toarray"`
	Pool  version.PoolID
	Limit UpstreamLimit
}

// LimitReport reports the limits that upstreams name and how much of them is used. It is sent
// only while a limit is known. Its counts describe the present, so a lost or repeated message does
// no harm.
type LimitReport struct {
	_ struct{} `cbor:",toarray"`
	// VMs is the number of VMs that the report covers.
	VMs       uint32
	Pools     []PoolDemand
	Upstreams []UpstreamLimit
}

// PoolDemand is the rate at which callers send requests of a pool to the VMs that a report covers.
type PoolDemand struct {
	_    struct{} `cbor:",toarray"`
	Pool version.PoolID
	// MilliPerSecond is in thousandths of a request per second.
	MilliPerSecond uint32
}

// UpstreamLimit is what is known of an upstream's limit, and its use.
type UpstreamLimit struct {
	_        struct{} `cbor:",toarray"`
	Upstream version.UpstreamID
	State    request.LimitState
	// MilliPerSecond is the limit in thousandths of a request per second.
	MilliPerSecond uint32
	// AgeMS is the time since the request was sent whose answer named the limit, in
	// milliseconds.
	AgeMS uint32
	// Sent is the number of requests that the VMs sent to the upstream within the window of
	// limits.
	Sent uint32
}

// milli is the number of thousandths in one.
const milli = 1000

// NewUpstreamLimit returns the report of a limit that an answer named to a request sent age ago.
func NewUpstreamLimit(upstream version.UpstreamID, limit request.RateLimit, age time.Duration, sent int) UpstreamLimit {
	return UpstreamLimit{
		Upstream: upstream, State: limit.State, MilliPerSecond: Milli(limit.PerSecond), AgeMS: clampMillis(age), Sent: uint32(sent),
	}
}

// RateLimit returns the limit that is reported.
func (l UpstreamLimit) RateLimit() request.RateLimit {
	switch l.State {
	case request.LimitNone:
		return request.RateLimit{State: request.LimitNone}
	case request.LimitNamed:
		return request.RateLimit{State: request.LimitNamed, PerSecond: min(float64(l.MilliPerSecond)/milli, request.MaxNamedRate)}
	}
	return request.RateLimit{}
}

// Age returns the time since the request was sent whose answer named the limit, as of the time
// of sending.
func (l UpstreamLimit) Age() time.Duration { return time.Duration(l.AgeMS) * time.Millisecond }

// Milli converts a rate per second to thousandths.
func Milli(perSecond float64) uint32 {
	return uint32(min(max(perSecond, 0), request.MaxNamedRate) * milli)
}

// PerSecond returns the demand in requests per second.
func (d PoolDemand) PerSecond() float64 { return float64(d.MilliPerSecond) / milli }

// Kind implements Message.
func (AttemptLimit) Kind() Kind { return KindAttemptLimit }

// Kind implements Message.
func (LimitReport) Kind() Kind { return KindLimitReport }
