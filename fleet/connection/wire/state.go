package wire

const (
	// KindStateAsk tags StateAsk. Kinds 80 to 89 are in this file.
	KindStateAsk Kind = 80
	// KindStateTell tags StateTell.
	KindStateTell Kind = 81
)

// stateDecoders decodes the messages with which a daemon reads the platform's
// store for others.
var stateDecoders = map[Kind]decoder{
	KindStateAsk:  decodeAs[StateAsk],
	KindStateTell: decodeAs[StateTell],
}

// StateAsk asks a daemon for what it has read of the store and the asker has not.
type StateAsk struct {
	_ struct{} `cbor:",toarray"`
	// Seq numbers the asker's questions.
	Seq uint64
	// Config is the revision of the configuration that the asker has; 0 is none.
	Config uint64
	// Marks are the states of the kinds that the asker has.
	Marks []StateMark
}

// StateMark names a state of one kind of objects at the daemon that told it.
type StateMark struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	// Mark differs from that of any other state, also of another daemon.
	Mark uint64
	// Revision is the newest revision of the store as of which the asker knows the
	// kind, from whomever.
	Revision uint64
}

// StateTell answers a StateAsk.
type StateTell struct {
	_   struct{} `cbor:",toarray"`
	Seq uint64
	// ConfigAgeMS is how long ago, in milliseconds, the store was asked that last
	// confirmed the configuration.
	ConfigAgeMS uint32
	// Config is nil if the asker has it.
	Config *Stored
	// Kinds are all kinds, without objects where the asker has them.
	Kinds []StateKind
}

// StateKind is the state of one kind of objects.
type StateKind struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	Mark uint64
	// AgeMS is how long ago, in milliseconds, the store was heard of the kind.
	AgeMS uint32
	// Revision is the revision of the store as of which Objects are all of the kind.
	Revision uint64
	// Changed is set if Objects and Missing are filled in; otherwise the asker has
	// them, or newer ones.
	Changed bool
	Objects []Stored
	// Missing names what lapsed in an outage and may come back. It is not among
	// Objects, and only for those that have not seen it go.
	Missing []string
}

// Stored is one object of the store.
type Stored struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Revision uint64
	Spec     []byte
}

// Kind implements Message.
func (StateAsk) Kind() Kind { return KindStateAsk }

// Kind implements Message.
func (StateTell) Kind() Kind { return KindStateTell }
