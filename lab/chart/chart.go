// Package chart draws line charts as SVG files.
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
	// legendHeadroom is the factor by which the vertical axis is extended, so that
	// the legend does not cover lines.
	legendHeadroom = 1.3
	lineWidth      = 1.5 * vg.Millimeter / 2
)

// Point is a point of a series.
type Point struct{ X, Y float64 }

// Series is a line of a chart with its name in the legend.
type Series struct {
	Name   string
	Points []Point
}

// Chart is a line chart.
type Chart struct {
	Title  string
	XLabel string
	YLabel string
	Series []Series
	// Logarithmic draws both axes on a logarithmic scale. All coordinates must
	// then be positive.
	Logarithmic bool
}

// Save writes the chart to an SVG file. A linear vertical axis includes 0.
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
		if err := addSeries(p, i, series); err != nil {
			return errors.Wrapf(err, "draw series %q", series.Name)
		}
	}
	if !c.Logarithmic {
		p.Y.Min = min(p.Y.Min, 0)
	}
	p.Y.Max *= legendHeadroom
	return errors.Wrap(p.Save(width, height, path), "save chart")
}

func setLogarithmic(axis *plot.Axis) {
	axis.Scale = plot.LogScale{}
	axis.Tick.Marker = plot.LogTicks{Prec: -1}
}

// addSeries adds a series as a line; index selects its colour and dashes.
func addSeries(p *plot.Plot, index int, series Series) error {
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
