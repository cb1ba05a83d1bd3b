package app

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
	"github.com/trefoilwell/trefoilwell/fleet/process/membership"
	"github.com/trefoilwell/trefoilwell/fleet/process/node"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/distribute"
)

// newOperatorHandler returns the handler of the operators' interface.
func (a *App) newOperatorHandler() *operator.Handler {
	return operator.New(operator.Options{
		Token:      a.settings.Operators.Token,
		Status:     a.status,
		Timeline:   a.timeline,
		Metrics:    a.metrics,
		Prompts:    a.quarantine,
		Limits:     a.upstreamLimits,
		ApplyOrder: a.order,
		Log:        a.log,
	})
}

// status returns the daemon's current state.
func (a *App) status() operator.Status {
	status := operator.Status{
		VM:          a.settings.VM,
		DataCentre:  a.settings.DataCentre,
		Incarnation: a.incarnation,
		Members:     a.inbox.members(),
	}
	config := a.loop.Config()
	addStats(&status, config, a.loop.Stats())
	status.NotReadyReason = a.notReadyReason(config)
	status.Ready = status.NotReadyReason == ""
	if config == nil {
		return status
	}
	followed := a.follower.Status()
	status.Configuration = operator.Configuration{
		Number:    config.Number,
		Confirmed: followed.Confirmed,
		Preset:    config.Preset,
		Out:       config.OutOfServiceNames(),
		Orders:    followed.Orders,
		Watching:  followed.Watching,
	}
	return status
}

// addStats adds the statistics of the decision core to status; none before the first tick
// or the first configuration.
func addStats(status *operator.Status, config *version.Config, stats *node.Stats) {
	if stats == nil || config == nil {
		return
	}
	status.Waiting, status.Running = stats.Entry.Waiting, stats.Entry.Running
	for _, member := range stats.Members {
		if member.State == membership.Lapsed {
			status.Lapsed = append(status.Lapsed, member.VM)
		}
	}
	for _, pool := range stats.Pools {
		configured, found := config.Pools[pool.Pool]
		if !found {
			continue
		}
		row := operator.Pool{Name: configured.Name, Waiting: pool.Waiting, Upstreams: len(pool.Upstreams)}
		for _, upstream := range pool.Upstreams {
			row.SlotsUsed += upstream.Used
			row.SlotsLimit += upstream.Limit
			if upstream.Cold {
				row.Cold++
			}
		}
		status.Pools = append(status.Pools, row)
	}
	slices.SortFunc(status.Pools, func(a, b operator.Pool) int { return cmp.Compare(a.Name, b.Name) })
}

// notReadyReason returns why the daemon does not accept callers' requests; empty if it
// does.
func (a *App) notReadyReason(config *version.Config) string {
	switch {
	case config == nil:
		return "no configuration yet"
	case a.leaving.Load():
		return "draining"
	case config.DataCentreOut(a.settings.DataCentre):
		return "data centre out of service"
	case config.VMOut(a.settings.VM):
		return "VM out of service"
	default:
		return ""
	}
}

// order applies an operator's order that was sent to this daemon directly, without the
// platform. It returns the configuration number that includes the order.
func (a *App) order(_ context.Context, order version.Order) (version.Number, error) {
	number, err := a.follower.ApplyOrder(order)
	switch {
	case errors.IsAny(err, distribute.ErrNoHead, distribute.ErrTooManyOrders):
		return 0, errors.Mark(err, operator.ErrNotReady)
	case errors.Is(err, version.ErrInvalid):
		return 0, errors.Mark(err, operator.ErrBadOrder)
	default:
		return number, err
	}
}

// upstreamLimits returns the limits of the upstreams whose slots this daemon assigns.
func (a *App) upstreamLimits() []operator.UpstreamLimit {
	list := []operator.UpstreamLimit{}
	stats, config, now := a.loop.Stats(), a.loop.Config(), time.Now()
	if stats == nil || config == nil {
		return list
	}
	for _, pool := range stats.Pools {
		for _, upstream := range pool.Upstreams {
			limit, configured := upstream.NamedLimit, config.Upstreams[upstream.Upstream]
			if !limit.Named() || configured == nil {
				continue
			}
			list = append(list, operator.UpstreamLimit{
				Upstream: configured.Name, PerSecond: limit.PerSecond, Since: limit.Since.Round(0),
				AgeMS: now.Sub(limit.ObservedAt).Milliseconds(), Sent: upstream.Sent,
				Quota: int(limit.Budget(now)), FleetSent: upstream.Sent,
			})
		}
	}
	slices.SortFunc(list, func(a, b operator.UpstreamLimit) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}
