package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// SaveZoneRuns writes the rows to a directory as CSV, a table and two charts.
func SaveZoneRuns(dir string, rows []ZoneRow) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := writeFiles(dir, map[string]func(io.Writer) error{
		"rows.csv":  func(file io.Writer) error { return writeZoneCSV(file, rows) },
		"table.txt": func(file io.Writer) error { return ZoneTable(file, rows) },
	}); err != nil {
		return err
	}
	err := drawZoneChart(filepath.Join(dir, "served.svg"), "share of worth in time from 3 s into the fault", rows, func(r ZoneRow) float64 { return r.Fault })
	if err != nil {
		return err
	}
	return drawZoneChart(filepath.Join(dir, "peak.svg"), "most work that came to a zone over 5 s, of what it could do", rows, func(r ZoneRow) float64 { return r.Peak })
}

// writeZoneCSV writes a line for each row, under a line of column names.
func writeZoneCSV(out io.Writer, rows []ZoneRow) error {
	lines := [][]string{{"case", "mode", "seed", "served_fault", "served_behind", "served_return", "served", "crossings",
		"zone_peak_over_capacity", "moved_s", "back_s", "plan_changes", "p99_s", "breaches"}}
	for _, row := range rows {
		line := []string{row.Case, zoneModeTitles[row.Mode], strconv.FormatUint(row.Seed, 10)}
		for _, figure := range []float64{row.Fault, row.Recovery, row.Later, row.All, row.Crossings, row.Peak, row.MovedAfter, row.RestoredAfter,
			float64(row.Plans), row.P99, float64(row.Breaches)} {
			line = append(line, strconv.FormatFloat(figure, 'f', 4, 64))
		}
		lines = append(lines, line)
	}
	return csv.NewWriter(out).WriteAll(lines)
}

// zoneFigures returns a figure of a case's rows in a mode.
func zoneFigures(rows []ZoneRow, name, mode string, figure func(ZoneRow) float64) (figures []float64) {
	for _, row := range rows {
		if row.Case == name && row.Mode == mode {
			figures = append(figures, figure(row))
		}
	}
	return figures
}

// ZoneTable writes a line of means over the seeds for each mode of each case.
func ZoneTable(out io.Writer, rows []ZoneRow) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprint(table, "case\tdecided by\tin the fault\t15 s behind\tthen\tcrossings\tpeak\tpeak, most\tp99 s\tmoved s\tback s\tplans\tbreaches\n")
	for _, zoneCase := range ZoneCases() {
		for _, mode := range ZoneModes {
			figures := func(figure func(ZoneRow) float64) []float64 { return zoneFigures(rows, zoneCase.Name, mode, figure) }
			mean := func(figure func(ZoneRow) float64) float64 { return stat.Mean(figures(figure), nil) }
			breaches, maxPeak := 0.0, 0.0
			for _, count := range figures(func(r ZoneRow) float64 { return float64(r.Breaches) }) {
				breaches += count
			}
			for _, peak := range figures(func(r ZoneRow) float64 { return r.Peak }) {
				maxPeak = max(maxPeak, peak)
			}
			fmt.Fprintf(table, "%s at %.2f\t%s\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.1f\t%.0f\t%.0f\n",
				zoneCase.Name, zoneCase.Load, zoneModeTitles[mode],
				mean(func(r ZoneRow) float64 { return r.Fault }),
				mean(func(r ZoneRow) float64 { return r.Recovery }),
				mean(func(r ZoneRow) float64 { return r.Later }),
				mean(func(r ZoneRow) float64 { return r.Crossings }),
				mean(func(r ZoneRow) float64 { return r.Peak }),
				maxPeak,
				mean(func(r ZoneRow) float64 { return r.P99 }),
				mean(func(r ZoneRow) float64 { return r.MovedAfter }),
				mean(func(r ZoneRow) float64 { return r.RestoredAfter }),
				mean(func(r ZoneRow) float64 { return float64(r.Plans) }),
				breaches)
		}
	}
	return table.Flush()
}
