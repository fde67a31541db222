package fit

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// metric is a number that tables show, and whose cost it is.
type metric struct{ role, name string }

var metrics = []metric{
	{"dispatcher", "control_bytes_s_p50"}, {"dispatcher", "control_bytes_s_p99"}, {"dispatcher", "control_bytes_s_mean"},
	{"dispatcher", "control_messages_s"}, {"dispatcher", "control_cpu_ms_s"}, {"dispatcher", "hollow_cpu_ms_s"}, {"dispatcher", "control_memory_mb"},
	{"dispatcher", "rest.bytes_s"}, {"dispatcher", "rest.messages_s"}, {"dispatcher", "change.bytes"},
	{"seat", "seat_bytes_s_most"}, {"seat", "seat_cpu_ms_s_most"}, {"seat", "seat_memory_mb_most"},
	{"leader", "leader_bytes_s"}, {"leader", "leader_cpu_ms_s"},
	{"fleet", "in_force_p99_ms"}, {"fleet", "in_force_p999_ms"},
}

// metricsByKind are the objects that split a figure by kind of message.
var metricsByKind = []metric{
	{"dispatcher", "bytes_by_kind"}, {"dispatcher", "messages_by_kind"}, {"dispatcher", "rest.bytes_by_kind"},
	{"seat", "seat_bytes_by_kind"}, {"leader", "leader_bytes_by_kind"},
}

// isShown tells whether the tables show a number of this name.
func isShown(name string) bool {
	return slices.Contains(parameters, name) || slices.Contains([]string{"seed", "changes", "contradiction_max_ms", "rules_broken"}, name) ||
		slices.ContainsFunc(metrics, func(f metric) bool { return f.name == name }) ||
		slices.ContainsFunc(metricsByKind, func(f metric) bool { return f.name == name || strings.HasPrefix(name, f.name+".") })
}

// presentMetrics gives the figures that rows have, those by kind behind the others.
func presentMetrics(rows []Run) (all []metric) {
	have := valueNames(rows)
	for _, f := range metrics {
		if slices.Contains(have, f.name) {
			all = append(all, f)
		}
	}
	for _, k := range metricsByKind {
		for _, n := range have {
			if strings.HasPrefix(n, k.name+".") {
				all = append(all, metric{k.role, n})
			}
		}
	}
	return all
}

// axes are what figures are fitted against, and how many of it the table's slopes are for.
var axes = []struct {
	by  string
	per float64
}{{"dispatchers", 100}, {"workers", 100}, {"zones", 1}, {"changes", 1}}

// Slope is a role's figure against a size.
type Slope struct {
	Role string
	Regression
}

// Sweep is all figures against one size, over runs that differ in no other.
type Sweep struct {
	Regressor     string
	SlopeUnit     float64 // of the size, for the table
	Constant      string  // the sizes that are the same in all of its runs
	Runs          int
	RunsElsewhere int    // runs of other sizes
	Reason        string // that nothing was fitted
	Slopes        []Slope
}

// SelectSweep gives the runs in which a size varies and no other does. Of several such sets it takes the one with most values of
// the size, then with most runs, then the first by its other sizes. held names those.
func SelectSweep(rows []Run, by string) (along []Run, constant string) {
	sets := map[string][]Run{}
	var order []string
	used, _ := excludeFellBehind(rows)
	for _, r := range used {
		if _, ok := r.Values[by]; !ok {
			continue
		}
		var parts []string
		for _, n := range parameters {
			if x, ok := r.Values[n]; ok && n != by {
				parts = append(parts, n+" "+formatExact(x))
			}
		}
		key := strings.Join(parts, ", ")
		if sets[key] == nil {
			order = append(order, key)
		}
		sets[key] = append(sets[key], r)
	}
	maximum := 0
	for _, key := range order {
		if n := countDistinct(sets[key], by); n > maximum || n == maximum && len(sets[key]) > len(along) {
			along, constant, maximum = sets[key], key, n
		}
	}
	return along, constant
}

// countDistinct counts the different countDistinct of a number.
func countDistinct(rows []Run, name string) int {
	all := map[float64]bool{}
	for _, r := range rows {
		all[r.Values[name]] = true
	}
	return len(slices.Collect(maps.Keys(all)))
}

// FitSweeps fits every figure of every role against every size.
func FitSweeps(rows []Run) (all []Sweep) {
	used, _ := excludeFellBehind(rows)
	for _, axis := range axes {
		along, constant := SelectSweep(used, axis.by)
		a := Sweep{Regressor: axis.by, SlopeUnit: axis.per, Constant: constant, Runs: len(along), RunsElsewhere: len(used) - len(along)}
		switch {
		case len(along) == 0:
			a.Reason = "no run that counts names it"
		case countDistinct(along, axis.by) == 1:
			a.Reason = "it does not vary while the other sizes are held"
		case len(along) < minObservations:
			a.Reason = fmt.Sprintf("%d points, %d are needed", len(along), minObservations)
		default:
			for _, f := range presentMetrics(along) {
				a.Slopes = append(a.Slopes, Slope{f.role, Fit(along, axis.by, f.name)})
			}
		}
		all = append(all, a)
	}
	return all
}
