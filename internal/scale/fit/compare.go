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
	Role, Figure                string
	Before, After               float64 // medians over the seeds
	Seeds                       int     // that both played; 0 where nothing can be compared
	Median, Low, High           float64 // of the ratios, seed by seed
	Why                         string  // that there is none
}

// median gives the middle value, between the two middle ones where their number is even. There must be one.
func median(x []float64) float64 {
	x = slices.Sorted(slices.Values(x))
	return (x[(len(x)-1)/2] + x[len(x)/2]) / 2
}

// place is a size at which runs are compared.
type place struct{ dispatchers, workers, zones float64 }

// gathered gives each figure's values by size and seed. A seed that was played again counts by its median.
func gathered(rows []Row, figure string) map[place]map[float64][]float64 {
	all := map[place]map[float64][]float64{}
	for _, r := range rows {
		at := place{r.Numbers["dispatchers"], r.Numbers["workers"], r.Numbers["zones"]}
		if all[at] == nil {
			all[at] = map[float64][]float64{}
		}
		if x, ok := r.Numbers[figure]; ok {
			seed := r.Numbers["seed"]
			all[at][seed] = append(all[at][seed], x)
		}
	}
	return all
}

// Compare pairs runs of two builds by their sizes and seeds, and gives the ratios of all figures that both have. Runs that
// fell behind are left out; sizes and figures that only one build has are named.
func Compare(before, after []Row) (all []Ratio) {
	before, _ = counted(before)
	after, _ = counted(after)
	both := append(slices.Clone(before), after...)
	var places []place
	for _, r := range sorted(both) {
		at := place{r.Numbers["dispatchers"], r.Numbers["workers"], r.Numbers["zones"]}
		if !slices.Contains(places, at) {
			places = append(places, at)
		}
	}
	for _, at := range places {
		for _, f := range present(both) {
			was, is := gathered(before, f.name)[at], gathered(after, f.name)[at]
			if len(was) == 0 && len(is) == 0 {
				continue
			}
			all = append(all, ratio(at, f, was, is))
		}
	}
	return all
}

// ratio compares a figure at one size, seed by seed.
func ratio(at place, f figure, was, is map[float64][]float64) Ratio {
	r := Ratio{Dispatchers: at.dispatchers, Workers: at.workers, Zones: at.zones, Role: f.role, Figure: f.name}
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
		r.Why = "not there before"
	case len(is) == 0:
		r.Why = "not there after"
	case zero > 0 && len(ratios) == 0:
		r.Why = "0 before"
	case len(ratios) == 0:
		r.Why = "no seed in common"
	default:
		r.Seeds, r.Before, r.After = len(ratios), median(first), median(second)
		r.Median, r.Low, r.High = median(ratios), slices.Min(ratios), slices.Max(ratios)
	}
	return r
}

// CompareTable writes a line for each size and figure.
func CompareTable(out io.Writer, before, after []Row) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprint(w, "dispatchers\tworkers\tzones\trole\tfigure\tseeds\tbefore\tafter\tratio\trange\t\n")
	for _, r := range Compare(before, after) {
		cells := []string{exact(r.Dispatchers), exact(r.Workers), exact(r.Zones), r.Role, r.Figure, fmt.Sprint(r.Seeds)}
		if r.Why != "" {
			cells = append(cells, "-", "-", "-", "-", r.Why)
		} else {
			cells = append(cells, short(r.Before), short(r.After), fmt.Sprintf("%.3f", r.Median), fmt.Sprintf("%.3f to %.3f", r.Low, r.High), "")
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for i, rows := range [][]Row{before, after} {
		_, behind := counted(rows)
		for _, name := range behind {
			fmt.Fprintf(out, "left out, as it fell behind (%s): %s\n", []string{"before", "after"}[i], name)
		}
	}
	return nil
}

// SaveCompared keeps the comparison in a file.
func SaveCompared(path string, before, after []Row) error {
	return keep(path, func(w io.Writer) error { return CompareTable(w, before, after) })
}
