package placing

import (
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/process/clock"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/exchange"
	"github.com/trefoilwell/trefoilwell/fleet/process/rollout"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/storeera"
)

// The times of rollouts are those of clock.Boot, which runs while the VM is suspended. Those of the
// reports between VMs are of time.Now, as for the other reports.

// SetRollouts sets the controller of the rollouts, which the Placer owns from then on. Without it
// every software version may serve. It must be called before any other method.
func (p *Placer) SetRollouts(controller *rollout.Controller) { p.rollouts = controller }

// SetOrders sets the orders for rollouts: a complete list, which the store had at a position, from a read
// that was sent at readAt.
func (p *Placer) SetOrders(orders []rollout.Order, at storeera.Position, readAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rollouts.SetOrders(clock.Boot(), orders, at, readAt)
}

// rule sets the rule for the software versions that may run a ticket. mu must be held.
func (p *Placer) rule(ticket *request.Ticket) {
	if p.rollouts != nil {
		ticket.Rule = p.rollouts.Rule(clock.Boot(), *ticket)
	}
}

// BeginAttempt is the last look before an attempt is sent to an upstream. It reports whether the
// attempt may be sent, and records it as sent if so. Each one needs a call of EndAttempt.
func (p *Placer) BeginAttempt(grant request.Grant, route string, target *version.Upstream) bool {
	if p.rollouts == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Boot()
	if !p.rollouts.Permits(now, target) {
		p.withdrawn++
		return false
	}
	p.rollouts.Sent(now, grant.Pool, route, target.ID)
	return true
}

// EndAttempt records the end of an attempt that was sent.
func (p *Placer) EndAttempt(sample rollout.Sample) {
	if p.rollouts == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rollouts.Ended(clock.Boot(), sample)
}

// RolloutOutbox returns the rollout reports to send to other VMs; none while no order is known.
func (p *Placer) RolloutOutbox() []exchange.RolloutMessage {
	if p.rollouts == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reporter.RolloutOutbox(time.Now(), p.rollouts.Report(clock.Boot()))
}

// ReceiveRollout records a rollout report of another VM.
func (p *Placer) ReceiveRollout(from version.VMID, report wire.RolloutReport) {
	if p.rollouts == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reporter.ReceiveRollout(time.Now(), from, report)
}

// TickRollouts takes in what other VMs have reported. It returns the statuses to write to the store,
// and what has happened since the last call.
func (p *Placer) TickRollouts() ([]rollout.StatusWrite, []rollout.Notice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Boot()
	sum, age := p.reporter.RolloutSum(time.Now())
	p.rollouts.Receive(now, sum, age)
	writes := p.rollouts.Tick(now)
	return writes, p.rollouts.Notices()
}

// WrittenStatus records what came of the write of a status.
func (p *Placer) WrittenStatus(write rollout.StatusWrite, result rollout.WriteResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rollouts.Written(clock.Boot(), write, result)
}

// Rollouts describes the rollouts, sorted by service. withdrawn counts the attempts that were not sent
// because their upstream's version was no longer allowed.
func (p *Placer) Rollouts() (list []rollout.Overview, withdrawn uint64) {
	if p.rollouts == nil {
		return nil, 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rollouts.Overview(clock.Boot()), p.withdrawn
}
