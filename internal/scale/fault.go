package scale

import (
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"brassdale/internal/hcldiag"
)

// Kind is what fails.
type FaultKind string

// The kinds.
const (
	VoterLost            FaultKind = "seat"     // the machine of the seat that leads
	ZoneLost             FaultKind = "zone"     // a zone's boxes, seats and dispatchers
	RegionPartitioned    FaultKind = "regions"  // a region and the others do not reach each other
	DispatchersReplaced  FaultKind = "replaced" // dispatchers are killed one by one, and others start in their place
	DispatchersRestarted FaultKind = "together" // all dispatchers are killed, and start at once
)

var faultKinds = []FaultKind{VoterLost, ZoneLost, RegionPartitioned, DispatchersReplaced, DispatchersRestarted}

// FaultFile is one in a file. Each is played in a run of its own.
type faultBlock struct {
	Kind   string `hcl:"kind,label"`
	At     string `hcl:"at"`              // behind the begin of the measured span
	For    string `hcl:"for,optional"`    // until it is over; left out: a seat or a zone does not come back
	After  string `hcl:"after,optional"`  // that is measured behind it
	Count  int    `hcl:"count,optional"`  // of dispatchers that are replaced
	Zone   int    `hcl:"zone,optional"`   // from 1; left out: the first, which has a seat
	Region int    `hcl:"region,optional"` // that is cut off, from 1; left out: the first
}

// Fault is what befalls the fleet in a run.
type Fault struct {
	Kind           FaultKind
	At, For, After time.Duration // For is 0 where what is gone stays so
	Count          int
	Zone, Region   int // from 0
}

// defaultAfter is measured behind a fault where the file says nothing.
const defaultMeasuredAfter = 30 * time.Second

// faults reads the file's. say tells of an attribute of the n-th.
func (f *File) faults(say func(n int, attribute, format string, a ...any)) (all []Fault) {
	for n, x := range f.Faults {
		bad := func(attribute, format string, a ...any) { say(n, attribute, format, a...) }
		fault := Fault{Kind: FaultKind(x.Kind), Count: x.Count, Zone: max(x.Zone-1, 0), Region: max(x.Region-1, 0), After: defaultMeasuredAfter}
		for _, d := range []struct {
			to              *time.Duration
			attribute, text string
			optional        bool
		}{{&fault.At, "at", x.At, false}, {&fault.For, "for", x.For, fault.Kind == VoterLost || fault.Kind == ZoneLost}, {&fault.After, "after", x.After, true}} {
			if d.text == "" && d.optional {
				continue
			}
			span, err := time.ParseDuration(d.text)
			if err != nil || span <= 0 {
				bad(d.attribute, "%q is no duration above 0.", d.text)
			}
			*d.to = span
		}
		if slices.ContainsFunc(f.Faults[:n], func(o faultBlock) bool { return o.Kind == x.Kind }) {
			bad("kind", "There is a %q already.", x.Kind)
		}
		if x.Count != 0 && fault.Kind != DispatchersReplaced {
			bad("count", "It is for %q alone.", DispatchersReplaced)
		}
		if x.Zone != 0 && fault.Kind != ZoneLost || x.Zone < 0 || x.Zone > f.Zones {
			bad("zone", "It is for %q alone, and from 1 to %d.", ZoneLost, f.Zones)
		}
		if x.Region != 0 && fault.Kind != RegionPartitioned || x.Region < 0 || x.Region > f.Regions {
			bad("region", "It is for %q alone, and from 1 to %d.", RegionPartitioned, f.Regions)
		}
		all = append(all, fault)
	}
	return all
}

// check tells what does not go together with the fleet that it befalls.
func (x *Fault) check(p *Plan, say func(attribute, format string, a ...any)) {
	switch x.Kind {
	case VoterLost:
		if p.SetAside < 1 || p.Voters < 3 {
			say("kind", "It needs machines set aside, and 3 seats at least.")
		}
	case ZoneLost:
		if p.Zones < 2 {
			say("kind", "It needs 2 zones at least.")
		}
	case RegionPartitioned:
		if p.Regions < 2 {
			say("kind", "It needs 2 regions at least.")
		}
	case DispatchersReplaced:
		if x.Count < 1 || x.Count > p.Hollow {
			say("count", "There must be 1 at least, and no more than hollow dispatchers.")
		}
	case DispatchersRestarted:
	default:
		say("kind", "There is no kind %q; there are %v.", x.Kind, faultKinds)
	}
}

// span is how long a run with it is measured.
func (x *Fault) measuredSpan() time.Duration { return x.At + x.For + x.After }

// placeOf is where a block's attribute stands, or its label, or where it is missing.
func blockPlace(b *hclsyntax.Block, attribute string) hcl.Range {
	if attribute == "kind" && len(b.LabelRanges) > 0 {
		return b.LabelRanges[0]
	}
	return hcldiag.Place(b.Body, attribute)
}
