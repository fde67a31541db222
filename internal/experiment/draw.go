package experiment

import (
	"os"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// drawMeasure draws each variant's mean of a measure with its 95% interval. If all figures are the same, it removes the chart.
func drawMeasure(path, title, measure string, names []string, byVariant map[string][]Row, figure func(Row) float64) error {
	chart := plot.New()
	chart.Title.Text, chart.Y.Label.Text = title, measure
	points := struct {
		plotter.XYs
		plotter.YErrors
	}{}
	allSame := true
	for i, name := range names {
		var figures []float64
		for _, row := range byVariant[name] {
			figures = append(figures, figure(row))
			allSame = allSame && figure(row) == figure(byVariant[names[0]][0])
		}
		summary := summarize(figures)
		points.XYs = append(points.XYs, plotter.XY{X: float64(i), Y: summary.Mean})
		points.YErrors = append(points.YErrors, struct{ Low, High float64 }{summary.Half, summary.Half})
	}
	if allSame {
		_ = os.Remove(path) // usually there is no such file
		return nil
	}
	scatter, err := plotter.NewScatter(points.XYs)
	if err != nil {
		return err
	}
	intervals, err := plotter.NewYErrorBars(points)
	if err != nil {
		return err
	}
	scatter.Shape, scatter.Color, scatter.Radius = plotutil.Shape(0), plotutil.Color(0), vg.Points(4)
	chart.Add(plotter.NewGrid(), intervals, scatter)
	chart.NominalX(names...)
	chart.X.Padding = vg.Points(20)
	return chart.Save(vg.Points(max(360, 80*float64(len(names)))), vg.Points(260), path)
}

// drawOverview draws the merit of the scheduler and of the best plain policy at each deployment.
func drawOverview(path string, comparisons []Comparison) error {
	chart := plot.New()
	chart.Title.Text, chart.Y.Label.Text, chart.Y.Min, chart.Y.Max = "module beside the best plain policy", "merit", 0, 1
	width := vg.Points(14)
	for position, series := range []struct {
		name  string
		merit func(Comparison) float64
	}{
		{"module", func(s Comparison) float64 { return s.Scheduler.Mean }},
		{"best plain", func(s Comparison) float64 { return s.Best.Mean }},
	} {
		var values plotter.Values
		for _, comparison := range comparisons {
			values = append(values, max(series.merit(comparison), 0))
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return err
		}
		bars.Color, bars.Offset, bars.LineStyle.Width = plotutil.Color(position), (vg.Length(position)-0.5)*width, 0
		chart.Add(bars)
		chart.Legend.Add(series.name, bars)
	}
	var names []string
	for _, comparison := range comparisons {
		names = append(names, strings.ReplaceAll(comparison.Deployment, "-", "\n"))
	}
	chart.NominalX(names...)
	chart.Legend.Top = true
	return chart.Save(vg.Points(64*float64(max(len(comparisons), 5))), vg.Points(300), path)
}

// drawZoneChart draws each mode's mean of a figure at each case.
func drawZoneChart(path, title string, rows []ZoneRow, figure func(ZoneRow) float64) error {
	chart := plot.New()
	chart.Title.Text = title
	chart.Legend.Top = true
	var names []string
	for _, zoneCase := range ZoneCases() {
		names = append(names, zoneCase.Name)
	}
	for i, mode := range ZoneModes {
		var values plotter.Values
		for _, zoneCase := range ZoneCases() {
			values = append(values, stat.Mean(zoneFigures(rows, zoneCase.Name, mode, figure), nil))
		}
		bars, err := plotter.NewBarChart(values, vg.Points(10))
		if err != nil {
			return err
		}
		bars.Color, bars.Offset = plotutil.Color(i), vg.Points(float64(11*i-16))
		chart.Add(bars)
		chart.Legend.Add(zoneModeTitles[mode], bars)
	}
	chart.NominalX(names...)
	return chart.Save(900, 360, path)
}
