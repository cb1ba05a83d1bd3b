package app

import (
	"fmt"
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// listOf returns a list of so many VMs, of which vm-0 is one.
func listOf(size int) []objectstore.VM {
	var vms []objectstore.VM
	for i := range size {
		vms = append(vms, objectstore.VM{ID: version.VMID(fmt.Sprintf("vm-%d", i))})
	}
	return vms
}

func TestADaemonLooksForItselfInTheListOften(t *testing.T) {
	const vms = 340
	p := pace{self: "vm-new"}
	for i := 1; i < unlistedReads; i++ {
		if pause := p.after(listOf(vms), nil); pause > 2*unlistedPause {
			t.Fatalf("read %d: %v until the next, want about %v", i, pause, unlistedPause)
		}
	}
	if pause := p.after(listOf(vms), nil); pause < directoryMin {
		t.Errorf("%v after %d lists without the daemon, want the usual pace", pause, unlistedReads)
	}
	p = pace{self: "vm-0"}
	if pause := p.after(listOf(vms), nil); pause < directoryMin {
		t.Errorf("%v although the list has the daemon, want the usual pace", pause)
	}
}

func TestAnOutageDoesNotQuickenTheReadsOfTheList(t *testing.T) {
	const vms = 340
	least := (directoryMin + vms*directoryPerVM) * 3 / 4
	p := pace{self: "vm-0"}
	for range 100 {
		if pause := p.after(nil, objectstore.ErrUnavailable); pause > 2*directoryMin {
			t.Fatalf("%v before the first list, want it soon", pause)
		}
	}
	p.after(listOf(vms), nil)
	for range 100 {
		if pause := p.after(nil, objectstore.ErrUnavailable); pause < least {
			t.Fatalf("%v after an error, want at least %v", pause, least)
		}
	}
	if pause := p.after(listOf(1), nil); pause > 2*(directoryMin+directoryPerVM) {
		t.Errorf("%v with a list of one, want %v", pause, time.Duration(directoryMin))
	}
}
