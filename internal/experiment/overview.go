package experiment

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Deployment is what came of one experiment among several.
type Deployment struct {
	Name string
	Rows []Row
}

// Standing is how the module stands at a work beside the plain policy that did best there.
type Standing struct {
	Work       string
	Module     Summary // merit
	Best       Summary
	Plain      string  // the policy
	Difference Summary // module less plain, seed by seed
	Broken     int     // rules that the module broke
}

// Margin is how far behind the best plain policy the module may stand at a work and still count as level: chance over the
// seeds, and 0.03 for what a policy gains that may ignore prices and rules.
func (s Standing) Margin() float64 { return 0.03 + s.Difference.Half }

// Behind tells whether the module stands behind by more than the margin, or broke a rule.
func (s Standing) Behind() bool { return s.Broken > 0 || s.Difference.Mean < -s.Margin() }

// Standings compares by merit. A work's first variant is the module.
func Standings(deployments []Deployment) (all []Standing) {
	merit := func(r Row) float64 { return r.Merit }
	of := func(rows []Row) Summary {
		var x []float64
		for _, r := range rows {
			x = append(x, r.Merit)
		}
		return interval(x)
	}
	for _, w := range deployments {
		names, by := variants(w.Rows)
		if len(names) == 0 {
			continue
		}
		s := Standing{Work: w.Name, Module: of(by[names[0]])}
		for _, r := range by[names[0]] {
			s.Broken += len(r.Breaches)
		}
		for _, name := range names[1:] {
			if m := of(by[name]); s.Plain == "" || m.Mean > s.Best.Mean {
				s.Plain, s.Best = name, m
				s.Difference, _ = Difference(by[name], by[names[0]], merit)
			}
		}
		all = append(all, s)
	}
	return all
}

// Overview writes a line for each work.
func Overview(out io.Writer, all []Standing) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "work\truns\tmodule\tbest plain\tpolicy\tdifference\tmargin\trules broken\t\t\n")
	for _, s := range all {
		mark := ""
		if s.Behind() {
			mark = "behind"
		}
		fmt.Fprintf(w, "%s\t%d\t%.3f ±%.3f\t%.3f ±%.3f\t%s\t%+.3f ±%.3f\t%.3f\t%d\t%s\t\n", s.Work, s.Module.N, s.Module.Mean, s.Module.Half,
			s.Best.Mean, s.Best.Half, s.Plain, s.Difference.Mean, s.Difference.Half, s.Margin(), s.Broken, mark)
	}
	return w.Flush()
}

// Files gives the experiments in a folder, by name.
func Files(dir string) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.hcl"))
	slices.Sort(files)
	if err == nil && len(files) == 0 {
		err = fmt.Errorf("%s: no experiment there", dir)
	}
	return files, err
}

// SaveOverview keeps several experiments in a folder: the rows of all as CSV, the table and a chart.
func SaveOverview(dir string, deployments []Deployment) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var rows []Row
	for _, w := range deployments {
		for _, r := range w.Rows {
			r.Variant = w.Name + "/" + r.Variant
			rows = append(rows, r)
		}
	}
	all := Standings(deployments)
	if err := write(dir, map[string]func(io.Writer) error{
		"rows.csv":     func(f io.Writer) error { return writeCSV(f, rows) },
		"overview.txt": func(f io.Writer) error { return Overview(f, all) },
	}); err != nil {
		return err
	}
	return bars(filepath.Join(dir, "overview.svg"), all)
}

// bars draws the module beside the best plain policy at each work.
func bars(path string, all []Standing) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.Y.Min, p.Y.Max = "module beside the best plain policy", "merit", 0, 1
	width := vg.Points(14)
	for i, series := range []struct {
		name string
		of   func(Standing) float64
	}{{"module", func(s Standing) float64 { return s.Module.Mean }}, {"best plain", func(s Standing) float64 { return s.Best.Mean }}} {
		var values plotter.Values
		for _, s := range all {
			values = append(values, max(series.of(s), 0))
		}
		b, err := plotter.NewBarChart(values, width)
		if err != nil {
			return err
		}
		b.Color, b.Offset, b.LineStyle.Width = plotutil.Color(i), (vg.Length(i)-0.5)*width, 0
		p.Add(b)
		p.Legend.Add(series.name, b)
	}
	var names []string
	for _, s := range all {
		names = append(names, strings.ReplaceAll(s.Work, "-", "\n"))
	}
	p.NominalX(names...)
	p.Legend.Top = true
	return p.Save(vg.Points(64*float64(max(len(all), 5))), vg.Points(300), path)
}
