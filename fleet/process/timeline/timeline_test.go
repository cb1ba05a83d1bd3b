package timeline

import (
	"testing"
	"time"
)

func TestRingKeepsTheLatestEventsInOrder(t *testing.T) {
	ring := New("vm-1", 3)
	now := time.UnixMilli(1000)
	for _, detail := range []string{"a", "b", "c", "d", "e"} {
		ring.Record(now, Event{Kind: KindFinished, Detail: detail})
	}
	var got string
	events := ring.Events()
	for i, event := range events {
		got += event.Detail
		if i > 0 && !events[i-1].Stamp.Before(event.Stamp) {
			t.Errorf("stamp %v does not sort before %v", events[i-1].Stamp, event.Stamp)
		}
	}
	if got != "cde" {
		t.Errorf("ring buffer holds the events %q, want the latest three in order", got)
	}
}

// Guards against merged timelines in which an event sorts before its cause, because the
// clock of the process that recorded it is slow.
func TestEffectSortsAfterCauseOnASlowClock(t *testing.T) {
	ahead, behind := New("vm-1", 8), New("vm-2", 8)
	cause := ahead.Stamp(time.UnixMilli(5000))
	behind.Observe(cause)
	behind.Record(time.UnixMilli(1000), Event{Kind: KindGranted})
	effect := behind.Events()[0].Stamp
	if !cause.Before(effect) {
		t.Errorf("effect %v does not sort after its cause %v", effect, cause)
	}
}
