package wire

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/trefoilwell/trefoilwell/fleet/version"
)

func TestConfigMessagesSurviveARoundTrip(t *testing.T) {
	order := version.Order{Operation: "op", Millis: 12, Target: version.TargetVM, Name: "vm-1", Out: true}
	sent := []Message{
		Announce{Number: 1 << 40, Orders: 7, ContactMillis: 9},
		HeadRequest{Known: 1 << 60},
		HeadOffer{Base: 3, Head: []byte{1, 2}, Orders: FromOrders([]version.Order{order})},
		PartRequest{SHA256: bytes.Repeat([]byte{9}, 32), Offset: 5},
		PartChunk{SHA256: []byte{1}, Offset: 1, Total: 2, Data: []byte{3}},
	}
	frame, err := Encode(sent)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(frame)
	if err != nil || !reflect.DeepEqual(got, sent) {
		t.Errorf("decoded %+v, %v; want the sent messages", got, err)
	}
	if decoded := got[2].(HeadOffer).Orders[0].Version(); decoded != order {
		t.Errorf("decoded order %+v differs from the sent one", decoded)
	}
}
