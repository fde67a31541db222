package faults

import (
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"brassdale/internal/emulator"
	"brassdale/internal/hcldiag"
)

// File is a scenario of a fleet as an operator writes it.
type File struct {
	Title     string       `hcl:"title"`
	Processes int          `hcl:"processes"`
	Voters    int          `hcl:"voters"` // 0 for a fleet that agrees on nothing
	Bound     string       `hcl:"bound,optional"`
	Span      string       `hcl:"span"`
	Every     string       `hcl:"every,optional"`   // between faults, on average; left out: there are none
	Longest   string       `hcl:"longest,optional"` // fault
	Rate      float64      `hcl:"rate,optional"`    // jobs a second; by the load where there are towns
	Proposals string       `hcl:"proposals,optional"`
	Faults    []string     `hcl:"faults,optional"`  // kinds; all where left out
	Replace   string       `hcl:"replace,optional"` // so long a seat may be silent
	Older     int          `hcl:"older,optional"`   // processes of an older build
	Events    []EventFile  `hcl:"event,block"`      // in place of drawn faults
	Release   *ReleaseFile `hcl:"release,block"`
	Zones     *ZonesFile   `hcl:"towns,block"`
}

// ZonesFile are zones in it.
type ZonesFile struct {
	Zones    int         `hcl:"zones"`
	Regions  int         `hcl:"regions"`
	Workers  int         `hcl:"boxes"`
	Load     float64     `hcl:"load"`
	Headroom float64     `hcl:"headroom"`
	ReturnIn string      `hcl:"return_in"`
	Faults   []ZoneFault `hcl:"fault,block"`
}

// ZoneFault is one of a zone.
type ZoneFault struct {
	Kind string  `hcl:"kind,label"` // lost, apart or far
	At   string  `hcl:"at"`
	For  string  `hcl:"for"`
	Zone int     `hcl:"zone"` // from 1
	From int     `hcl:"from,optional"`
	Size float64 `hcl:"size,optional"`
}

var zoneFaults = map[string]emulator.FaultKind{"lost": emulator.ZoneLost, "apart": emulator.Apart, "far": emulator.Far}

// EventFile is an event in it.
type EventFile struct {
	At      string `hcl:"at"`
	For     string `hcl:"for,optional"`
	Kind    string `hcl:"kind"`
	Process int    `hcl:"process,optional"` // -1 for who leads
	Group   []int  `hcl:"group,optional"`
	Reverse bool   `hcl:"reverse,optional"`
}

// ReleaseFile is a release in it.
type ReleaseFile struct {
	At            string  `hcl:"at"`
	Drained       float64 `hcl:"drained,optional"`
	Anew          float64 `hcl:"anew,optional"`
	Rolling       string  `hcl:"rolling,optional"`
	Moves         string  `hcl:"moves,optional"`
	NotifyAfter   string  `hcl:"told,optional"`
	Calls         float64 `hcl:"calls,optional"`
	ClientTimeout string  `hcl:"patience,optional"`
}

// Load reads and checks a scenario. An error names all faults with file, line and column.
func Load(path string) (*File, error) { return hcldiag.Read(path, Parse) }

