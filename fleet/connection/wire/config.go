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

// configDecoders decodes the messages that carry configuration between daemons.
var configDecoders = map[Kind]decoder{
	KindAnnounce:    decodeAs[Announce],
	KindHeadRequest: decodeAs[HeadRequest],
	KindHeadOffer:   decodeAs[HeadOffer],
	KindPartRequest: decodeAs[PartRequest],
	KindPartChunk:   decodeAs[PartChunk],
}

// Announce tells what configuration a daemon holds.
type Announce struct {
	_ struct{} `cbor:",toarray"`
	// Number is the head's number; 0 is none.
	Number version.Number
	// Orders is a hash of the orders in force over the head; 0 is none.
	Orders uint64
	// ContactMillis is how long ago the platform answered any daemon, as far
	// as the sender knows, in milliseconds; the largest value is never.
	ContactMillis uint32
}

// HeadRequest asks for the head and the orders in force over it.
type HeadRequest struct {
	_ struct{} `cbor:",toarray"`
	// Known is a hash of the encoded head that the sender holds; 0 is none.
	Known uint64
}

// HeadOffer answers a HeadRequest.
type HeadOffer struct {
	_ struct{} `cbor:",toarray"`
	// Base is the hash of the encoded head that Head was compressed against;
	// 0 is none.
	Base uint64
	// Head is the compressed encoded head, empty if the asker has it.
	Head   []byte
	Orders []Order
}

// Order is a version.Order within a HeadOffer.
type Order struct {
	_         struct{} `cbor:",toarray"`
	Operation string
	Millis    int64
	Target    version.Target
	Name      string
	Out       bool
}

// PartRequest asks for the next chunk of a part.
type PartRequest struct {
	_ struct{} `cbor:",toarray"`
	// SHA256 is the part's binary digest.
	SHA256 []byte
	// Offset is the number of bytes that the sender has, uncompressed.
	Offset uint32
}

// PartChunk answers a PartRequest.
type PartChunk struct {
	_      struct{} `cbor:",toarray"`
	SHA256 []byte
	Offset uint32
	// Total is the part's size in bytes, uncompressed; 0 if the sender does
	// not have it.
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

// FromOrders encodes orders.
func FromOrders(orders []version.Order) []Order {
	encoded := make([]Order, 0, len(orders))
	for _, o := range orders {
		encoded = append(encoded, Order{Operation: o.Operation, Millis: o.Millis, Target: o.Target, Name: o.Name, Out: o.Out})
	}
	return encoded
}

// Version returns the order.
func (o Order) Version() version.Order {
	return version.Order{Operation: o.Operation, Millis: o.Millis, Target: o.Target, Name: o.Name, Out: o.Out}
}
