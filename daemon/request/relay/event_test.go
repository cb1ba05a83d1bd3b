package relay

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/process/answers"
)

// readEvents returns the raw text of all complete events, and the number of those with
// data.
func readEvents(source io.Reader) (text []byte, withData int, err error) {
	reader := newEventReader(source, func(int) error { return nil })
	defer reader.release()
	for {
		next, err := reader.next()
		if err != nil {
			return text, withData, err
		}
		text = append(text, next.raw...)
		if next.hasData {
			withData++
		}
	}
}

func TestTruncatedEventIsNotReturned(t *testing.T) {
	stream := "data: a\n\n: comment\n\ndata: b\ndata: c\n\ndata: [DO"
	text, withData, err := readEvents(strings.NewReader(stream))
	if want := "data: a\n\n: comment\n\ndata: b\ndata: c\n\n"; string(text) != want || withData != 2 {
		t.Errorf("read %q with %d events, want %q with 2", text, withData, want)
	}
	if !errors.Is(err, ErrTruncated) {
		t.Errorf("error is %v, want %v", err, ErrTruncated)
	}
}

func TestEventSizeIsBounded(t *testing.T) {
	endless := io.MultiReader(strings.NewReader("data: "), repeatedByte('x'))
	if _, _, err := readEvents(endless); !errors.Is(err, ErrTruncated) {
		t.Errorf("error is %v, want %v", err, ErrTruncated)
	}
	longID := strings.NewReader("id: " + strings.Repeat("7", maxEventIDBytes+1) + "\ndata: x\n\n")
	if _, _, err := readEvents(longID); !errors.Is(err, ErrOversized) {
		t.Errorf("long ID: error is %v, want %v", err, ErrOversized)
	}
}

// Guards against a large event that is held twice, or longer than until the next one: the reader
// announces all the memory that it takes, and allocates no more than twice that.
func TestMemoryOfAnEventIsAnnounced(t *testing.T) {
	const size = 512 << 10
	lines := strings.Repeat("data: "+strings.Repeat("x", 994)+"\n", size/1001)
	source := "id: 1\n" + lines + "\nid: 2\ndata: y\n\n"
	held, highest := 0, 0
	announce := func(n int) error { held, highest = n, max(highest, n); return nil }
	allocated := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			reader := newEventReader(strings.NewReader(source), announce)
			for _, id := range []string{"1", "2"} {
				next, err := reader.next()
				if err != nil || string(next.id) != id {
					b.Fatalf("event %q, %v, want %q", next.id, err, id)
				}
			}
			if held > freeContentBytes {
				b.Fatalf("%d bytes are held after the large event", held)
			}
			reader.release()
		}
	}).AllocedBytesPerOp()
	if highest < size || highest > maxEventBytes || allocated > int64(2*highest+readBufferBytes) {
		t.Errorf("%d bytes were announced and %d allocated for an event of %d", highest, allocated, size)
	}
	refused := newEventReader(strings.NewReader(source), func(n int) error {
		if n > freeContentBytes {
			return answers.ErrExceeded
		}
		return nil
	})
	defer refused.release()
	if _, err := refused.next(); !errors.Is(err, ErrOversized) || !errors.Is(err, ErrTruncated) {
		t.Errorf("without memory the error is %v, want ErrOversized", err)
	}
}

// Guards against data fields that are joined in another way than when each was copied.
func TestEventData(t *testing.T) {
	for text, want := range map[string]string{
		"data: a\n\n": "a", "data:a\r\nid: 1\r\n\r\n": "a", "data: b\ndata:c\nevent: x\ndata:  d\n\n": "b\nc\n d", "data:\n\n": "", "data: [DONE]\n\n": "[DONE]",
	} {
		reader := newEventReader(strings.NewReader(text), func(int) error { return nil })
		next, err := reader.next()
		if err != nil || string(next.data()) != want || !next.hasData || next.endsStream() != (want == "[DONE]") {
			t.Errorf("%q: data %q, error %v, want %q", text, next.data(), err, want)
		}
		reader.release()
	}
}

type repeatedByte byte

func (b repeatedByte) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(b)
	}
	return len(p), nil
}

func FuzzEvents(f *testing.F) {
	for _, seed := range []string{
		"data: {}\n\ndata: [DONE]\n\n",
		"data: a\r\n\r\n:\r\n\r\n",
		"\n\n\n", "data", "data:", "event: error\ndata: x\n\n", strings.Repeat("data: x\n", 3000),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		text, withData, err := readEvents(bytes.NewReader(stream))
		if !errors.Is(err, ErrTruncated) {
			t.Fatalf("error is %v, want %v", err, ErrTruncated)
		}
		if !bytes.HasPrefix(stream, text) {
			t.Fatalf("the events read are not a prefix of the stream")
		}
		if len(text) > 0 && text[len(text)-1] != '\n' {
			t.Fatalf("the text read ends inside an event: %q", text)
		}
		// The sizes of the reads must make no difference.
		byByteText, byByteWithData, _ := readEvents(iotest.OneByteReader(bytes.NewReader(stream)))
		if !bytes.Equal(byByteText, text) || byByteWithData != withData {
			t.Fatalf("read %q byte by byte, %q at once", byByteText, text)
		}
	})
}
