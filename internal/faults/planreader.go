package faults

import (
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"brassdale/internal/emulator"
	"brassdale/internal/hcldiag"
)

// zoneFaults are the kinds of zone faults by their names in files.
var zoneFaults = map[string]emulator.FaultKind{"lost": emulator.ZoneLost, "apart": emulator.ZonePartition, "far": emulator.ZoneDelay}

// voterCounts are the numbers of voters that a fleet may have; 0 is for dispatchers without a fleet.
var voterCounts = []int{0, 1, 3, 5}

// planReader converts a file to a plan and collects the file's mistakes.
type planReader struct {
	file          *File
	body          *hclsyntax.Body // nil if mistakes are not collected
	diags         hcl.Diagnostics
	durationDiags hcl.Diagnostics // reported after the mistakes of blocks
}

// plan returns the file's plan, without a seed, and the mistakes that gohcl does not find. If body is nil, mistakes are not collected.
func (f *File) plan(body *hclsyntax.Body) (Plan, hcl.Diagnostics) {
	reader := &planReader{file: f, body: body}
	plan := Plan{Processes: f.Processes, Voters: f.Voters, Rate: f.Rate, OlderBuilds: f.Older, Span: reader.duration("span", f.Span)}
	if f.Voters > 0 {
		plan.Bound, plan.ProposalInterval = reader.duration("bound", f.Bound), reader.duration("proposals", f.Proposals)
	}
	drawn := f.Every != "" || len(f.Faults) > 0
	if drawn {
		plan.MeanInterval, plan.MaxDuration = reader.duration("every", f.Every), reader.duration("longest", f.Longest)
	}
	plan.Release = reader.release()
	plan.ReplaceVoterAfter = reader.optionalDuration("replace", f.Replace)
	plan.Events = reader.events()
	plan.Zones = reader.zones()
	reader.diags = append(reader.diags, reader.durationDiags...)
	if !slices.Contains(voterCounts, f.Voters) || f.Voters > f.Processes {
		reader.add("voters", "Expected 0, 1, 3 or 5, and at most as many as processes.")
	}
	if f.Rate <= 0 && f.Zones == nil {
		reader.add("rate", "Expected a number above 0.")
	}
	if drawn {
		plan.Kinds = reader.kinds()
	}
	return plan, reader.diags
}

// mistake returns a diagnostic at an attribute, or at the body's end if the body has no such attribute.
func (r *planReader) mistake(attribute, format string, args ...any) *hcl.Diagnostic {
	return hcldiag.At(hcldiag.Place(r.body, attribute), "Bad "+attribute, format, args...)
}

// add records a mistake, if mistakes are collected.
func (r *planReader) add(attribute, format string, args ...any) {
	if r.body != nil {
		r.diags = append(r.diags, r.mistake(attribute, format, args...))
	}
}

// duration parses a duration, which must be above 0.
func (r *planReader) duration(attribute, text string) time.Duration {
	duration, err := time.ParseDuration(text)
	if (err != nil || duration <= 0) && r.body != nil {
		r.durationDiags = append(r.durationDiags, r.mistake(attribute, "Expected a duration above 0, got %q.", text))
	}
	return duration
}

// optionalDuration is like duration, but returns 0 for an empty text.
func (r *planReader) optionalDuration(attribute, text string) time.Duration {
	if text == "" {
		return 0
	}
	return r.duration(attribute, text)
}

// release returns the file's release, or nil.
func (r *planReader) release() *Release {
	block := r.file.Release
	if block == nil {
		return nil
	}
	if block.Drained < 0 || block.Restarted < 0 || block.Drained+block.Restarted > 1 || block.DiscoveryCallRate < 0 {
		r.add("release", "Expected drained and anew of at least 0 and together at most 1, and calls of at least 0.")
	}
	return &Release{
		At:                r.duration("release", block.At),
		DrainedWorkers:    block.Drained,
		RestartedWorkers:  block.Restarted,
		StepInterval:      r.optionalDuration("release", block.StepInterval),
		DiscoveryMovesAt:  r.optionalDuration("release", block.DiscoveryMovesAt),
		NotifyAfter:       r.optionalDuration("release", block.NotifyAfter),
		DiscoveryCallRate: block.DiscoveryCallRate,
		ClientTimeout:     r.optionalDuration("release", block.ClientTimeout),
	}
}

// events returns the file's events.
func (r *planReader) events() []Event {
	events := make([]Event, len(r.file.Events))
	for i, block := range r.file.Events {
		events[i] = Event{
			At:      r.duration("event", block.At),
			For:     r.optionalDuration("event", block.For),
			Kind:    EventKind(block.Kind),
			Process: block.Process,
			Group:   block.Group,
			Reverse: block.Reverse,
		}
		known := slices.Contains(DrawnEventKinds(), events[i].Kind) || slices.Contains(scriptedKinds, events[i].Kind)
		if !known || block.Process < Leader || block.Process >= r.file.Processes {
			r.add("event", "Unknown kind %q, or process %d out of range.", block.Kind, block.Process)
		}
	}
	return events
}

// zones returns the file's zones, or nil.
func (r *planReader) zones() *ZoneDeployment {
	block := r.file.Zones
	if block == nil {
		return nil
	}
	plan := &ZoneDeployment{
		Zones:      block.Zones,
		Regions:    block.Regions,
		Workers:    block.Workers,
		Load:       block.Load,
		FleetPlans: true,
		Headroom:   block.Headroom,
		ReturnIn:   r.duration("towns", block.ReturnIn),
		Faults:     make([]emulator.Fault, len(block.Faults)),
	}
	for i, fault := range block.Faults {
		plan.Faults[i] = r.zoneFault(fault)
	}
	countsValid := block.Zones >= 2 && block.Regions >= 1 && block.Regions <= block.Zones && block.Workers >= block.Zones
	if !countsValid || !(block.Load > 0) || !(block.Headroom >= 0 && block.Headroom < 1) {
		r.add("towns", "Expected at least 2 zones, at least 1 region and at most one for each zone, at least one box for each zone, a load above 0 and a headroom from 0 to less than 1.")
	}
	return plan
}

// zoneFault converts the block of a zone's fault.
func (r *planReader) zoneFault(block ZoneFault) emulator.Fault {
	kind, known := zoneFaults[block.Kind]
	zones := r.file.Zones.Zones
	if !known || block.Zone < 1 || block.Zone > zones || block.From < 0 || block.From > zones {
		r.add("towns", "Unknown fault %q, or zone %d or %d out of range.", block.Kind, block.Zone, block.From)
	}
	return emulator.Fault{
		At:    r.duration("towns", block.At),
		For:   r.duration("towns", block.For),
		Kind:  kind,
		Share: 1,
		Size:  block.Size,
		Zone:  block.Zone,
		From:  block.From,
	}
}

// kinds returns the kinds of faults to draw from.
func (r *planReader) kinds() []EventKind {
	if len(r.file.Faults) == 0 {
		return DrawnEventKinds()
	}
	var kinds []EventKind
	for _, name := range r.file.Faults {
		if !slices.Contains(DrawnEventKinds(), EventKind(name)) {
			r.add("faults", "Unknown kind %q; expected one of %v.", name, DrawnEventKinds())
		}
		kinds = append(kinds, EventKind(name))
	}
	return kinds
}
