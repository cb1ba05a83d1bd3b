package app

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/process/operator"
	"github.com/trefoilwell/trefoilwell/daemon/version/watch"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// newOperator returns the operators' interface.
func (a *App) newOperator() *operator.Handler {
	return operator.New(operator.Options{
		Token:    a.settings.Operators.Token,
		Status:   a.status,
		Timeline: a.timeline,
		Metrics:  a.metrics,
		Order:    a.order,
		Log:      a.log,
	})
}

// status collects the daemon's present state.
func (a *App) status() operator.Status {
	status := operator.Status{
		VM:          a.settings.VM,
		DataCentre:  a.settings.DataCentre,
		Incarnation: a.incarnation,
		Members:     a.inbox.members(),
	}
	config := a.loop.Config()
	if config == nil {
		status.NotReadyReason = "no configuration yet"
		return status
	}
	status.Ready = true
	confirmed, orders := a.watcher.Orders()
	status.Configuration = operator.Configuration{
		Number:    config.Number,
		Confirmed: confirmed,
		Preset:    config.Preset,
		Out:       config.OutNames(),
		Orders:    orders,
	}
	return status
}

// order takes an operator's order that came past the platform.
func (a *App) order(_ context.Context, order version.Order) (version.Number, error) {
	number, err := a.watcher.Order(order)
	switch {
	case errors.Is(err, watch.ErrNoHead):
		return 0, errors.Mark(err, operator.ErrNotReady)
	case errors.Is(err, version.ErrInvalid):
		return 0, errors.Mark(err, operator.ErrBadOrder)
	default:
		return number, err
	}
}
