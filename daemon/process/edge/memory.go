package edge

// Parts of the VM's memory, from 0 to 1. What they bound together must stay well
// below runtimeShare: near its limit the runtime collects garbage again and again,
// and a small VM then has no processor left for requests.
const (
	// runtimeShare is the part that the runtime aims to stay below. The rest is for
	// the program itself, the kernel's buffers and what a collection is late by.
	runtimeShare = 0.78
	// callersShare is for the connections of callers, upstreamsShare for those to
	// upstreams that nobody uses, requestsShare for the requests that are held, and
	// bodiesShare for their bodies.
	callersShare   = 0.2
	upstreamsShare = 0.06
	requestsShare  = 0.2
	bodiesShare    = 0.15
)

// What things take, in bytes, with their goroutines' stacks.
const (
	// callerBytes is a caller's connection between two requests; 1,000 of them were
	// measured to take 20 KB each.
	callerBytes = 24 << 10
	// upstreamBytes is an unused connection to an upstream with its two goroutines.
	upstreamBytes = 24 << 10
	// requestBytes is a held request without its body: the handler's stack, headers
	// and the buffers of both sides.
	requestBytes = 64 << 10
)

// defaultMemory is taken for the VM's memory if the settings name none, in bytes.
const defaultMemory = 1 << 30

// memoryPlan is how the VM's memory is used.
type memoryPlan struct {
	// runtimeBytes is the runtime's limit.
	runtimeBytes int64
	// callers and idleUpstreams bound connections, requests what is held at once.
	callers, idleUpstreams, requests int
	// bodyBytes bounds the bodies of the requests held.
	bodyBytes int64
}

func planMemory(memory int64) memoryPlan {
	if memory <= 0 {
		memory = defaultMemory
	}
	part := func(share float64) int64 { return int64(share * float64(memory)) }
	return memoryPlan{
		runtimeBytes:  part(runtimeShare),
		callers:       int(part(callersShare) / callerBytes),
		idleUpstreams: int(part(upstreamsShare) / upstreamBytes),
		requests:      int(part(requestsShare) / requestBytes),
		bodyBytes:     part(bodiesShare),
	}
}
