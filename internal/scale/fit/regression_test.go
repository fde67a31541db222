package fit

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

// simulateRuns returns a run for each number of dispatchers and seed, with a metric y.
func simulateRuns(dispatchers []float64, seeds int, y func(x float64) float64) []Run {
	var runs []Run
	for _, x := range dispatchers {
		for seed := range seeds {
			runs = append(runs, Run{Values: map[string]float64{"dispatchers": x, "seed": float64(seed + 1), "y": y(x)}})
		}
	}
	return runs
}

// fleetSizes are the numbers of dispatchers of the scale runs.
var fleetSizes = []float64{75, 150, 300, 600, 800}

// nearlyEqual reports whether two numbers differ by no more than a share of the greater one.
func nearlyEqual(a, b, share float64) bool {
	return math.Abs(a-b) <= share*max(math.Abs(a), math.Abs(b))
}

// TestPublishedRegression fits Anscombe's first data set, whose regression is published: line 3.0001 + 0.5001 x with a standard error
// of the slope of 0.1179, residual standard error 1.237 on 9 degrees of freedom, R squared 0.6665. Student's t is 2.2622 for 9 degrees.
func TestPublishedRegression(t *testing.T) {
	x := []float64{10, 8, 13, 9, 11, 14, 6, 4, 12, 7, 5}
	y := []float64{8.04, 6.95, 7.58, 8.81, 8.33, 9.96, 7.24, 4.26, 10.84, 4.82, 5.68}
	var runs []Run
	for i := range x {
		runs = append(runs, Run{Values: map[string]float64{"dispatchers": x[i], "y": y[i]}})
	}
	regression := Fit(runs, "dispatchers", "y")
	model := regression.Linear
	if regression.Observations != 11 || model == nil || model.RSquared == nil {
		t.Fatalf("expected a linear model of 11 observations, got %+v", regression)
	}
	for _, c := range []struct {
		name             string
		got, want, share float64
	}{
		{"slope", model.Slope, 0.5001, 2e-4}, {"intercept", model.Intercept, 3.0001, 2e-4},
		{"residual standard error", model.ResidualStandardError, 1.237, 5e-4}, {"R squared", *model.RSquared, 0.6665, 2e-4},
		{"low", model.SlopeInterval.Low, 0.5001 - 2.2622*0.1179, 2e-3}, {"high", model.SlopeInterval.High, 0.5001 + 2.2622*0.1179, 2e-3},
	} {
		if !nearlyEqual(c.got, c.want, c.share) {
			t.Errorf("%s: got %v, published %v", c.name, c.got, c.want)
		}
	}
}

// TestLinesAreRecovered fits random lines with random noise. If the regression of the noise is subtracted from the noise, the noise does
// not change the slope: the fit returns the line's slope and intercept, the interval contains the slope, and the residual standard error is
// that of the noise. With the noise as drawn, the slope is within four times the interval's half width. By Student's t at 6 degrees of
// freedom or more, that fails by chance in less than one of 10,000 draws.
func TestLinesAreRecovered(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(8, 40).Draw(t, "points")
		intercept, slope := rapid.Float64Range(-1e4, 1e4).Draw(t, "intercept"), rapid.Float64Range(-50, 50).Draw(t, "slope")
		sigma, random := rapid.Float64Range(0.1, 500).Draw(t, "noise"), rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		x, noise := make([]float64, n), make([]float64, n)
		for i := range x {
			x[i], noise[i] = fleetSizes[i%len(fleetSizes)], sigma*random.NormFloat64()
		}
		noiseModel, residualSquares := fitModel(x, noise), 0.0
		residuals := make([]float64, n)
		for i := range x {
			residuals[i] = noise[i] - noiseModel.Intercept - noiseModel.Slope*x[i]
			residualSquares += residuals[i] * residuals[i]
		}
		runs := func(noise []float64) (runs []Run) {
			for i := range x {
				runs = append(runs, Run{Values: map[string]float64{"workers": x[i], "y": intercept + slope*x[i] + noise[i]}})
			}
			return runs
		}
		regression := Fit(runs(residuals), "workers", "y")
		if m := regression.Linear; regression.Observations != n || math.Abs(m.Slope-slope) > 1e-7 || math.Abs(m.Intercept-intercept) > 1e-5 ||
			!m.SlopeInterval.Contains(slope) || !nearlyEqual(m.ResidualStandardError, math.Sqrt(residualSquares/float64(n-2)), 1e-5) {
			t.Fatalf("%v + %v x with noise %v: %+v", intercept, slope, sigma, m)
		}
		regression = Fit(runs(noise), "workers", "y")
		if m := regression.Linear; math.Abs(m.Slope-slope) > 4*(m.SlopeInterval.High-m.SlopeInterval.Low)/2 {
			t.Fatalf("%v + %v x with noise %v: %+v", intercept, slope, sigma, m)
		}
	})
}

