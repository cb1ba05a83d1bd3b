package pump

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/node"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// LinkTimeout is how long both ends of a cut link take to notice.
	LinkTimeout = time.Second
	// dialTime is how long a link takes to come up.
	dialTime = 20 * time.Millisecond
)

// link is an ordered pair of VMs.
type link struct{ from, to version.VMID }

// links holds which daemons want a link, which links are up and which are cut.
// Up and cut links are held in both directions.
type links struct {
	dialled, up, cut map[link]bool
}

func newLinks() links {
	return links{dialled: make(map[link]bool), up: make(map[link]bool), cut: make(map[link]bool)}
}

// Cut parts two groups of VMs; both ends notice after LinkTimeout.
func (p *Pump) Cut(a, b []version.VMID) {
	p.eachPair(a, b, func(from, to version.VMID) {
		p.links.cut[link{from, to}], p.links.cut[link{to, from}] = true, true
		p.after(LinkTimeout, func() {
			if p.links.cut[link{from, to}] {
				p.setDown(p.daemons[from], p.daemons[to])
			}
		})
	})
}

// Heal joins two groups of VMs again.
func (p *Pump) Heal(a, b []version.VMID) {
	p.eachPair(a, b, func(from, to version.VMID) {
		delete(p.links.cut, link{from, to})
		delete(p.links.cut, link{to, from})
		p.dial(p.daemons[from], p.daemons[to])
	})
}

func (p *Pump) eachPair(a, b []version.VMID, do func(from, to version.VMID)) {
	for _, from := range a {
		for _, to := range b {
			do(from, to)
		}
	}
}

// connect notes that a daemon wants a link and brings it up.
func (p *Pump) connect(d *Daemon, to version.VMID) {
	peer, known := p.daemons[to]
	if !known {
		return
	}
	p.links.dialled[link{d.VM, to}] = true
	p.dial(d, peer)
}

// disconnect ends a link that nobody wants any more.
func (p *Pump) disconnect(d *Daemon, to version.VMID) {
	delete(p.links.dialled, link{d.VM, to})
	if peer, known := p.daemons[to]; known && !p.links.dialled[link{to, d.VM}] {
		p.setDown(d, peer)
	}
}

// dial brings a link up if one of its ends wants it and it is not cut.
func (p *Pump) dial(a, b *Daemon) {
	p.after(dialTime+2*p.delay(a, b), func() {
		wanted := p.links.dialled[link{a.VM, b.VM}] || p.links.dialled[link{b.VM, a.VM}]
		if !wanted || p.links.cut[link{a.VM, b.VM}] || p.links.up[link{a.VM, b.VM}] {
			return
		}
		p.links.up[link{a.VM, b.VM}], p.links.up[link{b.VM, a.VM}] = true, true
		p.Step(a.VM, node.PeerUp{Hello: helloOf(b)})
		p.Step(b.VM, node.PeerUp{Hello: helloOf(a)})
	})
}

// setDown ends a link that is up and tells both ends.
func (p *Pump) setDown(a, b *Daemon) {
	if !p.links.up[link{a.VM, b.VM}] {
		return
	}
	delete(p.links.up, link{a.VM, b.VM})
	delete(p.links.up, link{b.VM, a.VM})
	p.Step(a.VM, node.PeerDown{Hello: helloOf(b)})
	p.Step(b.VM, node.PeerDown{Hello: helloOf(a)})
}

// unlinkAll ends the links of a daemon that stops, and what it wanted.
func (p *Pump) unlinkAll(d *Daemon) {
	for _, vm := range p.vms {
		delete(p.links.dialled, link{d.VM, vm})
		p.setDown(d, p.daemons[vm])
	}
}

// redial brings up the links that others want to a daemon that started.
func (p *Pump) redial(d *Daemon) {
	for _, vm := range p.vms {
		if p.links.dialled[link{vm, d.VM}] {
			p.dial(p.daemons[vm], d)
		}
	}
}

func helloOf(d *Daemon) wire.Hello {
	return wire.Hello{VM: d.VM, DataCentre: d.DataCentre, Incarnation: d.Incarnation}
}
