package serve

import (
	"context"
	"log/slog"
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/process/resume"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Streams knows which software versions begin streams that callers may take up again.
type Streams interface {
	// Begin records that an attempt of a stream is sent to a software version of a pool.
	Begin(stream resume.Stream, pool version.PoolID, software string, attempt int)
	// Origin returns which of some pools, and which software version of it, began a stream, or the
	// refusal of a request that takes it up.
	Origin(ctx context.Context, stream resume.Stream, pools []*version.Pool) (pool *version.Pool, software string, refusal *request.Refusal)
	// StoreAnsweredAt returns when the last call was sent that the store has answered, by the clock
	// that includes suspension; zero if none was.
	StoreAnsweredAt() time.Time
	// AskStore makes a call to the store, unless it has answered one just now.
	AskStore(ctx context.Context) error
}

// openStreams knows no versions: any upstream may continue a stream.
type openStreams struct{}

// Begin implements Streams.
func (openStreams) Begin(resume.Stream, version.PoolID, string, int) {}

// Origin implements Streams.
func (openStreams) Origin(_ context.Context, _ resume.Stream, pools []*version.Pool) (*version.Pool, string, *request.Refusal) {
	return pools[0], "", nil
}

// StoreAnsweredAt implements Streams.
func (openStreams) StoreAnsweredAt() time.Time { return time.Time{} }

// AskStore implements Streams.
func (openStreams) AskStore(context.Context) error { return nil }

// mayBeTakenUp reports whether the request's stream may be continued by another request.
func (c *generalCall) mayBeTakenUp() bool {
	return c.route.Stream && c.route.Repeat == version.RepeatResume
}

// continuesStream reports whether the next attempt goes on with a stream that has begun.
func (c *generalCall) continuesStream() bool {
	return c.continuation != nil || c.mayBeTakenUp() && c.incoming.LastEvent != ""
}

// findOrigin prepares a request whose stream may be continued. One that itself continues a stream
// may be served only at the software version that began it.
func (c *generalCall) findOrigin() *request.Refusal {
	if !c.mayBeTakenUp() {
		return nil
	}
	c.ticket.Resumable = true
	if c.incoming.LastEvent == "" {
		return nil
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	pools := []*version.Pool{c.pool}
	for _, weighted := range c.route.Pools {
		if pool := c.config.Pools[weighted.Pool]; pool != nil && pool != c.pool {
			pools = append(pools, pool)
		}
	}
	pool, software, refusal := c.handler.options.Streams.Origin(ctx, c.origin(), pools)
	if refusal != nil {
		return refusal
	}
	c.pool, c.ticket.Pool, c.ticket.Software = pool, pool.ID, software
	return nil
}

// maxStoreAsked limits the calls to the store for one request.
const maxStoreAsked = 2

// askStore asks the store before the stream goes on over another connection, and reports whether it
// has answered.
func (c *generalCall) askStore() bool {
	if c.storeAsked >= maxStoreAsked {
		return false
	}
	c.storeAsked++
	ctx, cancel := context.WithDeadline(c.pass.Context(), c.deadline)
	defer cancel()
	if err := c.handler.options.Streams.AskStore(ctx); err != nil {
		c.handler.options.Log.LogAttrs(context.Background(), slog.LevelInfo, "stream cannot go on, the store does not answer",
			slog.String("request", c.incoming.ID), slog.Any("error", err))
		c.storeAsked = maxStoreAsked
		return false
	}
	return true
}

// origin returns the stream that the request takes up.
func (c *generalCall) origin() resume.Stream {
	return resume.StreamOf(c.ticket.Account, c.incoming.Resumes)
}

// beginStream records that the stream is sent to an upstream of a software version; empty if the
// version is not known for certain.
func (c *generalCall) beginStream(software string) {
	streams := c.handler.options.Streams
	streams.Begin(resume.StreamOf(c.ticket.Account, c.incoming.ID), c.pool.ID, software, int(c.ticket.Attempt))
	if c.incoming.LastEvent != "" && c.incoming.Resumes != "" {
		streams.Begin(c.origin(), c.pool.ID, software, 0)
	}
}
