package edge

import (
	"context"
	runtimemetrics "runtime/metrics"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
)

const (
	// memoryCheckInterval is the time between two measurements of memory use.
	memoryCheckInterval = time.Second
	// scarceMemoryFraction is the fraction of the runtime's memory limit beyond which each
	// measurement is logged with what uses the memory: a process that is killed for lack
	// of memory logs nothing more.
	scarceMemoryFraction = 0.9
)

// Metrics of the Go runtime: memory in bytes, and the number of goroutines.
const (
	metricTotal      = "/memory/classes/total:bytes"
	metricReleased   = "/memory/classes/heap/released:bytes"
	metricObjects    = "/memory/classes/heap/objects:bytes"
	metricStacks     = "/memory/classes/heap/stacks:bytes"
	metricGoroutines = "/sched/goroutines:goroutines"
)

// memoryUsage reads the memory use of the Go runtime.
type memoryUsage struct {
	samples [5]runtimemetrics.Sample
}

func newMemoryUsage() *memoryUsage {
	return &memoryUsage{[...]runtimemetrics.Sample{
		{Name: metricTotal}, {Name: metricReleased}, {Name: metricObjects}, {Name: metricStacks}, {Name: metricGoroutines},
	}}
}

// read takes a measurement and returns the bytes that count towards the runtime's memory
// limit.
func (u *memoryUsage) read() uint64 {
	runtimemetrics.Read(u.samples[:])
	return u.value(0) - u.value(1)
}

func (u *memoryUsage) value(i int) uint64 { return u.samples[i].Value.Uint64() }

// logAttributes returns the last measurement as attributes for the log.
func (u *memoryUsage) logAttributes() []any {
	return []any{"objects_bytes", u.value(2), "stacks_bytes", u.value(3), "goroutines", u.value(4)}
}

// logScarceMemory logs what uses memory while it is scarce, until ctx ends.
func (d *Daemon) logScarceMemory(ctx context.Context) error {
	u, limit := newMemoryUsage(), d.plan.RuntimeLimitBytes
	for {
		if err := wait.Sleep(ctx, memoryCheckInterval); err != nil {
			return err
		}
		used := u.read()
		if float64(used) < scarceMemoryFraction*float64(limit) {
			continue
		}
		requests, bodies := d.handler.HeldUsage()
		d.log.With(u.logAttributes()...).Warn("memory is scarce", "used_bytes", used, "limit_bytes", limit,
			"callers_connections", d.connLimiter.open.Load(), "requests", requests, "bodies_bytes", bodies, "answers_bytes", d.relay.Answers().HeldBytes,
			"members", d.fleetSize.Load(), "upstreams", d.placing.UpstreamCount(), "waiting_to_be_turned_away", d.rejecter.Waiting())
	}
}
