package app

import (
	"github.com/trefoilwell/trefoilwell/daemon/process/loop"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
)

// inbox hands the messages of peer links to the parts that handle them.
type inbox struct {
	loop *loop.Loop
}

// LinkUp implements peer.Handler.
func (i *inbox) LinkUp(hello wire.Hello) { i.loop.LinkUp(hello) }

// Receive implements peer.Handler.
func (i *inbox) Receive(from wire.Hello, messages []wire.Message) { i.loop.Receive(from, messages) }

// LinkDown implements peer.Handler.
func (i *inbox) LinkDown(hello wire.Hello) { i.loop.LinkDown(hello) }
