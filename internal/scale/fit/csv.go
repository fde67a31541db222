package fit

import (
	"encoding/csv"
	"io"
	"slices"
	"strconv"
)

// writeRunsCSV writes a line for each run with all of its values.
func writeRunsCSV(out io.Writer, runs []Run) error {
	runs = sortRuns(runs)
	header := append(slices.Clone(sweepParameters), paramSeed)
	for _, name := range valueNames(runs) {
		if !slices.Contains(header, name) {
			header = append(header, name)
		}
	}
	records := [][]string{append(slices.Clone(header), fellBehindKey, "from", "commit", "command")}
	for _, run := range runs {
		var record []string
		for _, name := range header {
			cell := ""
			if value, ok := run.Values[name]; ok {
				cell = strconv.FormatFloat(value, 'g', -1, 64)
			}
			record = append(record, cell)
		}
		records = append(records, append(record, strconv.FormatBool(run.FellBehind), run.Source, run.Commit, run.Command))
	}
	return csv.NewWriter(out).WriteAll(records)
}

// writeSlopesCSV writes a line for each slope, in the metric's unit per unit of the regressor.
func writeSlopesCSV(out io.Writer, runs []Run) error {
	records := [][]string{{"by", "role", "figure", "points",
		"slope", "slope_low", "slope_high", "intercept", "residual_standard_error", "r_squared",
		"log2_slope", "log2_slope_low", "log2_slope_high", "log2_intercept", "log2_residual_standard_error", "log2_r_squared", "verdict", "why", "held"}}
	for _, sweep := range Sweeps(runs) {
		for _, slope := range sweep.Slopes {
			record := []string{sweep.Regressor, slope.Role, slope.Metric, strconv.Itoa(slope.Observations)}
			record = append(record, slope.Linear.fields()...)
			record = append(record, slope.Logarithmic.fields()...)
			records = append(records, append(record, string(slope.Verdict), slope.Reason, sweep.Constant))
		}
	}
	return csv.NewWriter(out).WriteAll(records)
}

// fields returns the model's six CSV fields. A field without a number is empty. The model may be nil.
func (m *Model) fields() []string {
	if m == nil {
		return make([]string, 6)
	}
	rSquared := ""
	if m.RSquared != nil {
		rSquared = formatSixDigits(*m.RSquared)
	}
	return []string{formatSixDigits(m.Slope), formatSixDigits(m.SlopeInterval.Low), formatSixDigits(m.SlopeInterval.High),
		formatSixDigits(m.Intercept), formatSixDigits(m.ResidualStandardError), rSquared}
}
