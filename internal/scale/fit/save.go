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

// CSV writes a line for each run, with all of its numbers.
func CSV(out io.Writer, rows []Row) error {
	rows = sorted(rows)
	head := append(slices.Clone(sizes), "seed")
	for _, n := range names(rows) {
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
			if x, ok := r.Numbers[n]; ok {
				cell = strconv.FormatFloat(x, 'g', -1, 64)
			}
			line = append(line, cell)
		}
		_ = w.Write(append(line, strconv.FormatBool(r.FellBehind), r.From, r.Commit, r.Command))
	}
	w.Flush()
	return w.Error()
}

// number is a worked out number in JSON.
type number float64

// MarshalJSON writes six digits.
func (n number) MarshalJSON() ([]byte, error) { return []byte(digits(float64(n))), nil }

// The names of what slopes.json has are kept. Slopes there are for one of the size.
type (
	axisJSON struct {
		By       string      `json:"by"`
		Constant string      `json:"held,omitempty"`
		Runs     int         `json:"runs"`
		Aside    int         `json:"runs_aside"`
		Why      string      `json:"why,omitempty"`
		Slopes   []slopeJSON `json:"slopes"`
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
		Slope     number  `json:"slope"`
		Low       number  `json:"slope_low"`
		High      number  `json:"slope_high"`
		Intercept number  `json:"intercept"`
		Residual  number  `json:"residual_standard_error"`
		RSquared  *number `json:"r_squared,omitempty"`
	}
)

func (l *Line) json() *lineJSON {
	if l == nil {
		return nil
	}
	return &lineJSON{number(l.Slope), number(l.Low), number(l.High), number(l.Intercept), number(l.Residual), (*number)(l.RSquared)}
}

// slopesJSON writes the slopes with all that is known of them.
func slopesJSON(out io.Writer, rows []Row) error {
	all := []axisJSON{}
	for _, a := range Slopes(rows) {
		x := axisJSON{a.By, a.Constant, a.Runs, a.Aside, a.Why, []slopeJSON{}}
		for _, s := range a.Slopes {
			x.Slopes = append(x.Slopes, slopeJSON{s.Role, s.Figure, s.N, s.Linear.json(), s.Log.json(), s.Verdict, s.Why})
		}
		all = append(all, x)
	}
	_, behind := counted(rows)
	text, err := json.MarshalIndent(struct {
		Against    []axisJSON `json:"against"`
		FellBehind []string   `json:"fell_behind"`
	}{all, append([]string{}, behind...)}, "", " ")
	if err != nil {
		return err
	}
	_, err = out.Write(append(text, '\n'))
	return err
}

// slopesCSV writes a line for each slope, for one of the size.
func slopesCSV(out io.Writer, rows []Row) error {
	w := csv.NewWriter(out)
	_ = w.Write([]string{"by", "role", "figure", "points", "slope", "slope_low", "slope_high", "intercept", "residual_standard_error", "r_squared",
		"log2_slope", "log2_slope_low", "log2_slope_high", "log2_intercept", "log2_residual_standard_error", "log2_r_squared", "verdict", "why", "held"})
	for _, a := range Slopes(rows) {
		for _, s := range a.Slopes {
			cells := []string{a.By, s.Role, s.Figure, strconv.Itoa(s.N)}
			for _, l := range []*Line{s.Linear, s.Log} {
				part := make([]string, 6)
				if l != nil {
					for i, x := range []float64{l.Slope, l.Low, l.High, l.Intercept, l.Residual} {
						part[i] = digits(x)
					}
					if l.RSquared != nil {
						part[5] = digits(*l.RSquared)
					}
				}
				cells = append(cells, part...)
			}
			_ = w.Write(append(cells, string(s.Verdict), s.Why, a.Constant))
		}
	}
	w.Flush()
	return w.Error()
}

// Save keeps what is known of the rows in a folder: table.txt, points.csv, slopes.csv, slopes.json and charts. The same rows
// give the same bytes.
func Save(dir string, rows []Row) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, f := range []struct {
		name  string
		write func(io.Writer, []Row) error
	}{{"table.txt", Table}, {"points.csv", CSV}, {"slopes.csv", slopesCSV}, {"slopes.json", slopesJSON}} {
		if err := keep(filepath.Join(dir, f.name), func(w io.Writer) error { return f.write(w, rows) }); err != nil {
			return err
		}
	}
	return draw(dir, rows)
}

// keep writes a file.
func keep(path string, write func(io.Writer) error) error {
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
