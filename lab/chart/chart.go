// Package chart draws the benchmark's plots as SVG files.
package chart

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	width  = 18 * vg.Centimeter
	height = 9 * vg.Centimeter
	// legendRoom stretches the vertical axis so that the legend is free of
	// lines.
	legendRoom = 1.3
	lineWidth  = 1.5 * vg.Millimeter / 2
)

// Point is one value of a series.
type Point struct{ X, Y float64 }

// Series is one line of a chart.
type Series struct {
	Name   string
	Points []Point
}

// Chart is a set of lines over common axes.
type Chart struct {
	Title  string
	XLabel string
	YLabel string
	Series []Series
	// Logarithmic draws both axes on a logarithmic scale. All values must then
	// be positive.
	Logarithmic bool
}

// Save draws the chart into an SVG file.
func (c Chart) Save(path string) error {
	p := plot.New()
	p.Title.Text = c.Title
	p.X.Label.Text = c.XLabel
	p.Y.Label.Text = c.YLabel
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	if c.Logarithmic {
		setLogarithmic(&p.X)
		setLogarithmic(&p.Y)
	}
	for i, series := range c.Series {
		if err := add(p, i, series); err != nil {
			return errors.Wrapf(err, "series %q", series.Name)
		}
	}
	if !c.Logarithmic {
		p.Y.Min = min(p.Y.Min, 0)
	}
	p.Y.Max *= legendRoom
	return errors.Wrap(p.Save(width, height, path), "save chart")
}

func setLogarithmic(axis *plot.Axis) {
	axis.Scale = plot.LogScale{}
	axis.Tick.Marker = plot.LogTicks{Prec: -1}
}

func add(p *plot.Plot, index int, series Series) error {
	points := make(plotter.XYs, 0, len(series.Points))
	for _, point := range series.Points {
		points = append(points, plotter.XY{X: point.X, Y: point.Y})
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrap(err, "line")
	}
	line.Color = plotutil.Color(index)
	line.Width = lineWidth
	line.Dashes = plotutil.Dashes(index)
	p.Add(line)
	p.Legend.Add(series.Name, line)
	return nil
}
