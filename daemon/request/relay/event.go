package relay

import (
	"bufio"
	"bytes"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// readBufferBytes is the size of the buffer through which a response is read.
	readBufferBytes = 16 << 10
	// maxEventBytes limits the size of one server-sent event.
	maxEventBytes = 1 << 20
	// maxEventIDBytes limits the ID of an event, which is sent to the upstream that continues the
	// stream.
	maxEventIDBytes = 1 << 10
	// maxJoinedBytes limits the data of several fields that are joined.
	maxJoinedBytes = 16 << 10
)

// event is one server-sent event, or a block of comment lines. Its slices are parts of raw.
type event struct {
	// raw is the event as received, with the empty line that ends it.
	raw []byte
	// hasData is set if the event has a data field, and firstData is the value of the first one.
	hasData   bool
	firstData []byte
	// dataFields is the number of data fields.
	dataFields int
	// id is the event ID; nil if the event has none.
	id []byte
}

// data returns the joined value of the event's data fields; nil if it has none, or several that
// are longer than maxJoinedBytes.
func (e event) data() []byte {
	if e.dataFields <= 1 {
		return e.firstData
	}
	if len(e.raw) > maxJoinedBytes {
		return nil
	}
	var joined []byte
	for line := range bytes.Lines(e.raw) {
		if value, found := bytes.CutPrefix(trimLineEnd(line), []byte("data:")); found {
			if joined != nil {
				joined = append(joined, '\n')
			}
			joined = append(joined, bytes.TrimPrefix(value, []byte(" "))...)
		}
	}
	return joined
}

// endsStream reports whether the event is the [DONE] event that ends a model engine's
// stream.
func (e event) endsStream() bool {
	return e.dataFields == 1 && bytes.Equal(e.firstData, []byte("[DONE]"))
}

// trimLineEnd returns a line without its line ending.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// eventReader splits a response body into complete server-sent events.
type eventReader struct {
	reader *bufio.Reader
	raw    []byte
	// hold is called with the size of raw before it grows, and once it has become smaller; an
	// error keeps it from growing.
	hold func(bytes int) error
}

// newEventReader returns a reader of source. The caller must release it.
func newEventReader(source io.Reader, hold func(bytes int) error) *eventReader {
	reader := readerPool.Get().(*bufio.Reader)
	reader.Reset(source)
	return &eventReader{reader: reader, hold: hold}
}

func (r *eventReader) release() {
	r.reader.Reset(nil)
	readerPool.Put(r.reader)
	r.reader = nil
	r.shrink()
}

// shrink gives up the memory of a large event.
func (r *eventReader) shrink() {
	if cap(r.raw) > freeContentBytes {
		r.raw = nil
		// Holding less is never refused.
		_ = r.hold(0)
	}
}

// hasBuffered reports whether more of the stream has already been received.
func (r *eventReader) hasBuffered() bool { return r.reader.Buffered() > 0 }

// span is a part of an eventReader's raw text.
type span struct{ start, end int }

func (s span) of(raw []byte) []byte { return raw[s.start:s.end:s.end] }

// next returns the next complete event, which is valid until the following call. Incomplete
// events are never returned: any end of the stream, between events or inside one, is
// ErrTruncated, and so is text that is no event. Between events the error also matches io.EOF if the
// body ended properly.
func (r *eventReader) next() (event, error) {
	r.shrink()
	r.raw = r.raw[:0]
	var next event
	// raw may move while the event is read, so its parts are taken at the end.
	var id, data span
	hasID, lines, fields := false, 0, 0
	for {
		line, err := r.readLine()
		if err != nil {
			return event{}, err
		}
		text := line.of(r.raw)
		if len(text) == 0 {
			break
		}
		lines++
		name, _, hasColon := bytes.Cut(text, []byte(":"))
		switch string(name) {
		case "", "data", "event", "id", "retry":
			fields++
		default:
			// Other fields are extensions, which callers ignore.
			if !hasColon {
				return event{}, foreignText(text)
			}
		}
		if value, found := bytes.CutPrefix(text, []byte("id:")); found {
			value = bytes.TrimPrefix(value, []byte(" "))
			if len(value) > maxEventIDBytes {
				return event{}, oversized(errors.Newf("event ID of %d bytes is longer than %d", len(value), maxEventIDBytes))
			}
			id, hasID = span{line.end - len(value), line.end}, true
		}
		if value, found := bytes.CutPrefix(text, []byte("data:")); found {
			if next.dataFields++; next.dataFields == 1 {
				data = span{line.end - len(bytes.TrimPrefix(value, []byte(" "))), line.end}
			}
		}
	}
	if lines > 0 && fields == 0 {
		return event{}, foreignText(r.raw)
	}
	next.raw, next.hasData = r.raw, next.dataFields > 0
	if next.hasData {
		next.firstData = data.of(r.raw)
	}
	if hasID {
		next.id = id.of(r.raw)
	}
	return next, nil
}

// readLine appends a line to the event's raw text and returns where it is, without its line
// ending.
func (r *eventReader) readLine() (span, error) {
	start := len(r.raw)
	for {
		fragment, err := r.reader.ReadSlice('\n')
		if err := r.append(fragment); err != nil {
			return span{}, err
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil && len(r.raw) > 0 {
			return span{}, errors.Wrapf(ErrTruncated, "stream ended inside an event: %v", err)
		}
		if err != nil {
			return span{}, errors.Mark(errors.Wrap(err, "read event"), ErrTruncated)
		}
		return span{start, start + len(trimLineEnd(r.raw[start:]))}, nil
	}
}

// append appends to the event's raw text. It returns ErrOversized if the event is too large.
func (r *eventReader) append(fragment []byte) error {
	needed := len(r.raw) + len(fragment)
	if needed > maxEventBytes {
		return oversized(errors.Newf("event is longer than %d bytes", maxEventBytes))
	}
	if needed > cap(r.raw) {
		capacity := min(max(2*cap(r.raw), needed, minEventCapacity), maxEventBytes)
		if err := r.hold(capacity); err != nil {
			return oversized(err)
		}
		grown := make([]byte, len(r.raw), capacity)
		copy(grown, r.raw)
		r.raw = grown
	}
	r.raw = append(r.raw, fragment...)
	return nil
}

// maxQuotedBytes limits what an error quotes of a stream.
const maxQuotedBytes = 64

// foreignText returns the error of a stream that holds text which is no event, such as the head of
// another response. Callers would take it for a part of their answer.
func foreignText(text []byte) error {
	return errors.Wrapf(ErrTruncated, "stream holds text that is no event: %q", text[:min(len(text), maxQuotedBytes)])
}

// oversized marks the reason why an answer is broken off before its end.
func oversized(reason error) error {
	return errors.Mark(errors.Mark(reason, ErrOversized), ErrTruncated)
}

// minEventCapacity is the least capacity for an event, in bytes.
const minEventCapacity = 512
