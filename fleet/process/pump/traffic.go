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
func (s *Simulation) performActions(d *Daemon) {
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
			s.granted(d, a.Grant)
		case node.Refused:
			s.refused(d, a)
		case node.Connect:
			s.connect(d, a.VM)
		case node.Disconnect:
			s.disconnect(d, a.VM)
		case node.Poll:
			s.poll(d, a.Upstream)
		}
	}
	for _, to := range receivers {
		s.send(d, to, frames[to])
	}
}

// send sends a frame over a link, subject to fault injection. If the link is down, the
// daemon is notified that the receiver is unreachable.
func (s *Simulation) send(d *Daemon, to version.VMID, messages []wire.Message) {
	peer, known := s.daemons[to]
	if !known || !s.links.up[link{d.VM, to}] {
		s.after(0, func() { s.Step(d.VM, node.Unreachable{VM: to}) })
		return
	}
	s.count(d, peer, messages)
	var fault FrameFault
	if s.options.Fault != nil {
		fault = s.options.Fault(d.VM, to, s.random)
	}
	if fault.Drop || s.links.cut[link{d.VM, to}] {
		return
	}
	for range fault.Duplicates + 1 {
		s.deliver(d, peer, messages, s.delay(d, peer)+fault.ExtraDelay)
	}
}

// deliver delivers a frame after a delay, unless the link is cut or the receiver has
// restarted by then.
func (s *Simulation) deliver(from, to *Daemon, messages []wire.Message, delay time.Duration) {
	sender, receiver := from.Incarnation, to.Incarnation
	s.after(delay, func() {
		if s.links.cut[link{from.VM, to.VM}] || to.Incarnation != receiver {
			return
		}
		for _, message := range messages {
			s.Step(to.VM, node.Receive{From: from.VM, Incarnation: sender, Message: message})
		}
	})
}

// delay returns the one-way network latency between two daemons.
func (s *Simulation) delay(a, b *Daemon) time.Duration {
	if s.crossRegion(a, b) {
		return CrossRegionDelay
	}
	return SameRegionDelay
}

func (s *Simulation) crossRegion(a, b *Daemon) bool {
	return s.region(a.DataCentre) != s.region(b.DataCentre)
}

func (s *Simulation) region(id version.DataCentreID) version.RegionID {
	if s.options.Config == nil || s.options.Config.DataCentres[id] == nil {
		return ""
	}
	return s.options.Config.DataCentres[id].Region
}

// count adds the encoded size of a frame to the traffic of both ends, divided between
// request traffic and standing traffic by the number of messages of each.
func (s *Simulation) count(from, to *Daemon, messages []wire.Message) {
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
	if s.crossRegion(from, to) {
		from.Traffic.CrossRegionSent += frameBytes
	}
}
