package scale

import (
	"slices"

	"gonum.org/v1/gonum/stat"

	"brassdale/internal/traffic"
)

// controlRates is the control traffic of some dispatchers per second.
type controlRates struct {
	bytes          []float64          // of each dispatcher, sorted
	messages       []float64          // of each dispatcher
	bytesByKind    map[string]float64 // mean over the dispatchers
	messagesByKind map[string]float64 // mean over the dispatchers
}

// servingDispatchers returns the dispatchers that serve jobs and satisfy a condition.
func (r *run) servingDispatchers(wanted func(*dispatcher) bool) []*dispatcher {
	var all []*dispatcher
	for _, each := range r.dispatchers {
		if each.role == roleServing && wanted(each) {
			all = append(all, each)
		}
	}
	return all
}

// ratesOf returns the rates of dispatchers between two snapshots. It leaves out a dispatcher unless one process ran it at both snapshots.
func ratesOf(before, after snapshot, dispatchers []*dispatcher) controlRates {
	rates := controlRates{bytesByKind: map[string]float64{}, messagesByKind: map[string]float64{}}
	seconds := after.at.Sub(before.at).Seconds()
	for _, each := range dispatchers {
		counts, ok := controlBetween(before, after, each.name)
		if !ok {
			continue
		}
		total := traffic.Total(counts)
		rates.bytes = append(rates.bytes, float64(total.Bytes())/seconds)
		rates.messages = append(rates.messages, float64(total.Messages)/seconds)
		for kind, count := range counts {
			rates.bytesByKind[kind] += float64(count.Bytes()) / seconds
			rates.messagesByKind[kind] += float64(count.Messages) / seconds
		}
	}
	for kind := range rates.bytesByKind {
		rates.bytesByKind[kind] /= float64(len(rates.bytes))
		rates.messagesByKind[kind] /= float64(len(rates.bytes))
	}
	slices.Sort(rates.bytes)
	return rates
}

// quantile returns a quantile of sorted figures, or 0 if there are no figures.
func quantile(p float64, sorted []float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return stat.Quantile(p, stat.Empirical, sorted, nil)
}

// mean returns the mean of figures, or 0 if there are no figures.
func mean(figures []float64) float64 {
	if len(figures) == 0 {
		return 0
	}
	return stat.Mean(figures, nil)
}
