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
	Deployment string
	Scheduler  Summary // the scheduler's merit
	Best       Summary // the plain policy's merit
	Plain      string  // the plain policy's variant
	Difference Summary // the scheduler's merit less the plain policy's, seed by seed
	Broken     int     // breaches by the scheduler
}

// meritAllowance is how much a plain policy's merit may exceed the scheduler's, because it ignores prices and rules.
const meritAllowance = 0.03

// Margin returns by how much the scheduler's merit may be below the best plain policy's: meritAllowance + half the width of the
// difference's 95% interval.
func (s Comparison) Margin() float64 { return meritAllowance + s.Difference.Half }

// Behind reports whether the scheduler's merit is below the plain policy's by more than the margin, or the scheduler broke a rule.
func (s Comparison) Behind() bool { return s.Broken > 0 || s.Difference.Mean < -s.Margin() }

// CompareDeployments compares the scheduler with the best plain policy at each deployment, by merit. A deployment's first variant is the
// scheduler, the others are plain policies.
func CompareDeployments(deployments []Deployment) (comparisons []Comparison) {
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
		comparison := Comparison{Deployment: deployment.Name, Scheduler: summarizeMerit(scheduled)}
		for _, row := range scheduled {
			comparison.Broken += len(row.Breaches)
		}
		for _, name := range names[1:] {
			if summary := summarizeMerit(byVariant[name]); comparison.Plain == "" || summary.Mean > comparison.Best.Mean {
				comparison.Plain, comparison.Best = name, summary
				comparison.Difference, _ = Difference(byVariant[name], scheduled, merit)
			}
		}
		comparisons = append(comparisons, comparison)
	}
	return comparisons
}

// Overview writes a line for each deployment.
func Overview(out io.Writer, comparisons []Comparison) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "work\truns\tmodule\tbest plain\tpolicy\tdifference\tmargin\trules broken\t\t\n")
	for _, comparison := range comparisons {
		mark := ""
		if comparison.Behind() {
			mark = "behind"
		}
		fmt.Fprintf(table, "%s\t%d\t%.3f ±%.3f\t%.3f ±%.3f\t%s\t%+.3f ±%.3f\t%.3f\t%d\t%s\t\n", comparison.Deployment, comparison.Scheduler.N, comparison.Scheduler.Mean, comparison.Scheduler.Half,
			comparison.Best.Mean, comparison.Best.Half, comparison.Plain, comparison.Difference.Mean, comparison.Difference.Half, comparison.Margin(), comparison.Broken, mark)
	}
	return table.Flush()
}

// Files returns the paths of the experiments in a directory, sorted.
func Files(dir string) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.hcl"))
	slices.Sort(files)
	if err == nil && len(files) == 0 {
		err = fmt.Errorf("%s: found no experiment (*.hcl)", dir)
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
	comparisons := CompareDeployments(deployments)
	if err := writeFiles(dir, map[string]func(io.Writer) error{
		"rows.csv":     func(f io.Writer) error { return writeCSV(f, rows) },
		"overview.txt": func(f io.Writer) error { return Overview(f, comparisons) },
	}); err != nil {
		return err
	}
	return drawOverview(filepath.Join(dir, "overview.svg"), comparisons)
}
