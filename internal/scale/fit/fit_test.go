package fit

import (
	"flag"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// drawn makes a run of each size and seed, with a figure y.
func drawn(sizes []float64, seeds int, y func(x float64) float64) (rows []Run) {
	for _, x := range sizes {
		for seed := range seeds {
			rows = append(rows, Run{Values: map[string]float64{"dispatchers": x, "seed": float64(seed + 1), "y": y(x)}})
		}
	}
	return rows
}

// planned are the sizes that scale runs are played at.
var planned = []float64{75, 150, 300, 600, 800}

func near(a, b, part float64) bool { return math.Abs(a-b) <= part*max(math.Abs(a), math.Abs(b)) }

// check has rapid draw the same every time; with -rapid.seed others.
func check(t *testing.T, of func(*rapid.T)) {
	t.Helper()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = f.Value.Set("0") }()
	}
	rapid.Check(t, of)
}

// Anscombe's first data set, whose regression is published: line 3.0001 + 0.5001 x with a standard error of 0.1179,
// residual 1.237 on 9 degrees of freedom, R squared 0.6665. Student's t there is 2.2622.
func TestPublishedRegression(t *testing.T) {
	x := []float64{10, 8, 13, 9, 11, 14, 6, 4, 12, 7, 5}
	y := []float64{8.04, 6.95, 7.58, 8.81, 8.33, 9.96, 7.24, 4.26, 10.84, 4.82, 5.68}
	var rows []Run
	for i := range x {
		rows = append(rows, Run{Values: map[string]float64{"dispatchers": x[i], "y": y[i]}})
	}
	f := Fit(rows, "dispatchers", "y")
	if f.Observations != 11 || f.Linear == nil || f.Linear.RSquared == nil {
		t.Fatalf("%+v", f)
	}
	for _, c := range []struct {
		name            string
		got, want, part float64
	}{
		{"slope", f.Linear.Slope, 0.5001, 2e-4}, {"intercept", f.Linear.Intercept, 3.0001, 2e-4}, {"residual", f.Linear.ResidualStandardError, 1.237, 5e-4},
		{"R squared", *f.Linear.RSquared, 0.6665, 2e-4}, {"low", f.Linear.Low, 0.5001 - 2.2622*0.1179, 2e-3}, {"high", f.Linear.High, 0.5001 + 2.2622*0.1179, 2e-3},
	} {
		if !near(c.got, c.want, c.part) {
			t.Errorf("%s %v, published %v", c.name, c.got, c.want)
		}
	}
}

// Over drawn lines and noise. Noise from which its own line was taken out leaves the slope where it was: the fit gives it,
// its interval holds it, and the residual is the noise's. With the noise as drawn the slope lies within four times the
// interval's half: by Student's t at 6 degrees of freedom or more, missed by chance less than once in 10,000 draws.
func TestLinesAreRecovered(t *testing.T) {
	check(t, func(t *rapid.T) {
		n := rapid.IntRange(8, 40).Draw(t, "points")
		a, b := rapid.Float64Range(-1e4, 1e4).Draw(t, "intercept"), rapid.Float64Range(-50, 50).Draw(t, "slope")
		sigma, from := rapid.Float64Range(0.1, 500).Draw(t, "noise"), rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		x, noise := make([]float64, n), make([]float64, n)
		for i := range x {
			x[i], noise[i] = planned[i%len(planned)], sigma*from.NormFloat64()
		}
		taken, left := fitModel(x, noise), 0.0
		pure := make([]float64, n)
		for i := range x {
			pure[i] = noise[i] - taken.Intercept - taken.Slope*x[i]
			left += pure[i] * pure[i]
		}
		rows := func(noise []float64) (rows []Run) {
			for i := range x {
				rows = append(rows, Run{Values: map[string]float64{"workers": x[i], "y": a + b*x[i] + noise[i]}})
			}
			return rows
		}
		f := Fit(rows(pure), "workers", "y")
		if l := f.Linear; f.Observations != n || math.Abs(l.Slope-b) > 1e-7 || math.Abs(l.Intercept-a) > 1e-5 || l.Low > b || l.High < b || !near(l.ResidualStandardError, math.Sqrt(left/float64(n-2)), 1e-5) {
			t.Fatalf("%v + %v x with noise %v: %+v", a, b, sigma, l)
		}
		f = Fit(rows(noise), "workers", "y")
		if l := f.Linear; math.Abs(l.Slope-b) > 4*(l.High-l.Low)/2 {
			t.Fatalf("%v + %v x with noise %v: %+v", a, b, sigma, l)
		}
	})
}

