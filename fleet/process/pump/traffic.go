package pump

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/node"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Traffic counts the encoded bytes that one daemon sent and received.
type Traffic struct {
	// StandingSent and StandingReceived count the messages that are sent regardless of
	// requests: membership, service sums, configuration.
	StandingSent, StandingReceived uint64
	// RequestSent and RequestReceived count the messages for requests: tickets, grants
	// and finishes, also of spilled requests.
	RequestSent, RequestReceived uint64
	// CrossRegionSent counts all messages sent to other regions.
	CrossRegionSent uint64
	// Messages is the number of messages sent.
	Messages uint64
}

// perRequest reports whether messages of a kind are sent for single requests.
func perRequest(kind wire.Kind) bool {
	switch kind {
	case wire.KindTicket, wire.KindWithdraw, wire.KindGrant, wire.KindFinish, wire.KindRefuse, wire.KindProgress:
		return true
	default:
		return false
	}
}

// performActions performs the pending actions of a daemon's node. It sends the messages in
// one frame per receiver.
func (p *Simulation) performActions(d *Daemon) {
	frames := make(map[version.VMID][]wire.Message)
	var receivers []version.VMID
	for _, action := range d.Node.Ready() {
		switch a := action.(type) {
		case node.Send:
			if len(frames[a.To]) == 0 {
				receivers = append(receivers, a.To)
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
	for _, to := range receivers {
		p.send(d, to, frames[to])
	}
}

// send sends a frame over a link, subject to fault injection. If the link is down, the
// daemon is notified that the receiver is unreachable.
func (p *Simulation) send(d *Daemon, to version.VMID, messages []wire.Message) {
	peer, known := p.daemons[to]
	if !known || !p.links.up[link{d.VM, to}] {
		p.after(0, func() { p.Step(d.VM, node.Unreachable{VM: to}) })
		return
	}
	p.count(d, peer, messages)
	var fate FrameFault
	if p.options.Fault != nil {
		fate = p.options.Fault(d.VM, to, p.random)
	}
	if fate.Drop || p.links.cut[link{d.VM, to}] {
		return
	}
	for range fate.Duplicates + 1 {
		p.deliver(d, peer, messages, p.delay(d, peer)+fate.ExtraDelay)
	}
}

// deliver delivers a frame after a delay, unless the link is cut or the receiver has
// restarted by then.
func (p *Simulation) deliver(from, to *Daemon, messages []wire.Message, delay time.Duration) {
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

// delay returns the one-way network latency between two daemons.
func (p *Simulation) delay(a, b *Daemon) time.Duration {
	if p.crossRegion(a, b) {
		return CrossRegionDelay
	}
	return SameRegionDelay
}

func (p *Simulation) crossRegion(a, b *Daemon) bool {
	return p.region(a.DataCentre) != p.region(b.DataCentre)
}

func (p *Simulation) region(id version.DataCentreID) version.RegionID {
	if p.options.Config == nil || p.options.Config.DataCentres[id] == nil {
		return ""
	}
	return p.options.Config.DataCentres[id].Region
}

// count adds the encoded size of a frame to the traffic of both ends, divided between
// request traffic and standing traffic by the number of messages of each.
func (p *Simulation) count(from, to *Daemon, messages []wire.Message) {
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
	frameBytes := uint64(len(frame))
	requestBytes := frameBytes * uint64(requests) / uint64(len(messages))
	from.Traffic.RequestSent += requestBytes
	from.Traffic.StandingSent += frameBytes - requestBytes
	to.Traffic.RequestReceived += requestBytes
	to.Traffic.StandingReceived += frameBytes - requestBytes
	from.Traffic.Messages += uint64(len(messages))
	if p.crossRegion(from, to) {
		from.Traffic.CrossRegionSent += frameBytes
	}
}
