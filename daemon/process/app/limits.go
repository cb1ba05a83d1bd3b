package app

import (
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/trefoilwell/trefoilwell/daemon/process/budget"
	"github.com/trefoilwell/trefoilwell/daemon/process/settings"
	"github.com/trefoilwell/trefoilwell/daemon/request/serve"
)

const (
	// defaultCallerConns and defaultHeadBytes are the limits on callers' connections, two for each
	// request, and on the memory of heads, for a VM whose memory is not known.
	defaultCallerConns = 2 * serve.DefaultMaxRequests
	defaultHeadBytes   = 32 << 20
	// defaultPeerConns and defaultPortConns are the same for the other listeners: all peers of a large
	// fleet at once, and some operators.
	defaultPeerConns = 1024
	defaultPortConns = 128
)

// planOf returns the limits of a process, and limits the Go runtime to the memory if that is known.
func planOf(limits settings.Limits) budget.Plan {
	descriptors := limits.MaxFDs
	var system unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &system); err == nil && (descriptors == 0 || system.Cur < uint64(descriptors)) {
		descriptors = int(min(system.Cur, maxDescriptors))
	}
	if limits.MemoryMB > 0 {
		plan := budget.New(int64(limits.MemoryMB)<<20, descriptors)
		debug.SetMemoryLimit(plan.RuntimeLimitBytes)
		return plan
	}
	// Descriptors bound connections alone.
	plan := budget.New(0, descriptors)
	plan.HardCallerConns = defaultCallerConns
	if descriptors > 0 {
		plan.HardCallerConns = min(defaultCallerConns, int(callerDescriptorsFraction*float64(descriptors)))
	}
	plan.MaxCallerConns = int(softConnsFraction * float64(plan.HardCallerConns))
	plan.MaxPeerConns, plan.MaxPortConns = defaultPeerConns, defaultPortConns
	plan.MaxHeadBytes = defaultHeadBytes
	plan.MaxRequests, plan.MaxBodyBytes, plan.MaxAnswerBytes = 0, 0, 0
	return plan
}

const (
	// maxDescriptors is the highest number of descriptors that makes a difference.
	maxDescriptors = 1 << 20
	// callerDescriptorsFraction is the fraction of the descriptors for callers' connections if the
	// memory is not known.
	callerDescriptorsFraction = 0.45
	// softConnsFraction is the fraction of those beyond which connections are closed after a response.
	softConnsFraction = 0.8
)
