// Package capacity measures the resources that a daemon uses at several fleet
// sizes and extrapolates them linearly to a larger fleet.
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

// Cost is the use of resources by one daemon of a fleet: the mean over all daemons
// unless stated otherwise.
type Cost struct {
	Daemons int
	// CoreFraction is the processor time as a fraction of one core. It includes
	// that of the simulation itself, so it is an upper bound.
	CoreFraction float64
	// HeapBytes is the memory in use at the end of the run, including that of the
	// simulation itself.
	HeapBytes float64
	// StandingMean and StandingMax are the control traffic that does not depend on
	// requests, sent and received, in bytes per second; StandingMax is that of
	// the busiest daemon.
	StandingMean float64
	StandingMax  float64
	// RequestMean is the control traffic for requests, sent and received, in bytes
	// per second.
	RequestMean float64
	// BytesPerRequest is the control traffic in bytes per completed request,
	// counted at the sender only.
	BytesPerRequest float64
}

// Measure runs a grown fleet of each size, given in daemons, one after the other,
// and returns the costs in the same order.
func Measure(sizes []int, seed uint64) ([]Cost, error) {
	var costs []Cost
	for _, scenario := range measure.GrowingScenarios(sizes, seed) {
		cost, err := measureOne(scenario)
		if err != nil {
			return nil, errors.Wrapf(err, "%s", scenario.Deployment.Name)
		}
		costs = append(costs, cost)
	}
	return costs, nil
}

// measureOne runs a scenario. The heap and processor time are those of this
// process, so nothing else should run in it.
func measureOne(scenario measure.Scenario) (Cost, error) {
	heapBefore := heapBytes()
	var heapAfter float64
	scenario.AtEnd = func() { heapAfter = heapBytes() }
	processorBefore, err := processorTime()
	if err != nil {
		return Cost{}, err
	}
	result, err := measure.Run(scenario)
	if err != nil {
		return Cost{}, err
	}
	processorAfter, err := processorTime()
	if err != nil {
		return Cost{}, err
	}
	daemons := float64(result.Daemons)
	virtualTime := scenario.WarmUp + scenario.Length
	return Cost{
		Daemons:         result.Daemons,
		CoreFraction:    (processorAfter - processorBefore).Seconds() / virtualTime.Seconds() / daemons,
		HeapBytes:       (heapAfter - heapBefore) / daemons,
		StandingMean:    result.Traffic.StandingMean,
		StandingMax:     result.Traffic.StandingMax,
		RequestMean:     result.Traffic.RequestMean,
		BytesPerRequest: result.BytesPerRequest,
	}, nil
}

// heapBytes returns the heap memory in use after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// processorTime returns the user and system time that this process has used.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Wrap(err, "read processor time of this process")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// Line is a straight line fitted to measured values.
type Line struct{ Intercept, Slope float64 }

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Fit returns the least-squares line of value over the fleet size. For costs of a
// single size, it is flat.
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
	denominator := n*sumXX - sumX*sumX
	if math.Abs(denominator) < math.SmallestNonzeroFloat64 {
		return Line{Intercept: sumY / max(n, 1)}
	}
	slope := (n*sumXY - sumX*sumY) / denominator
	return Line{Intercept: (sumY - slope*sumX) / n, Slope: slope}
}

// column is a column of the table with its value and format.
type column struct {
	name   string
	value  func(Cost) float64
	format string
}

var columns = []column{
	{"core %", func(c Cost) float64 { return 100 * c.CoreFraction }, "%.2f"},
	{"heap KB", func(c Cost) float64 { return c.HeapBytes / 1000 }, "%.0f"},
	{"standing B/s", func(c Cost) float64 { return c.StandingMean }, "%.0f"},
	{"standing max B/s", func(c Cost) float64 { return c.StandingMax }, "%.0f"},
	{"request B/s", func(c Cost) float64 { return c.RequestMean }, "%.0f"},
	{"B/request", func(c Cost) float64 { return c.BytesPerRequest }, "%.1f"},
}

// WriteTable writes the measured costs, the slope of each per daemon, and the
// value of the fitted line at a fleet of size daemons.
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
	return errors.Wrap(table.Flush(), "write table of costs")
}

// writeFit writes a row with valueOf each column's fitted line.
func writeFit(w io.Writer, name string, costs []Cost, valueOf func(Line) float64, format string) {
	fmt.Fprintf(w, "%s\t", name)
	for _, c := range columns {
		fmt.Fprintf(w, format+"\t", valueOf(Fit(costs, c.value)))
	}
	fmt.Fprintln(w)
}
