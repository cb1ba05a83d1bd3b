// Package timelinehtml renders the merged timeline of several processes as one
// self-contained HTML page with a lane for each process.
package timelinehtml

import (
	_ "embed"
	"fmt"
	"hash/fnv"
	"html/template"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/fleet/process/timeline"
	"github.com/trefoilwell/trefoilwell/fleet/request"
	"github.com/trefoilwell/trefoilwell/fleet/version"
)

const (
	// pixelsPerRow is the height of an event's row, in pixels.
	pixelsPerRow = 18
	// laneWidth is the width of a process's lane, in pixels.
	laneWidth = 220
	// markerOffset is the distance of an event's marker from the left edge of its lane,
	// in pixels.
	markerOffset = 12
	// timeWidth is the width of the time column, in pixels.
	timeWidth = 110
	// headerHeight is the height of the row of lane names, in pixels.
	headerHeight = 28
	// hueCount is the number of different hues of requests.
	hueCount = 12
)

//go:embed page.html.tmpl
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// page is the data of the template.
type page struct {
	Width  int
	Height int
	Lanes  []lane
	Rows   []row
	Kinds  []timeline.Kind
}

// lane is the column of one process.
type lane struct {
	VM version.VMID
	// X is the x coordinate of the left edge, in pixels.
	X int
	// CentreX is the x coordinate of the centre, in pixels.
	CentreX int
	// MarkerX is the x coordinate of the centre of event markers, in pixels.
	MarkerX int
	Width   int
}

// row is the row of one event.
type row struct {
	// Y is the y coordinate of the row's text baseline, in pixels.
	Y      int
	Time   string
	Kind   timeline.Kind
	Lane   lane
	Label  string
	Title  string
	Search string
	// Hue is the hue of the event's request in degrees; -1 if the event has no request.
	Hue int
	// PreviousLane is the lane of the request's previous event; nil if that event has
	// the same lane or there is none. PreviousY is that event's Y.
	PreviousLane *lane
	PreviousY    int
}

// Write renders events, which may be in any order, as an HTML page.
func Write(w io.Writer, events []timeline.Event) error {
	if err := pageTemplate.Execute(w, layout(events)); err != nil {
		return errors.Wrap(err, "render timeline")
	}
	return nil
}

// layout sorts the events and assigns them to lanes and rows.
func layout(events []timeline.Event) page {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, timeline.Compare)
	lanes := lanesOf(sorted)
	p := page{
		Width:  timeWidth + laneWidth*len(lanes),
		Height: headerHeight + pixelsPerRow*(len(sorted)+1),
		Kinds:  kindsOf(sorted),
	}
	byVM := make(map[version.VMID]lane, len(lanes))
	for _, l := range lanes {
		byVM[l.VM] = l
	}
	p.Lanes = lanes
	lastRows := make(map[request.Key]row)
	for i, event := range sorted {
		r := rowOf(event, byVM[event.VM], headerHeight+pixelsPerRow*(i+1))
		if event.Request != (request.Key{}) {
			if previous, found := lastRows[event.Request]; found && previous.Lane.VM != event.VM {
				r.PreviousLane = &previous.Lane
				r.PreviousY = previous.Y
			}
			lastRows[event.Request] = r
		}
		p.Rows = append(p.Rows, r)
	}
	return p
}

// lanesOf returns a lane for each process that has events, sorted by VM.
func lanesOf(events []timeline.Event) []lane {
	seen := make(map[version.VMID]bool)
	var vms []version.VMID
	for _, event := range events {
		if !seen[event.VM] {
			seen[event.VM] = true
			vms = append(vms, event.VM)
		}
	}
	slices.Sort(vms)
	lanes := make([]lane, 0, len(vms))
	for i, vm := range vms {
		x := timeWidth + laneWidth*i
		lanes = append(lanes, lane{VM: vm, X: x, CentreX: x + laneWidth/2, MarkerX: x + markerOffset, Width: laneWidth})
	}
	return lanes
}

// kindsOf returns the kinds that occur in events, sorted.
func kindsOf(events []timeline.Event) []timeline.Kind {
	var kinds []timeline.Kind
	for _, event := range events {
		if !slices.Contains(kinds, event.Kind) {
			kinds = append(kinds, event.Kind)
		}
	}
	slices.Sort(kinds)
	return kinds
}

// rowOf returns the row of an event in lane l at height y, without its previous event.
func rowOf(event timeline.Event, l lane, y int) row {
	title := describe(event)
	return row{
		Y:      y,
		Time:   time.UnixMilli(event.Stamp.Millis).UTC().Format("15:04:05.000"),
		Kind:   event.Kind,
		Lane:   l,
		Label:  labelOf(event),
		Title:  title,
		Search: strings.ToLower(title),
		Hue:    hueOf(event.Request),
	}
}

// labelOf returns the text next to an event's marker.
func labelOf(event timeline.Event) string {
	if event.Request.ID == 0 {
		return string(event.Kind)
	}
	return fmt.Sprintf("%s %s/%d", event.Kind, event.Request.Entry, event.Request.ID)
}

// describe returns every field of an event that is set, for the tooltip and the search.
func describe(event timeline.Event) string {
	parts := []string{string(event.VM), string(event.Kind)}
	add := func(name string, set bool, value any) {
		if set {
			parts = append(parts, fmt.Sprintf("%s=%v", name, value))
		}
	}
	add("request", event.Request.ID != 0, fmt.Sprintf("%s/%d", event.Request.Entry, event.Request.ID))
	add("attempt", event.Attempt != 0, event.Attempt)
	add("account", event.Account != 0, event.Account)
	add("pool", event.Pool != 0, event.Pool)
	add("upstream", event.Upstream != 0, event.Upstream)
	add("peer", event.Peer != "", event.Peer)
	add("version", event.Version != 0, event.Version)
	add("detail", event.Detail != "", event.Detail)
	return strings.Join(parts, " ")
}

// hueOf returns the hue of a request in degrees, or -1 for no request.
func hueOf(key request.Key) int {
	if key.ID == 0 {
		return -1
	}
	hash := fnv.New32a()
	fmt.Fprintf(hash, "%s/%d/%d", key.Entry, key.Incarnation, key.ID)
	return int(hash.Sum32()%hueCount) * (360 / hueCount)
}
