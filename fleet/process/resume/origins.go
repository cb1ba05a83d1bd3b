// Package resume decides at which software version of a pool a stream may go on. What two
// versions write does not fit together, upstreams do not check it, and versions have no order.
//
// A VM knows what version began a stream in one of two ways. It is told of each stream that
// begins while several versions may serve (Tracker.Begin, Merge). Or only one version can
// have begun it: a version is in the record, which all VMs share and the platform's store keeps,
// before any stream begins at it, and for some time after its last upstream has gone. What is
// known in neither way is not joined.
//
// A Tracker does no I/O and reads no clock.
package resume

import (
	"encoding/binary"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// maxGenerationStreams limits the streams of a generation, and generations is their number.
	// The oldest generation is dropped when the newest is full, or has lasted for its part of the
	// retention.
	maxGenerationStreams = 1 << 16
	generations          = 3
	// maxOrigins limits the versions, of all pools, to which streams refer.
	maxOrigins = 250
	// maxMessageStreams limits the streams of one message, so that a link is not held up.
	maxMessageStreams = 1 << 12
	// maxNameBytes limits the name of a pool or of a version that another VM tells.
	maxNameBytes = 256
)

// Stream identifies a stream by the caller's request that brought its first event.
type Stream uint64

// StreamOf returns the stream that a caller's request begins. Identifiers are unique for an
// account only.
func StreamOf(account version.AccountID, requestID string) Stream {
	var digest xxhash.Digest
	digest.ResetWithSeed(uint64(account))
	// Writing to a digest cannot fail.
	_, _ = digest.WriteString(requestID)
	return Stream(digest.Sum64())
}

// Origin is what began a stream.
type Origin struct {
	// Pool is the name of a pool.
	Pool     string
	Software string
}

// entry refers to the origin of a stream.
type entry struct {
	origin  uint8
	attempt uint8
	// own is set if this VM sent the attempt.
	own bool
}

// originTable remembers the origins of a bounded number of streams.
type originTable struct {
	origins []Origin
	index   map[Origin]uint8
	// generations hold the streams, the newest generation first.
	generations [generations]map[Stream]entry
	rotatedAt   time.Time
}

func newOriginTable() *originTable {
	t := &originTable{index: make(map[Origin]uint8)}
	for i := range t.generations {
		t.generations[i] = make(map[Stream]entry)
	}
	return t
}

// find returns what began a stream.
func (t *originTable) find(stream Stream) (entry, bool) {
	for _, generation := range t.generations {
		if e, present := generation[stream]; present {
			return e, true
		}
	}
	return entry{}, false
}

// put records what began a stream and reports whether that is new.
func (t *originTable) put(now time.Time, retention time.Duration, stream Stream, origin Origin, attempt uint8, own bool) bool {
	if t.rotatedAt.IsZero() {
		t.rotatedAt = now
	}
	if len(t.generations[0]) >= maxGenerationStreams || now.Sub(t.rotatedAt) >= retention/(generations-1) {
		copy(t.generations[1:], t.generations[:generations-1])
		t.generations[0] = make(map[Stream]entry)
		t.rotatedAt = now
	}
	known, present := t.find(stream)
	if present && (attempt < known.attempt || attempt == known.attempt && t.origins[known.origin] == origin) {
		// It is kept as long as a stream that begins now.
		t.generations[0][stream] = known
		return false
	}
	t.generations[0][stream] = entry{origin: t.originIndex(origin), attempt: attempt, own: own}
	return true
}

// originIndex returns the index of an origin. If there are too many of them, all is forgotten: then
// streams are not known, which is safe.
func (t *originTable) originIndex(origin Origin) uint8 {
	if i, present := t.index[origin]; present {
		return i
	}
	if len(t.origins) >= maxOrigins {
		rotatedAt := t.rotatedAt
		*t = *newOriginTable()
		t.rotatedAt = rotatedAt
	}
	// The strings may be parts of larger ones, such as a message.
	origin = Origin{Pool: strings.Clone(origin.Pool), Software: strings.Clone(origin.Software)}
	t.origins = append(t.origins, origin)
	t.index[origin] = uint8(len(t.origins) - 1)
	return t.index[origin]
}

// size returns the number of streams, some of which may be counted twice.
func (t *originTable) size() int {
	count := 0
	for _, generation := range t.generations {
		count += len(generation)
	}
	return count
}

// encode returns messages that tell of streams.
func (t *originTable) encode(streams []Stream) []wire.StreamOrigins {
	var messages []wire.StreamOrigins
	for len(streams) > 0 {
		part := streams[:min(len(streams), maxMessageStreams)]
		streams = streams[len(part):]
		groups := make(map[entry]*wire.OriginGroup)
		for _, stream := range part {
			e, present := t.find(stream)
			if !present {
				continue
			}
			e.own = false
			g := groups[e]
			if g == nil {
				origin := t.origins[e.origin]
				g = &wire.OriginGroup{Pool: origin.Pool, Software: origin.Software, Attempt: e.attempt}
				groups[e] = g
			}
			g.Keys = binary.BigEndian.AppendUint64(g.Keys, uint64(stream))
		}
		message := wire.StreamOrigins{}
		for _, g := range groups {
			message.Groups = append(message.Groups, *g)
		}
		if len(message.Groups) > 0 {
			messages = append(messages, message)
		}
	}
	return messages
}
