package app

import (
	"testing"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/platform"
)

func TestAnOutageDoesNotQuickenTheReadsOfTheList(t *testing.T) {
	const vms = 340
	least := (directoryMin + vms*directoryPerVM) * 3 / 4
	var p pace
	for range 100 {
		if pause := p.after(0, platform.ErrUnavailable); pause > 2*directoryMin {
			t.Fatalf("%v before the first list, want it soon", pause)
		}
	}
	p.after(vms, nil)
	for range 100 {
		if pause := p.after(0, platform.ErrUnavailable); pause < least {
			t.Fatalf("%v after an error, want at least %v", pause, least)
		}
	}
	if pause := p.after(1, nil); pause > 2*(directoryMin+directoryPerVM) {
		t.Errorf("%v with a list of one, want %v", pause, time.Duration(directoryMin))
	}
}
