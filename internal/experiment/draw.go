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

// write writes files into a folder.
func write(dir string, files map[string]func(io.Writer) error) error {
	for name, write := range files {
		f, err := os.Create(filepath.Join(dir, name))
		if err != nil {
			return err
		}
		if err := write(f); err != nil {
			f.Close()
			return err
		}
		if err := f.Close(); err != nil {
			return err
		}
	}
	return nil
}

// Draw writes the table, the CSV and a chart for each figure that differs at all.
func Draw(dir, title string, rows []Row) error {
	if err := write(dir, map[string]func(io.Writer) error{
		"rows.csv":  func(f io.Writer) error { return writeCSV(f, rows) },
		"table.txt": func(f io.Writer) error { fmt.Fprintf(f, "%s\n\n", title); return Table(f, rows) },
	}); err != nil {
		return err
	}
	names, by := variants(rows)
	for _, m := range measures {
		if err := chart(filepath.Join(dir, m.name+".svg"), title, m.name, names, by, m.of); err != nil {
			return err
		}
	}
	return nil
}

// chart draws each variant's mean with its 95% interval.
func chart(path, title, measure string, names []string, by map[string][]Row, of func(Row) float64) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, measure
	points := struct {
		plotter.XYs
		plotter.YErrors
	}{}
	flat := true
	for i, name := range names {
		var x []float64
		for _, r := range by[name] {
			x = append(x, of(r))
			flat = flat && of(r) == of(by[names[0]][0])
		}
		s := interval(x)
		points.XYs = append(points.XYs, plotter.XY{X: float64(i), Y: s.Mean})
		points.YErrors = append(points.YErrors, struct{ Low, High float64 }{s.Half, s.Half})
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
	p.Add(plotter.NewGrid(), bars, scatter)
	p.NominalX(names...)
	p.X.Padding = vg.Points(20)
	return p.Save(vg.Points(max(360, 80*float64(len(names)))), vg.Points(260), path)
}
