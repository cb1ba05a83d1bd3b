package wire

const (
	// KindStreamOrigins tags StreamOrigins.
	KindStreamOrigins Kind = 92
	// KindSoftwareRecord tags SoftwareRecord.
	KindSoftwareRecord Kind = 93
)

// resumeDecoders decodes the messages on streams that callers may take up again.
var resumeDecoders = map[Kind]decoder{
	KindStreamOrigins:  decodeAs[StreamOrigins],
	KindSoftwareRecord: decodeAs[SoftwareRecord],
}

// StreamKeyBytes is the length of a stream's key in OriginGroup.Keys.
const StreamKeyBytes = 8

// StreamOrigins tells which software versions began streams that callers may take up again.
type StreamOrigins struct {
	_      struct{} `cbor:",toarray"`
	Groups []OriginGroup
}

// OriginGroup is a group of streams that one software version began.
type OriginGroup struct {
	_ struct{} `cbor:",toarray"`
	// Pool is the name of the pool.
	Pool     string
	Software string
	// Attempt numbers the attempt; a later one of the same stream replaces an earlier one.
	Attempt uint8
	// Keys are the keys of the streams, big-endian, one after the other.
	Keys []byte
}

// Kind implements Message.
func (StreamOrigins) Kind() Kind { return KindStreamOrigins }

// SoftwareRecord is the record of the software versions that serve, as it is in the store.
type SoftwareRecord struct {
	_    struct{} `cbor:",toarray"`
	Spec []byte
}

// Kind implements Message.
func (SoftwareRecord) Kind() Kind { return KindSoftwareRecord }
