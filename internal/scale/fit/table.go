package fit

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// missingCell is the table cell of a missing value.
const missingCell = "-"

// metricColumns are the table's columns after the identifying parameters of a run.
var metricColumns = []struct{ header, name string }{
	{"B/s p50", "control_bytes_s_p50"}, {"p99", "control_bytes_s_p99"}, {"messages/s", "control_messages_s"},
	{"cpu ms/s", "control_cpu_ms_s"}, {"hollow", "hollow_cpu_ms_s"}, {"MB", "control_memory_mb"},
	{"seat B/s", "seat_bytes_s_most"}, {"cpu ms/s", "seat_cpu_ms_s_most"}, {"MB", "seat_memory_mb_most"},
	{"leader B/s", "leader_bytes_s"}, {"cpu ms/s", "leader_cpu_ms_s"},
	{"in force p99 ms", "in_force_p99_ms"}, {"p99.9", "in_force_p999_ms"}, {"contradiction ms", "contradiction_max_ms"}, {"rules broken", "rules_broken"},
}

// Table writes a line for each run, then the slopes by role and metric, the excluded runs, and the commits of the runs.
func Table(out io.Writer, runs []Run) error {
	runs = sortRuns(runs)
	if err := writeRunTable(out, runs); err != nil {
		return err
	}
	for _, sweep := range Sweeps(runs) {
		if err := sweep.writeTable(out); err != nil {
			return err
		}
	}
	_, excluded := excludeFellBehind(runs)
	for _, name := range excluded {
		fmt.Fprintf(out, "\nleft out of the slopes, as it fell behind: %s", name)
	}
	if len(excluded) > 0 {
		fmt.Fprintln(out)
	}
	writeCommits(out, runs)
	return nil
}

// writeRunTable writes a line for each run.
func writeRunTable(out io.Writer, runs []Run) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	for _, name := range identifyingParameters {
		fmt.Fprintf(table, "%s\t", name)
	}
	for _, column := range metricColumns {
		fmt.Fprintf(table, "%s\t", column.header)
	}
	fmt.Fprint(table, "fell behind\t\n")
	for _, run := range runs {
		for _, name := range identifyingParameters {
			fmt.Fprintf(table, "%s\t", run.cell(name, formatExact))
		}
		for _, column := range metricColumns {
			fmt.Fprintf(table, "%s\t", run.cell(column.name, formatShort))
		}
		fellBehind := ""
		if run.FellBehind {
			fellBehind = "yes"
		}
		fmt.Fprintf(table, "%s\t\n", fellBehind)
	}
	return table.Flush()
}

// cell returns a value formatted for the table, or missingCell.
func (r Run) cell(name string, format func(float64) string) string {
	value, ok := r.Values[name]
	if !ok {
		return missingCell
	}
	return format(value)
}

// writeTable writes the slopes of a sweep, one per line.
func (s Sweep) writeTable(out io.Writer) error {
	if s.Reason != "" {
		_, err := fmt.Fprintf(out, "\nagainst %s: nothing fitted, %s\n", s.Regressor, s.Reason)
		return err
	}
	fmt.Fprintf(out, "\nagainst %s: %d runs at %s", s.Regressor, s.Runs, s.Constant)
	if s.RunsElsewhere > 0 {
		fmt.Fprintf(out, " (%d at other sizes left aside)", s.RunsElsewhere)
	}
	slopeHeader := "slope"
	if s.SlopeUnit > 1 {
		slopeHeader += " per " + formatExact(s.SlopeUnit)
	}
	fmt.Fprintln(out)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "role\tfigure\tpoints\t%s\t95%%\tintercept\tresidual\tR2\tper doubling\t95%%\tresidual\tverdict\n", slopeHeader)
	for _, slope := range s.Slopes {
		linear, logarithmic := slope.Linear.cells(s.SlopeUnit), slope.Logarithmic.cells(1)
		cells := []string{slope.Role, slope.Metric, strconv.Itoa(slope.Observations),
			linear.slope, linear.interval, linear.intercept, linear.residual, linear.rSquared,
			logarithmic.slope, logarithmic.interval, logarithmic.residual, slope.verdictText()}
		fmt.Fprintln(table, strings.Join(cells, "\t"))
	}
	return table.Flush()
}

// modelCells are a model's numbers, formatted for the table.
type modelCells struct{ slope, interval, intercept, residual, rSquared string }

// cells returns the model's numbers, with the slope per slopeUnit of the regressor. The model may be nil.
func (m *Model) cells(slopeUnit float64) modelCells {
	if m == nil {
		return modelCells{missingCell, missingCell, missingCell, missingCell, missingCell}
	}
	cells := modelCells{
		slope:     formatShort(m.Slope * slopeUnit),
		interval:  formatShort(m.SlopeInterval.Low*slopeUnit) + " to " + formatShort(m.SlopeInterval.High*slopeUnit),
		intercept: formatShort(m.Intercept),
		residual:  formatShort(m.ResidualStandardError),
		rSquared:  missingCell,
	}
	if m.RSquared != nil {
		cells.rSquared = strconv.FormatFloat(*m.RSquared, 'f', 3, 64)
	}
	return cells
}

// verdictText returns the verdict, with its reason if there is one.
func (r Regression) verdictText() string {
	if r.Reason == "" {
		return string(r.Verdict)
	}
	return fmt.Sprintf("%s (%s)", r.Verdict, r.Reason)
}

// writeCommits writes the commits of the builds that executed the runs.
func writeCommits(out io.Writer, runs []Run) {
	var commits []string
	for _, run := range runs {
		if run.Commit != "" && !slices.Contains(commits, run.Commit) {
			commits = append(commits, run.Commit)
		}
	}
	slices.Sort(commits)
	if len(commits) > 1 {
		fmt.Fprintf(out, "\nruns of %d commits together: %s\n", len(commits), strings.Join(commits, ", "))
	} else if len(commits) == 1 {
		fmt.Fprintf(out, "\ncommit %s\n", commits[0])
	}
}
