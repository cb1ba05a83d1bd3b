package capacity

import (
	"math"
	"testing"
)

func TestFitFindsALine(t *testing.T) {
	costs := []Cost{{Daemons: 6, Standing: 112}, {Daemons: 12, Standing: 124}, {Daemons: 60, Standing: 220}}
	line := Fit(costs, func(c Cost) float64 { return c.Standing })
	if math.Abs(line.Slope-2) > 1e-9 || math.Abs(line.At(340)-780) > 1e-6 {
		t.Errorf("line %+v gives %v at 340, want slope 2 and 780", line, line.At(340))
	}
}

func TestFitOfOneSizeIsFlat(t *testing.T) {
	line := Fit([]Cost{{Daemons: 6, Standing: 5}}, func(c Cost) float64 { return c.Standing })
	if line.At(340) != 5 {
		t.Errorf("%v at 340, want 5", line.At(340))
	}
}

func TestMeasureCountsTraffic(t *testing.T) {
	costs, err := Measure([]int{6}, 1)
	if err != nil {
		t.Fatal(err)
	}
	cost := costs[0]
	if cost.Daemons != 6 || cost.Standing <= 0 || cost.PerRequest <= 0 || cost.Core <= 0 || cost.HeapBytes <= 0 {
		t.Errorf("nothing counted: %+v", cost)
	}
}
