package soak

import (
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"brassdale/internal/hcldiag"
	"brassdale/internal/inject"
)

// File is the content of a scenario's HCL file. Ranges are [minimum, maximum].
type File struct {
	Title       string    `hcl:"title"`
	Dispatchers []int     `hcl:"dispatchers"`
	Workers     []int     `hcl:"workers"`
	Span        string    `hcl:"span"`
	Every       string    `hcl:"every"` // mean time between events
	Rate        float64   `hcl:"rate"`  // requests a second at each dispatcher
	Events      []string  `hcl:"events,optional"`
	LateWeights []float64 `hcl:"late_weights,optional"` // of the class; each run uses one of them
	Failures    []string  `hcl:"failures,optional"`     // rules for internal/inject; a third of the runs uses one of them
	HTTP2       bool      `hcl:"http2,optional"`        // dispatchers have an HTTP/2 frontend, and clients use it too
	Sockets     int       `hcl:"sockets,optional"`      // descriptors that a dispatcher may have; defaultSockets if left out
}

// Load reads and checks a scenario file. An error is a hcldiag.FileError, which has every mistake with file, line and column.
func Load(path string) (*File, error) { return hcldiag.Read(path, Parse) }

// Parse reads and checks the text of a scenario. path is its name in errors.
func Parse(text []byte, path string) (*File, error) {
	f := &File{}
	if err := hcldiag.Decode(text, path, f, f.check); err != nil {
		return nil, err
	}
	return f, nil
}

// check returns the mistakes that the HCL decoder does not find.
func (f *File) check(body *hclsyntax.Body) (diags hcl.Diagnostics) {
	addMistake := func(attribute, format string, a ...any) {
		diags = append(diags, hcldiag.At(hcldiag.Place(body, attribute), "Bad "+attribute, format, a...))
	}
	for name, limits := range map[string][]int{"dispatchers": f.Dispatchers, "workers": f.Workers} {
		if len(limits) != 2 || limits[0] < 1 || limits[1] < limits[0] || limits[1] > 16 {
			addMistake(name, "Expected [minimum, maximum], with values from 1 to 16.")
		}
	}
	if span, err := time.ParseDuration(f.Span); err != nil || span < quietStart+quietEnd+time.Second || span > time.Hour {
		addMistake("span", "Expected a duration from %v to 1h.", quietStart+quietEnd+time.Second)
	}
	if every, err := time.ParseDuration(f.Every); err != nil || every < 50*time.Millisecond {
		addMistake("every", "Expected a duration of at least 50ms.")
	}
	if !(f.Rate > 0) || f.Rate > 1000 {
		addMistake("rate", "Expected a number above 0 and at most 1000.")
	}
	if f.Sockets != 0 && (f.Sockets < minSockets || f.Sockets > defaultSockets) {
		addMistake("sockets", "Expected a number from %d to %d.", minSockets, defaultSockets)
	}
	for _, event := range f.Events {
		kind := EventKind(event)
		switch {
		case slices.Contains(HTTP2EventKinds, kind), slices.Contains(MisuseEventKinds, kind):
			if !f.HTTP2 {
				addMistake("events", "%q needs http2 = true.", event)
			}
		case !slices.Contains(EventKinds, kind) && !slices.Contains(ShutdownEventKinds, kind):
			addMistake("events", "Unknown event kind %q.", event)
		}
	}
	for _, rules := range f.Failures {
		if _, err := inject.ParseRules(rules); err != nil {
			addMistake("failures", "%v.", err)
		}
	}
	return diags
}

// span returns the length of a run. check has validated it.
func (f *File) span() time.Duration { d, _ := time.ParseDuration(f.Span); return d }

// every returns the mean time between events. check has validated it.
func (f *File) every() time.Duration { d, _ := time.ParseDuration(f.Every); return d }

// kinds returns the kinds of events that are drawn: the file's, or EventKinds if it names none.
func (f *File) kinds() []EventKind {
	if len(f.Events) == 0 {
		return EventKinds
	}
	kinds := make([]EventKind, len(f.Events))
	for i, event := range f.Events {
		kinds[i] = EventKind(event)
	}
	return kinds
}
