// Package scale plays fleets of a size that one machine cannot hold as real dispatchers, and measures what control costs: a
// few are real, the others hollow, which is the same agent on real loopback sockets with jobs and endpoints left out. Time is
// packed: a day's changes come within minutes. Everything stays on loopback.
package scale

import (
	"fmt"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"brassdale/internal/fleet"
	"brassdale/internal/hcldiag"
)

// File is a fleet's size as an operator writes it, or several.
type File struct {
	Title         string  `hcl:"title"`
	Settle        string  `hcl:"settle,optional"` // behind the start, before anything is measured
	Span          string  `hcl:"span"`            // that is measured
	Rest          string  `hcl:"rest,optional"`   // of it, at its begin, without changes
	LeaseDuration string  `hcl:"bound,optional"`
	ReplaceAfter  string  `hcl:"replace,optional"` // a seat that is silent for so long is given away
	Regions       int     `hcl:"regions"`
	Zones         int     `hcl:"zones"`
	Workers       int     `hcl:"workers"`
	Accelerators  int     `hcl:"accelerators,optional"` // among the workers, a slot for each; left out: one each
	Teams         int     `hcl:"teams,optional"`
	Dispatchers   int     `hcl:"dispatchers"` // that serve jobs
	Voters        int     `hcl:"seats"`
	SetAside      int     `hcl:"set_aside,optional"` // machines beside them for control alone: the first seats are there
	Hollow        int     `hcl:"hollow,optional"`    // of the dispatchers
	Processes     int     `hcl:"processes,optional"` // that hold the hollow ones; left out: one for each zone
	Bare          int     `hcl:"bare,optional"`      // real dispatchers beside them that agree on nothing
	Rate          float64 `hcl:"rate,optional"`      // jobs a second of all dispatchers; real and bare ones get their part

	Seeds int `hcl:"seeds,optional"` // that each run is played with; left out: one

	Changes *changesBlock `hcl:"changes,block"`
	Faults  []faultBlock  `hcl:"fault,block"`
	Slopes  []slopeBlock  `hcl:"slope,block"`
}

// ChangesFile is what changes, and how often.
type changesBlock struct {
	Every    string  `hcl:"every"`             // a proposal of rules
	PerDay   float64 `hcl:"a_day"`             // that the plan has: what Every is beside it is the packing
	Restarts string  `hcl:"restarts,optional"` // a worker starts anew so often
	Drains   string  `hcl:"drains,optional"`   // a worker leaves for good so often
}

// Plan is one size, and what is done with it.
type Plan struct {
	Title                                          string
	Seed                                           uint64
	Settle, Span, Rest                             time.Duration
	LeaseDuration, ReplaceAfter                    time.Duration
	Regions, Zones, Workers, Accelerators          int
	Teams, Dispatchers, Voters, SetAside           int
	Hollow, Processes, Bare                        int
	Rate                                           float64
	ChangeInterval, RestartInterval, DrainInterval time.Duration // 0 for never
	ChangesPerDay                                  float64
	Fault                                          *Fault // nil for none

	// Unprobed has real dispatchers probe no worker: a run without jobs then has nothing on the interface that is not counted,
	// as probes and jobs are no part of control and go over connections of their own.
	SkipWorkerProbes bool
	// HollowBare are hollow dispatchers beside the others, in a process of their own, that agree on nothing.
	HollowBare int
	// Linked has calls to other regions' seats go over links that cut nothing, and what they carry counted.
	CountLinks bool
}

// Real are the real dispatchers that serve jobs, and have their part in the fleet.
func (p *Plan) Real() int { return p.Dispatchers - p.Hollow }

// Packing is how much faster changes come than on a day of the plan.
func (p *Plan) Packing() float64 {
	if p.ChangeInterval == 0 || p.ChangesPerDay == 0 {
		return 0
	}
	return (24 * time.Hour).Seconds() / p.ChangeInterval.Seconds() / p.ChangesPerDay
}

// Load reads and checks a file. An error names all faults with file, line and column.
func Load(path string) (*File, error) { return hcldiag.Read(path, Parse) }

// Parse reads the text of one.
func Parse(text []byte, path string) (*File, error) {
	s := fleet.Default()
	f := &File{Settle: "20s", LeaseDuration: s.LeaseDuration, ReplaceAfter: s.ReplaceAfter}
	err := hcldiag.Decode(text, path, f, func(body *hclsyntax.Body) hcl.Diagnostics { _, diags := f.plan(body); return diags })
	if err != nil {
		return nil, err
	}
	return f, nil
}

