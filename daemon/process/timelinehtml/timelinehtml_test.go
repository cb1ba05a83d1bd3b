package timelinehtml

import (
	"strings"
	"testing"

	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/request"
)

func TestLayoutConnectsARequestAcrossLanes(t *testing.T) {
	key := request.Key{Entry: "bne-1", Incarnation: 7, ID: 42}
	p := layout([]timeline.Event{
		{Stamp: timeline.Stamp{Millis: 30}, VM: "bne-1", Kind: timeline.KindGranted, Request: key},
		{Stamp: timeline.Stamp{Millis: 20}, VM: "bne-2", Kind: timeline.KindQueued, Request: key},
		{Stamp: timeline.Stamp{Millis: 10}, VM: "bne-1", Kind: timeline.KindSubmitted, Request: key},
	})
	var kinds []string
	for _, r := range p.Rows {
		kinds = append(kinds, string(r.Kind))
	}
	if got := strings.Join(kinds, " "); got != "submitted queued granted" {
		t.Errorf("rows in order %q, want the order of their stamps", got)
	}
	if p.Rows[0].PreviousLane != nil || p.Rows[1].PreviousLane == nil || p.Rows[1].PreviousLane.VM != "bne-1" {
		t.Errorf("the row has no line from bne-1 to bne-2: %+v", p.Rows[1])
	}
	if p.Rows[0].Hue != p.Rows[2].Hue {
		t.Errorf("one request has hues %d and %d, want the same", p.Rows[0].Hue, p.Rows[2].Hue)
	}
}

func TestWriteEscapesDetails(t *testing.T) {
	var out strings.Builder
	err := Write(&out, []timeline.Event{{VM: "bne-1", Kind: timeline.KindRefused, Detail: "<script>alert(1)</script>"}})
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(out.String(), "<script>alert(1)") {
		t.Error("the detail of an event is not escaped")
	}
	if !strings.Contains(out.String(), "bne-1") {
		t.Error("the lane is missing")
	}
}
