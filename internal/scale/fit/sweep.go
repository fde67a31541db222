package fit

import (
	"fmt"
	"strings"
)

// regressors are the parameters against which metrics are fitted, each with the unit of its slopes in the table.
var regressors = []struct {
	name      string
	slopeUnit float64
}{{paramDispatchers, 100}, {paramWorkers, 100}, {paramZones, 1}, {paramChanges, 1}}

// Slope is the regression of a role's metric.
type Slope struct {
	Role string
	Regression
}

// Sweep is the regressions of all metrics on one regressor, over runs that are equal in all other sweepParameters.
type Sweep struct {
	Regressor     string
	SlopeUnit     float64 // the table shows slopes per this number of the regressor's units
	Constant      string  // names and values of the parameters that all its runs have in common
	Runs          int
	RunsElsewhere int    // runs that count but have other parameters
	Reason        string // why nothing was fitted; otherwise empty
	Slopes        []Slope
}

// Sweeps fits every metric of every role against every regressor. Runs that fell behind are excluded.
func Sweeps(runs []Run) []Sweep {
	var sweeps []Sweep
	used, _ := excludeFellBehind(runs)
	for _, regressor := range regressors {
		selected, constant := SelectSweep(used, regressor.name)
		sweep := Sweep{Regressor: regressor.name, SlopeUnit: regressor.slopeUnit, Constant: constant,
			Runs: len(selected), RunsElsewhere: len(used) - len(selected)}
		switch {
		case len(selected) == 0:
			sweep.Reason = "no run that counts names it"
		case countDistinct(selected, regressor.name) == 1:
			sweep.Reason = "it does not vary while the other sizes are held"
		case len(selected) < minObservations:
			sweep.Reason = fmt.Sprintf("%d points, %d are needed", len(selected), minObservations)
		default:
			for _, m := range presentMetrics(selected) {
				sweep.Slopes = append(sweep.Slopes, Slope{m.role, Fit(selected, regressor.name, m.name)})
			}
		}
		sweeps = append(sweeps, sweep)
	}
	return sweeps
}

// SelectSweep returns runs that differ only in the given parameter, sorted, and the parameters that they have in common. Of several such sets it
// takes the one with the most values of the parameter, then with the most runs, then the first by the other parameters. Runs that fell
// behind are excluded.
func SelectSweep(runs []Run, parameter string) (selected []Run, constant string) {
	mostValues := 0
	for _, candidate := range groupByOthers(runs, parameter) {
		values := countDistinct(candidate.runs, parameter)
		if values > mostValues || values == mostValues && len(candidate.runs) > len(selected) {
			selected, constant, mostValues = candidate.runs, candidate.constant, values
		}
	}
	return selected, constant
}

// runGroup is runs that are equal in all parameters except one.
type runGroup struct {
	constant string // names and values of the parameters in common
	runs     []Run
}

// groupByOthers groups the runs that count and have the parameter by all other sweepParameters. The groups are in the order of their first runs.
func groupByOthers(runs []Run, parameter string) []runGroup {
	var groups []runGroup
	position := map[string]int{} // in groups, by constant
	used, _ := excludeFellBehind(runs)
	for _, run := range used {
		if _, ok := run.Values[parameter]; !ok {
			continue
		}
		var others []string
		for _, name := range sweepParameters {
			if value, ok := run.Values[name]; ok && name != parameter {
				others = append(others, name+" "+formatExact(value))
			}
		}
		constant := strings.Join(others, ", ")
		at, found := position[constant]
		if !found {
			at = len(groups)
			position[constant] = at
			groups = append(groups, runGroup{constant: constant})
		}
		groups[at].runs = append(groups[at].runs, run)
	}
	return groups
}
