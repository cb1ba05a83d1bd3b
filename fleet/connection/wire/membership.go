package wire

import "github.com/trefoilwell/trefoilwell/fleet/version"

const (
	// KindPing tags Ping.
	KindPing Kind = 20
	// KindPingRequest tags PingRequest.
	KindPingRequest Kind = 21
	// KindAck tags Ack.
	KindAck Kind = 22
)

// membershipDecoders decodes the messages of the membership protocol.
var membershipDecoders = map[Kind]decoder{
	KindPing:        decodeAs[Ping],
	KindPingRequest: decodeAs[PingRequest],
	KindAck:         decodeAs[Ack],
}

// Ping asks a member for an Ack.
type Ping struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint32
	Changes  []MemberChange
}

// PingRequest asks a member to ping the target on the sender's behalf.
type PingRequest struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint32
	Target   version.VMID
}

// Ack answers a Ping, or a PingRequest whose target answered.
type Ack struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint32
	Changes  []MemberChange
}

// MemberChange is the state of a member as known to the sender.
type MemberChange struct {
	_           struct{} `cbor:",toarray"`
	VM          version.VMID
	Incarnation uint64
	// Refutation grows whenever the member refutes that it has lapsed.
	Refutation uint32
	// State is a membership.State.
	State uint8
}

// Kind implements Message.
func (Ping) Kind() Kind { return KindPing }

// Kind implements Message.
func (PingRequest) Kind() Kind { return KindPingRequest }

// Kind implements Message.
func (Ack) Kind() Kind { return KindAck }
