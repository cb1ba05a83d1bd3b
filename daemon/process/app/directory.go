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
	// directoryMinInterval is the minimum time between two reads of the platform's
	// list of VMs.
	directoryMinInterval = 2 * time.Second
	// directoryIntervalPerVM is added to that time for each VM in the list, so that
	// the bytes read per second stay the same as the fleet grows.
	directoryIntervalPerVM = 100 * time.Millisecond
	// unlistedInterval is the time between two reads while the list lacks this
	// daemon's own VM, which owns no role until it is listed.
	unlistedInterval = 500 * time.Millisecond
	// maxUnlistedReads bounds the number of reads at that interval.
	maxUnlistedReads = int(membership.UnlistedTimeout / unlistedInterval)
)

// followDirectory hands the platform's list of VMs to the decision loop until ctx ends.
// While the platform cannot be reached, the last list stays active.
func (a *App) followDirectory(ctx context.Context) error {
	schedule := readSchedule{self: a.settings.VM}
	for {
		vms, err := a.platform.VMs(ctx)
		if err != nil {
			a.log.Warn("cannot read the platform's list of VMs", "error", err)
		} else {
			a.loop.Post(node.Directory{VMs: membersOf(vms)})
		}
		if err := wait.Sleep(ctx, schedule.interval(vms, err)); err != nil {
			return err
		}
	}
}

// readSchedule spaces the reads of the list of VMs. It remembers the size of the last
// list, so that a large fleet does not read more often while the platform fails than
// while it is healthy.
type readSchedule struct {
	self version.VMID
	// listedVMs is the number of VMs in the last list.
	listedVMs int
	// selfListed is set once a list had the daemon's own VM, and unlistedReads counts
	// the lists before that.
	selfListed    bool
	unlistedReads int
}

// interval returns the time until the next read, given the result of the last one.
func (s *readSchedule) interval(vms []objectstore.VM, err error) time.Duration {
	if err == nil {
		s.record(vms)
		if !s.selfListed && s.unlistedReads < maxUnlistedReads {
			return jitter(unlistedInterval)
		}
	}
	return jitter(directoryMinInterval + time.Duration(s.listedVMs)*directoryIntervalPerVM)
}

// record takes note of a list that was read.
func (s *readSchedule) record(vms []objectstore.VM) {
	s.listedVMs = len(vms)
	s.selfListed = s.selfListed || slices.ContainsFunc(vms, func(vm objectstore.VM) bool { return vm.ID == s.self })
	if !s.selfListed {
		s.unlistedReads++
	}
}

// jitter varies an interval at random by up to a quarter, so that daemons that start at
// the same time do not read at the same time.
func jitter(interval time.Duration) time.Duration { return interval*3/4 + rand.N(interval/2) }

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
