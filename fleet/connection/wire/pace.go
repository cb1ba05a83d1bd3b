package wire

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// KindPaceReport tags PaceReport.
const KindPaceReport Kind = 74

// paceReportDecoders decodes the messages on the pace of upstreams.
var paceReportDecoders = map[Kind]decoder{KindPaceReport: decodeAs[PaceReport]}

// PaceReport completes a LoadReport by the paces that upstreams have reported. It is a message of
// its own, so that load reports do not grow where no upstream reports a pace, and so that daemons
// that do not know it can still decode them. A lost or repeated message does no harm.
type PaceReport struct {
	_         struct{} `cbor:",toarray"`
	Upstreams []UpstreamPace
}

// UpstreamPace is the newest known pace of an upstream.
type UpstreamPace struct {
	_        struct{} `cbor:",toarray"`
	Upstream version.UpstreamID
	// Percent is how long work takes on the upstream's machine, in percent of the usual time.
	Percent uint32
	// AgeMS is the time since the answer came that reported it, as of the time of sending, in
	// milliseconds.
	AgeMS uint32
}

// NewUpstreamPace returns the report of a pace that an answer reported age ago.
func NewUpstreamPace(upstream version.UpstreamID, percent int, age time.Duration) UpstreamPace {
	return UpstreamPace{Upstream: upstream, Percent: uint32(percent), AgeMS: clampMillis(age)}
}

// Age returns the time since the answer came that reported the pace, as of the time of sending.
func (p UpstreamPace) Age() time.Duration { return time.Duration(p.AgeMS) * time.Millisecond }

// Kind implements Message.
func (PaceReport) Kind() Kind { return KindPaceReport }