// TestUnits checks that another unit of the metric changes the numbers by its factor and does not change the verdict.
func TestUnits(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		factor := rapid.Float64Range(0.001, 1000).Draw(t, "factor")
		runs := simulateRuns(fleetSizes, 2, func(x float64) float64 { return 1000 + 3*x + 100*random.NormFloat64() })
		first := Fit(runs, "dispatchers", "y")
		for _, run := range runs {
			run.Values["y"] *= factor
		}
		second := Fit(runs, "dispatchers", "y")
		for _, c := range []struct{ first, second float64 }{
			{first.Linear.Slope, second.Linear.Slope},
			{first.Linear.SlopeInterval.Low, second.Linear.SlopeInterval.Low},
			{first.Linear.SlopeInterval.High, second.Linear.SlopeInterval.High},
			{first.Linear.ResidualStandardError, second.Linear.ResidualStandardError},
			{first.Logarithmic.Slope, second.Logarithmic.Slope},
			{first.Logarithmic.ResidualStandardError, second.Logarithmic.ResidualStandardError},
		} {
			if !nearlyEqual(c.first*factor, c.second, 1e-6) {
				t.Fatalf("expected %v times %v, got %v", c.first, factor, c.second)
			}
		}
		if first.Verdict != second.Verdict {
			t.Fatalf("verdict %s changed with the unit: times %v it is %s", first.Verdict, factor, second.Verdict)
		}
	})
}

// TestCoverage checks that in 2,000 seeded draws at the fleet sizes, with two seeds each, 95% of the intervals contain the slope. The bounds of
// 93% and 97% are four standard deviations of the count away. The same holds for the logarithmic model if the metric follows the logarithm.
func TestCoverage(t *testing.T) {
	const draws, slope, perDoubling = 2000, 3.5, 400.0
	linear, logarithmic := 0, 0
	for seed := range uint64(draws) {
		random := rand.New(rand.NewPCG(seed, 1))
		line := simulateRuns(fleetSizes, 2, func(x float64) float64 { return 900 + slope*x + 300*random.NormFloat64() })
		if Fit(line, "dispatchers", "y").Linear.SlopeInterval.Contains(slope) {
			linear++
		}
		logarithm := simulateRuns(fleetSizes, 2, func(x float64) float64 { return 900 + perDoubling*math.Log2(x) + 300*random.NormFloat64() })
		if Fit(logarithm, "dispatchers", "y").Logarithmic.SlopeInterval.Contains(perDoubling) {
			logarithmic++
		}
	}
	t.Logf("linear and logarithmic intervals that contain the slope: %d and %d of %d", linear, logarithmic, draws)
	for _, n := range []int{linear, logarithmic} {
		if n < 0.93*draws || n > 0.97*draws {
			t.Errorf("%d of %d intervals contain the slope", n, draws)
		}
	}
}

// TestVerdicts checks the verdicts over 1,000 seeded draws at the fleet sizes, with two seeds each and noise of 5% of the metric. The bounds are
// about four standard deviations of the count from the result of these draws. With intervals of 95%, one flat metric in 20 is expected not to
// get the verdict flat.
func TestVerdicts(t *testing.T) {
	const draws = 1000
	for _, c := range []struct {
		name       string
		metric     func(x float64) float64
		want       Verdict
		wantShare  float64 // of the draws, at least
		wrong      []Verdict
		wrongShare float64 // of the draws with one of the wrong verdicts, at most
	}{
		{"flat", func(float64) float64 { return 3000 }, Flat, 0.93, []Verdict{Linear, Logarithmic}, 0.04},
		{"linear", func(x float64) float64 { return 1000 + 3*x }, Linear, 0.95, []Verdict{Flat, Logarithmic}, 0.002},
		{"logarithmic", func(x float64) float64 { return 300 * math.Log2(x) }, Logarithmic, 0.82, []Verdict{Flat, Linear}, 0.065},
		{"steep logarithm", func(x float64) float64 { return 1000*math.Log2(x) - 5000 }, Logarithmic, 0.95, []Verdict{Flat, Linear}, 0.002},
	} {
		shares := map[Verdict]float64{}
		for seed := range uint64(draws) {
			random := rand.New(rand.NewPCG(seed, 2))
			runs := simulateRuns(fleetSizes, 2, func(x float64) float64 { return c.metric(x) * (1 + 0.05*random.NormFloat64()) })
			shares[Fit(runs, "dispatchers", "y").Verdict] += 1. / draws
		}
		t.Logf("%s: %v", c.name, shares)
		wrong := 0.0
		for _, verdict := range c.wrong {
			wrong += shares[verdict]
		}
		if shares[c.want] < c.wantShare || wrong > c.wrongShare {
			t.Errorf("%s: %v", c.name, shares)
		}
	}
}

