package pump

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/node"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Traffic counts encoded bytes of one daemon.
type Traffic struct {
	// StandingSent and StandingReceived count the messages that go on without
	// requests: membership, service sums, configuration.
	StandingSent, StandingReceived uint64
	// RequestSent and RequestReceived count tickets, grants, finishes and
	// spilled ones.
	RequestSent, RequestReceived uint64
	// CrossRegionSent counts both, to other regions.
	CrossRegionSent uint64
	Messages        uint64
}

// perRequest reports whether messages of a kind go with requests.
func perRequest(kind wire.Kind) bool {
	switch kind {
	case wire.KindTicket, wire.KindWithdraw, wire.KindGrant, wire.KindFinish, wire.KindRefuse, wire.KindProgress:
		return true
	default:
		return false
	}
}

// carryOut sends a node's messages, one frame a peer, and starts its grants.
func (p *Pump) carryOut(d *Daemon) {
	frames := make(map[version.VMID][]wire.Message)
	var peers []version.VMID
	for _, action := range d.Node.Ready() {
		switch a := action.(type) {
		case node.Send:
			if len(frames[a.To]) == 0 {
				peers = append(peers, a.To)
			}
			frames[a.To] = append(frames[a.To], a.Message)
		case node.Granted:
			p.granted(d, a.Grant)
		case node.Refused:
			p.refused(d, a)
		case node.Connect:
			p.connect(d, a.VM)
		case node.Disconnect:
			p.disconnect(d, a.VM)
		case node.Poll:
			p.poll(d, a.Upstream)
		}
	}
	for _, to := range peers {
		p.send(d, to, frames[to])
	}
}

// send puts a frame on a link.
func (p *Pump) send(d *Daemon, to version.VMID, messages []wire.Message) {
	peer, known := p.daemons[to]
	if !known || !p.links.up[link{d.VM, to}] {
		p.after(0, func() { p.Step(d.VM, node.Unreachable{VM: to}) })
		return
	}
	p.count(d, peer, messages)
	var fate Fate
	if p.options.Fault != nil {
		fate = p.options.Fault(d.VM, to, p.random)
	}
	if fate.Lose || p.links.cut[link{d.VM, to}] {
		return
	}
	for range fate.Copies + 1 {
		p.deliver(d, peer, messages, p.delay(d, peer)+fate.Extra)
	}
}

func (p *Pump) deliver(from, to *Daemon, messages []wire.Message, delay time.Duration) {
	sender, receiver := from.Incarnation, to.Incarnation
	p.after(delay, func() {
		if p.links.cut[link{from.VM, to.VM}] || to.Incarnation != receiver {
			return
		}
		for _, message := range messages {
			p.Step(to.VM, node.Receive{From: from.VM, Incarnation: sender, Message: message})
		}
	})
}

// delay returns the one-way delay between two daemons.
func (p *Pump) delay(a, b *Daemon) time.Duration {
	if p.crossRegion(a, b) {
		return CrossRegionDelay
	}
	return SameRegionDelay
}

func (p *Pump) crossRegion(a, b *Daemon) bool {
	return p.region(a.DataCentre) != p.region(b.DataCentre)
}

func (p *Pump) region(id version.DataCentreID) version.RegionID {
	if p.options.Config == nil || p.options.Config.DataCentres[id] == nil {
		return ""
	}
	return p.options.Config.DataCentres[id].Region
}

// count adds a frame's encoded size, split by what its messages are for.
func (p *Pump) count(from, to *Daemon, messages []wire.Message) {
	frame, err := wire.Encode(messages)
	if err != nil {
		panic(err)
	}
	requests := 0
	for _, message := range messages {
		if perRequest(message.Kind()) {
			requests++
		}
	}
	whole := uint64(len(frame))
	share := whole * uint64(requests) / uint64(len(messages))
	from.Traffic.RequestSent += share
	from.Traffic.StandingSent += whole - share
	to.Traffic.RequestReceived += share
	to.Traffic.StandingReceived += whole - share
	from.Traffic.Messages += uint64(len(messages))
	if p.crossRegion(from, to) {
		from.Traffic.CrossRegionSent += whole
	}
}
