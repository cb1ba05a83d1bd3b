package wire

import (
	"maps"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// MaxFrameBytes bounds an encoded frame.
	MaxFrameBytes = 1 << 20
	// maxElements bounds each array within a frame.
	maxElements = 1 << 16
	// maxNesting bounds the depth of a frame.
	maxNesting = 8
)

// ErrMalformed is returned for a frame that cannot be decoded.
var ErrMalformed = errors.New("malformed frame")

// ErrTooLarge is returned for a frame over MaxFrameBytes.
var ErrTooLarge = errors.New("frame too large")

var (
	encoding = mustEncoding()
	decoding = mustDecoding()
)

// envelope is a message with its tag.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Body cbor.RawMessage
}

// Encode returns the frame that holds the messages in order.
func Encode(messages []Message) ([]byte, error) {
	envelopes := make([]envelope, 0, len(messages))
	for _, message := range messages {
		body, err := encoding.Marshal(message)
		if err != nil {
			return nil, errors.Wrapf(err, "encode message kind %d", message.Kind())
		}
		envelopes = append(envelopes, envelope{Kind: message.Kind(), Body: body})
	}
	frame, err := encoding.Marshal(envelopes)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	if len(frame) > MaxFrameBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(frame))
	}
	return frame, nil
}

// Decode returns the messages of a frame. A message of an unknown kind is
// skipped, so that a newer daemon can talk to an older one.
func Decode(frame []byte) ([]Message, error) {
	if len(frame) > MaxFrameBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(frame))
	}
	var envelopes []envelope
	if err := decoding.Unmarshal(frame, &envelopes); err != nil {
		return nil, malformed(err)
	}
	messages := make([]Message, 0, len(envelopes))
	for _, env := range envelopes {
		decode, known := decoders[env.Kind]
		if !known {
			continue
		}
		message, err := decode(env.Body)
		if err != nil {
			return nil, malformed(err)
		}
		messages = append(messages, message)
	}
	return messages, nil
}

// decoder decodes the body of one kind of message.
type decoder func([]byte) (Message, error)

// decoders holds the decoder of each kind. Each file of messages has its own
// table.
var decoders = merge(
	dispatchDecoders,
	membershipDecoders,
	serviceDecoders,
	spillDecoders,
	configDecoders,
	ledgerDecoders,
	workDecoders,
	stateDecoders,
)

func merge(tables ...map[Kind]decoder) map[Kind]decoder {
	all := make(map[Kind]decoder)
	for _, table := range tables {
		maps.Copy(all, table)
	}
	return all
}

func decodeAs[M Message](body []byte) (Message, error) {
	var message M
	if err := decoding.Unmarshal(body, &message); err != nil {
		return nil, err
	}
	return message, nil
}

func malformed(err error) error {
	return errors.Mark(errors.Wrap(err, "decode frame"), ErrMalformed)
}

func mustEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// millis rounds a duration to milliseconds within 32 bits.
func millis(d time.Duration) uint32 {
	ms := d.Milliseconds()
	return uint32(min(max(ms, 0), math.MaxUint32))
}

// wholeUnits rounds a cost up to whole units within 32 bits.
func wholeUnits[C ~float64](cost C) uint32 {
	return uint32(min(max(math.Ceil(float64(cost)), 0), math.MaxUint32))
}
