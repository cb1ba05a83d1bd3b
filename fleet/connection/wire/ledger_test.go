package wire

import (
	"reflect"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/trefoilwell/trefoilwell/fleet/request/claim"
)

func TestLedgerMessagesSurviveARoundTripAndARelay(t *testing.T) {
	subject := LedgerSubject{Account: 7, Key: claim.Key{1}, Attempt: uuid.UUID{2}}
	answer := &LedgerAnswer{Status: 201, ContentType: "text/plain", Body: []byte("booked"), BodyDigest: claim.Digest{3}}
	for _, message := range []Message{
		LedgerClaim{Subject: subject, Request: [16]byte{4}, Stamp: 5},
		LedgerVerdict{Attempt: subject.Attempt, Stamp: 5, Result: LedgerReplay, Answer: answer},
		LedgerVerdict{Attempt: subject.Attempt, Result: LedgerWaiting, Held: true, StoreRead: true},
		LedgerClose{Subject: subject, SoleWriter: true},
		LedgerOutcome{Subject: subject, Answer: answer},
		LedgerOutcome{Subject: subject},
		LedgerAck{Attempt: subject.Attempt},
		LedgerProbe{Subject: subject},
		LedgerRunning{Subject: subject},
		LedgerNotFound{Subject: subject},
	} {
		relay, err := NewLedgerRelay("a", "b", message)
		if err != nil {
			t.Fatal(err)
		}
		frame, err := Encode([]Message{message, relay})
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(frame)
		if err != nil {
			t.Fatal(err)
		}
		inner, err := got[1].(LedgerRelay).Unwrap()
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got[0], message) || !reflect.DeepEqual(inner, message) {
			t.Errorf("%#v decoded to %#v and, relayed, to %#v", message, got[0], inner)
		}
		if !IsLedger(message) || !IsLedger(relay) {
			t.Errorf("IsLedger(%T) = false, or false for its relay", message)
		}
	}
	if IsLedger(Hello{}) {
		t.Error("IsLedger(Hello) = true")
	}
}

func TestRelayRejectsOtherMessages(t *testing.T) {
	for _, message := range []Message{Hello{}, LedgerRelay{}} {
		relay, err := NewLedgerRelay("a", "", message)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := relay.Unwrap(); !errors.Is(err, ErrMalformed) {
			t.Errorf("unwrapping a relayed %T: got error %v, want ErrMalformed", message, err)
		}
	}
}
