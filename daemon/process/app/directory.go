package app

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/daemon/process/wait"
	"github.com/trefoilwell/trefoilwell/fleet/process/membership"
	"github.com/trefoilwell/trefoilwell/fleet/process/node"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// directoryMin is the least time between two reads of the platform's list.
	directoryMin = 2 * time.Second
	// directoryPerVM is added to that time for each VM in the list, so that
	// the bytes a second stay the same as the fleet grows.
	directoryPerVM = 100 * time.Millisecond
	// unlistedPause is the time between reads while a list lacks this daemon's
	// own VM, which owns no role until it is listed.
	unlistedPause = 500 * time.Millisecond
	// unlistedReads bounds the reads at that pace.
	unlistedReads = int(membership.UnlistedTime / unlistedPause)
)

// followDirectory hands the platform's list of VMs to the decision core. While
// the platform is away, the last list stays.
func (a *App) followDirectory(ctx context.Context) error {
	pace := pace{self: a.settings.VM}
	for {
		vms, err := a.client.VMs(ctx)
		if err != nil {
			a.log.Warn("platform list of VMs", "error", err)
		} else {
			a.loop.Post(node.Directory{VMs: membersOf(vms)})
		}
		if err := wait.Sleep(ctx, pace.after(vms, err)); err != nil {
			return err
		}
	}
}

// pace spaces the reads of the list. It keeps the size of the last list, since a
// large fleet must not call a platform in trouble more often than a healthy one.
type pace struct {
	self   version.VMID
	listed int
	// found is set once a list had the daemon's own VM, and missed counts the
	// lists before that.
	found  bool
	missed int
}

// after returns the time until the next read.
func (p *pace) after(vms []objectstore.VM, err error) time.Duration {
	if err == nil {
		p.note(vms)
		if !p.found && p.missed < unlistedReads {
			return spread(unlistedPause)
		}
	}
	return spread(directoryMin + time.Duration(p.listed)*directoryPerVM)
}

func (p *pace) note(vms []objectstore.VM) {
	p.listed = len(vms)
	p.found = p.found || slices.ContainsFunc(vms, func(vm objectstore.VM) bool { return vm.ID == p.self })
	if !p.found {
		p.missed++
	}
}

// spread varies a pause by a quarter, so that daemons that start together do
// not read together.
func spread(pause time.Duration) time.Duration { return pause*3/4 + rand.N(pause/2) }

func membersOf(vms []objectstore.VM) []membership.VM {
	members := make([]membership.VM, 0, len(vms))
	for _, vm := range vms {
		members = append(members, membership.VM{
			ID:         vm.ID,
			DataCentre: vm.DataCentre,
			Address:    vm.PeerAddress,
			Leaving:    vm.State == objectstore.VMLeaving,
		})
	}
	return members
}
