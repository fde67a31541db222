package fit

import "slices"

// Ratio is a metric after a change of the program divided by the metric before, at one size of the fleet.
type Ratio struct {
	Dispatchers, Workers, Zones float64
	Role, Metric                string
	Before, After               float64 // medians over the seeds, in the metric's unit
	Seeds                       int     // number of seeds that both builds ran; 0 if there is no ratio
	Median, Low, High           float64 // of the ratios of all seeds
	Reason                      string  // why there is no ratio
}

// fleetSize is a size at which runs are compared.
type fleetSize struct{ dispatchers, workers, zones float64 }

func (r Run) fleetSize() fleetSize {
	return fleetSize{r.Values[paramDispatchers], r.Values[paramWorkers], r.Values[paramZones]}
}

// Compare pairs the runs of two builds by size and seed, and returns the ratios of all metrics that either build has. Runs that fell behind
// are excluded. A metric or size that only one build has is listed without a ratio.
func Compare(before, after []Run) []Ratio {
	before, _ = excludeFellBehind(before)
	after, _ = excludeFellBehind(after)
	both := append(slices.Clone(before), after...)
	var sizes []fleetSize
	for _, run := range sortRuns(both) {
		if size := run.fleetSize(); !slices.Contains(sizes, size) {
			sizes = append(sizes, size)
		}
	}
	var ratios []Ratio
	for _, size := range sizes {
		for _, m := range presentMetrics(both) {
			valuesBefore, valuesAfter := valuesBySeed(before, size, m.name), valuesBySeed(after, size, m.name)
			if len(valuesBefore) > 0 || len(valuesAfter) > 0 {
				ratios = append(ratios, compareMetric(size, m, valuesBefore, valuesAfter))
			}
		}
	}
	return ratios
}

// seedValues are a metric's values by seed: several if a seed was run several times.
type seedValues map[float64][]float64

// valuesBySeed returns a metric's values in the runs of one size.
func valuesBySeed(runs []Run, size fleetSize, metric string) seedValues {
	values := seedValues{}
	for _, run := range runs {
		if value, ok := run.Values[metric]; ok && run.fleetSize() == size {
			seed := run.Values[paramSeed]
			values[seed] = append(values[seed], value)
		}
	}
	return values
}

// compareMetric compares a metric at one size, seed by seed. A seed that was run several times counts by its median.
func compareMetric(size fleetSize, m metric, before, after seedValues) Ratio {
	ratio := Ratio{Dispatchers: size.dispatchers, Workers: size.workers, Zones: size.zones, Role: m.role, Metric: m.name}
	var mediansBefore, mediansAfter, ratios []float64
	zeros := 0
	for seed := range before {
		if after[seed] == nil {
			continue
		}
		medianBefore, medianAfter := median(before[seed]), median(after[seed])
		if medianBefore == 0 {
			zeros++
			continue
		}
		mediansBefore, mediansAfter = append(mediansBefore, medianBefore), append(mediansAfter, medianAfter)
		ratios = append(ratios, medianAfter/medianBefore)
	}
	switch {
	case len(before) == 0:
		ratio.Reason = "not there before"
	case len(after) == 0:
		ratio.Reason = "not there after"
	case zeros > 0 && len(ratios) == 0:
		ratio.Reason = "0 before"
	case len(ratios) == 0:
		ratio.Reason = "no seed in common"
	default:
		ratio.Seeds, ratio.Before, ratio.After = len(ratios), median(mediansBefore), median(mediansAfter)
		ratio.Median, ratio.Low, ratio.High = median(ratios), slices.Min(ratios), slices.Max(ratios)
	}
	return ratio
}

// median returns the middle value, or the mean of the two middle ones. There must be a value.
func median(values []float64) float64 {
	ordered := slices.Sorted(slices.Values(values))
	return (ordered[(len(ordered)-1)/2] + ordered[len(ordered)/2]) / 2
}