// plan gives the file's size; diags are told of where there is a body.
func (f *File) plan(body *hclsyntax.Body) (p Plan, diags hcl.Diagnostics) {
	bad := func(attribute, format string, a ...any) {
		if body == nil {
			return
		}
		at := body
		for _, b := range body.Blocks {
			if b.Type == "changes" && b.Body.Attributes[attribute] != nil {
				at = b.Body
			}
		}
		diags = append(diags, hcldiag.At(hcldiag.Place(at, attribute), "Bad "+attribute, format, a...))
	}
	p = Plan{Title: f.Title, Regions: f.Regions, Zones: f.Zones, Workers: f.Workers, Accelerators: f.Accelerators, Teams: f.Teams,
		Dispatchers: f.Dispatchers, Voters: f.Voters, SetAside: f.SetAside, Hollow: f.Hollow, Processes: f.Processes, Bare: f.Bare, Rate: f.Rate}
	if p.Accelerators == 0 {
		p.Accelerators = p.Workers
	}
	if p.Processes == 0 && p.Hollow > 0 {
		p.Processes = p.Zones
	}
	span := func(to *time.Duration, attribute, text string, optional bool) {
		if text == "" && optional {
			return
		}
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			bad(attribute, "%q is no duration above 0.", text)
		}
		*to = d
	}
	span(&p.Settle, "settle", f.Settle, false)
	span(&p.Span, "span", f.Span, false)
	span(&p.Rest, "rest", f.Rest, true)
	span(&p.LeaseDuration, "bound", f.LeaseDuration, false)
	span(&p.ReplaceAfter, "replace", f.ReplaceAfter, false)
	if c := f.Changes; c != nil {
		p.ChangesPerDay = c.PerDay
		span(&p.ChangeInterval, "every", c.Every, false)
		span(&p.RestartInterval, "restarts", c.Restarts, true)
		span(&p.DrainInterval, "drains", c.Drains, true)
		if !(c.PerDay > 0) {
			bad("a_day", "It must be above 0.")
		}
	}
	if f.Seeds < 0 {
		bad("seeds", "There must be 1 at least.")
	}
	if body != nil {
		p.check(bad)
		diags = append(diags, f.checkRuns(&p, hcldiag.Blocks(body))...)
	}
	return p, diags
}

// checkRuns tells what is wrong with the file's faults and slopes.
func (f *File) checkRuns(p *Plan, blocks map[string][]*hclsyntax.Block) (diags hcl.Diagnostics) {
	bad := func(b *hclsyntax.Block, attribute, format string, a ...any) {
		diags = append(diags, hcldiag.At(blockPlace(b, attribute), "Bad "+attribute, format, a...))
	}
	all := f.faults(func(n int, attribute, format string, a ...any) { bad(blocks["fault"][n], attribute, format, a...) })
	for n, x := range all {
		x.check(p, func(attribute, format string, a ...any) { bad(blocks["fault"][n], attribute, format, a...) })
	}
	for n, s := range f.Slopes {
		b := blocks["slope"][n]
		if len(s.Sizes) == 0 {
			bad(b, "of", "It must name sizes.")
		}
		for _, size := range s.Sizes {
			g, ok := f.resized(s.By, size)
			if !ok {
				bad(b, "of", "%d %s: it must be above 0, and by dispatchers, workers, zones or changes, which need the block changes.", size, s.By)
				break
			}
			q, _ := g.plan(nil)
			q.check(func(attribute, format string, a ...any) {
				bad(b, "of", "%d %s, %s: %s", size, s.By, attribute, fmt.Sprintf(format, a...))
			})
		}
	}
	return diags
}

// maxListeners is how many real dispatchers a machine's ports and descriptors hold, by workers: each has a listener for each.
func maxListeners(workers int) int { return 12_000 / max(workers, 1) }

// check tells what does not go together.
func (p *Plan) check(say func(attribute, format string, a ...any)) {
	if p.LeaseDuration > 0 && p.LeaseDuration < fleet.MinLease {
		say("bound", "It must be %v at least.", fleet.MinLease)
	}
	if p.ReplaceAfter > 0 && p.ReplaceAfter < fleet.MinReplaceAfter {
		say("replace", "It must be %v at least.", fleet.MinReplaceAfter)
	}
	if p.Regions < 1 || p.Regions > p.Zones {
		say("regions", "There must be 1 at least, and no more than zones.")
	}
	if p.Workers < p.Zones || p.Workers < 1 {
		say("workers", "There must be one for each zone.")
	}
	if p.Accelerators < p.Workers {
		say("accelerators", "There must be one for each worker.")
	}
	if p.Voters != 1 && p.Voters != 3 && p.Voters != 5 {
		say("seats", "There must be 1, 3 or 5.")
	}
	if p.SetAside < 0 || p.Voters > p.SetAside+p.Real() {
		say("set_aside", "Seats need machines set aside, or real dispatchers.")
	}
	if p.Hollow < 0 || p.Hollow > p.Dispatchers {
		say("hollow", "There must be no more than dispatchers.")
	}
	if p.Hollow > 0 && (p.Processes < min(p.Zones, p.Hollow) || p.Processes > p.Hollow) {
		say("processes", "There must be one for each zone at least, and no more than hollow dispatchers.")
	}
	if n := p.listeners(); n > maxListeners(p.Workers) {
		say("dispatchers", "%d real ones are too many with %d workers, at most %d: more must be hollow.", n-1, p.Workers, maxListeners(p.Workers)-1)
	}
	if p.Rest > 0 && p.Rest >= p.Span {
		say("rest", "It must be shorter than the span.")
	}
	if p.Teams < 0 {
		say("teams", "There must be 0 at least.")
	}
	if p.Bare < 0 {
		say("bare", "There must be 0 at least.")
	}
	if p.Rate < 0 {
		say("rate", "It must be 0 at least.")
	}
	if p.Fault != nil {
		p.Fault.check(p, say)
	}
}

// listeners are the works' ends for real dispatchers, and the last for all hollow ones.
func (p *Plan) listeners() int { return p.SetAside + p.Real() + p.Bare + 1 }
