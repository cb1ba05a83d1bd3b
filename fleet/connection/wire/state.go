package wire

import "github.com/trefoilwell/trefoilwell/fleet/version/storeera"

const (
	// KindStateRequest tags StateRequest. Kinds 80 and 81 were these messages without eras, 82 and 83
	// without the status of objects.
	KindStateRequest Kind = 84
	// KindStateResponse tags StateResponse.
	KindStateResponse Kind = 85
)

// StorePosition is a storeera.Position.
type StorePosition struct {
	_        struct{} `cbor:",toarray"`
	Era      uint64
	Revision uint64
}

// FromPosition converts a position to its encoding.
func FromPosition(p storeera.Position) StorePosition {
	return StorePosition{Era: p.Era, Revision: p.Revision}
}

// Position returns the position that is encoded.
func (p StorePosition) Position() storeera.Position {
	return storeera.Position{Era: p.Era, Revision: p.Revision}
}

// stateDecoders decodes the messages by which one daemon reads the platform's store on
// behalf of others.
var stateDecoders = map[Kind]decoder{
	KindStateRequest:  decodeAs[StateRequest],
	KindStateResponse: decodeAs[StateResponse],
}

// StateRequest requests from a daemon the state of the store that it has read and the
// requester lacks.
type StateRequest struct {
	_ struct{} `cbor:",toarray"`
	// Seq numbers the requests of one daemon.
	Seq uint64
	// Config is the position of the configuration that the requester has; zero is none.
	Config StorePosition
	// Marks identifies the state that the requester has of each kind of objects.
	Marks []StateMark
}

// StateMark identifies the state of one kind of objects, as received from one daemon.
type StateMark struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	// Mark differs from the mark of any other state, including those of other daemons.
	Mark uint64
	// At is the newest position of the store at which the requester knows the kind, no
	// matter from which daemon.
	At StorePosition
}

// StateResponse answers a StateRequest.
type StateResponse struct {
	_   struct{} `cbor:",toarray"`
	Seq uint64
	// ConfigAgeMS is the time in milliseconds since the store was sent the request that
	// last confirmed the configuration.
	ConfigAgeMS uint32
	// Era is the store's era that the daemon follows.
	Era uint64
	// Config is nil if the requester already has it, and ConfigAt its position.
	Config   *StoredObject
	ConfigAt StorePosition
	// Kinds lists all kinds; those of which the requester already has the objects are
	// listed without them.
	Kinds []StateKind
}

// StateKind is the state of one kind of objects.
type StateKind struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	Mark uint64
	// AgeMS is the time in milliseconds since the store last reported on the kind.
	AgeMS uint32
	// Read is set if ReadAgeMS is, the time in milliseconds since a read of the store was sent that
	// showed the complete set of the kind. It is kept for rollouts only.
	Read      bool
	ReadAgeMS uint32
	// At is the position of the store at which Objects is the complete set of the kind.
	At StorePosition
	// Changed is set if Objects and Missing are filled in. Otherwise the requester
	// already has them, or newer ones.
	Changed bool
	Objects []StoredObject
	// Missing are the objects that the store lacks since an outage or its return from an
	// older copy, and that may come back. They are not among Objects, and only apply to a
	// requester that still has them or has just started.
	Missing []StoredObject
}

// StoredObject is one object of the store.
type StoredObject struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Revision uint64
	Spec     []byte
	// Status is the object's status, and Created the store's revision at its creation. They are
	// filled in for rollouts only.
	Status  []byte
	Created uint64
}

// Kind implements Message.
func (StateRequest) Kind() Kind { return KindStateRequest }

// Kind implements Message.
func (StateResponse) Kind() Kind { return KindStateResponse }
