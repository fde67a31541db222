package soak

import (
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"brassdale/internal/hcldiag"
	"brassdale/internal/inject"
)

// File is a scenario of a soak as an operator writes it. Ranges are [least, most].
type File struct {
	Title       string   `hcl:"title"`
	Dispatchers []int    `hcl:"dispatchers"`
	Workers     []int    `hcl:"workers"`
	Span        string   `hcl:"span"`
	Every       string   `hcl:"every"` // between events, on average
	Rate        float64  `hcl:"rate"`  // requests a second at each dispatcher
	Events      []string `hcl:"events,optional"`
	Failures    []string `hcl:"failures,optional"` // rules for system calls, of which a third of the runs has one
}

// Load reads and checks a scenario. An error names all faults with file, line and column.
func Load(path string) (*File, error) { return hcldiag.Read(path, Parse) }

// Parse reads the text of one.
func Parse(text []byte, path string) (*File, error) {
	f := &File{}
	if err := hcldiag.Decode(text, path, f, f.check); err != nil {
		return nil, err
	}
	return f, nil
}

func (f *File) check(body *hclsyntax.Body) (diags hcl.Diagnostics) {
	bad := func(attribute, format string, a ...any) {
		diags = append(diags, hcldiag.At(hcldiag.Place(body, attribute), "Bad "+attribute, format, a...))
	}
	for name, r := range map[string][]int{"dispatchers": f.Dispatchers, "workers": f.Workers} {
		if len(r) != 2 || r[0] < 1 || r[1] < r[0] || r[1] > 16 {
			bad(name, "It is [least, most], from 1 to 16.")
		}
	}
	if span, err := time.ParseDuration(f.Span); err != nil || span < quietStart+quietEnd+time.Second || span > time.Hour {
		bad("span", "It is a time of %v to an hour.", quietStart+quietEnd+time.Second)
	}
	if every, err := time.ParseDuration(f.Every); err != nil || every < 50*time.Millisecond {
		bad("every", "It is a time of 50ms or more.")
	}
	if !(f.Rate > 0) || f.Rate > 1000 {
		bad("rate", "It is over 0 and 1000 at the most.")
	}
	for _, e := range f.Events {
		if !slices.Contains(Kinds, Kind(e)) {
			bad("events", "There are no events %q.", e)
		}
	}
	for _, rules := range f.Failures {
		if _, err := inject.ParseRules(rules); err != nil {
			bad("failures", "%v.", err)
		}
	}
	return diags
}

func (f *File) span() time.Duration  { d, _ := time.ParseDuration(f.Span); return d }
func (f *File) every() time.Duration { d, _ := time.ParseDuration(f.Every); return d }

func (f *File) kinds() []Kind {
	if len(f.Events) == 0 {
		return Kinds
	}
	kinds := make([]Kind, len(f.Events))
	for i, e := range f.Events {
		kinds[i] = Kind(e)
	}
	return kinds
}
