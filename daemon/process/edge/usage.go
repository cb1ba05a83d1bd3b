package edge

import (
	"context"
	runtimemetrics "runtime/metrics"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
)

const (
	// usageInterval is how often memory is measured.
	usageInterval = time.Second
	// usageShare is the part of the runtime's limit beyond which what holds memory is
	// logged, each time that it is measured: a process that ends for want of memory
	// writes nothing more.
	usageShare = 0.9
)

// What the runtime tells of memory, in bytes.
const (
	metricTotal    = "/memory/classes/total:bytes"
	metricReleased = "/memory/classes/heap/released:bytes"
	metricObjects  = "/memory/classes/heap/objects:bytes"
	metricStacks   = "/memory/classes/heap/stacks:bytes"
	metricRoutines = "/sched/goroutines:goroutines"
)

// usage is what the runtime holds.
type usage struct {
	samples [5]runtimemetrics.Sample
}

func newUsage() *usage {
	return &usage{[...]runtimemetrics.Sample{
		{Name: metricTotal}, {Name: metricReleased}, {Name: metricObjects}, {Name: metricStacks}, {Name: metricRoutines},
	}}
}

// read measures, and returns the bytes that count towards the runtime's limit.
func (u *usage) read() uint64 {
	runtimemetrics.Read(u.samples[:])
	return u.value(0) - u.value(1)
}

func (u *usage) value(i int) uint64 { return u.samples[i].Value.Uint64() }

// attributes describe the last measure for the log.
func (u *usage) attributes() []any {
	return []any{"objects_bytes", u.value(2), "stacks_bytes", u.value(3), "goroutines", u.value(4)}
}

// followUsage logs what holds memory while it is scarce, until ctx ends.
func (e *Edge) followUsage(ctx context.Context) error {
	u, limit := newUsage(), e.plan.runtimeBytes
	for {
		if err := wait.Sleep(ctx, usageInterval); err != nil {
			return err
		}
		used := u.read()
		if float64(used) < usageShare*float64(limit) {
			continue
		}
		requests, bodies := e.handler.Holds()
		e.log.With(u.attributes()...).Warn("memory is scarce", "used_bytes", used, "limit_bytes", limit,
			"callers_connections", e.crowd.open.Load(), "requests", requests, "bodies_bytes", bodies,
			"members", e.fleetSize.Load(), "upstreams", e.placing.Upstreams(), "waiting_to_be_turned_away", e.desk.Waiting())
	}
}
