package app

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/platform"
	"github.com/trefoilwell/trefoilwell/fleet/process/membership"
	"github.com/trefoilwell/trefoilwell/fleet/process/node"
)

const (
	// directoryMin is the least time between two reads of the platform's list.
	directoryMin = 2 * time.Second
	// directoryPerVM is added to that time for each VM in the list, so that
	// the bytes a second stay the same as the fleet grows.
	directoryPerVM = 100 * time.Millisecond
)

// followDirectory hands the platform's list of VMs to the decision core. While
// the platform is away, the last list stays.
func (a *App) followDirectory(ctx context.Context) error {
	var pace pace
	for {
		vms, err := a.client.VMs(ctx)
		if err != nil {
			a.log.Warn("platform list of VMs", "error", err)
		} else {
			a.loop.Post(node.Directory{VMs: membersOf(vms)})
		}
		timer := time.NewTimer(pace.after(len(vms), err))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

// pace spaces the reads of the list. It keeps the size of the last list, since a
// large fleet must not call a platform in trouble more often than a healthy one.
type pace struct{ listed int }

// after returns the time until the next read.
func (p *pace) after(listed int, err error) time.Duration {
	if err == nil {
		p.listed = listed
	}
	return directoryPause(p.listed)
}

// directoryPause returns when to read the list again. It varies by a quarter,
// so that daemons that start together do not read together.
func directoryPause(vms int) time.Duration {
	pause := directoryMin + time.Duration(vms)*directoryPerVM
	return pause*3/4 + rand.N(pause/2)
}

func membersOf(vms []platform.VM) []membership.VM {
	members := make([]membership.VM, 0, len(vms))
	for _, vm := range vms {
		members = append(members, membership.VM{
			ID:         vm.ID,
			DataCentre: vm.DataCentre,
			Address:    vm.PeerAddress,
			Leaving:    vm.State == platform.VMLeaving,
		})
	}
	return members
}
