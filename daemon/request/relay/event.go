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
)

// event is one server-sent event, or a block of comment lines.
type event struct {
	// raw is the event as received, with the empty line that ends it.
	raw []byte
	// data is the joined value of the event's data fields; nil if it has none.
	data []byte
	// id is the event ID; nil if the event has none.
	id []byte
}

// endsStream reports whether the event is the [DONE] event that ends a model engine's
// stream.
func (e event) endsStream() bool { return bytes.Equal(e.data, []byte("[DONE]")) }

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// eventReader splits a response body into complete server-sent events.
type eventReader struct {
	reader *bufio.Reader
	raw    []byte
	data   []byte
	id     []byte
}

// newEventReader returns a reader of source. The caller must release it.
func newEventReader(source io.Reader) *eventReader {
	reader := readerPool.Get().(*bufio.Reader)
	reader.Reset(source)
	return &eventReader{reader: reader}
}

func (r *eventReader) release() {
	r.reader.Reset(nil)
	readerPool.Put(r.reader)
	r.reader = nil
}

// hasBuffered reports whether more of the stream has already been received.
func (r *eventReader) hasBuffered() bool { return r.reader.Buffered() > 0 }

// next returns the next complete event, which is valid until the following call. Incomplete
// events are never returned: any end of the stream, between events or inside one, is
// ErrTruncated. Between events the error also matches io.EOF if the body ended properly.
func (r *eventReader) next() (event, error) {
	r.raw, r.data, r.id = r.raw[:0], r.data[:0], r.id[:0]
	hasData, hasID := false, false
	for {
		line, err := r.readLine()
		if err != nil {
			return event{}, err
		}
		if len(line) == 0 {
			break
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			r.id = append(r.id[:0], bytes.TrimPrefix(value, []byte(" "))...)
			hasID = true
		}
		if value, found := bytes.CutPrefix(line, []byte("data:")); found {
			if hasData {
				r.data = append(r.data, '\n')
			}
			r.data = append(r.data, bytes.TrimPrefix(value, []byte(" "))...)
			hasData = true
		}
	}
	next := event{raw: r.raw}
	if hasData {
		next.data = r.data
	}
	if hasID {
		next.id = r.id
	}
	return next, nil
}

// readLine appends a line to the event's raw text and returns it without its line ending.
func (r *eventReader) readLine() ([]byte, error) {
	start := len(r.raw)
	for {
		fragment, err := r.reader.ReadSlice('\n')
		r.raw = append(r.raw, fragment...)
		if len(r.raw) > maxEventBytes {
			return nil, errors.Wrap(ErrTruncated, "event exceeds the limit of 1 MiB")
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil && len(r.raw) > 0 {
			return nil, errors.Wrapf(ErrTruncated, "stream ended inside an event: %v", err)
		}
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "read event"), ErrTruncated)
		}
		line := bytes.TrimSuffix(r.raw[start:], []byte("\n"))
		return bytes.TrimSuffix(line, []byte("\r")), nil
	}
}
