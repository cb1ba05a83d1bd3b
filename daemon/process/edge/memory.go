package edge

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
	// headsFraction for the heads of callers' requests beyond that, and unreadFraction for what
	// callers have not read yet of answers: 2.8 MB of 112 MB, or 350 callers with 4 KB each.
	callerConnsFraction       = 0.2
	idleUpstreamConnsFraction = 0.06
	requestsFraction          = 0.19
	bodiesFraction            = 0.15
	answersFraction           = 0.035
	headsFraction             = 0.01
	unreadFraction            = 0.025
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

// memoryPlan divides the VM's memory into limits.
type memoryPlan struct {
	// runtimeLimitBytes is the memory limit of the Go runtime.
	runtimeLimitBytes int64
	// maxCallerConns bounds the connections of callers, maxIdleUpstreamConns the idle
	// connections to upstreams, maxRequests the requests in progress.
	maxCallerConns, maxIdleUpstreamConns, maxRequests int
	// maxBodyBytes bounds the bodies of all requests in progress together.
	maxBodyBytes int64
	// maxAnswerBytes bounds what is held of all answers together.
	maxAnswerBytes int64
	// maxHeadBytes bounds what is held of all heads of callers' requests together.
	maxHeadBytes int64
	// maxUnreadBytes bounds what waits for callers who read slowly.
	maxUnreadBytes int64
}

func planMemory(memoryBytes int64) memoryPlan {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	fractionBytes := func(fraction float64) int64 { return int64(fraction * float64(memoryBytes)) }
	return memoryPlan{
		runtimeLimitBytes:    fractionBytes(runtimeLimitFraction),
		maxCallerConns:       int(fractionBytes(callerConnsFraction) / callerConnBytes),
		maxIdleUpstreamConns: int(fractionBytes(idleUpstreamConnsFraction) / idleUpstreamConnBytes),
		maxRequests:          int(fractionBytes(requestsFraction) / requestBytes),
		maxBodyBytes:         fractionBytes(bodiesFraction),
		maxAnswerBytes:       fractionBytes(answersFraction),
		maxHeadBytes:         fractionBytes(headsFraction),
		maxUnreadBytes:       fractionBytes(unreadFraction),
	}
}
