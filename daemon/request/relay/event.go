package relay

import (
	"bufio"
	"bytes"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// readBytes is the size of the buffer that reads an answer.
	readBytes = 16 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// event is one server-sent event or a block of comments.
type event struct {
	// text is the event as sent, with the empty line that ends it.
	text []byte
	// data is what its data lines carry; nil if it has none.
	data []byte
	// id is the event's identifier; nil if it has none.
	id []byte
}

// last reports whether the event ends the stream.
func (e event) last() bool { return bytes.Equal(e.data, []byte("[DONE]")) }

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBytes) }}

// eventReader splits a stream into whole events.
type eventReader struct {
	reader *bufio.Reader
	text   []byte
	data   []byte
	id     []byte
}

// newEventReader returns a reader that must be released.
func newEventReader(source io.Reader) *eventReader {
	reader := readers.Get().(*bufio.Reader)
	reader.Reset(source)
	return &eventReader{reader: reader}
}

func (r *eventReader) release() {
	r.reader.Reset(nil)
	readers.Put(r.reader)
	r.reader = nil
}

// pending reports whether more of the stream has arrived already.
func (r *eventReader) pending() bool { return r.reader.Buffered() > 0 }

// next returns the next whole event, valid until the following call. A stream
// that ends gives ErrCut, whether between events or inside one: the caller of
// next stops at the last event. Between events the error is io.EOF too if the
// body had its proper end.
func (r *eventReader) next() (event, error) {
	r.text, r.data, r.id = r.text[:0], r.data[:0], r.id[:0]
	hasData, hasID := false, false
	for {
		line, err := r.line()
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
	next := event{text: r.text}
	if hasData {
		next.data = r.data
	}
	if hasID {
		next.id = r.id
	}
	return next, nil
}

// line adds a line to the event's text and returns it without its end.
func (r *eventReader) line() ([]byte, error) {
	start := len(r.text)
	for {
		piece, err := r.reader.ReadSlice('\n')
		r.text = append(r.text, piece...)
		if len(r.text) > maxEventBytes {
			return nil, errors.Wrap(ErrCut, "event is too large")
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil && len(r.text) > 0 {
			return nil, errors.Wrapf(ErrCut, "inside an event: %v", err)
		}
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "read event"), ErrCut)
		}
		line := bytes.TrimSuffix(r.text[start:], []byte("\n"))
		return bytes.TrimSuffix(line, []byte("\r")), nil
	}
}
