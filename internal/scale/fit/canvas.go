package fit

import (
	"image/color"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Sizes in charts, in points.
const (
	chartWidth, chartHeight = 540, 320
	lineWidth, pointRadius  = 1.5, 2.5
	dashLength              = 4
)

// legendHeadroom is the factor by which the vertical axis is extended beyond the highest value, so that the legend is above the lines.
const legendHeadroom = 1.3

// canvas is a chart being drawn: a value over the number of dispatchers.
type canvas struct{ *plot.Plot }

// newCanvas returns an empty chart. The constant parameters are below its title.
func newCanvas(title, constant, unit string) canvas {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, paramDispatchers, unit
	if constant != "" {
		p.Title.Text += "\n" + constant
	}
	p.X.Min, p.Y.Min = 0, 0
	p.Legend.Top, p.Legend.Left = true, true
	return canvas{p}
}

// addSeries draws a metric of the chart: a point for each run, and a line through the medians. number selects its color.
func (c canvas) addSeries(label string, number int, points, medians plotter.XYs) error {
	line, err := plotter.NewLine(medians)
	if err != nil {
		return err
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	line.Color, line.Width = plotutil.Color(number), vg.Points(lineWidth)
	scatter.GlyphStyle = draw.GlyphStyle{Color: plotutil.Color(number), Radius: vg.Points(pointRadius), Shape: draw.CircleGlyph{}}
	c.Add(line, scatter)
	c.Legend.Add(label, line, scatter)
	return nil
}

// addBands draws filled bands from the highest to the lowest, so that the lower ones cover the higher ones.
func (c canvas) addBands(bands []band) error {
	for i, band := range slices.Backward(bands) {
		line, err := plotter.NewLine(band.top)
		if err != nil {
			return err
		}
		line.Color = bandColor(i)
		line.FillColor = line.Color
		c.Add(line)
		c.Legend.Add(band.label, line)
	}
	return nil
}

// bandColor returns the color of a band by its number. The dark colors are added because there are more bands than soft colors.
func bandColor(number int) color.Color {
	colors := append(slices.Clone(plotutil.SoftColors), plotutil.DarkColors...)
	return colors[number%len(colors)]
}

// save adds the grid and, unless the parameter limit is 0, the limit's line, and writes the chart.
func (c canvas) save(path string, sweep []Run, limit float64, unit string) error {
	c.Add(plotter.NewGrid())
	if limit > 0 {
		if err := c.addLimit(sweep, limit, unit); err != nil {
			return err
		}
	}
	c.Y.Max *= legendHeadroom
	return c.Save(chartWidth, chartHeight, path)
}

// addLimit draws a dashed line at the limit, from 0 to the sweep's highest number of dispatchers.
func (c canvas) addLimit(sweep []Run, limit float64, unit string) error {
	most := 0.0
	for _, run := range sweep {
		most = max(most, run.Values[paramDispatchers])
	}
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: limit}, {X: most, Y: limit}})
	if err != nil {
		return err
	}
	line.Color, line.Dashes = color.Black, []vg.Length{dashLength, dashLength}
	c.Add(line)
	c.Legend.Add("a dispatcher's limit, "+formatExact(limit)+" "+unit, line)
	return nil
}
