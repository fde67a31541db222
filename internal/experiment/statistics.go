package experiment

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Summary is the mean of N figures and half the width of its 95% interval (Student's t).
type Summary struct {
	Mean, Half float64
	N          int
}

// summarize returns the summary of figures. Half is 0 if there are fewer than two figures.
func summarize(figures []float64) Summary {
	summary := Summary{N: len(figures), Mean: stat.Mean(figures, nil)}
	if len(figures) > 1 {
		t := distuv.StudentsT{Sigma: 1, Nu: float64(len(figures) - 1)}
		summary.Half = t.Quantile(0.975) * stat.StdDev(figures, nil) / math.Sqrt(float64(len(figures)))
	}
	return summary
}

// Difference returns the difference of a figure, second variant minus first, over the seeds that both have. It is significant if 0 is
// outside the 95% interval.
func Difference(first, second []Row, figure func(Row) float64) (difference Summary, significant bool) {
	firstFigures := map[uint64]float64{}
	for _, row := range first {
		firstFigures[row.Seed] = figure(row)
	}
	var differences []float64
	for _, row := range second {
		if before, ok := firstFigures[row.Seed]; ok {
			differences = append(differences, figure(row)-before)
		}
	}
	if len(differences) == 0 {
		return Summary{}, false
	}
	difference = summarize(differences)
	return difference, difference.N > 1 && math.Abs(difference.Mean) > difference.Half
}
