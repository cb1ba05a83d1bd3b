package distribute

import (
	"time"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

// Event is something that happened to a daemon.
type Event interface {
	apply(c *Core, now time.Time)
}

// PeerUp is a link to another daemon that came up.
type PeerUp struct {
	VM         version.VMID
	DataCentre version.DataCentreID
	Leaving    bool
}

// PeerDown is a link that went down.
type PeerDown struct{ VM version.VMID }

// Receive is one message from a linked daemon. Messages of other packages are
// ignored.
type Receive struct {
	From    version.VMID
	Message wire.Message
}

// PlatformHead is a head that this daemon read from the platform, with the
// parts by digest that Part did not return.
type PlatformHead struct {
	Encoded []byte
	Parts   map[string][]byte
}

// PlatformContact is an answer of the platform to this daemon.
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
	from, linked := c.peers[e.From]
	if !linked {
		return
	}
	switch m := e.Message.(type) {
	case wire.Announce:
		c.heard(now, e.From, from, m)
	case wire.HeadRequest:
		c.offerHead(e.From, m)
	case wire.HeadOffer:
		c.takeHead(now, e.From, m)
	case wire.PartRequest:
		c.offerChunk(e.From, m)
	case wire.PartChunk:
		c.takeChunk(now, e.From, m)
	}
}

func (e PlatformHead) apply(c *Core, now time.Time) {
	c.contact = now
	next, err := newSnapshot(e.Encoded)
	if err != nil {
		c.act(Refuse{Err: err})
		return
	}
	for _, ref := range next.head.Parts {
		if data, present := e.Parts[ref.SHA256]; present {
			next.parts[ref.SHA256] = data
		}
	}
	c.install(now, next)
}

func (PlatformContact) apply(c *Core, now time.Time) { c.contact = now }

// Action is something that the caller of a Core has to carry out.
type Action interface{ action() }

// Send is a message to be sent to a linked daemon. It may be lost.
type Send struct {
	To      version.VMID
	Message wire.Message
}

// Apply is a configuration to put in force; its number is higher than that of
// any before.
type Apply struct{ Config *version.Config }

// Refuse is a head that could not be put in force. The one before stays.
type Refuse struct {
	Number version.Number
	Err    error
}

func (Send) action()   {}
func (Apply) action()  {}
func (Refuse) action() {}
