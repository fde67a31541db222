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
	meritOf := func(rows []Row) Summary {
		var x []float64
		for _, r := range rows {
			x = append(x, r.Merit)
		}
		return summarize(x)
	}
	for _, deployment := range deployments {
		names, byVariant := rowsByVariant(deployment.Rows)
		if len(names) == 0 {
			continue
		}
		standing := Standing{Work: deployment.Name, Module: meritOf(byVariant[names[0]])}
		for _, r := range byVariant[names[0]] {
			standing.Broken += len(r.Breaches)
		}
		for _, name := range names[1:] {
			if summary := meritOf(byVariant[name]); standing.Plain == "" || summary.Mean > standing.Best.Mean {
				standing.Plain, standing.Best = name, summary
				standing.Difference, _ = Difference(byVariant[name], byVariant[names[0]], merit)
			}
		}
		all = append(all, standing)
	}
	return all
}

// Overview writes a line for each work.
func Overview(out io.Writer, all []Standing) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "work\truns\tmodule\tbest plain\tpolicy\tdifference\tmargin\trules broken\t\t\n")
	for _, standing := range all {
		mark := ""
		if standing.Behind() {
			mark = "behind"
		}
		fmt.Fprintf(table, "%s\t%d\t%.3f ±%.3f\t%.3f ±%.3f\t%s\t%+.3f ±%.3f\t%.3f\t%d\t%s\t\n", standing.Work, standing.Module.N, standing.Module.Mean, standing.Module.Half,
			standing.Best.Mean, standing.Best.Half, standing.Plain, standing.Difference.Mean, standing.Difference.Half, standing.Margin(), standing.Broken, mark)
	}
	return table.Flush()
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
	for _, deployment := range deployments {
		for _, row := range deployment.Rows {
			row.Variant = deployment.Name + "/" + row.Variant
			rows = append(rows, row)
		}
	}
	all := Standings(deployments)
	if err := writeFiles(dir, map[string]func(io.Writer) error{
		"rows.csv":     func(f io.Writer) error { return writeCSV(f, rows) },
		"overview.txt": func(f io.Writer) error { return Overview(f, all) },
	}); err != nil {
		return err
	}
	return drawOverview(filepath.Join(dir, "overview.svg"), all)
}

// drawOverview draws the module beside the best plain policy at each work.
func drawOverview(path string, all []Standing) error {
	chart := plot.New()
	chart.Title.Text, chart.Y.Label.Text, chart.Y.Min, chart.Y.Max = "module beside the best plain policy", "merit", 0, 1
	width := vg.Points(14)
	for i, series := range []struct {
		name string
		of   func(Standing) float64
	}{{"module", func(standing Standing) float64 { return standing.Module.Mean }}, {"best plain", func(s Standing) float64 { return s.Best.Mean }}} {
		var values plotter.Values
		for _, s := range all {
			values = append(values, max(series.of(s), 0))
		}
		b, err := plotter.NewBarChart(values, width)
		if err != nil {
			return err
		}
		b.Color, b.Offset, b.LineStyle.Width = plotutil.Color(i), (vg.Length(i)-0.5)*width, 0
		chart.Add(b)
		chart.Legend.Add(series.name, b)
	}
	var names []string
	for _, s := range all {
		names = append(names, strings.ReplaceAll(s.Work, "-", "\n"))
	}
	chart.NominalX(names...)
	chart.Legend.Top = true
	return chart.Save(vg.Points(64*float64(max(len(all), 5))), vg.Points(300), path)
}
