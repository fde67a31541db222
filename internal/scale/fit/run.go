package fit

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Parameters of a run, as result files name them.
const (
	paramDispatchers = "dispatchers"
	paramWorkers     = "workers"
	paramZones       = "zones"
	paramChanges     = "changes"  // config versions proposed and accepted before the end of the measurement
	paramLease       = "bound_ms" // the lease duration, in milliseconds
	paramSeed        = "seed"
)

// sweepParameters are the parameters that must be equal in the runs of one sweep, except the regressor. Changes, voters, regions and teams are
// not compared.
var sweepParameters = []string{paramDispatchers, paramWorkers, paramZones, paramLease}

// identifyingParameters are the parameters by which tables and messages identify runs.
var identifyingParameters = []string{paramDispatchers, paramWorkers, paramZones, paramSeed}

// Run is the result of one scale run.
type Run struct {
	Source          string             // the result file, with the run's index if the file is an array
	Values          map[string]float64 // parameters and metrics by name; values of a nested object by "object.name"
	FellBehind      bool               // the machine was the limit, so the run does not count
	Commit, Command string             // the build's commit; the command that repeats the run
}

// Name returns the run's source and identifying parameters.
func (r Run) Name() string {
	var parameters []string
	for _, name := range identifyingParameters {
		if value, ok := r.Values[name]; ok {
			parameters = append(parameters, name+" "+formatExact(value))
		}
	}
	return r.Source + " (" + strings.Join(parameters, ", ") + ")"
}

// sortRuns returns the runs sorted by their parameters and seeds. The result does not depend on the order of the input.
func sortRuns(runs []Run) []Run {
	return slices.SortedStableFunc(slices.Values(runs), func(a, b Run) int {
		for _, name := range append(slices.Clone(sweepParameters), paramSeed) {
			if order := cmp.Compare(a.Values[name], b.Values[name]); order != 0 {
				return order
			}
		}
		return cmp.Or(cmp.Compare(a.Source, b.Source), cmp.Compare(a.Commit, b.Commit))
	})
}

// excludeFellBehind returns the runs that count, sorted, and the names of the others.
func excludeFellBehind(runs []Run) (used []Run, excluded []string) {
	for _, run := range sortRuns(runs) {
		if run.FellBehind {
			excluded = append(excluded, run.Name())
		} else {
			used = append(used, run)
		}
	}
	return used, excluded
}

// valueNames returns the names of all parameters and metrics that at least one of the runs has, sorted.
func valueNames(runs []Run) []string {
	names := map[string]bool{}
	for _, run := range runs {
		for name := range run.Values {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// countDistinct returns how many different values of a parameter the runs have. For a run without the parameter, 0 counts as its value.
func countDistinct(runs []Run, parameter string) int {
	distinct := map[float64]bool{}
	for _, run := range runs {
		distinct[run.Values[parameter]] = true
	}
	return len(distinct)
}
