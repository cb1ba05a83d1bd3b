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
func (p *Simulation) Cut(a, b []version.VMID) {
	p.eachPair(a, b, func(from, to version.VMID) {
		p.links.cut[link{from, to}], p.links.cut[link{to, from}] = true, true
		p.after(LinkTimeout, func() {
			if p.links.cut[link{from, to}] {
				p.takeDown(p.daemons[from], p.daemons[to])
			}
		})
	})
}

// Heal ends a network partition between two groups of VMs.
func (p *Simulation) Heal(a, b []version.VMID) {
	p.eachPair(a, b, func(from, to version.VMID) {
		delete(p.links.cut, link{from, to})
		delete(p.links.cut, link{to, from})
		p.dial(p.daemons[from], p.daemons[to])
	})
}

// eachPair calls do for each pair of a VM of a and a VM of b.
func (p *Simulation) eachPair(a, b []version.VMID, do func(from, to version.VMID)) {
	for _, from := range a {
		for _, to := range b {
			do(from, to)
		}
	}
}

// connect records that a daemon wants a link and brings it up.
func (p *Simulation) connect(d *Daemon, to version.VMID) {
	peer, known := p.daemons[to]
	if !known {
		return
	}
	p.links.wanted[link{d.VM, to}] = true
	p.dial(d, peer)
}

// disconnect records that a daemon does not want a link any more, and takes the link down
// if the other end does not want it either.
func (p *Simulation) disconnect(d *Daemon, to version.VMID) {
	delete(p.links.wanted, link{d.VM, to})
	if peer, known := p.daemons[to]; known && !p.links.wanted[link{to, d.VM}] {
		p.takeDown(d, peer)
	}
}

// dial brings a link up after a delay if one of its ends wants it and it is not cut.
func (p *Simulation) dial(a, b *Daemon) {
	p.after(dialTime+2*p.delay(a, b), func() {
		isWanted := p.links.wanted[link{a.VM, b.VM}] || p.links.wanted[link{b.VM, a.VM}]
		if !isWanted || p.links.cut[link{a.VM, b.VM}] || p.links.up[link{a.VM, b.VM}] {
			return
		}
		p.links.up[link{a.VM, b.VM}], p.links.up[link{b.VM, a.VM}] = true, true
		p.Step(a.VM, node.PeerUp{Hello: helloOf(b)})
		p.Step(b.VM, node.PeerUp{Hello: helloOf(a)})
	})
}

// takeDown takes a link down if it is up, and notifies both ends.
func (p *Simulation) takeDown(a, b *Daemon) {
	if !p.links.up[link{a.VM, b.VM}] {
		return
	}
	delete(p.links.up, link{a.VM, b.VM})
	delete(p.links.up, link{b.VM, a.VM})
	p.Step(a.VM, node.PeerDown{Hello: helloOf(b)})
	p.Step(b.VM, node.PeerDown{Hello: helloOf(a)})
}

// unlinkAll takes down all links of a daemon that stops, and drops the links that it
// wanted.
func (p *Simulation) unlinkAll(d *Daemon) {
	for _, vm := range p.vms {
		delete(p.links.wanted, link{d.VM, vm})
		p.takeDown(d, p.daemons[vm])
	}
}

// redial brings up the links that other daemons want to a daemon that started.
func (p *Simulation) redial(d *Daemon) {
	for _, vm := range p.vms {
		if p.links.wanted[link{vm, d.VM}] {
			p.dial(p.daemons[vm], d)
		}
	}
}

func helloOf(d *Daemon) wire.Hello {
	return wire.Hello{VM: d.VM, DataCentre: d.DataCentre, Incarnation: d.Incarnation}
}