// TestVerdictsWithoutNoise checks that without noise the verdict is the metric's true form, that a constant leaves no rounding errors, and that
// too few observations give the verdict unclear.
func TestVerdictsWithoutNoise(t *testing.T) {
	for _, c := range []struct {
		name        string
		dispatchers []float64
		seeds       int
		metric      func(x float64) float64
		want        Verdict
		notFitted   bool
	}{
		{"constant", fleetSizes, 2, func(float64) float64 { return 0.1 }, Flat, false},
		{"line", fleetSizes, 1, func(x float64) float64 { return 7 + 0.3*x }, Linear, false},
		{"falling line", fleetSizes, 1, func(x float64) float64 { return 7 - 0.3*x }, Linear, false},
		{"logarithm", fleetSizes, 1, func(x float64) float64 { return 7 + 0.3*math.Log2(x) }, Logarithmic, false},
		{"from 0", []float64{0, 1, 2, 3}, 1, func(x float64) float64 { return 7 + 3*x }, Linear, false},
		{"two sizes", []float64{75, 300}, 3, func(x float64) float64 { return x }, Unclear, false},
		{"one size", []float64{300}, 9, func(x float64) float64 { return x }, Unclear, true},
		{"two points", []float64{75, 300}, 1, func(x float64) float64 { return x }, Unclear, true},
		{"no point", nil, 1, func(x float64) float64 { return x }, Unclear, true},
	} {
		regression := Fit(simulateRuns(c.dispatchers, c.seeds, c.metric), "dispatchers", "y")
		if regression.Verdict != c.want || (regression.Linear == nil) != c.notFitted ||
			(regression.Verdict == Unclear) != (regression.Reason != "") && c.name != "from 0" {
			t.Errorf("%s: %+v", c.name, regression)
		}
		if c.notFitted && regression.Logarithmic != nil {
			t.Errorf("%s: expected no logarithmic model", c.name)
		}
	}
	constant := Fit(simulateRuns(fleetSizes, 2, func(float64) float64 { return 0.1 }), "dispatchers", "y")
	if *constant.Linear != (Model{Intercept: 0.1}) {
		t.Errorf("a constant: expected only an intercept of 0.1, got %+v", constant.Linear)
	}
	fromZero := Fit(simulateRuns([]float64{0, 1, 2, 3}, 1, func(x float64) float64 { return x }), "dispatchers", "y")
	if fromZero.Logarithmic != nil {
		t.Error("expected no logarithmic model of a regressor with the value 0")
	}
}

// TestFellBehindIsExcluded checks that runs that fell behind are excluded and named in Excluded, and that runs that lack a value are excluded but
// not named.
func TestFellBehindIsExcluded(t *testing.T) {
	runs := simulateRuns(fleetSizes, 1, func(x float64) float64 { return 2 * x })
	without := Fit(runs, "dispatchers", "y")
	runs = append(runs, Run{Source: "x/result.json", FellBehind: true, Values: map[string]float64{"dispatchers": 1200, "seed": 4, "y": 1e6}},
		Run{Values: map[string]float64{"dispatchers": 1200}}, Run{Values: map[string]float64{"y": 12}})
	with := Fit(runs, "dispatchers", "y")
	if with.Observations != 5 || *with.Linear.RSquared != *without.Linear.RSquared || with.Linear.Slope != without.Linear.Slope {
		t.Errorf("the excluded runs changed the regression: %+v, without them %+v", with, without)
	}
	if len(with.Excluded) != 1 || with.Excluded[0] != "x/result.json (dispatchers 1200, seed 4)" {
		t.Errorf("unexpected names of excluded runs: %q", with.Excluded)
	}
}
