package relay

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/daemon/connection/upstream"
	"github.com/trefoilwell/trefoilwell/fleet/request"
)

// classify maps an error of the transport to an error of this package.
func (a *attempt) classify(ctx context.Context, err error) error {
	if own := a.tracker.WriteError(); own != nil {
		// Where this process ended the writing, the transport may report what its reader found after
		// that.
		err = own
	}
	if errors.Is(err, ErrCallerGone) || !a.call.Record && a.call.Request.Context().Err() != nil {
		return ErrCallerGone
	}
	if errors.Is(err, ErrWithdrawn) {
		return ErrWithdrawn
	}
	if errors.Is(err, upstream.ErrUploadStalled) {
		// This process broke it off, so the upstream has not ended anything.
		return errors.Mark(err, ErrStalled)
	}
	if errors.Is(err, ErrUntrusted) {
		return ErrUntrusted
	}
	if errors.Is(err, ErrStopping) {
		return ErrStopping
	}
	if a.abortRefusal() != nil {
		return ErrAborted
	}
	if contextCause := context.Cause(ctx); errors.IsAny(contextCause, ErrDeadlinePassed, ErrStalled) {
		return contextCause
	}
	if excess := a.holding.excess(); excess != nil && !errors.Is(err, ErrOversized) {
		// The transport reports the error of its reader in its own words.
		err = oversized(excess)
	}
	if errors.Is(err, ErrOversized) {
		// This process broke it off, so the upstream has not ended anything.
		return err
	}
	a.recordDisconnect(err)
	return errors.Mark(errors.Wrap(err, "upstream"), ErrTruncated)
}

// recordDisconnect records that the upstream ended a connection, or refused one.
func (a *attempt) recordDisconnect(err error) {
	a.relay.options.OnBreak(a.target.Address)
	if a.disconnectedAt.IsZero() {
		a.disconnectedAt = time.Now()
		return
	}
	a.upstreamDown = a.upstreamDown || errors.Is(err, syscall.ECONNREFUSED)
}

// abortRefusal returns the refusal with which Call.Context was cancelled, or nil.
func (a *attempt) abortRefusal() *request.Refusal {
	if a.call.Context == nil || a.call.Record {
		return nil
	}
	var refusal *request.Refusal
	errors.As(context.Cause(a.call.Context), &refusal)
	return refusal
}
