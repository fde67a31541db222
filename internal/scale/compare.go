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

// agreementTolerance is the share by which hollow dispatchers may differ from real ones in bytes, messages and processor time.
const agreementTolerance = 0.15

// ComparisonPlans returns a file's plan with all serving dispatchers real, and with all of them hollow. Voters are real in both. The
// baseline dispatchers are real in the first and hollow in the second. If the parameter processes is above 0, it replaces the file's number
// of processes. The error lists all mistakes by attribute.
func (f *File) ComparisonPlans(seed uint64, processes int) (real, hollow Plan, err error) {
	report := func(attribute, format string, args ...any) {
		err = errors.Join(err, attributeError(attribute, format, args...))
	}
	if f.Dedicated < f.Voters {
		report("set_aside", "It must not be less than seats: the compared dispatchers must not be voters.")
	}
	if f.Baseline < 1 {
		report("bare", "It must be 1 or more: the cost of control is the difference to these dispatchers.")
	}
	realFile, hollowFile := *f, *f
	realFile.Hollow, realFile.Processes = 0, 0
	hollowFile.Hollow, hollowFile.Baseline = f.Dispatchers, 0
	if processes > 0 {
		hollowFile.Processes = processes
	}
	real, hollow = realFile.seededPlan(seed), hollowFile.seededPlan(seed)
	hollow.HollowBaseline = (hollow.Hollow + hollow.Processes - 1) / max(hollow.Processes, 1) // as many as the other hollow processes run
	real.check(report)
	hollow.check(report)
	return real, hollow, err
}

// Figure compares one figure of real and of hollow dispatchers.
type Figure struct {
	Name       string    `json:"name"`
	Unit       string    `json:"unit"`
	Real       []float64 `json:"real"`   // one for each round
	Hollow     []float64 `json:"hollow"` // one for each round
	RealMean   float64   `json:"real_mean"`
	HollowMean float64   `json:"hollow_mean"`
	Ratio      float64   `json:"ratio"`  // of HollowMean to RealMean
	MustAgree  bool      `json:"judged"` // false for figures of a single kind of control message
	Agrees     bool      `json:"agrees"`
}

// Comparison compares hollow dispatchers with real ones, over alternating runs.
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
	Tolerance   float64   `json:"within"` // the tolerance, as a share of the real figure
	Agrees      bool      `json:"agrees"` // all figures that must agree do
	Figures     []Figure  `json:"figures"`
}

// Compare compares runs with real dispatchers and the same number of runs with hollow ones, at least one of each.
func Compare(real, hollow []*Result) *Comparison {
	first := real[0]
	comparison := &Comparison{
		Title: first.Title, Seed: first.Seed, At: first.At, SpanS: first.SpanS, Dispatchers: first.Dispatchers, Processes: hollow[0].Processes,
		Workers: first.Workers, Zones: first.Zones, Rounds: len(real), Tolerance: agreementTolerance, Agrees: true,
	}
	comparison.addRequired(newFigure("all", "B/s", real, hollow, func(r *Result) float64 { return r.BytesMean }))
	comparison.addRequired(newFigure("all", "messages/s", real, hollow, func(r *Result) float64 { return r.Messages }))
	comparison.addRequired(newFigure("control", "CPU ms/s", real, hollow, controlCPU))
	kinds := map[string]bool{}
	for _, result := range slices.Concat(real, hollow) {
		for kind := range result.BytesByKind {
			kinds[kind] = true
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		comparison.addInformational(newFigure(kind, "B/s", real, hollow, func(r *Result) float64 { return r.BytesByKind[kind] }))
		comparison.addInformational(newFigure(kind, "messages/s", real, hollow, func(r *Result) float64 { return r.MessagesByKind[kind] }))
	}
	return comparison
}

// controlCPU returns the processor time that control costs a dispatcher, in ms/s: the difference to a baseline dispatcher.
func controlCPU(r *Result) float64 {
	if r.Hollow > 0 {
		return r.HollowCPU - r.HollowBaselineCPU
	}
	return r.CPU
}

// newFigure compares a figure of real and of hollow runs.
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

// addRequired adds a figure that must agree.
func (c *Comparison) addRequired(figure Figure) {
	figure.MustAgree = true
	c.Agrees = c.Agrees && figure.Agrees
	c.Figures = append(c.Figures, figure)
}

// addInformational adds a figure that need not agree, unless it is 0 in all runs: some figures of reports and budgets are always 0, because
// these are sent within other messages.
func (c *Comparison) addInformational(figure Figure) {
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

// formatFigures returns the figures separated by spaces.
func formatFigures(figures []float64) string {
	var texts []string
	for _, figure := range figures {
		texts = append(texts, fmt.Sprintf("%.2f", figure))
	}
	return strings.Join(texts, " ")
}

// Err returns an error that names the figures that must agree but do not. It is nil if all agree.
func (c *Comparison) Err() error {
	var errs []error
	for _, figure := range c.Figures {
		if figure.MustAgree && !figure.Agrees {
			errs = append(errs, fmt.Errorf("%s, %s: the ratio of hollow to real dispatchers is %.3f, expected within %.0f%% of 1", figure.Name, figure.Unit, figure.Ratio, 100*c.Tolerance))
		}
	}
	return errors.Join(errs...)
}
