package experiment

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
)

// Deployment is the rows of one experiment among several.
type Deployment struct {
	Name string
	Rows []Row
}

// Comparison compares the scheduler with the plain policy that has the highest merit at a deployment.
type Comparison struct {
	Deployment string  // the deployment
	Scheduler  Summary // the scheduler's merit
	Best       Summary // the plain policy's merit
	Plain      string  // the plain policy's variant
	Difference Summary // the scheduler's merit less the plain policy's, seed by seed
	Broken     int     // rules that the scheduler broke
}

// meritAllowance is how much a plain policy's merit may exceed the scheduler's for ignoring prices and rules.
const meritAllowance = 0.03

// Margin returns how far behind the best plain policy the scheduler counts as level: meritAllowance and half the width of the
// difference's 95% interval.
func (s Comparison) Margin() float64 { return meritAllowance + s.Difference.Half }

// Behind reports whether the scheduler is behind by more than the margin, or broke a rule.
func (s Comparison) Behind() bool { return s.Broken > 0 || s.Difference.Mean < -s.Margin() }

// CompareDeployments compares by merit. A deployment's first variant is the scheduler, the others are plain policies.
func CompareDeployments(deployments []Deployment) (all []Comparison) {
	merit := func(row Row) float64 { return row.Merit }
	summarizeMerit := func(rows []Row) Summary {
		var figures []float64
		for _, row := range rows {
			figures = append(figures, row.Merit)
		}
		return summarize(figures)
	}
	for _, deployment := range deployments {
		names, byVariant := rowsByVariant(deployment.Rows)
		if len(names) == 0 {
			continue
		}
		scheduled := byVariant[names[0]]
		standing := Comparison{Deployment: deployment.Name, Scheduler: summarizeMerit(scheduled)}
		for _, row := range scheduled {
			standing.Broken += len(row.Breaches)
		}
		for _, name := range names[1:] {
			if summary := summarizeMerit(byVariant[name]); standing.Plain == "" || summary.Mean > standing.Best.Mean {
				standing.Plain, standing.Best = name, summary
				standing.Difference, _ = Difference(byVariant[name], scheduled, merit)
			}
		}
		all = append(all, standing)
	}
	return all
}

// Overview writes a line for each deployment.
func Overview(out io.Writer, all []Comparison) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "work\truns\tmodule\tbest plain\tpolicy\tdifference\tmargin\trules broken\t\t\n")
	for _, standing := range all {
		mark := ""
		if standing.Behind() {
			mark = "behind"
		}
		fmt.Fprintf(table, "%s\t%d\t%.3f ±%.3f\t%.3f ±%.3f\t%s\t%+.3f ±%.3f\t%.3f\t%d\t%s\t\n", standing.Deployment, standing.Scheduler.N, standing.Scheduler.Mean, standing.Scheduler.Half,
			standing.Best.Mean, standing.Best.Half, standing.Plain, standing.Difference.Mean, standing.Difference.Half, standing.Margin(), standing.Broken, mark)
	}
	return table.Flush()
}

// Files returns the paths of the experiments in a directory, sorted.
func Files(dir string) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.hcl"))
	slices.Sort(files)
	if err == nil && len(files) == 0 {
		err = fmt.Errorf("%s: no experiment there", dir)
	}
	return files, err
}

// SaveOverview writes several experiments to a directory: the rows of all as CSV, the overview and a chart.
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
	all := CompareDeployments(deployments)
	if err := writeFiles(dir, map[string]func(io.Writer) error{
		"rows.csv":     func(f io.Writer) error { return writeCSV(f, rows) },
		"overview.txt": func(f io.Writer) error { return Overview(f, all) },
	}); err != nil {
		return err
	}
	return drawOverview(filepath.Join(dir, "overview.svg"), all)
}
