package pump

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/node"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// LinkTimeout is how long both ends of a cut link take to detect that it is down.
	LinkTimeout = time.Second
	// dialTime is how long a link takes to come up, besides one round trip.
	dialTime = 20 * time.Millisecond
)

// link is a link between two VMs in one direction.
type link struct{ from, to version.VMID }

// links holds which links daemons want, which are up and which are cut. Links that are up
// or cut are held in both directions.
type links struct {
	wanted, up, cut map[link]bool
}

func newLinks() links {
	return links{wanted: make(map[link]bool), up: make(map[link]bool), cut: make(map[link]bool)}
}

// Cut partitions the network between two groups of VMs. Both ends of each link detect it
// after LinkTimeout.
func (s *Simulation) Cut(a, b []version.VMID) {
	s.eachPair(a, b, func(from, to version.VMID) {
		s.links.cut[link{from, to}], s.links.cut[link{to, from}] = true, true
		s.after(LinkTimeout, func() {
			if s.links.cut[link{from, to}] {
				s.takeDown(s.daemons[from], s.daemons[to])
			}
		})
	})
}

// Heal ends a network partition between two groups of VMs.
func (s *Simulation) Heal(a, b []version.VMID) {
	s.eachPair(a, b, func(from, to version.VMID) {
		delete(s.links.cut, link{from, to})
		delete(s.links.cut, link{to, from})
		s.dial(s.daemons[from], s.daemons[to])
	})
}

// eachPair calls do for each pair of a VM of a and a VM of b.
func (s *Simulation) eachPair(a, b []version.VMID, do func(from, to version.VMID)) {
	for _, from := range a {
		for _, to := range b {
			do(from, to)
		}
	}
}

// connect records that a daemon wants a link and brings it up.
func (s *Simulation) connect(d *Daemon, to version.VMID) {
	peer, known := s.daemons[to]
	if !known {
		return
	}
	s.links.wanted[link{d.VM, to}] = true
	s.dial(d, peer)
}

// disconnect records that a daemon does not want a link any more, and takes the link down
// if the other end does not want it either.
func (s *Simulation) disconnect(d *Daemon, to version.VMID) {
	delete(s.links.wanted, link{d.VM, to})
	if peer, known := s.daemons[to]; known && !s.links.wanted[link{to, d.VM}] {
		s.takeDown(d, peer)
	}
}

// dial brings a link up after a delay if one of its ends wants it and it is not cut.
func (s *Simulation) dial(a, b *Daemon) {
	s.after(dialTime+2*s.delay(a, b), func() {
		isWanted := s.links.wanted[link{a.VM, b.VM}] || s.links.wanted[link{b.VM, a.VM}]
		if !isWanted || s.links.cut[link{a.VM, b.VM}] || s.links.up[link{a.VM, b.VM}] {
			return
		}
		s.links.up[link{a.VM, b.VM}], s.links.up[link{b.VM, a.VM}] = true, true
		s.Step(a.VM, node.PeerUp{Hello: helloOf(b)})
		s.Step(b.VM, node.PeerUp{Hello: helloOf(a)})
	})
}

// takeDown takes a link down if it is up, and notifies both ends.
func (s *Simulation) takeDown(a, b *Daemon) {
	if !s.links.up[link{a.VM, b.VM}] {
		return
	}
	delete(s.links.up, link{a.VM, b.VM})
	delete(s.links.up, link{b.VM, a.VM})
	s.Step(a.VM, node.PeerDown{Hello: helloOf(b)})
	s.Step(b.VM, node.PeerDown{Hello: helloOf(a)})
}

// unlinkAll takes down all links of a daemon that stops, and drops the links that it
// wanted.
func (s *Simulation) unlinkAll(d *Daemon) {
	for _, vm := range s.vms {
		delete(s.links.wanted, link{d.VM, vm})
		s.takeDown(d, s.daemons[vm])
	}
}

// redial brings up the links that other daemons want to a daemon that started.
func (s *Simulation) redial(d *Daemon) {
	for _, vm := range s.vms {
		if s.links.wanted[link{vm, d.VM}] {
			s.dial(s.daemons[vm], d)
		}
	}
}

func helloOf(d *Daemon) wire.Hello {
	return wire.Hello{VM: d.VM, DataCentre: d.DataCentre, Incarnation: d.Incarnation}
}
