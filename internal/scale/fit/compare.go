package fit

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// Ratio is a figure after a change by what it was before, at one size.
type Ratio struct {
	Dispatchers, Workers, Zones float64
	Role, Metric                string
	Before, After               float64 // medians over the seeds
	Seeds                       int     // that both played; 0 where nothing can be compared
	Median, Low, High           float64 // of the ratios, seed by seed
	Reason                      string  // that there is none
}

// median gives the middle value, between the two middle ones where their number is even. There must be one.
func median(x []float64) float64 {
	x = slices.Sorted(slices.Values(x))
	return (x[(len(x)-1)/2] + x[len(x)/2]) / 2
}

// size is a size at which runs are compared.
type size struct{ dispatchers, workers, zones float64 }

// gathered gives each figure's values by size and seed. A seed that was played again counts by its median.
func gathered(rows []Run, figure string) map[size]map[float64][]float64 {
	all := map[size]map[float64][]float64{}
	for _, r := range rows {
		at := size{r.Values["dispatchers"], r.Values["workers"], r.Values["zones"]}
		if all[at] == nil {
			all[at] = map[float64][]float64{}
		}
		if x, ok := r.Values[figure]; ok {
			seed := r.Values["seed"]
			all[at][seed] = append(all[at][seed], x)
		}
	}
	return all
}

// Compare pairs runs of two builds by their sizes and seeds, and gives the ratios of all figures that both have. Runs that
// fell behind are left out; sizes and figures that only one build has are named.
func Compare(before, after []Run) (all []Ratio) {
	before, _ = excludeFellBehind(before)
	after, _ = excludeFellBehind(after)
	both := append(slices.Clone(before), after...)
	var places []size
	for _, r := range sortRuns(both) {
		at := size{r.Values["dispatchers"], r.Values["workers"], r.Values["zones"]}
		if !slices.Contains(places, at) {
			places = append(places, at)
		}
	}
	for _, at := range places {
		for _, f := range presentMetrics(both) {
			was, is := gathered(before, f.name)[at], gathered(after, f.name)[at]
			if len(was) == 0 && len(is) == 0 {
				continue
			}
			all = append(all, compareMetric(at, f, was, is))
		}
	}
	return all
}

// compareMetric compares a figure at one size, seed by seed.
func compareMetric(at size, f metric, was, is map[float64][]float64) Ratio {
	r := Ratio{Dispatchers: at.dispatchers, Workers: at.workers, Zones: at.zones, Role: f.role, Metric: f.name}
	var first, second, ratios []float64
	zero := 0
	for seed, values := range was {
		if is[seed] == nil {
			continue
		}
		x, y := median(values), median(is[seed])
		if x == 0 {
			zero++
			continue
		}
		first, second, ratios = append(first, x), append(second, y), append(ratios, y/x)
	}
	switch {
	case len(was) == 0:
		r.Reason = "not there before"
	case len(is) == 0:
		r.Reason = "not there after"
	case zero > 0 && len(ratios) == 0:
		r.Reason = "0 before"
	case len(ratios) == 0:
		r.Reason = "no seed in common"
	default:
		r.Seeds, r.Before, r.After = len(ratios), median(first), median(second)
		r.Median, r.Low, r.High = median(ratios), slices.Min(ratios), slices.Max(ratios)
	}
	return r
}

// CompareTable writes a line for each size and figure.
func CompareTable(out io.Writer, before, after []Run) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprint(w, "dispatchers\tworkers\tzones\trole\tfigure\tseeds\tbefore\tafter\tratio\trange\t\n")
	for _, r := range Compare(before, after) {
		cells := []string{formatExact(r.Dispatchers), formatExact(r.Workers), formatExact(r.Zones), r.Role, r.Metric, fmt.Sprint(r.Seeds)}
		if r.Reason != "" {
			cells = append(cells, "-", "-", "-", "-", r.Reason)
		} else {
			cells = append(cells, formatShort(r.Before), formatShort(r.After), fmt.Sprintf("%.3f", r.Median), fmt.Sprintf("%.3f to %.3f", r.Low, r.High), "")
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for i, rows := range [][]Run{before, after} {
		_, behind := excludeFellBehind(rows)
		for _, name := range behind {
			fmt.Fprintf(out, "left out, as it fell behind (%s): %s\n", []string{"before", "after"}[i], name)
		}
	}
	return nil
}

// SaveCompared keeps the comparison in a file.
func SaveCompared(path string, before, after []Run) error {
	return writeFile(path, func(w io.Writer) error { return CompareTable(w, before, after) })
}
