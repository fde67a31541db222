package faults

import (
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"brassdale/internal/diag"
)

// File is a scenario of a fleet as an operator writes it.
type File struct {
	Title     string   `hcl:"title"`
	Processes int      `hcl:"processes"`
	Voters    int      `hcl:"voters"`
	Bound     string   `hcl:"bound"`
	Span      string   `hcl:"span"`
	Every     string   `hcl:"every"`   // between faults, on average
	Longest   string   `hcl:"longest"` // fault
	Rate      float64  `hcl:"rate"`    // jobs a second
	Proposals string   `hcl:"proposals"`
	Faults    []string `hcl:"faults,optional"` // kinds; all where left out
}

// Load reads and checks a scenario. An error names all faults with file, line and column.
func Load(path string) (*File, error) { return diag.Read(path, Parse) }

// Parse reads the text of one.
func Parse(text []byte, path string) (*File, error) {
	f := &File{}
	if err := diag.Decode(text, path, f, func(body *hclsyntax.Body) hcl.Diagnostics { _, diags := f.plan(body); return diags }); err != nil {
		return nil, err
	}
	return f, nil
}

// Plan gives it for a seed and, above 0, another number of processes.
func (f *File) Plan(seed uint64, processes int) Plan {
	p, _ := f.plan(nil)
	if p.Seed = seed; processes > 0 {
		p.Processes = processes
		p.Voters = min(p.Voters, processes-1+processes%2)
	}
	return p
}

func (f *File) plan(body *hclsyntax.Body) (p Plan, diags hcl.Diagnostics) {
	bad := func(attribute, format string, a ...any) {
		if body != nil {
			diags = append(diags, diag.At(diag.Place(body, attribute), "Bad "+attribute, format, a...))
		}
	}
	p = Plan{Processes: f.Processes, Voters: f.Voters, Rate: f.Rate}
	for _, d := range []struct {
		to         *time.Duration
		name, text string
	}{{&p.Bound, "bound", f.Bound}, {&p.Span, "span", f.Span}, {&p.Every, "every", f.Every}, {&p.Longest, "longest", f.Longest}, {&p.Proposals, "proposals", f.Proposals}} {
		span, err := time.ParseDuration(d.text)
		if err != nil || span <= 0 {
			bad(d.name, "%q is no duration above 0.", d.text)
		}
		*d.to = span
	}
	if f.Voters != 1 && f.Voters != 3 && f.Voters != 5 || f.Voters > f.Processes {
		bad("voters", "There must be 1, 3 or 5, and no more than processes.")
	}
	if f.Rate <= 0 {
		bad("rate", "It must be above 0.")
	}
	p.Kinds = Kinds()
	if len(f.Faults) > 0 {
		p.Kinds = nil
	}
	for _, k := range f.Faults {
		if !slices.Contains(Kinds(), Kind(k)) {
			bad("faults", "There is no kind %q; there are %v.", k, Kinds())
		}
		p.Kinds = append(p.Kinds, Kind(k))
	}
	return p, diags
}
