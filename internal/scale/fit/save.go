package fit

import (
	"encoding/csv"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
)

// writeRunsCSV writes a line for each run, with all of its numbers.
func writeRunsCSV(out io.Writer, rows []Run) error {
	rows = sortRuns(rows)
	head := append(slices.Clone(parameters), "seed")
	for _, n := range valueNames(rows) {
		if !slices.Contains(head, n) {
			head = append(head, n)
		}
	}
	w := csv.NewWriter(out)
	_ = w.Write(append(slices.Clone(head), "fell_behind", "from", "commit", "command"))
	for _, r := range rows {
		var line []string
		for _, n := range head {
			cell := ""
			if x, ok := r.Values[n]; ok {
				cell = strconv.FormatFloat(x, 'g', -1, 64)
			}
			line = append(line, cell)
		}
		_ = w.Write(append(line, strconv.FormatBool(r.FellBehind), r.Source, r.Commit, r.Command))
	}
	w.Flush()
	return w.Error()
}

// roundedNumber is a worked out roundedNumber in JSON.
type roundedNumber float64

// MarshalJSON writes six digits.
func (n roundedNumber) MarshalJSON() ([]byte, error) { return []byte(formatSixDigits(float64(n))), nil }

// The names of what slopes.json has are kept. Slopes there are for one of the size.
type (
	sweepJSON struct {
		By            string      `json:"by"`
		Constant      string      `json:"held,omitempty"`
		Runs          int         `json:"runs"`
		RunsElsewhere int         `json:"runs_aside"`
		Why           string      `json:"why,omitempty"`
		Slopes        []slopeJSON `json:"slopes"`
	}
	slopeJSON struct {
		Role    string    `json:"role"`
		Figure  string    `json:"figure"`
		N       int       `json:"points"`
		Linear  *lineJSON `json:"linear,omitempty"`
		Log     *lineJSON `json:"log2,omitempty"`
		Verdict Verdict   `json:"verdict"`
		Why     string    `json:"why,omitempty"`
	}
	lineJSON struct {
		Slope     roundedNumber  `json:"slope"`
		Low       roundedNumber  `json:"slope_low"`
		High      roundedNumber  `json:"slope_high"`
		Intercept roundedNumber  `json:"intercept"`
		Residual  roundedNumber  `json:"residual_standard_error"`
		RSquared  *roundedNumber `json:"r_squared,omitempty"`
	}
)

func (l *Model) json() *lineJSON {
	if l == nil {
		return nil
	}
	return &lineJSON{roundedNumber(l.Slope), roundedNumber(l.Low), roundedNumber(l.High), roundedNumber(l.Intercept), roundedNumber(l.ResidualStandardError), (*roundedNumber)(l.RSquared)}
}

// writeSlopesJSON writes the slopes with all that is known of them.
func writeSlopesJSON(out io.Writer, rows []Run) error {
	all := []sweepJSON{}
	for _, a := range FitSweeps(rows) {
		x := sweepJSON{a.Regressor, a.Constant, a.Runs, a.RunsElsewhere, a.Reason, []slopeJSON{}}
		for _, s := range a.Slopes {
			x.Slopes = append(x.Slopes, slopeJSON{s.Role, s.Metric, s.Observations, s.Linear.json(), s.Logarithmic.json(), s.Verdict, s.Reason})
		}
		all = append(all, x)
	}
	_, behind := excludeFellBehind(rows)
	text, err := json.MarshalIndent(struct {
		Against    []sweepJSON `json:"against"`
		FellBehind []string    `json:"fell_behind"`
	}{all, append([]string{}, behind...)}, "", " ")
	if err != nil {
		return err
	}
	_, err = out.Write(append(text, '\n'))
	return err
}

// writeSlopesCSV writes a line for each slope, for one of the size.
func writeSlopesCSV(out io.Writer, rows []Run) error {
	w := csv.NewWriter(out)
	_ = w.Write([]string{"by", "role", "figure", "points", "slope", "slope_low", "slope_high", "intercept", "residual_standard_error", "r_squared",
		"log2_slope", "log2_slope_low", "log2_slope_high", "log2_intercept", "log2_residual_standard_error", "log2_r_squared", "verdict", "why", "held"})
	for _, a := range FitSweeps(rows) {
		for _, s := range a.Slopes {
			cells := []string{a.Regressor, s.Role, s.Metric, strconv.Itoa(s.Observations)}
			for _, l := range []*Model{s.Linear, s.Logarithmic} {
				part := make([]string, 6)
				if l != nil {
					for i, x := range []float64{l.Slope, l.Low, l.High, l.Intercept, l.ResidualStandardError} {
						part[i] = formatSixDigits(x)
					}
					if l.RSquared != nil {
						part[5] = formatSixDigits(*l.RSquared)
					}
				}
				cells = append(cells, part...)
			}
			_ = w.Write(append(cells, string(s.Verdict), s.Reason, a.Constant))
		}
	}
	w.Flush()
	return w.Error()
}

// Save keeps what is known of the rows in a folder: table.txt, points.csv, slopes.csv, slopes.json and charts. The same rows
// give the same bytes.
func Save(dir string, rows []Run) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, f := range []struct {
		name  string
		write func(io.Writer, []Run) error
	}{{"table.txt", Table}, {"points.csv", writeRunsCSV}, {"slopes.csv", writeSlopesCSV}, {"slopes.json", writeSlopesJSON}} {
		if err := writeFile(filepath.Join(dir, f.name), func(w io.Writer) error { return f.write(w, rows) }); err != nil {
			return err
		}
	}
	return saveCharts(dir, rows)
}

// writeFile writes a file.
func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		_ = f.Close() // the error of the write is returned
		return err
	}
	return f.Close()
}
