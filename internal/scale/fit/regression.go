package fit

import (
	"fmt"
	"math"
	"slices"
)

// Verdict says how a metric depends on a regressor.
type Verdict string

// The verdicts.
const (
	Flat        Verdict = "flat"        // the linear model's confidence interval of the slope contains 0
	Linear      Verdict = "linear"      // the interval does not contain 0, and the linear model fits better
	Logarithmic Verdict = "logarithmic" // the interval does not contain 0, and the logarithmic model fits better
	Unclear     Verdict = "unclear"     // there are too few observations, or neither model fits better
)

// minAICDifference is the difference of Akaike's information criterion from which on one of two models counts as the better one.
const minAICDifference = 2

// Regression is a metric fitted against a regressor, with one observation per run.
type Regression struct {
	Metric, Regressor string
	Observations      int
	Excluded          []string // names of runs that fell behind
	Linear            *Model   // on the regressor; nil if there are too few observations, or the regressor does not vary
	Logarithmic       *Model   // on the regressor's logarithm to base 2; nil if Linear is nil, or if a regressor value is not above 0
	Verdict           Verdict
	Reason            string // why nothing was fitted, or a reservation about the verdict; may be empty
}

// Fit fits a metric against a regressor: "dispatchers", "workers", "zones", "changes" or any other value of the runs. Runs that fell behind
// are excluded. Runs that lack one of the two values give no observation.
func Fit(runs []Run, regressor, metric string) Regression {
	used, excluded := excludeFellBehind(runs)
	sizes, responses := observations(used, regressor, metric)
	regression := Regression{Metric: metric, Regressor: regressor, Observations: len(sizes), Excluded: excluded, Verdict: Unclear}
	switch {
	case len(sizes) < minObservations:
		regression.Reason = fmt.Sprintf("%d points, %d are needed", len(sizes), minObservations)
		return regression
	case !varies(sizes):
		regression.Reason = fmt.Sprintf("%s is %s in all", regressor, formatExact(sizes[0]))
		return regression
	}
	regression.Linear = fitModel(sizes, responses)
	if slices.Min(sizes) > 0 {
		logarithms := make([]float64, len(sizes))
		for i, size := range sizes {
			logarithms[i] = math.Log2(size)
		}
		regression.Logarithmic = fitModel(logarithms, responses)
	}
	regression.Verdict, regression.Reason = regression.chooseVerdict()
	return regression
}

// observations returns the values of the regressor and of the metric of each run that has both.
func observations(runs []Run, regressor, metric string) (sizes, responses []float64) {
	for _, run := range runs {
		size, hasRegressor := run.Values[regressor]
		response, hasMetric := run.Values[metric]
		if hasRegressor && hasMetric {
			sizes, responses = append(sizes, size), append(responses, response)
		}
	}
	return sizes, responses
}

// chooseVerdict returns the verdict of a fitted regression and its reason, which may be empty. Both models have two parameters, so the
// difference of their Akaike criteria depends only on their residuals.
func (r Regression) chooseVerdict() (verdict Verdict, reason string) {
	if r.Linear.SlopeInterval.Contains(0) {
		if r.Logarithmic != nil && !r.Logarithmic.SlopeInterval.Contains(0) {
			return Flat, "but told from 0 against the logarithm"
		}
		return Flat, ""
	}
	if r.Logarithmic == nil {
		return Linear, "no logarithm of 0"
	}
	difference := 2 * float64(r.Observations) * math.Log(r.Linear.ResidualStandardError/r.Logarithmic.ResidualStandardError)
	switch {
	case difference > minAICDifference:
		return Logarithmic, ""
	case difference < -minAICDifference:
		return Linear, ""
	case r.Linear.Slope < 0:
		return Unclear, "it falls, but line and logarithm fit alike"
	default:
		return Unclear, "it grows, but line and logarithm fit alike"
	}
}
