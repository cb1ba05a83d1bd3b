package wire

import (
	"reflect"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

func sampleMessages() []Message {
	pool := version.NewPoolID("polish")
	upstream := version.NewUpstreamID("north-1")
	return []Message{
		Ticket{
			ID: 40_000, Account: version.NewAccountID("counters"), Pool: pool,
			Estimate: 300, WaitMillis: 60_000, Prefix: 1 << 63, Attempt: 1,
		},
		Grant{ID: 40_000, Attempt: 1, Pool: pool, Upstream: upstream, Session: 1_000},
		Finish{ID: 40_000, Attempt: 1, Pool: pool, Upstream: upstream, Cost: 300, FirstTokenMillis: 200},
	}
}

func TestFrameSurvivesARoundTrip(t *testing.T) {
	want := sampleMessages()
	frame, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(frame)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %v, want %v", got, want)
	}
}

func TestRequestMessagesStayWithinTheirByteTarget(t *testing.T) {
	total := 0
	for _, message := range sampleMessages() {
		frame, err := Encode([]Message{message})
		if err != nil {
			t.Fatal(err)
		}
		total += len(frame)
	}
	if total > RequestBytesTarget {
		t.Errorf("ticket, grant and finish take %d bytes, want at most %d", total, RequestBytesTarget)
	}
}

func TestDecodeRejectsMalformedAndOversizedFrames(t *testing.T) {
	for _, frame := range [][]byte{nil, {0xff}, {0x81, 0x01}, {0x81, 0x82, 0x02, 0x01}} {
		if _, err := Decode(frame); !errors.Is(err, ErrMalformed) {
			t.Errorf("Decode(%x) = %v, want ErrMalformed", frame, err)
		}
	}
	if _, err := Decode(make([]byte, MaxFrameBytes+1)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("Decode of an oversized frame = %v, want ErrTooLarge", err)
	}
}

func FuzzDecode(f *testing.F) {
	frame, err := Encode(sampleMessages())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame)
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, frame []byte) {
		messages, err := Decode(frame)
		if err != nil {
			return
		}
		if _, err := Encode(messages); err != nil {
			t.Errorf("decoded frame cannot be encoded: %v", err)
		}
	})
}
