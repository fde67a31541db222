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
	Flat        Verdict = "flat"        // the confidence interval of the linear model's slope contains 0
	Linear      Verdict = "linear"      // it does not, and the linear model is the better one
	Logarithmic Verdict = "logarithmic" // it does not, and the logarithmic model is the better one
	Unclear     Verdict = "unclear"     // there are too few observations, or neither model is the better one
)

// minAICDifference is by how much Akaike's information criterion of two models must differ before one counts as the better.
const minAICDifference = 2

// Regression is a metric fitted against a regressor, with one observation a run.
type Regression struct {
	Metric, Regressor string
	Observations      int
	Excluded          []string // names of runs that fell behind
	Linear            *Model   // against the regressor; nil where there is too little to fit
	Logarithmic       *Model   // against the regressor's logarithm to base 2; nil likewise, or where a value is not above 0
	Verdict           Verdict
	Reason            string // what the verdict does not say: why nothing was fitted, or what speaks against it
}

// Fit fits a metric against a regressor: "dispatchers", "workers", "zones", "changes" or any other value of the runs. Runs that fell behind
// are excluded; runs that lack one of the two values give no observation.
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

// observations returns the regressor's and the metric's value of each run that has both.
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

// chooseVerdict returns the verdict of a fitted regression and what it does not say. Both models have two parameters, so the difference of
// their Akaike criteria depends on their residuals alone.
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
