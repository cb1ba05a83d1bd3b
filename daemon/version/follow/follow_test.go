package follow

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/trefoilwell/trefoilwell/daemon/connection/objectstore"
	"github.com/trefoilwell/trefoilwell/fleet/connection/wire"
	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/version"
	"github.com/trefoilwell/trefoilwell/fleet/version/distribute"
	"github.com/trefoilwell/trefoilwell/fleet/version/part"
)

// noLinks is a sender without links.
type noLinks struct{}

func (noLinks) Send(version.VMID, wire.Message) bool { return false }

func newTestFollower(log *bytes.Buffer, applied *[]version.Number) (*Follower, *timeline.Ring) {
	ring := timeline.New("vm-1", 16)
	return New(Options{
		VM:       "vm-1",
		Sender:   noLinks{},
		Apply:    func(config *version.Config) { *applied = append(*applied, config.Number) },
		Timeline: ring,
		Log:      slog.New(slog.NewJSONHandler(log, nil)),
	}), ring
}

func TestOnlyLastingPlatformFailureIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		var applied []version.Number
		f, ring := newTestFollower(&log, &applied)
		f.Observe(objectstore.ErrUnavailable)
		time.Sleep(unreachableAfter / 2)
		f.Observe(objectstore.ErrRateLimited)
		time.Sleep(unreachableAfter / 2)
		f.Observe(objectstore.ErrUnavailable)
		if log.Len() > 0 || len(ring.Events()) > 0 {
			t.Errorf("a short failure was reported: %s", log.String())
		}
		for range 3 {
			time.Sleep(unreachableAfter)
			f.Observe(objectstore.ErrUnavailable)
		}
		f.Observe(nil)
		f.Observe(nil)
		events := ring.Events()
		if len(events) != 2 || events[0].Detail != "unreachable" || events[1].Detail != "reachable" {
			t.Errorf("events %+v, want one outage", events)
		}
		if strings.Count(log.String(), `"msg":"platform unreachable"`) != 1 {
			t.Errorf("log does not have one line that the platform is unreachable: %s", log.String())
		}
	})
}

func TestOrdersAndHeadsAreAppliedInOrder(t *testing.T) {
	var log bytes.Buffer
	var applied []version.Number
	f, _ := newTestFollower(&log, &applied)
	order := version.Order{Operation: "o", Target: version.TargetVM, Name: "vm-9", Out: true}
	if _, err := f.ApplyOrder(order); err == nil {
		t.Error("an order was accepted without a configuration head")
	}
	parts, err := part.Split(&version.Document{Presets: []version.PresetSpec{{Name: "ordinary"}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, number := range []version.Number{3, 2, 5} {
		encoded, err := json.Marshal(version.Head{Number: number, Preset: "ordinary", Parts: part.Refs(parts)})
		if err != nil {
			t.Fatal(err)
		}
		f.step(distribute.PlatformHead{Encoded: encoded, Parts: map[string][]byte{parts[0].Ref.SHA256: parts[0].Data}})
		if number == 3 {
			if got, err := f.ApplyOrder(order); err != nil || got != 4 {
				t.Errorf("order returned number %d and error %v, want number 4", got, err)
			}
		}
	}
	if want := []version.Number{3, 4, 6}; len(applied) != 3 || applied[0] != want[0] || applied[1] != want[1] || applied[2] != want[2] {
		t.Errorf("applied %v, want %v", applied, want)
	}
	if status := f.Status(); status.Confirmed != 5 || len(status.Orders) != 1 {
		t.Errorf("status %+v, want confirmed number 5 and one order", status)
	}
}
