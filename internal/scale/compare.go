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

// agreeWithin is how far hollow dispatchers may be from real ones in bytes, messages and CPU.
const agreementTolerance = 0.15

// Compared gives a file's size with all dispatchers real, and with all hollow; who has a seat is real in both. Bare ones of the
// same kind stand beside them in either, for what control costs by difference.
func (f *File) ComparisonPlans(seed uint64, processes int) (real, hollow Plan, err error) {
	wrong := func(attribute, format string, a ...any) {
		err = errors.Join(err, fmt.Errorf("%s: "+format, append([]any{attribute}, a...)...))
	}
	if f.SetAside < f.Voters {
		wrong("set_aside", "There must be a machine for each seat: no dispatcher that is compared has one.")
	}
	if f.Bare < 1 {
		wrong("bare", "There must be 1 at least, for what control costs by difference.")
	}
	one, other := *f, *f
	one.Hollow, one.Processes = 0, 0
	other.Hollow, other.Bare = f.Dispatchers, 0
	if processes > 0 {
		other.Processes = processes
	}
	real, _ = one.plan(nil)
	hollow, _ = other.plan(nil)
	real.Seed, hollow.Seed = seed, seed
	hollow.HollowBare = (hollow.Hollow + hollow.Processes - 1) / max(hollow.Processes, 1) // as many as a process holds
	real.check(wrong)
	hollow.check(wrong)
	return real, hollow, err
}

// Figure is one of real dispatchers and of hollow ones, round by round, a dispatcher.
type Figure struct {
	Name       string    `json:"name"`
	Unit       string    `json:"unit"`
	Real       []float64 `json:"real"`
	Hollow     []float64 `json:"hollow"`
	RealMean   float64   `json:"real_mean"`
	HollowMean float64   `json:"hollow_mean"`
	Ratio      float64   `json:"ratio"`  // of hollow ones to real ones
	Judged     bool      `json:"judged"` // kinds are not
	Agrees     bool      `json:"agrees"`
}

// Comparison sets hollow dispatchers beside real ones, in runs that alternate.
type Comparison struct {
	Title       string    `json:"title"`
	Commit      string    `json:"commit"`
	Command     string    `json:"command"`
	Seed        uint64    `json:"seed"`
	At          time.Time `json:"at"`
	SpanS       float64   `json:"span_s"`
	Dispatchers int       `json:"dispatchers"`
	Processes   int       `json:"processes"` // that held the hollow ones
	Workers     int       `json:"workers"`
	Zones       int       `json:"zones"`
	Rounds      int       `json:"rounds"`
	Within      float64   `json:"within"`
	Agrees      bool      `json:"agrees"`
	Figures     []Figure  `json:"figures"`
}

// Compare draws runs together: as many with real dispatchers as with hollow ones.
func Compare(real, hollow []*Result) *Comparison {
	first, other := real[0], hollow[0]
	c := &Comparison{Title: first.Title, Seed: first.Seed, At: first.At, SpanS: first.SpanS, Dispatchers: first.Dispatchers, Processes: other.Processes,
		Workers: first.Workers, Zones: first.Zones, Rounds: len(real), Within: agreementTolerance, Agrees: true}
	add := func(name, unit string, judged bool, of func(*Result) float64) {
		x := Figure{Name: name, Unit: unit, Judged: judged}
		for i := range real {
			x.Real, x.Hollow = append(x.Real, of(real[i])), append(x.Hollow, of(hollow[i]))
		}
		if !judged && !slices.ContainsFunc(slices.Concat(x.Real, x.Hollow), func(n float64) bool { return n != 0 }) {
			return // reports and budgets go within other messages
		}
		if x.RealMean, x.HollowMean = mean(x.Real), mean(x.Hollow); x.RealMean != 0 {
			x.Ratio = x.HollowMean / x.RealMean
		}
		x.Agrees = math.Abs(x.Ratio-1) <= agreementTolerance
		c.Agrees = c.Agrees && (x.Agrees || !judged)
		c.Figures = append(c.Figures, x)
	}
	add("all", "B/s", true, func(r *Result) float64 { return r.BytesMean })
	add("all", "messages/s", true, func(r *Result) float64 { return r.Messages })
	add("control", "CPU ms/s", true, func(r *Result) float64 {
		if r.Hollow > 0 {
			return r.HollowCPU - r.HollowBareCPU
		}
		return r.CPU
	})
	kinds := map[string]bool{}
	for _, r := range slices.Concat(real, hollow) {
		for kind := range r.BytesByKind {
			kinds[kind] = true
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		add(kind, "B/s", false, func(r *Result) float64 { return r.BytesByKind[kind] })
		add(kind, "messages/s", false, func(r *Result) float64 { return r.MessagesByKind[kind] })
	}
	return c
}

// Write writes the figures as a table.
func (c *Comparison) Write(to io.Writer) error {
	fmt.Fprintf(to, "%d dispatchers, real and hollow ones in %d processes; %d workers, %d zones, %d rounds of %.0f s\n",
		c.Dispatchers, c.Processes, c.Workers, c.Zones, c.Rounds, c.SpanS)
	w := tabwriter.NewWriter(to, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "a dispatcher\t\treal\thollow\tratio\trounds, real\thollow\t")
	for _, x := range c.Figures {
		verdict := ""
		if x.Judged && !x.Agrees {
			verdict = " !"
		}
		fmt.Fprintf(w, "%s\t%s\t%.2f\t%.2f\t%.3f%s\t%s\t%s\t\n", x.Name, x.Unit, x.RealMean, x.HollowMean, x.Ratio, verdict, formatFigures(x.Real), formatFigures(x.Hollow))
	}
	return w.Flush()
}

func formatFigures(all []float64) string {
	var texts []string
	for _, x := range all {
		texts = append(texts, fmt.Sprintf("%.2f", x))
	}
	return strings.Join(texts, " ")
}

// Err names what does not agree.
func (c *Comparison) Err() error {
	var errs []error
	for _, x := range c.Figures {
		if x.Judged && !x.Agrees {
			errs = append(errs, fmt.Errorf("%s, %s: hollow ones have %.3f of real ones', which is not within %.0f%%", x.Name, x.Unit, x.Ratio, 100*c.Within))
		}
	}
	return errors.Join(errs...)
}
