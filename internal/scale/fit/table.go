package fit

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// formatSixDigits writes a worked out number: six formatSixDigits, so that the rounding of sums does not show.
func formatSixDigits(x float64) string { return strconv.FormatFloat(x, 'g', 6, 64) }

// formatShort writes a number for people.
func formatShort(x float64) string {
	switch a := max(x, -x); {
	case x == math.Trunc(x) && a < 1e15:
		return formatExact(x)
	case a >= 100:
		return strconv.FormatFloat(x, 'f', 0, 64)
	case a >= 10:
		return strconv.FormatFloat(x, 'f', 1, 64)
	case a >= 0.1:
		return strconv.FormatFloat(x, 'f', 2, 64)
	default:
		return strconv.FormatFloat(x, 'g', 2, 64)
	}
}

// columns are what the table shows of a run.
var columns = []struct{ head, name string }{
	{"dispatchers", "dispatchers"}, {"workers", "workers"}, {"zones", "zones"}, {"seed", "seed"},
	{"B/s p50", "control_bytes_s_p50"}, {"p99", "control_bytes_s_p99"}, {"messages/s", "control_messages_s"},
	{"cpu ms/s", "control_cpu_ms_s"}, {"hollow", "hollow_cpu_ms_s"}, {"MB", "control_memory_mb"},
	{"seat B/s", "seat_bytes_s_most"}, {"cpu ms/s", "seat_cpu_ms_s_most"}, {"MB", "seat_memory_mb_most"},
	{"leader B/s", "leader_bytes_s"}, {"cpu ms/s", "leader_cpu_ms_s"},
	{"in force p99 ms", "in_force_p99_ms"}, {"p99.9", "in_force_p999_ms"}, {"contradiction ms", "contradiction_max_ms"}, {"rules broken", "rules_broken"},
}

// Table writes a line for each run, then the slopes by role and by kind, and what was left out.
func Table(out io.Writer, rows []Run) error {
	rows = sortRuns(rows)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	for _, c := range columns {
		fmt.Fprintf(w, "%s\t", c.head)
	}
	fmt.Fprint(w, "fell behind\t\n")
	for _, r := range rows {
		for i, c := range columns {
			x, ok := r.Values[c.name]
			switch {
			case !ok:
				fmt.Fprint(w, "-\t")
			case i < 4:
				fmt.Fprintf(w, "%s\t", formatExact(x))
			default:
				fmt.Fprintf(w, "%s\t", formatShort(x))
			}
		}
		fmt.Fprintf(w, "%s\t\n", map[bool]string{true: "yes"}[r.FellBehind])
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, a := range FitSweeps(rows) {
		if err := a.writeTable(out); err != nil {
			return err
		}
	}
	_, behind := excludeFellBehind(rows)
	for _, name := range behind {
		fmt.Fprintf(out, "\nleft out of the slopes, as it fell behind: %s", name)
	}
	if len(behind) > 0 {
		fmt.Fprintln(out)
	}
	var commits []string
	for _, r := range rows {
		if !slices.Contains(commits, r.Commit) && r.Commit != "" {
			commits = append(commits, r.Commit)
		}
	}
	slices.Sort(commits)
	if len(commits) > 1 {
		fmt.Fprintf(out, "\nruns of %d commits together: %s\n", len(commits), strings.Join(commits, ", "))
	} else if len(commits) == 1 {
		fmt.Fprintf(out, "\ncommit %s\n", commits[0])
	}
	return nil
}

// writeTable writes an axis' slopes.
func (a Sweep) writeTable(out io.Writer) error {
	if a.Reason != "" {
		_, err := fmt.Fprintf(out, "\nagainst %s: nothing fitted, %s\n", a.Regressor, a.Reason)
		return err
	}
	fmt.Fprintf(out, "\nagainst %s: %d runs at %s", a.Regressor, a.Runs, a.Constant)
	if a.RunsElsewhere > 0 {
		fmt.Fprintf(out, " (%d at other sizes left aside)", a.RunsElsewhere)
	}
	head := "slope"
	if a.SlopeUnit > 1 {
		head += " per " + formatExact(a.SlopeUnit)
	}
	fmt.Fprintln(out)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "role\tfigure\tpoints\t%s\t95%%\tintercept\tresidual\tR2\tper doubling\t95%%\tresidual\tverdict\n", head)
	for _, s := range a.Slopes {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", s.Role, s.Metric, s.Observations, s.Linear.cells(a.SlopeUnit, true), s.Logarithmic.cells(1, false), s.verdictText())
	}
	return w.Flush()
}

// cells are a line's numbers in the table.
func (l *Model) cells(per float64, whole bool) string {
	cells := []string{"-", "-", "-", "-", "-"}
	if l != nil {
		cells = []string{formatShort(l.Slope * per), formatShort(l.Low*per) + " to " + formatShort(l.High*per), formatShort(l.Intercept), formatShort(l.ResidualStandardError), "-"}
		if l.RSquared != nil {
			cells[4] = strconv.FormatFloat(*l.RSquared, 'f', 3, 64)
		}
	}
	if !whole {
		cells = []string{cells[0], cells[1], cells[3]}
	}
	return strings.Join(cells, "\t")
}

// verdictText is the word, and why where it is no plain one.
func (f Regression) verdictText() string {
	if f.Reason == "" {
		return string(f.Verdict)
	}
	return fmt.Sprintf("%s (%s)", f.Verdict, f.Reason)
}
