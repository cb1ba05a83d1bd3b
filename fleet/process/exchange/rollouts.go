package exchange

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// RolloutMessage is a rollout report addressed to another VM.
type RolloutMessage struct {
	To     version.VMID
	Report wire.RolloutReport
}

// ReceiveRollout records a rollout report that was received from another VM. It returns the sum of
// what all other VMs have reported.
func (r *Reporter) ReceiveRollout(now time.Time, from version.VMID, report wire.RolloutReport) wire.RolloutReport {
	return wire.RolloutReport{}
}

// RolloutOutbox returns the rollout reports to send, given this VM's own. There are none while no
// order is known.
func (r *Reporter) RolloutOutbox(now time.Time, own wire.RolloutReport) []RolloutMessage { return nil }
