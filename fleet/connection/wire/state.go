package wire

const (
	// KindStateRequest tags StateRequest.
	KindStateRequest Kind = 80
	// KindStateResponse tags StateResponse.
	KindStateResponse Kind = 81
)

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
	// Config is the revision of the configuration that the requester has; 0 is none.
	Config uint64
	// Marks identifies the state that the requester has of each kind of objects.
	Marks []StateMark
}

// StateMark identifies the state of one kind of objects, as received from one daemon.
type StateMark struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	// Mark differs from the mark of any other state, including those of other daemons.
	Mark uint64
	// Revision is the newest revision of the store at which the requester knows the
	// kind, no matter from which daemon.
	Revision uint64
}

// StateResponse answers a StateRequest.
type StateResponse struct {
	_   struct{} `cbor:",toarray"`
	Seq uint64
	// ConfigAgeMS is the time in milliseconds since the store was sent the request that
	// last confirmed the configuration.
	ConfigAgeMS uint32
	// Config is nil if the requester already has it.
	Config *StoredObject
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
	// Revision is the revision of the store at which Objects is the complete set of the
	// kind.
	Revision uint64
	// Changed is set if Objects and Missing are filled in. Otherwise the requester
	// already has them, or newer ones.
	Changed bool
	Objects []StoredObject
	// Missing names the objects that expired during an outage and may come back. They
	// are not among Objects, and only apply to a requester that still has them.
	Missing []string
}

// StoredObject is one object of the store.
type StoredObject struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Revision uint64
	Spec     []byte
}

// Kind implements Message.
func (StateRequest) Kind() Kind { return KindStateRequest }

// Kind implements Message.
func (StateResponse) Kind() Kind { return KindStateResponse }
