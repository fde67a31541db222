package scale

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// agreementTolerance is by how much hollow dispatchers may differ from real ones in bytes, messages and processor time.
const agreementTolerance = 0.15

// ComparisonPlans returns a file's plan with all dispatchers real, and with all of them hollow; voters are real in both. Both have bare ones of
// the same sort. processes above 0 replaces what the file says. The error has all mistakes, as attributes.
func (f *File) ComparisonPlans(seed uint64, processes int) (real, hollow Plan, err error) {
	report := func(attribute, format string, args ...any) {
		err = errors.Join(err, attributeError(attribute, format, args...))
	}
	if f.Dedicated < f.Voters {
		report("set_aside", "There must be a machine for each seat: no dispatcher that is compared has one.")
	}
	if f.Baseline < 1 {
		report("bare", "There must be 1 at least, for what control costs by difference.")
	}
	realFile, hollowFile := *f, *f
	realFile.Hollow, realFile.Processes = 0, 0
	hollowFile.Hollow, hollowFile.Baseline = f.Dispatchers, 0
	if processes > 0 {
		hollowFile.Processes = processes
	}
	real, hollow = realFile.seededPlan(seed), hollowFile.seededPlan(seed)
	hollow.HollowBaseline = (hollow.Hollow + hollow.Processes - 1) / max(hollow.Processes, 1) // as many as a process has of the others
	real.check(report)
	hollow.check(report)
	return real, hollow, err
}

// Figure is a figure of a real and of a hollow dispatcher.
type Figure struct {
	Name       string    `json:"name"`
	Unit       string    `json:"unit"`
	Real       []float64 `json:"real"`   // of each round
	Hollow     []float64 `json:"hollow"` // of each round
	RealMean   float64   `json:"real_mean"`
	HollowMean float64   `json:"hollow_mean"`
	Ratio      float64   `json:"ratio"`  // of HollowMean to RealMean
	MustAgree  bool      `json:"judged"` // it must agree; figures of a single kind of control need not
	Agrees     bool      `json:"agrees"`
}

// Comparison compares hollow dispatchers with real ones, in runs that alternate.
type Comparison struct {
	Title       string    `json:"title"`
	Commit      string    `json:"commit"`
	Command     string    `json:"command"`
	Seed        uint64    `json:"seed"`
	At          time.Time `json:"at"`
	SpanS       float64   `json:"span_s"`
	Dispatchers int       `json:"dispatchers"`
	Processes   int       `json:"processes"` // of the hollow dispatchers
	Workers     int       `json:"workers"`
	Zones       int       `json:"zones"`
	Rounds      int       `json:"rounds"`
	Tolerance   float64   `json:"within"` // the tolerance
	Agrees      bool      `json:"agrees"` // all judged figures do
	Figures     []Figure  `json:"figures"`
}

// Compare compares runs with real dispatchers and as many runs with hollow ones. There is one of each at least.
func Compare(real, hollow []*Result) *Comparison {
	first := real[0]
	comparison := &Comparison{
		Title: first.Title, Seed: first.Seed, At: first.At, SpanS: first.SpanS, Dispatchers: first.Dispatchers, Processes: hollow[0].Processes,
		Workers: first.Workers, Zones: first.Zones, Rounds: len(real), Tolerance: agreementTolerance, Agrees: true,
	}
	comparison.addJudged(newFigure("all", "B/s", real, hollow, func(r *Result) float64 { return r.BytesMean }))
	comparison.addJudged(newFigure("all", "messages/s", real, hollow, func(r *Result) float64 { return r.Messages }))
	comparison.addJudged(newFigure("control", "CPU ms/s", real, hollow, controlCPU))
	kinds := map[string]bool{}
	for _, result := range slices.Concat(real, hollow) {
		for kind := range result.BytesByKind {
			kinds[kind] = true
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		comparison.addUnjudged(newFigure(kind, "B/s", real, hollow, func(r *Result) float64 { return r.BytesByKind[kind] }))
		comparison.addUnjudged(newFigure(kind, "messages/s", real, hollow, func(r *Result) float64 { return r.MessagesByKind[kind] }))
	}
	return comparison
}

// controlCPU returns the processor time that control costs a dispatcher: the difference to a bare one.
func controlCPU(r *Result) float64 {
	if r.Hollow > 0 {
		return r.HollowCPU - r.HollowBaselineCPU
	}
	return r.CPU
}

// newFigure returns a figure of runs.
func newFigure(name, unit string, real, hollow []*Result, of func(*Result) float64) Figure {
	figure := Figure{Name: name, Unit: unit}
	for i := range real {
		figure.Real, figure.Hollow = append(figure.Real, of(real[i])), append(figure.Hollow, of(hollow[i]))
	}
	figure.RealMean, figure.HollowMean = mean(figure.Real), mean(figure.Hollow)
	if figure.RealMean != 0 {
		figure.Ratio = figure.HollowMean / figure.RealMean
	}
	figure.Agrees = math.Abs(figure.Ratio-1) <= agreementTolerance
	return figure
}

// addJudged adds a figure that must agree.
func (c *Comparison) addJudged(figure Figure) {
	figure.MustAgree = true
	c.Agrees = c.Agrees && figure.Agrees
	c.Figures = append(c.Figures, figure)
}

// addUnjudged adds a figure that need not agree, unless it is 0 in all runs: reports and budgets are parts of other messages.
func (c *Comparison) addUnjudged(figure Figure) {
	if slices.ContainsFunc(slices.Concat(figure.Real, figure.Hollow), func(value float64) bool { return value != 0 }) {
		c.Figures = append(c.Figures, figure)
	}
}

// Write writes the figures as a table.
func (c *Comparison) Write(to io.Writer) error {
	fmt.Fprintf(to, "%d dispatchers, real and hollow ones in %d processes; %d workers, %d zones, %d rounds of %.0f s\n",
		c.Dispatchers, c.Processes, c.Workers, c.Zones, c.Rounds, c.SpanS)
	table := tabwriter.NewWriter(to, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "a dispatcher\t\treal\thollow\tratio\trounds, real\thollow\t")
	for _, figure := range c.Figures {
		verdict := ""
		if figure.MustAgree && !figure.Agrees {
			verdict = " !"
		}
		fmt.Fprintf(table, "%s\t%s\t%.2f\t%.2f\t%.3f%s\t%s\t%s\t\n",
			figure.Name, figure.Unit, figure.RealMean, figure.HollowMean, figure.Ratio, verdict, formatFigures(figure.Real), formatFigures(figure.Hollow))
	}
	return table.Flush()
}

// formatFigures returns figures in a row.
func formatFigures(figures []float64) string {
	var texts []string
	for _, figure := range figures {
		texts = append(texts, fmt.Sprintf("%.2f", figure))
	}
	return strings.Join(texts, " ")
}

// Err returns an error that names the judged figures that do not agree; nil if all do.
func (c *Comparison) Err() error {
	var errs []error
	for _, figure := range c.Figures {
		if figure.MustAgree && !figure.Agrees {
			errs = append(errs, fmt.Errorf("%s, %s: hollow ones have %.3f of real ones', which is not within %.0f%%", figure.Name, figure.Unit, figure.Ratio, 100*c.Tolerance))
		}
	}
	return errors.Join(errs...)
}
