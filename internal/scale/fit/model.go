package fit

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

const (
	minObservations = 3    // of a fit: two observations leave no degree of freedom for the residual standard error
	confidenceLevel = 0.95 // of the slopes' intervals
	// roundingShare is the share of the response's sum of squares below which the residuals' sum of squares is rounding error.
	roundingShare = 1e-24
)

// Interval is a confidence interval.
type Interval struct{ Low, High float64 }

// Contains reports whether a value lies in the interval, its bounds included.
func (i Interval) Contains(value float64) bool { return i.Low <= value && value <= i.High }

// Model is a line fitted by ordinary least squares. Its units are the metric's and the regressor's. If the regressor is a logarithm to base 2,
// the slope is the increase per doubling.
type Model struct {
	Slope                 float64
	SlopeInterval         Interval
	Intercept             float64
	ResidualStandardError float64
	RSquared              *float64 // nil if the metric does not vary
}

// varies reports whether the values are not all the same. There must be at least one value.
func varies(values []float64) bool { return slices.Min(values) != slices.Max(values) }

// fitModel regresses the responses on the regressor's values. These must vary, and there must be at least minObservations.
func fitModel(regressor, response []float64) *Model {
	if !varies(response) { // exact, as sums would leave rounding errors
		return &Model{Intercept: response[0]}
	}
	observations := float64(len(response))
	degreesOfFreedom := observations - 2
	intercept, slope := stat.LinearRegression(regressor, response, nil, false)
	residualSquares, responseSquares := 0.0, 0.0
	for i := range response {
		residual := response[i] - intercept - slope*regressor[i]
		residualSquares += residual * residual
		responseSquares += response[i] * response[i]
	}
	if residualSquares < roundingShare*responseSquares {
		residualSquares = 0
	}
	standardError := math.Sqrt(residualSquares / degreesOfFreedom)
	quantile := distuv.StudentsT{Sigma: 1, Nu: degreesOfFreedom}.Quantile((1 + confidenceLevel) / 2)
	halfWidth := quantile * standardError / math.Sqrt(stat.Variance(regressor, nil)*(observations-1))
	rSquared := 1 - residualSquares/(stat.Variance(response, nil)*(observations-1))
	return &Model{Slope: slope, SlopeInterval: Interval{slope - halfWidth, slope + halfWidth}, Intercept: intercept,
		ResidualStandardError: standardError, RSquared: &rSquared}
}
