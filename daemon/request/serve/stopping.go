package serve

import (
	"context"
	"log/slog"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/request/grace"
)

// begin records that a request is in progress.
func (g *GeneralHandler) begin(c *generalCall) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inProgress[c] = struct{}{}
}

// end records that a request has got its final response.
func (g *GeneralHandler) end(c *generalCall) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.inProgress, c)
}

// recordDuration records how long a request took that was answered.
func (g *GeneralHandler) recordDuration(c *generalCall, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.durations.Record(now, c.route.Name, now.Sub(c.started))
}

// checkStop refuses a request that is about to be sent if this process stops before its response
// is expected to end.
func (c *generalCall) checkStop(now time.Time) *request.Refusal {
	g := c.handler
	stop := g.stop.Load()
	if stop == nil {
		return nil
	}
	g.mu.Lock()
	longest := g.durations.Longest(now, c.route.Name)
	g.mu.Unlock()
	about := grace.Request{Deadline: c.deadline, Repeat: c.route.Repeat, Longest: longest, Objective: c.route.TTFBObjective}
	if stop.MaySend(now, about) {
		return nil
	}
	refusal := refuse(request.ReasonNotReady, "this router stops before the response could end")
	refusal.RetryAfter = shedRetryAfter
	return refusal
}

// maxLoggedCuts limits the log lines on requests that are cut off.
const maxLoggedCuts = 64

// LogCut logs the requests that are still in progress, which the end of the process cuts off.
func (g *GeneralHandler) LogCut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, logged := time.Now(), 0
	for c := range g.inProgress {
		if logged++; logged > maxLoggedCuts {
			return
		}
		g.options.Log.LogAttrs(context.Background(), slog.LevelWarn, "request is cut off by the stop",
			slog.String("request", c.incoming.ID), slog.String("route", c.route.Name), slog.String("repeat", string(c.route.Repeat)),
			slog.Bool("sent", c.sent.Load()), slog.Int64("age_ms", now.Sub(c.started).Milliseconds()),
			slog.Int64("left_ms", c.deadline.Sub(now).Milliseconds()))
	}
}
