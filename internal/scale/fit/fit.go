package fit

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Verdict says in a word how a figure goes with a size.
type Verdict string

// The verdicts.
const (
	Flat        Verdict = "flat"        // the line's slope is not told from 0
	Linear      Verdict = "linear"      // it is told from 0, and the line fits better
	Logarithmic Verdict = "logarithmic" // it is told from 0, and the logarithm fits better
	Unclear     Verdict = "unclear"     // too few points, or the models are not told apart
)

const (
	minObservations = 3    // points of a fit: with two nothing is left over to tell the noise by
	confidenceLevel = 0.95 // of intervals
	// minAICDifference is by how much Akaike's criterion must differ before one model counts as the better.
	minAICDifference = 2
	roundingShare    = 1e-24 // the part of squares that is rounding, and no residual
)

// Model is a regression by ordinary least squares, with the 95% interval of its slope.
type Model struct {
	Slope, Low, High      float64
	Intercept             float64
	ResidualStandardError float64  // standard error
	RSquared              *float64 // nil where the figure does not vary
}

// holdsZero tells whether the slope is not told from 0.
func (l Model) holdsZero() bool { return l.Low <= 0 && l.High >= 0 }

// Regression is a figure against a size.
type Regression struct {
	Metric, Regressor string
	Observations      int
	Excluded          []string // runs that were left out
	Linear            *Model   // against the size; nil where there is too little to fit
	Logarithmic       *Model   // against its logarithm to base 2; nil likewise, or where a size is not above 0
	Verdict           Verdict
	Reason            string // what the verdict does not say: that nothing was fitted, or what speaks against it
}

// Fit fits a figure against a size: "dispatchers", "workers", "zones", "changes" or any other number of the rows. Runs that
// fell behind, or have not both numbers, are left out.
func Fit(rows []Run, by, figure string) Regression {
	used, behind := excludeFellBehind(rows)
	f := Regression{Metric: figure, Regressor: by, Excluded: behind, Verdict: Unclear}
	var x, y []float64
	for _, r := range used {
		size, ok := r.Values[by]
		value, also := r.Values[figure]
		if ok && also {
			x, y = append(x, size), append(y, value)
		}
	}
	f.Observations = len(x)
	switch {
	case f.Observations < minObservations:
		f.Reason = fmt.Sprintf("%d points, %d are needed", f.Observations, minObservations)
		return f
	case !varies(x):
		f.Reason = fmt.Sprintf("%s is %s in all", by, formatExact(x[0]))
		return f
	}
	f.Linear = fitModel(x, y)
	if slices.Min(x) > 0 {
		logs := make([]float64, len(x))
		for i := range x {
			logs[i] = math.Log2(x[i])
		}
		f.Logarithmic = fitModel(logs, y)
	}
	f.chooseVerdict()
	return f
}

func varies(x []float64) bool { return slices.Min(x) != slices.Max(x) }

// fitModel fits y against x, which varies.
func fitModel(x, y []float64) *Model {
	if !varies(y) { // exactly, where sums would leave the dust of rounding
		return &Model{Intercept: y[0]}
	}
	n := float64(len(x))
	a, b := stat.LinearRegression(x, y, nil, false)
	left, all := 0.0, 0.0
	for i := range x {
		e := y[i] - a - b*x[i]
		left, all = left+e*e, all+y[i]*y[i]
	}
	if left < roundingShare*all {
		left = 0
	}
	residual := math.Sqrt(left / (n - 2))
	half := distuv.StudentsT{Sigma: 1, Nu: n - 2}.Quantile((1+confidenceLevel)/2) * residual / math.Sqrt(stat.Variance(x, nil)*(n-1))
	r := 1 - left/(stat.Variance(y, nil)*(n-1))
	return &Model{Slope: b, Low: b - half, High: b + half, Intercept: a, ResidualStandardError: residual, RSquared: &r}
}

// chooseVerdict gives the verdict. Both models have two parameters, so Akaike's criterion comes down to the residuals.
func (f *Regression) chooseVerdict() {
	if f.Linear.holdsZero() {
		if f.Verdict = Flat; f.Logarithmic != nil && !f.Logarithmic.holdsZero() {
			f.Reason = "but told from 0 against the logarithm"
		}
		return
	}
	if f.Logarithmic == nil {
		f.Verdict, f.Reason = Linear, "no logarithm of 0"
		return
	}
	line, log := f.Linear.ResidualStandardError, f.Logarithmic.ResidualStandardError
	switch better := 2 * float64(f.Observations) * math.Log(line/log); {
	case better > minAICDifference:
		f.Verdict = Logarithmic
	case better < -minAICDifference:
		f.Verdict = Linear
	default:
		f.Reason = "it grows, but line and logarithm fit alike"
		if f.Linear.Slope < 0 {
			f.Reason = "it falls, but line and logarithm fit alike"
		}
	}
}
