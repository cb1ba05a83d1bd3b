package wire

import (
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// KindAnnounce tags Announce.
	KindAnnounce Kind = 50
	// KindHeadRequest tags HeadRequest.
	KindHeadRequest Kind = 51
	// KindHeadOffer tags HeadOffer.
	KindHeadOffer Kind = 52
	// KindPartRequest tags PartRequest.
	KindPartRequest Kind = 53
	// KindPartChunk tags PartChunk.
	KindPartChunk Kind = 54
)

// configDecoders decodes the messages that distribute the configuration between
// daemons.
var configDecoders = map[Kind]decoder{
	KindAnnounce:    decodeAs[Announce],
	KindHeadRequest: decodeAs[HeadRequest],
	KindHeadOffer:   decodeAs[HeadOffer],
	KindPartRequest: decodeAs[PartRequest],
	KindPartChunk:   decodeAs[PartChunk],
}

// Announce announces which configuration a daemon has.
type Announce struct {
	_ struct{} `cbor:",toarray"`
	// Number is the configuration head's number; 0 is none.
	Number version.Number
	// Orders is a hash of the operator orders that are active on top of the head; 0 is
	// none.
	Orders uint64
	// ContactMillis is the time in milliseconds since the platform last answered any
	// daemon, as far as the sender knows; the largest value is never.
	ContactMillis uint32
}

// HeadRequest requests the configuration head and the orders that are active on top of
// it.
type HeadRequest struct {
	_ struct{} `cbor:",toarray"`
	// Known is a hash of the encoded head that the sender has; 0 is none.
	Known uint64
}

// HeadOffer answers a HeadRequest.
type HeadOffer struct {
	_ struct{} `cbor:",toarray"`
	// Base is the hash of the encoded head that Head was compressed against; 0 is none.
	Base uint64
	// Head is the compressed encoded head; empty if the requester already has it.
	Head   []byte
	Orders []Order
}

// Order is the encoding of a version.Order within a HeadOffer.
type Order struct {
	_         struct{} `cbor:",toarray"`
	Operation string
	Millis    int64
	Target    version.Target
	Name      string
	Out       bool
}

// PartRequest requests the next chunk of a part of the configuration.
type PartRequest struct {
	_ struct{} `cbor:",toarray"`
	// SHA256 is the part's binary digest.
	SHA256 []byte
	// Offset is the number of uncompressed bytes that the sender already has.
	Offset uint32
}

// PartChunk answers a PartRequest.
type PartChunk struct {
	_      struct{} `cbor:",toarray"`
	SHA256 []byte
	Offset uint32
	// Total is the part's uncompressed size in bytes; 0 if the sender does not have the
	// part.
	Total uint32
	// Data is the chunk, compressed.
	Data []byte
}

// Kind implements Message.
func (Announce) Kind() Kind { return KindAnnounce }

// Kind implements Message.
func (HeadRequest) Kind() Kind { return KindHeadRequest }

// Kind implements Message.
func (HeadOffer) Kind() Kind { return KindHeadOffer }

// Kind implements Message.
func (PartRequest) Kind() Kind { return KindPartRequest }

// Kind implements Message.
func (PartChunk) Kind() Kind { return KindPartChunk }

// FromOrders converts orders to their encoding.
func FromOrders(orders []version.Order) []Order {
	encoded := make([]Order, 0, len(orders))
	for _, o := range orders {
		encoded = append(encoded, Order{Operation: o.Operation, Millis: o.Millis, Target: o.Target, Name: o.Name, Out: o.Out})
	}
	return encoded
}

// Version converts the order from its encoding.
func (o Order) Version() version.Order {
	return version.Order{Operation: o.Operation, Millis: o.Millis, Target: o.Target, Name: o.Name, Out: o.Out}
}
