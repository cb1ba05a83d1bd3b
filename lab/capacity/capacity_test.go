package capacity

import (
	"math"
	"testing"
)

func TestFitReturnsLeastSquaresLine(t *testing.T) {
	costs := []Cost{{Daemons: 6, StandingMean: 112}, {Daemons: 12, StandingMean: 124}, {Daemons: 60, StandingMean: 220}}
	line := Fit(costs, func(c Cost) float64 { return c.StandingMean })
	if math.Abs(line.Slope-2) > 1e-9 || math.Abs(line.At(340)-780) > 1e-6 {
		t.Errorf("line %+v has the value %v at 340 daemons, want slope 2 and value 780", line, line.At(340))
	}
}

func TestFitOfOneSizeIsFlat(t *testing.T) {
	line := Fit([]Cost{{Daemons: 6, StandingMean: 5}}, func(c Cost) float64 { return c.StandingMean })
	if line.At(340) != 5 {
		t.Errorf("line has the value %v at 340 daemons, want 5", line.At(340))
	}
}

func TestMeasureReturnsPositiveCosts(t *testing.T) {
	costs, err := Measure([]int{6}, 1)
	if err != nil {
		t.Fatal(err)
	}
	cost := costs[0]
	if cost.Daemons != 6 || cost.StandingMean <= 0 || cost.BytesPerRequest <= 0 || cost.CoreFraction <= 0 || cost.HeapBytes <= 0 {
		t.Errorf("cost of 6 daemons has a value that is not positive: %+v", cost)
	}
}
