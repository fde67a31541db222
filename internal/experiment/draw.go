package experiment

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// writeFiles writes files into a folder.
func writeFiles(dir string, files map[string]func(io.Writer) error) error {
	for name, write := range files {
		file, err := os.Create(filepath.Join(dir, name))
		if err != nil {
			return err
		}
		if err := write(file); err != nil {
			file.Close()
			return err
		}
		if err := file.Close(); err != nil {
			return err
		}
	}
	return nil
}

// Draw writes the table, the CSV and a chart for each figure that differs at all.
func Draw(dir, title string, rows []Row) error {
	if err := writeFiles(dir, map[string]func(io.Writer) error{
		"rows.csv":  func(f io.Writer) error { return writeCSV(f, rows) },
		"table.txt": func(f io.Writer) error { fmt.Fprintf(f, "%s\n\n", title); return Table(f, rows) },
	}); err != nil {
		return err
	}
	names, byVariant := rowsByVariant(rows)
	for _, measure := range measures {
		if err := drawMeasure(filepath.Join(dir, measure.name+".svg"), title, measure.name, names, byVariant, measure.of); err != nil {
			return err
		}
	}
	return nil
}

// drawMeasure draws each variant's mean with its 95% interval.
func drawMeasure(path, title, measure string, names []string, byVariant map[string][]Row, figure func(Row) float64) error {
	chart := plot.New()
	chart.Title.Text, chart.Y.Label.Text = title, measure
	points := struct {
		plotter.XYs
		plotter.YErrors
	}{}
	flat := true
	for i, name := range names {
		var figures []float64
		for _, row := range byVariant[name] {
			figures = append(figures, figure(row))
			flat = flat && figure(row) == figure(byVariant[names[0]][0])
		}
		summary := summarize(figures)
		points.XYs = append(points.XYs, plotter.XY{X: float64(i), Y: summary.Mean})
		points.YErrors = append(points.YErrors, struct{ Low, High float64 }{summary.Half, summary.Half})
	}
	if flat { // nothing to see
		_ = os.Remove(path)
		return nil
	}
	scatter, err := plotter.NewScatter(points.XYs)
	if err != nil {
		return err
	}
	bars, err := plotter.NewYErrorBars(points)
	if err != nil {
		return err
	}
	scatter.GlyphStyle.Shape, scatter.GlyphStyle.Color, scatter.GlyphStyle.Radius = plotutil.Shape(0), plotutil.Color(0), vg.Points(4)
	chart.Add(plotter.NewGrid(), bars, scatter)
	chart.NominalX(names...)
	chart.X.Padding = vg.Points(20)
	return chart.Save(vg.Points(max(360, 80*float64(len(names)))), vg.Points(260), path)
}