// Parse reads the text of one.
func Parse(text []byte, path string) (*File, error) {
	f := &File{}
	if err := hcldiag.Decode(text, path, f, func(body *hclsyntax.Body) hcl.Diagnostics { _, diags := f.plan(body); return diags }); err != nil {
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
			diags = append(diags, hcldiag.At(hcldiag.Place(body, attribute), "Bad "+attribute, format, a...))
		}
	}
	p = Plan{Processes: f.Processes, Voters: f.Voters, Rate: f.Rate}
	type span struct {
		to         *time.Duration
		name, text string
	}
	voters, faulty := f.Voters > 0, f.Every != "" || len(f.Faults) > 0
	spans := []span{{&p.Span, "span", f.Span}}
	if voters {
		spans = append(spans, span{&p.Bound, "bound", f.Bound}, span{&p.Proposals, "proposals", f.Proposals})
	}
	if faulty {
		spans = append(spans, span{&p.Every, "every", f.Every}, span{&p.Longest, "longest", f.Longest})
	}
	if r := f.Release; r != nil {
		p.Release = &Release{Drained: r.Drained, Anew: r.Anew, Calls: r.Calls}
		spans = append(spans, span{&p.Release.At, "release", r.At})
		for to, text := range map[*time.Duration]string{&p.Release.Rolling: r.Rolling, &p.Release.Moves: r.Moves, &p.Release.NotifyAfter: r.NotifyAfter, &p.Release.ClientTimeout: r.ClientTimeout} {
			if text != "" {
				spans = append(spans, span{to, "release", text})
			}
		}
		if r.Drained < 0 || r.Anew < 0 || r.Drained+r.Anew > 1 || r.Calls < 0 {
			bad("release", "Shares are from 0 to 1 together, calls not below 0.")
		}
	}
	if f.Replace != "" {
		spans = append(spans, span{&p.Replace, "replace", f.Replace})
	}
	p.Older = f.Older
	p.Events = make([]Event, len(f.Events))
	for i, e := range f.Events {
		p.Events[i] = Event{Kind: Kind(e.Kind), Process: e.Process, Group: e.Group, Reverse: e.Reverse}
		spans = append(spans, span{&p.Events[i].At, "event", e.At})
		if e.For != "" {
			spans = append(spans, span{&p.Events[i].For, "event", e.For})
		}
		if !slices.Contains(append(Kinds(), Split, Gone, Anew, Stage, Double), Kind(e.Kind)) || e.Process < Leader || e.Process >= f.Processes {
			bad("event", "There is no kind %q, or no process %d.", e.Kind, e.Process)
		}
	}
	if t := f.Zones; t != nil {
		p.Zones = &ZonePlan{Zones: t.Zones, Regions: t.Regions, Workers: t.Workers, Load: t.Load, Plans: true, Headroom: t.Headroom, Faults: make([]emulator.Fault, len(t.Faults))}
		spans = append(spans, span{&p.Zones.ReturnIn, "towns", t.ReturnIn})
		for i, x := range t.Faults {
			kind, ok := zoneFaults[x.Kind]
			p.Zones.Faults[i] = emulator.Fault{Kind: kind, Zone: x.Zone, From: x.From, Size: x.Size, Share: 1}
			spans = append(spans, span{&p.Zones.Faults[i].At, "towns", x.At}, span{&p.Zones.Faults[i].For, "towns", x.For})
			if !ok || x.Zone < 1 || x.Zone > t.Zones || x.From < 0 || x.From > t.Zones {
				bad("towns", "There is no fault %q, or no zone %d or %d.", x.Kind, x.Zone, x.From)
			}
		}
		if t.Zones < 2 || t.Regions < 1 || t.Regions > t.Zones || t.Workers < t.Zones || !(t.Load > 0) || !(t.Headroom >= 0 && t.Headroom < 1) {
			bad("towns", "There must be zones in regions, a box for each, a load above 0 and a headroom from 0 to less than 1.")
		}
	}
	for _, d := range spans {
		span, err := time.ParseDuration(d.text)
		if err != nil || span <= 0 {
			bad(d.name, "%q is no duration above 0.", d.text)
		}
		*d.to = span
	}
	if f.Voters != 0 && f.Voters != 1 && f.Voters != 3 && f.Voters != 5 || f.Voters > f.Processes {
		bad("voters", "There must be 0, 1, 3 or 5, and no more than processes.")
	}
	if f.Rate <= 0 && f.Zones == nil {
		bad("rate", "It must be above 0.")
	}
	if faulty && len(f.Faults) == 0 {
		p.Kinds = Kinds()
	}
	for _, k := range f.Faults {
		if !slices.Contains(Kinds(), Kind(k)) {
			bad("faults", "There is no kind %q; there are %v.", k, Kinds())
		}
		p.Kinds = append(p.Kinds, Kind(k))
	}
	return p, diags
}
