// Package report writes the results of experiments as JSON, PNG charts and an HTML
// page.
package report

import (
	"math"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"rockwind.example/rockwind/internal/bench/load"
)

// Dimensions of charts.
const (
	chartWidth  = 18 * vg.Centimeter
	chartHeight = 11 * vg.Centimeter
	lineWidth   = vg.Length(1.5)
	glyphRadius = vg.Length(3)
)

type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is a named list of points, seriesCount as a line or as a scatter plot.
type Series struct {
	Name   string  `json:"name"`
	Points []Point `json:"points"`
}

// Chart is the content of a chart.
type Chart struct {
	Title  string
	XLabel string
	YLabel string
	// LogX and LogY make an axis logarithmic; points that are not positive on such
	// an axis are omitted.
	LogX, LogY bool
	Series     []Series
}

// Distribution returns the cumulative distribution of a histogram, with X in
// milliseconds and Y the fraction of durations up to X.
func Distribution(name string, histogram *load.Histogram) Series {
	series := Series{Name: name}
	for _, point := range histogram.Cumulative() {
		series.Points = append(series.Points, Point{X: point.Milliseconds, Y: point.Fraction})
	}
	return series
}

// CDF writes a PNG of cumulative distributions with a logarithmic X axis.
func CDF(file, title string, series ...Series) error {
	return Lines(file, Chart{
		Title:  title,
		XLabel: "milliseconds",
		YLabel: "fraction of requests",
		LogX:   true,
		Series: series,
	})
}

// Lines writes a PNG with a line for each series.
func Lines(file string, chart Chart) error {
	return save(file, chart, func(points plotter.XYs, index int) (plot.Plotter, plot.Thumbnailer, error) {
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, nil, err
		}
		line.Color = plotutil.Color(index)
		line.Width = lineWidth
		return line, line, nil
	})
}

// Scatter writes a PNG with a scatter plot of each series.
func Scatter(file string, chart Chart) error {
	return save(file, chart, func(points plotter.XYs, index int) (plot.Plotter, plot.Thumbnailer, error) {
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return nil, nil, err
		}
		scatter.Color = plotutil.Color(index)
		scatter.Shape = plotutil.Shape(index)
		scatter.Radius = glyphRadius
		return scatter, scatter, nil
	})
}

// newPlotter creates the plotter of a series.
type newPlotter func(points plotter.XYs, index int) (plot.Plotter, plot.Thumbnailer, error)

func save(file string, chart Chart, draw newPlotter) error {
	canvas := plot.New()
	canvas.Title.Text = chart.Title
	canvas.X.Label.Text = chart.XLabel
	canvas.Y.Label.Text = chart.YLabel
	canvas.Add(plotter.NewGrid())
	if chart.LogX {
		canvas.X.Scale = plot.LogScale{}
		canvas.X.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	if chart.LogY {
		canvas.Y.Scale = plot.LogScale{}
		canvas.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	seriesCount := 0
	for index, series := range chart.Series {
		points := chart.visible(series)
		if len(points) == 0 {
			continue
		}
		shape, thumbnail, err := draw(points, index)
		if err != nil {
			return errors.Wrapf(err, "series %q of chart %q", series.Name, chart.Title)
		}
		canvas.Add(shape)
		canvas.Legend.Add(series.Name, thumbnail)
		seriesCount++
	}
	if seriesCount == 0 {
		return errors.Newf("chart %q has no points to draw", chart.Title)
	}
	widen(&canvas.X)
	widen(&canvas.Y)
	canvas.Legend.Top = true
	canvas.Legend.Left = true
	return errors.Wrapf(canvas.Save(chartWidth, chartHeight, file), "save chart %q", chart.Title)
}

// visible returns the points that are finite and can be shown on the axes.
func (c Chart) visible(series Series) plotter.XYs {
	var points plotter.XYs
	for _, point := range series.Points {
		finite := !math.IsNaN(point.X+point.Y) && !math.IsInf(point.X+point.Y, 0)
		if finite && (point.X > 0 || !c.LogX) && (point.Y > 0 || !c.LogY) {
			points = append(points, plotter.XY{X: point.X, Y: point.Y})
		}
	}
	return points
}

// widen extends the range of an axis on which all points have the same value.
func widen(axis *plot.Axis) {
	if axis.Max > axis.Min {
		return
	}
	const fraction = 0.1
	margin := max(math.Abs(axis.Min)*fraction, math.SmallestNonzeroFloat32)
	axis.Min -= margin
	axis.Max += margin
}
