package distribute

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Event is an input of a Core.
type Event interface {
	apply(c *Core, now time.Time)
}

// PeerUp reports that a link to another daemon was established.
type PeerUp struct {
	VM         version.VMID
	DataCentre version.DataCentreID
	Leaving    bool
}

// PeerDown reports that the link to a daemon was lost.
type PeerDown struct{ VM version.VMID }

// Receive is a message from a linked daemon. Messages that this package does not
// handle are ignored.
type Receive struct {
	From    version.VMID
	Message wire.Message
}

// PlatformHead is a head that this daemon read from the platform. Parts holds, by
// digest, those of its parts that Core.Part does not return.
type PlatformHead struct {
	Encoded []byte
	Parts   map[string][]byte
}

// PlatformContact reports that the platform has answered this daemon.
type PlatformContact struct{}

func (e PeerUp) apply(c *Core, now time.Time) {
	c.peers[e.VM] = &peer{dataCentre: e.DataCentre, leaving: e.Leaving}
	c.updateWatching(now)
	c.announce(now, e.VM)
}

func (e PeerDown) apply(c *Core, now time.Time) {
	delete(c.peers, e.VM)
	c.updateWatching(now)
	if c.fetch != nil && c.fetch.source == e.VM {
		c.changeSource(now)
	}
}

func (e Receive) apply(c *Core, now time.Time) {
	sender, linked := c.peers[e.From]
	if !linked {
		return
	}
	switch m := e.Message.(type) {
	case wire.Announce:
		c.receiveAnnounce(now, e.From, sender, m)
	case wire.HeadRequest:
		c.sendHeadOffer(e.From, m)
	case wire.HeadOffer:
		c.receiveHeadOffer(now, e.From, m)
	case wire.PartRequest:
		c.sendChunk(e.From, m)
	case wire.PartChunk:
		c.receiveChunk(now, e.From, m)
	}
}

func (e PlatformHead) apply(c *Core, now time.Time) {
	c.lastContact = now
	next, err := newSnapshot(e.Encoded)
	if err != nil {
		c.addAction(ReportRejectedHead{Err: err})
		return
	}
	for _, ref := range next.head.Parts {
		if data, present := e.Parts[ref.SHA256]; present {
			next.parts[ref.SHA256] = data
		}
	}
	c.install(now, next)
}

func (PlatformContact) apply(c *Core, now time.Time) { c.lastContact = now }

// Action is an output of a Core that its caller must carry out.
type Action interface{ action() }

// Send sends a message to a linked daemon. The message may be lost.
type Send struct {
	To      version.VMID
	Message wire.Message
}

// Apply makes a configuration the active one. Its number is higher than the
// numbers of all configurations before.
type Apply struct{ Config *version.Config }

// ReportRejectedHead reports a head that was rejected because it could not be
// fetched, decoded or compiled. The configuration before it stays active. Number
// is 0 if the number of the head is unknown.
type ReportRejectedHead struct {
	Number version.Number
	Err    error
}

func (Send) action()               {}
func (Apply) action()              {}
func (ReportRejectedHead) action() {}
