package wire

import "github.com/trefoilwell/trefoilwell/fleet/version"

// KindRolloutReport tags RolloutReport.
const KindRolloutReport Kind = 73

// rolloutDecoders decodes the messages on rollouts of software versions.
var rolloutDecoders = map[Kind]decoder{KindRolloutReport: decodeAs[RolloutReport]}

const (
	// MaxRolloutOrders, MaxRolloutRoutes and MaxRolloutUpstreams bound a report: the orders in it,
	// and the routes and upstreams of an order.
	MaxRolloutOrders    = 16
	MaxRolloutRoutes    = 32
	MaxRolloutUpstreams = 128
)

// RolloutReport reports what one or several VMs observed of the versions that are rolled out. Its
// counters only grow within an incarnation of a VM, so a lost or repeated message does no harm.
type RolloutReport struct {
	_ struct{} `cbor:",toarray"`
	// Incarnation identifies the process that counted; 0 if the report covers several.
	Incarnation uint64
	// VMs is the number of VMs that the report covers and that were heard lately.
	VMs    uint32
	Orders []RolloutOrder
}

// RolloutOrder reports what was observed of one order.
type RolloutOrder struct {
	_ struct{} `cbor:",toarray"`
	// Key identifies the order.
	Key uint64
	// ElapsedMS is the time since the order, in milliseconds.
	ElapsedMS uint32
	// Progress is how far the order was when a VM last read its status: 0 not begun, 1 canary,
	// 2 shifting, 3 rolled back, 4 done.
	Progress uint8
	// Condemned is why a VM has condemned the version; empty if none has.
	Condemned string
	// Drained is the number of VMs that send all requests to the new version and have nothing at
	// old upstreams, OldRunning the number of attempts at old upstreams.
	Drained    uint32
	OldRunning uint32
	// Requests counts the callers' requests for the service since the order, and Sent the
	// attempts that were sent to the new version.
	Requests  uint64
	Sent      uint64
	Routes    []RolloutRoute
	Upstreams []RolloutUpstream
}

// RolloutRoute counts the attempts of a route at both versions.
type RolloutRoute struct {
	_ struct{} `cbor:",toarray"`
	// Route is a hash of the route's name; 0 sums up the routes beyond MaxRolloutRoutes.
	Route    uint32
	New, Old RolloutCounts
}

// RolloutUpstream counts the attempts at an upstream of the new version.
type RolloutUpstream struct {
	_        struct{} `cbor:",toarray"`
	Upstream version.UpstreamID
	Counts   RolloutCounts
}

// RolloutCounts counts attempts that have ended.
type RolloutCounts struct {
	_ struct{} `cbor:",toarray"`
	// Ended counts all attempts, and Failed those whose response was a failure.
	Ended  uint32
	Failed uint32
	// Timed counts the attempts whose times can be compared, and Slow those of them that took
	// several times what the old version takes.
	Timed uint32
	Slow  uint32
}

// Kind implements Message.
func (RolloutReport) Kind() Kind { return KindRolloutReport }
