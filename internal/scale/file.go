package scale

import (
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"brassdale/internal/fleet"
	"brassdale/internal/hcldiag"
)

// File is a scenario file: one run, or several that differ in the fault or in a size. The fields of Plan explain the attributes.
type File struct {
	Title              string  `hcl:"title"`
	Settle             string  `hcl:"settle,optional"` // 20 s if left out
	Span               string  `hcl:"span"`
	SpanWithoutChanges string  `hcl:"rest,optional"`
	LeaseDuration      string  `hcl:"bound,optional"`
	ReplaceAfter       string  `hcl:"replace,optional"`
	Regions            int     `hcl:"regions"`
	Zones              int     `hcl:"zones"`
	Workers            int     `hcl:"workers"`
	Accelerators       int     `hcl:"accelerators,optional"` // one for each worker if left out
	Teams              int     `hcl:"teams,optional"`
	Dispatchers        int     `hcl:"dispatchers"`
	Voters             int     `hcl:"seats"`
	Dedicated          int     `hcl:"set_aside,optional"`
	Hollow             int     `hcl:"hollow,optional"`
	Processes          int     `hcl:"processes,optional"` // one for each zone if left out
	Baseline           int     `hcl:"bare,optional"`
	Rate               float64 `hcl:"rate,optional"`

	Seeds int `hcl:"seeds,optional"` // number of seeds with which each run is executed; one if left out

	Changes *changesBlock `hcl:"changes,block"`
	Faults  []faultBlock  `hcl:"fault,block"`
	Sweeps  []sweepBlock  `hcl:"slope,block"`
}

// changesBlock sets the intervals at which config versions and workers change.
type changesBlock struct {
	Every    string  `hcl:"every"` // between proposals of config versions
	PerDay   float64 `hcl:"a_day"`
	Restarts string  `hcl:"restarts,optional"`
	Drains   string  `hcl:"drains,optional"`
}

// faultBlock is a fault. Each is injected in a run of its own.
type faultBlock struct {
	Kind   string `hcl:"kind,label"`
	At     string `hcl:"at"`
	For    string `hcl:"for,optional"` // optional for the loss of a voter or a zone, which does not end if this is left out
	After  string `hcl:"after,optional"`
	Count  int    `hcl:"count,optional"`
	Zone   int    `hcl:"zone,optional"`   // counted from 1; the first, which has a voter, if left out
	Region int    `hcl:"region,optional"` // counted from 1; the first if left out
}

// sweepBlock is a list of fleet sizes that differ in one parameter. Each size is a run of its own; package fit calls these runs a sweep.
type sweepBlock struct {
	By    string `hcl:"by,label"` // dispatchers, workers, zones or changes
	Sizes []int  `hcl:"of"`       // values of the parameter; changes are counted within the measured span
}

// Load reads and checks a file. The error lists all mistakes with file, line and column.
func Load(path string) (*File, error) { return hcldiag.Read(path, Parse) }

// Parse parses and checks the text of a file. path is its name in errors.
func Parse(text []byte, path string) (*File, error) {
	defaults := fleet.Default()
	f := &File{Settle: "20s", LeaseDuration: defaults.LeaseDuration, ReplaceAfter: defaults.ReplaceAfter}
	check := func(body *hclsyntax.Body) hcl.Diagnostics { return (&checker{file: f, body: body}).check() }
	if err := hcldiag.Decode(text, path, f, check); err != nil {
		return nil, err
	}
	return f, nil
}

// plan returns the file's plan without its faults and sweeps, and reports invalid durations and rates.
func (f *File) plan(report reportFunc) Plan {
	plan := Plan{
		Title: f.Title, Regions: f.Regions, Zones: f.Zones, Workers: f.Workers, Accelerators: f.Accelerators, Teams: f.Teams,
		Dispatchers: f.Dispatchers, Voters: f.Voters, Dedicated: f.Dedicated, Hollow: f.Hollow, Processes: f.Processes, Baseline: f.Baseline, Rate: f.Rate,
	}
	if plan.Accelerators == 0 {
		plan.Accelerators = plan.Workers
	}
	if plan.Processes == 0 && plan.Hollow > 0 {
		plan.Processes = plan.Zones
	}
	plan.Settle = requiredDuration(report, "settle", f.Settle)
	plan.Span = requiredDuration(report, "span", f.Span)
	plan.SpanWithoutChanges = optionalDuration(report, "rest", f.SpanWithoutChanges, 0)
	plan.LeaseDuration = requiredDuration(report, "bound", f.LeaseDuration)
	plan.ReplaceAfter = requiredDuration(report, "replace", f.ReplaceAfter)
	if changes := f.Changes; changes != nil {
		plan.ChangesPerDay = changes.PerDay
		plan.ChangeInterval = requiredDuration(report, "every", changes.Every)
		plan.RestartInterval = optionalDuration(report, "restarts", changes.Restarts, 0)
		plan.DrainInterval = optionalDuration(report, "drains", changes.Drains, 0)
		if !(changes.PerDay > 0) {
			report("a_day", "It must be above 0.")
		}
	}
	return plan
}

// ignoreMistake is the reportFunc for files that are already checked.
func ignoreMistake(string, string, ...any) {}

// requiredDuration parses the text of an attribute and reports a mistake if it is not a duration above 0.
func requiredDuration(report reportFunc, attribute, text string) time.Duration {
	duration, err := time.ParseDuration(text)
	if err != nil || duration <= 0 {
		report(attribute, "Expected a duration above 0, got %q.", text)
	}
	return duration
}

// optionalDuration is requiredDuration for an attribute that may be left out.
func optionalDuration(report reportFunc, attribute, text string, fallback time.Duration) time.Duration {
	if text == "" {
		return fallback
	}
	return requiredDuration(report, attribute, text)
}

// faults returns the file's faults. It calls report for each mistake, with the index of the fault's block.
func (f *File) faults(report func(index int, attribute, format string, args ...any)) []Fault {
	var faults []Fault
	for i := range f.Faults {
		faults = append(faults, f.fault(i, func(attribute, format string, args ...any) { report(i, attribute, format, args...) }))
	}
	return faults
}

// fault returns the fault of a block, by the block's index, and reports mistakes that do not depend on the plan.
func (f *File) fault(index int, report reportFunc) Fault {
	block := f.Faults[index]
	fault := Fault{Kind: FaultKind(block.Kind), Count: block.Count, Zone: max(block.Zone-1, 0), Region: max(block.Region-1, 0)}
	fault.At = requiredDuration(report, "at", block.At)
	if fault.Kind == VoterLost || fault.Kind == ZoneLost {
		fault.For = optionalDuration(report, "for", block.For, 0)
	} else {
		fault.For = requiredDuration(report, "for", block.For)
	}
	fault.After = optionalDuration(report, "after", block.After, defaultMeasuredAfter)
	if slices.ContainsFunc(f.Faults[:index], func(other faultBlock) bool { return other.Kind == block.Kind }) {
		report("kind", "There is already a fault %q.", block.Kind)
	}
	if block.Count != 0 && fault.Kind != DispatchersReplaced {
		report("count", "It is only for the fault %q.", DispatchersReplaced)
	}
	if block.Zone != 0 && fault.Kind != ZoneLost || block.Zone < 0 || block.Zone > f.Zones {
		report("zone", "It is only for the fault %q, and from 1 to %d.", ZoneLost, f.Zones)
	}
	if block.Region != 0 && fault.Kind != RegionPartitioned || block.Region < 0 || block.Region > f.Regions {
		report("region", "It is only for the fault %q, and from 1 to %d.", RegionPartitioned, f.Regions)
	}
	return fault
}