// What units figure and size are in does not matter.
func TestUnits(t *testing.T) {
	check(t, func(t *rapid.T) {
		from := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		factor := rapid.Float64Range(0.001, 1000).Draw(t, "factor")
		rows := drawn(planned, 2, func(x float64) float64 { return 1000 + 3*x + 100*from.NormFloat64() })
		f := Fit(rows, "dispatchers", "y")
		for _, r := range rows {
			r.Values["y"] *= factor
		}
		g := Fit(rows, "dispatchers", "y")
		for _, c := range [][2]float64{{f.Linear.Slope, g.Linear.Slope}, {f.Linear.Low, g.Linear.Low}, {f.Linear.High, g.Linear.High}, {f.Linear.ResidualStandardError, g.Linear.ResidualStandardError},
			{f.Logarithmic.Slope, g.Logarithmic.Slope}, {f.Logarithmic.ResidualStandardError, g.Logarithmic.ResidualStandardError}} {
			if !near(c[0]*factor, c[1], 1e-6) {
				t.Fatalf("%v times %v gives %v", c[0], factor, c[1])
			}
		}
		if f.Verdict != g.Verdict {
			t.Fatalf("%s, and times %v %s", f.Verdict, factor, g.Verdict)
		}
	})
}

// Of 2,000 seeded draws at the sizes of the plan, on two seeds each, 95% of the intervals hold the slope: 93% to 97%, four
// standard deviations of the count either way. So does the logarithm's where the figure goes by it.
func TestCoverage(t *testing.T) {
	const draws, slope, perDoubling = 2000, 3.5, 400.0
	held, heldLog := 0, 0
	for seed := range uint64(draws) {
		from := rand.New(rand.NewPCG(seed, 1))
		if l := Fit(drawn(planned, 2, func(x float64) float64 { return 900 + slope*x + 300*from.NormFloat64() }), "dispatchers", "y").Linear; l.Low <= slope && slope <= l.High {
			held++
		}
		if l := Fit(drawn(planned, 2, func(x float64) float64 { return 900 + perDoubling*math.Log2(x) + 300*from.NormFloat64() }), "dispatchers", "y").Logarithmic; l.Low <= perDoubling && perDoubling <= l.High {
			heldLog++
		}
	}
	t.Logf("held in %d and %d of %d", held, heldLog, draws)
	for _, n := range []int{held, heldLog} {
		if n < 0.93*draws || n > 0.97*draws {
			t.Errorf("%d of %d intervals hold the slope", n, draws)
		}
	}
}

// Verdicts over 1,000 seeded draws at the sizes of the plan, on two seeds each, with noise of 5% of the figure. The
// bounds lie about four standard deviations of the count from what the draws gave; what is flat is not told so once in 20 by
// the interval's own measure.
func TestVerdicts(t *testing.T) {
	const draws = 1000
	for _, c := range []struct {
		name   string
		of     func(x float64) float64
		want   Verdict
		least  float64 // of the draws that say so
		never  []Verdict
		rarely float64 // of the draws, the most that say what should never be said
	}{
		{"flat", func(float64) float64 { return 3000 }, Flat, 0.93, []Verdict{Linear, Logarithmic}, 0.04},
		{"linear", func(x float64) float64 { return 1000 + 3*x }, Linear, 0.95, []Verdict{Flat, Logarithmic}, 0.002},
		{"logarithmic", func(x float64) float64 { return 300 * math.Log2(x) }, Logarithmic, 0.82, []Verdict{Flat, Linear}, 0.065},
		{"steep logarithm", func(x float64) float64 { return 1000*math.Log2(x) - 5000 }, Logarithmic, 0.95, []Verdict{Flat, Linear}, 0.002},
	} {
		said := map[Verdict]float64{}
		for seed := range uint64(draws) {
			from := rand.New(rand.NewPCG(seed, 2))
			said[Fit(drawn(planned, 2, func(x float64) float64 { return c.of(x) * (1 + 0.05*from.NormFloat64()) }), "dispatchers", "y").Verdict] += 1. / draws
		}
		t.Logf("%s: %v", c.name, said)
		wrong := 0.0
		for _, v := range c.never {
			wrong += said[v]
		}
		if said[c.want] < c.least || wrong > c.rarely {
			t.Errorf("%s: %v", c.name, said)
		}
	}
}

