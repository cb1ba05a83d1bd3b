package relay

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
)

// readEvents returns the raw text of all complete events, and the number of those with
// data.
func readEvents(source io.Reader) (text []byte, withData int, err error) {
	reader := newEventReader(source)
	defer reader.release()
	for {
		next, err := reader.next()
		if err != nil {
			return text, withData, err
		}
		text = append(text, next.raw...)
		if next.data != nil {
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
