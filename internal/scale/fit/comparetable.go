package fit

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
)

// CompareTable writes a line for each size and metric of two builds, and the excluded runs.
func CompareTable(out io.Writer, before, after []Run) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprint(table, "dispatchers\tworkers\tzones\trole\tfigure\tseeds\tbefore\tafter\tratio\trange\t\n")
	for _, ratio := range Compare(before, after) {
		fmt.Fprintln(table, strings.Join(ratio.cells(), "\t"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	writeExcluded(out, "before", before)
	writeExcluded(out, "after", after)
	return nil
}

// cells returns the ratio's line in the table.
func (r Ratio) cells() []string {
	cells := []string{formatExact(r.Dispatchers), formatExact(r.Workers), formatExact(r.Zones), r.Role, r.Metric, strconv.Itoa(r.Seeds)}
	if r.Reason != "" {
		return append(cells, missingCell, missingCell, missingCell, missingCell, r.Reason)
	}
	return append(cells, formatShort(r.Before), formatShort(r.After), fmt.Sprintf("%.3f", r.Median), fmt.Sprintf("%.3f to %.3f", r.Low, r.High), "")
}

// writeExcluded writes the names of a build's runs that fell behind.
func writeExcluded(out io.Writer, build string, runs []Run) {
	_, excluded := excludeFellBehind(runs)
	for _, name := range excluded {
		fmt.Fprintf(out, "left out, as it fell behind (%s): %s\n", build, name)
	}
}
