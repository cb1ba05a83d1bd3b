package wire

import (
	"maps"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// MaxFrameBytes is the largest size of an encoded frame in bytes.
	MaxFrameBytes = 1 << 20
	// maxArrayElements bounds the length of each array within a frame.
	maxArrayElements = 1 << 16
	// maxNestedLevels bounds the nesting depth of a frame.
	maxNestedLevels = 8
)

// ErrMalformed is returned for a frame or relayed message that cannot be decoded.
var ErrMalformed = errors.New("malformed frame")

// ErrTooLarge is returned for a frame larger than MaxFrameBytes.
var ErrTooLarge = errors.New("frame too large")

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// envelope is an encoded message with its kind.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Body cbor.RawMessage
}

// Encode returns the frame that holds the messages in order. It returns ErrTooLarge if
// the frame would exceed MaxFrameBytes.
func Encode(messages []Message) ([]byte, error) {
	envelopes := make([]envelope, 0, len(messages))
	for _, message := range messages {
		body, err := encMode.Marshal(message)
		if err != nil {
			return nil, errors.Wrapf(err, "encode message of kind %d", message.Kind())
		}
		envelopes = append(envelopes, envelope{Kind: message.Kind(), Body: body})
	}
	frame, err := encMode.Marshal(envelopes)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	if len(frame) > MaxFrameBytes {
		return nil, errors.Wrapf(ErrTooLarge, "frame of %d bytes", len(frame))
	}
	return frame, nil
}

// Decode returns the messages of a frame. Messages of an unknown kind are skipped, so
// that a newer daemon can talk to an older one. It returns ErrTooLarge or ErrMalformed.
func Decode(frame []byte) ([]Message, error) {
	if len(frame) > MaxFrameBytes {
		return nil, errors.Wrapf(ErrTooLarge, "frame of %d bytes", len(frame))
	}
	var envelopes []envelope
	if err := decMode.Unmarshal(frame, &envelopes); err != nil {
		return nil, malformedFrame(err)
	}
	messages := make([]Message, 0, len(envelopes))
	for _, env := range envelopes {
		decode, known := decoders[env.Kind]
		if !known {
			continue
		}
		message, err := decode(env.Body)
		if err != nil {
			return nil, malformedFrame(err)
		}
		messages = append(messages, message)
	}
	return messages, nil
}

// decoder decodes the body of a message of one kind.
type decoder func([]byte) (Message, error)

// decoders maps each kind to its decoder. Each file that defines messages has its own
// table.
var decoders = mergeDecoders(
	dispatchDecoders,
	membershipDecoders,
	serviceDecoders,
	spillDecoders,
	configDecoders,
	ledgerDecoders,
	loadReportDecoders,
	limitReportDecoders,
	rolloutDecoders,
	paceReportDecoders,
	stateDecoders,
	promptDecoders,
	resumeDecoders,
)

func mergeDecoders(tables ...map[Kind]decoder) map[Kind]decoder {
	all := make(map[Kind]decoder)
	for _, table := range tables {
		maps.Copy(all, table)
	}
	return all
}

func decodeAs[M Message](body []byte) (Message, error) {
	var message M
	if err := decMode.Unmarshal(body, &message); err != nil {
		return nil, err
	}
	return message, nil
}

func malformedFrame(err error) error {
	return errors.Mark(errors.Wrap(err, "decode frame"), ErrMalformed)
}

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxNestedLevels:  maxNestedLevels,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// clampMillis converts a duration to whole milliseconds, clamped to the range of
// uint32.
func clampMillis(d time.Duration) uint32 {
	ms := d.Milliseconds()
	return uint32(min(max(ms, 0), math.MaxUint32))
}

// clampUnits rounds a cost up to whole units, clamped to the range of uint32.
func clampUnits[C ~float64](cost C) uint32 {
	return uint32(min(max(math.Ceil(float64(cost)), 0), math.MaxUint32))
}
