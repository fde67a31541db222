package fit

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// figure is a number that tables show, and whose cost it is.
type figure struct{ role, name string }

var figures = []figure{
	{"dispatcher", "control_bytes_s_p50"}, {"dispatcher", "control_bytes_s_p99"}, {"dispatcher", "control_bytes_s_mean"},
	{"dispatcher", "control_messages_s"}, {"dispatcher", "control_cpu_ms_s"}, {"dispatcher", "hollow_cpu_ms_s"}, {"dispatcher", "control_memory_mb"},
	{"dispatcher", "rest.bytes_s"}, {"dispatcher", "rest.messages_s"}, {"dispatcher", "change.bytes"},
	{"seat", "seat_bytes_s_most"}, {"seat", "seat_cpu_ms_s_most"}, {"seat", "seat_memory_mb_most"},
	{"leader", "leader_bytes_s"}, {"leader", "leader_cpu_ms_s"},
	{"fleet", "in_force_p99_ms"}, {"fleet", "in_force_p999_ms"},
}

// kinds are the objects that split a figure by kind of message.
var kinds = []figure{
	{"dispatcher", "bytes_by_kind"}, {"dispatcher", "messages_by_kind"}, {"dispatcher", "rest.bytes_by_kind"},
	{"seat", "seat_bytes_by_kind"}, {"leader", "leader_bytes_by_kind"},
}

// known tells whether the tables show a number of this name.
func known(name string) bool {
	return slices.Contains(sizes, name) || slices.Contains([]string{"seed", "changes", "contradiction_max_ms", "rules_broken"}, name) ||
		slices.ContainsFunc(figures, func(f figure) bool { return f.name == name }) ||
		slices.ContainsFunc(kinds, func(f figure) bool { return f.name == name || strings.HasPrefix(name, f.name+".") })
}

// present gives the figures that rows have, those by kind behind the others.
func present(rows []Row) (all []figure) {
	have := names(rows)
	for _, f := range figures {
		if slices.Contains(have, f.name) {
			all = append(all, f)
		}
	}
	for _, k := range kinds {
		for _, n := range have {
			if strings.HasPrefix(n, k.name+".") {
				all = append(all, figure{k.role, n})
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

// Axis is all figures against one size, over runs that differ in no other.
type Axis struct {
	By       string
	Per      float64 // of the size, for the table
	Constant string  // the sizes that are the same in all of its runs
	Runs     int
	Aside    int    // runs of other sizes
	Why      string // that nothing was fitted
	Slopes   []Slope
}

// Along gives the runs in which a size varies and no other does. Of several such sets it takes the one with most values of
// the size, then with most runs, then the first by its other sizes. held names those.
func Along(rows []Row, by string) (along []Row, constant string) {
	sets := map[string][]Row{}
	var order []string
	used, _ := counted(rows)
	for _, r := range used {
		if _, ok := r.Numbers[by]; !ok {
			continue
		}
		var parts []string
		for _, n := range sizes {
			if x, ok := r.Numbers[n]; ok && n != by {
				parts = append(parts, n+" "+exact(x))
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
		if n := values(sets[key], by); n > maximum || n == maximum && len(sets[key]) > len(along) {
			along, constant, maximum = sets[key], key, n
		}
	}
	return along, constant
}

// values counts the different values of a number.
func values(rows []Row, name string) int {
	all := map[float64]bool{}
	for _, r := range rows {
		all[r.Numbers[name]] = true
	}
	return len(slices.Collect(maps.Keys(all)))
}

// Slopes fits every figure of every role against every size.
func Slopes(rows []Row) (all []Axis) {
	used, _ := counted(rows)
	for _, axis := range axes {
		along, constant := Along(used, axis.by)
		a := Axis{By: axis.by, Per: axis.per, Constant: constant, Runs: len(along), Aside: len(used) - len(along)}
		switch {
		case len(along) == 0:
			a.Why = "no run that counts names it"
		case values(along, axis.by) == 1:
			a.Why = "it does not vary while the other sizes are held"
		case len(along) < fewest:
			a.Why = fmt.Sprintf("%d points, %d are needed", len(along), fewest)
		default:
			for _, f := range present(along) {
				a.Slopes = append(a.Slopes, Slope{f.role, Fit(along, axis.by, f.name)})
			}
		}
		all = append(all, a)
	}
	return all
}