// Without noise the verdict is what the figure is, a constant leaves no dust, and what cannot be told is not.
func TestVerdictsWithoutNoise(t *testing.T) {
	for _, c := range []struct {
		name  string
		sizes []float64
		seeds int
		of    func(x float64) float64
		want  Verdict
		none  bool // that nothing is fitted
	}{
		{"constant", planned, 2, func(float64) float64 { return 0.1 }, Flat, false},
		{"line", planned, 1, func(x float64) float64 { return 7 + 0.3*x }, Linear, false},
		{"falling line", planned, 1, func(x float64) float64 { return 7 - 0.3*x }, Linear, false},
		{"logarithm", planned, 1, func(x float64) float64 { return 7 + 0.3*math.Log2(x) }, Logarithmic, false},
		{"from 0", []float64{0, 1, 2, 3}, 1, func(x float64) float64 { return 7 + 3*x }, Linear, false},
		{"two sizes", []float64{75, 300}, 3, func(x float64) float64 { return x }, Unclear, false},
		{"one size", []float64{300}, 9, func(x float64) float64 { return x }, Unclear, true},
		{"two points", []float64{75, 300}, 1, func(x float64) float64 { return x }, Unclear, true},
		{"no point", nil, 1, func(x float64) float64 { return x }, Unclear, true},
	} {
		f := Fit(drawn(c.sizes, c.seeds, c.of), "dispatchers", "y")
		if f.Verdict != c.want || (f.Linear == nil) != c.none || (f.Verdict == Unclear) != (f.Reason != "") && c.name != "from 0" {
			t.Errorf("%s: %+v", c.name, f)
		}
		if c.none && f.Logarithmic != nil {
			t.Errorf("%s: a number was invented", c.name)
		}
	}
	if f := Fit(drawn(planned, 2, func(float64) float64 { return 0.1 }), "dispatchers", "y"); *f.Linear != (Model{Intercept: 0.1}) {
		t.Errorf("a constant: %+v", f.Linear)
	}
	if f := Fit(drawn([]float64{0, 1, 2, 3}, 1, func(x float64) float64 { return x }), "dispatchers", "y"); f.Logarithmic != nil {
		t.Error("a logarithm of 0")
	}
}

// Runs that fell behind are left out and named; so are, without a name, those that lack a number.
func TestFellBehindIsLeftOut(t *testing.T) {
	rows := drawn(planned, 1, func(x float64) float64 { return 2 * x })
	without := Fit(rows, "dispatchers", "y")
	rows = append(rows, Run{Source: "x/result.json", FellBehind: true, Values: map[string]float64{"dispatchers": 1200, "seed": 4, "y": 1e6}},
		Run{Values: map[string]float64{"dispatchers": 1200}}, Run{Values: map[string]float64{"y": 12}})
	with := Fit(rows, "dispatchers", "y")
	if with.Observations != 5 || *with.Linear.RSquared != *without.Linear.RSquared || with.Linear.Slope != without.Linear.Slope {
		t.Errorf("%+v, without %+v", with, without)
	}
	if len(with.Excluded) != 1 || with.Excluded[0] != "x/result.json (dispatchers 1200, seed 4)" {
		t.Errorf("left out: %q", with.Excluded)
	}
}
