// Package timelinehtml renders the merged time line of several processes as
// one self-contained HTML page with a lane for each process.
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
	// pixelsPerRow is the height of one event's row.
	pixelsPerRow = 18
	// laneWidth is the width of one process's lane, in pixels.
	laneWidth = 220
	// dotOffset is the distance of an event's mark from its lane's left edge,
	// in pixels.
	dotOffset = 12
	// timeWidth is the width of the time column, in pixels.
	timeWidth = 110
	// headerHeight is the height of the row of lane names, in pixels.
	headerHeight = 28
	// colours is the number of colours that requests are told apart by.
	colours = 12
)

//go:embed page.html.tmpl
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// page is what the template shows.
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
	// X is the left edge in pixels.
	X int
	// Centre is the middle in pixels.
	Centre int
	// Dot is where an event's mark stands, in pixels.
	Dot   int
	Width int
}

// row is one event.
type row struct {
	// Y is the row's baseline in pixels.
	Y      int
	Time   string
	Kind   timeline.Kind
	Lane   lane
	Label  string
	Title  string
	Search string
	// Hue is the colour of the event's request in degrees, or -1 without one.
	Hue int
	// Previous is the lane of the request's previous event, if it was
	// another.
	Previous  *lane
	PreviousY int
}

// Write renders events, which may be in any order.
func Write(w io.Writer, events []timeline.Event) error {
	if err := pageTemplate.Execute(w, layout(events)); err != nil {
		return errors.Wrap(err, "render time line")
	}
	return nil
}

// layout places the events.
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
	last := make(map[request.Key]row)
	for i, event := range sorted {
		r := rowOf(event, byVM[event.VM], headerHeight+pixelsPerRow*(i+1))
		if event.Request != (request.Key{}) {
			if previous, seen := last[event.Request]; seen && previous.Lane.VM != event.VM {
				r.Previous = &previous.Lane
				r.PreviousY = previous.Y
			}
			last[event.Request] = r
		}
		p.Rows = append(p.Rows, r)
	}
	return p
}

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
		lanes = append(lanes, lane{VM: vm, X: x, Centre: x + laneWidth/2, Dot: x + dotOffset, Width: laneWidth})
	}
	return lanes
}

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

func labelOf(event timeline.Event) string {
	if event.Request.ID == 0 {
		return string(event.Kind)
	}
	return fmt.Sprintf("%s %s/%d", event.Kind, event.Request.Entry, event.Request.ID)
}

// describe lists every field that is set.
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

// hueOf gives a request its colour.
func hueOf(key request.Key) int {
	if key.ID == 0 {
		return -1
	}
	hash := fnv.New32a()
	fmt.Fprintf(hash, "%s/%d/%d", key.Entry, key.Incarnation, key.ID)
	return int(hash.Sum32()%colours) * (360 / colours)
}
