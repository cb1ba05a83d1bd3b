// Package budget divides the memory and the file descriptors of a VM among what a process holds for
// callers and others: connections, heads, bodies, responses.
package budget

// Fractions of the VM's memory, from 0 to 1. The sum of the others must stay well below
// runtimeLimitFraction: near its memory limit the runtime collects garbage continuously, and
// a small VM then has no processor time left for requests.
const (
	// runtimeLimitFraction is the memory limit of the Go runtime, a soft limit. The rest is
	// for the program's code, the kernel's buffers and what is allocated while a garbage
	// collection is still running.
	runtimeLimitFraction = 0.78
	// callerConnsFraction is for the connections of callers, idleUpstreamConnsFraction for
	// idle connections to upstreams, requestsFraction for the requests in progress without
	// their bodies, bodiesFraction for those bodies, and answersFraction for the heads,
	// incomplete events and buffered bodies of answers beyond what a request includes,
	// headsFraction for the heads of all requests beyond that, otherConnsFraction for the
	// connections of the other listeners, and unreadFraction for what callers have not read yet of
	// answers: 2.8 MB of 112 MB.
	callerConnsFraction       = 0.2
	idleUpstreamConnsFraction = 0.06
	requestsFraction          = 0.19
	bodiesFraction            = 0.13
	answersFraction           = 0.035
	headsFraction             = 0.013
	otherConnsFraction        = 0.017
	unreadFraction            = 0.025
)

// Fractions of the file descriptors. Their sum leaves the rest to links, the store and files.
const (
	// callerDescriptorsFraction is for connections of callers, beyond which they are closed after a
	// response, and hardCallerDescriptorsFraction for all of them. requestDescriptorsFraction is for
	// the upstreams' connections of requests in progress, idleUpstreamDescriptorsFraction for idle
	// ones, otherDescriptorsFraction for connections of the other listeners, and
	// rejectedDescriptorsFraction for those that are rejected.
	callerDescriptorsFraction       = 0.4
	hardCallerDescriptorsFraction   = 0.45
	requestDescriptorsFraction      = 0.15
	idleUpstreamDescriptorsFraction = 0.08
	otherDescriptorsFraction        = 0.1
	rejectedDescriptorsFraction     = 0.125
)

const (
	// hardConnsFactor times MaxCallerConns is the number of callers' connections at which none is added.
	// One that is closed after its response takes memory until then, and a process that runs out
	// of memory is killed with all of its requests.
	hardConnsFactor = 1.5
	// peersDivisor and smallPortDivisor divide the connections of the other listeners: half for
	// peers, of which a whole fleet may come at once, and a fifth for each of the others. They are at
	// least minPortConns.
	peersDivisor     = 2
	smallPortDivisor = 5
	minPortConns     = 8
	// maxRejectedConns bounds the rejected connections whose request is still read.
	maxRejectedConns = 512
)

// Memory per connection and request in bytes, with the stacks of their goroutines.
const (
	// callerConnBytes is a caller's connection between two requests. With 1,000
	// connections each takes 20 KB.
	callerConnBytes = 24 << 10
	// idleUpstreamConnBytes is an idle connection to an upstream with its two goroutines.
	idleUpstreamConnBytes = 24 << 10
	// requestBytes is a request in progress without its body: the handler's stack, the
	// headers and the buffers of the caller's and the upstream's connection.
	requestBytes = 64 << 10
)

// defaultMemoryBytes is the assumed memory of the VM if the settings name none.
const defaultMemoryBytes = 1 << 30

// Plan divides a VM's memory and file descriptors into limits.
type Plan struct {
	// RuntimeLimitBytes is the memory limit of the Go runtime.
	RuntimeLimitBytes int64
	// MaxCallerConns is the number of callers' connections beyond which they are closed after a
	// response, and HardCallerConns the most that are open.
	MaxCallerConns, HardCallerConns int
	// MaxPeerConns bounds the connections of the peer listener that are no links yet, and
	// MaxPortConns those of each further listener.
	MaxPeerConns, MaxPortConns int
	// MaxRejectedConns bounds the rejected connections whose request is still read.
	MaxRejectedConns int
	// MaxIdleUpstreamConns bounds the idle connections to upstreams, MaxRequests the requests in
	// progress.
	MaxIdleUpstreamConns, MaxRequests int
	// MaxBodyBytes bounds the bodies of all requests in progress together.
	MaxBodyBytes int64
	// MaxAnswerBytes bounds what is held of all answers together.
	MaxAnswerBytes int64
	// MaxHeadBytes bounds what is held of all heads of requests together.
	MaxHeadBytes int64
	// MaxUnreadBytes bounds what waits for callers who read slowly.
	MaxUnreadBytes int64
}

// New returns the plan for a VM with memoryBytes of memory, and descriptors file descriptors for the
// process. Either may be 0, which is unknown.
func New(memoryBytes int64, descriptors int) Plan {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	fractionBytes := func(fraction float64) int64 { return int64(fraction * float64(memoryBytes)) }
	// least returns the lower of a number that memory allows and a fraction of the descriptors.
	least := func(byMemory int, fraction float64) int {
		if byDescriptors := int(fraction * float64(descriptors)); byDescriptors > 0 {
			return min(byMemory, byDescriptors)
		}
		return byMemory
	}
	callerConns := int(fractionBytes(callerConnsFraction) / callerConnBytes)
	otherConns := least(int(fractionBytes(otherConnsFraction)/callerConnBytes), otherDescriptorsFraction)
	plan := Plan{
		RuntimeLimitBytes:    fractionBytes(runtimeLimitFraction),
		MaxCallerConns:       least(callerConns, callerDescriptorsFraction),
		MaxPeerConns:         max(otherConns/peersDivisor, minPortConns),
		MaxPortConns:         max(otherConns/smallPortDivisor, minPortConns),
		MaxRejectedConns:     least(maxRejectedConns, rejectedDescriptorsFraction),
		MaxIdleUpstreamConns: least(int(fractionBytes(idleUpstreamConnsFraction)/idleUpstreamConnBytes), idleUpstreamDescriptorsFraction),
		MaxRequests:          least(int(fractionBytes(requestsFraction)/requestBytes), requestDescriptorsFraction),
		MaxBodyBytes:         fractionBytes(bodiesFraction),
		MaxAnswerBytes:       fractionBytes(answersFraction),
		MaxHeadBytes:         fractionBytes(headsFraction),
		MaxUnreadBytes:       fractionBytes(unreadFraction),
	}
	plan.HardCallerConns = least(int(hardConnsFactor*float64(plan.MaxCallerConns)), hardCallerDescriptorsFraction)
	return plan
}
