// Package capacity measures what a daemon costs at several fleet sizes and
// works out from the slopes what it costs at a larger one.
package capacity

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilwell/trefoilwell/lab/measure"
)

// Cost is what one daemon of a fleet takes, on the mean but where said.
type Cost struct {
	Daemons int
	// Core is processor time, as a fraction of one core. It includes the
	// virtual-time driver's own, so it is an upper bound.
	Core float64
	// HeapBytes is memory in use at the end of the run, the driver's own
	// included.
	HeapBytes float64
	// Standing and StandingMax are control bytes a second, sent and received,
	// that do not depend on requests; StandingMax is of the busiest daemon.
	Standing    float64
	StandingMax float64
	// Request is control bytes a second for requests.
	Request float64
	// PerRequest is control bytes a request, counted at one end.
	PerRequest float64
}

// Measure runs a grown fleet of each size, one after the other.
func Measure(sizes []int, seed uint64) ([]Cost, error) {
	var costs []Cost
	for _, scenario := range measure.Growing(sizes, seed) {
		cost, err := measureOne(scenario)
		if err != nil {
			return nil, errors.Wrapf(err, "%s", scenario.Deployment.Name)
		}
		costs = append(costs, cost)
	}
	return costs, nil
}

func measureOne(scenario measure.Scenario) (Cost, error) {
	before := heapBytes()
	var after float64
	scenario.AtEnd = func() { after = heapBytes() }
	started, err := processorTime()
	if err != nil {
		return Cost{}, err
	}
	result, err := measure.Run(scenario)
	if err != nil {
		return Cost{}, err
	}
	ended, err := processorTime()
	if err != nil {
		return Cost{}, err
	}
	daemons := float64(result.Daemons)
	virtual := scenario.Warm + scenario.Length
	return Cost{
		Daemons:     result.Daemons,
		Core:        (ended - started).Seconds() / virtual.Seconds() / daemons,
		HeapBytes:   (after - before) / daemons,
		Standing:    result.Traffic.StandingMean,
		StandingMax: result.Traffic.StandingMax,
		Request:     result.Traffic.RequestMean,
		PerRequest:  result.BytesPerRequest,
	}, nil
}

// heapBytes returns the memory in use after a collection.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// processorTime returns the processor time that this process has used.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Wrap(err, "processor time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// Line is a straight line through measured points.
type Line struct{ Intercept, Slope float64 }

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Fit returns the line with the least squared error through value over fleet
// size.
func Fit(costs []Cost, value func(Cost) float64) Line {
	var sumX, sumY, sumXX, sumXY float64
	for _, cost := range costs {
		x, y := float64(cost.Daemons), value(cost)
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}
	n := float64(len(costs))
	spread := n*sumXX - sumX*sumX
	if math.Abs(spread) < math.SmallestNonzeroFloat64 {
		return Line{Intercept: sumY / max(n, 1)}
	}
	slope := (n*sumXY - sumX*sumY) / spread
	return Line{Intercept: (sumY - slope*sumX) / n, Slope: slope}
}

// column is one value of the table.
type column struct {
	name   string
	value  func(Cost) float64
	format string
}

var columns = []column{
	{"core %", func(c Cost) float64 { return 100 * c.Core }, "%.2f"},
	{"heap KB", func(c Cost) float64 { return c.HeapBytes / 1000 }, "%.0f"},
	{"standing B/s", func(c Cost) float64 { return c.Standing }, "%.0f"},
	{"standing max B/s", func(c Cost) float64 { return c.StandingMax }, "%.0f"},
	{"request B/s", func(c Cost) float64 { return c.Request }, "%.0f"},
	{"B/request", func(c Cost) float64 { return c.PerRequest }, "%.1f"},
}

// WriteTable prints the measured costs, the slope of each per daemon, and what
// the fitted line gives at size.
func WriteTable(w io.Writer, costs []Cost, size int) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "daemons\t")
	for _, c := range columns {
		fmt.Fprintf(table, "%s\t", c.name)
	}
	fmt.Fprintln(table)
	for _, cost := range costs {
		fmt.Fprintf(table, "%d\t", cost.Daemons)
		for _, c := range columns {
			fmt.Fprintf(table, c.format+"\t", c.value(cost))
		}
		fmt.Fprintln(table)
	}
	writeFit(table, "slope", costs, func(l Line) float64 { return l.Slope }, "%.4g")
	writeFit(table, fmt.Sprintf("line at %d", size), costs, func(l Line) float64 { return l.At(float64(size)) }, "%.4g")
	return errors.Wrap(table.Flush(), "print table")
}

func writeFit(w io.Writer, name string, costs []Cost, of func(Line) float64, format string) {
	fmt.Fprintf(w, "%s\t", name)
	for _, c := range columns {
		fmt.Fprintf(w, format+"\t", of(Fit(costs, c.value)))
	}
	fmt.Fprintln(w)
}
