package faults

import (
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"brassdale/internal/hcldiag"
)

// File is a fault scenario as an operator writes it. Durations are texts like "2.5s".
type File struct {
	Title     string       `hcl:"title"`
	Processes int          `hcl:"processes"`
	Voters    int          `hcl:"voters"`         // of the raft group; 0 for dispatchers without a fleet
	Bound     string       `hcl:"bound,optional"` // required with voters
	Span      string       `hcl:"span"`
	Every     string       `hcl:"every,optional"`     // mean time between drawn faults; without it and faults, none are drawn
	Longest   string       `hcl:"longest,optional"`   // longest duration of a drawn fault
	Rate      float64      `hcl:"rate,optional"`      // jobs a second; with zones, their load decides
	Proposals string       `hcl:"proposals,optional"` // time between proposals; required with voters
	Faults    []string     `hcl:"faults,optional"`    // kinds to draw from; all if left out
	Replace   string       `hcl:"replace,optional"`   // how long a voter may be silent before it is replaced
	Older     int          `hcl:"older,optional"`     // number of processes of an older build
	Events    []EventFile  `hcl:"event,block"`        // played if neither every nor faults is set; else ignored
	Release   *ReleaseFile `hcl:"release,block"`
	Zones     *ZonesFile   `hcl:"towns,block"`
}

// ZonesFile is the block of a File for a deployment with zones.
type ZonesFile struct {
	Zones    int         `hcl:"zones"`
	Regions  int         `hcl:"regions"`
	Workers  int         `hcl:"boxes"`
	Load     float64     `hcl:"load"`
	Headroom float64     `hcl:"headroom"`
	ReturnIn string      `hcl:"return_in"`
	Faults   []ZoneFault `hcl:"fault,block"`
}

// ZoneFault is the block of a ZonesFile for a fault of a zone.
type ZoneFault struct {
	Kind string  `hcl:"kind,label"` // a key of zoneFaults
	At   string  `hcl:"at"`
	For  string  `hcl:"for"`
	Zone int     `hcl:"zone"` // counted from 1
	From int     `hcl:"from,optional"`
	Size float64 `hcl:"size,optional"`
}

// EventFile is the block of a File for an event.
type EventFile struct {
	At      string `hcl:"at"`
	For     string `hcl:"for,optional"`
	Kind    string `hcl:"kind"`
	Process int    `hcl:"process,optional"` // Leader for the process that leads the raft group at that time
	Group   []int  `hcl:"group,optional"`
	Reverse bool   `hcl:"reverse,optional"`
}

// ReleaseFile is the block of a File for a release.
type ReleaseFile struct {
	At                string  `hcl:"at"`
	Drained           float64 `hcl:"drained,optional"`
	Restarted         float64 `hcl:"anew,optional"`
	StepInterval      string  `hcl:"rolling,optional"`
	DiscoveryMovesAt  string  `hcl:"moves,optional"`
	NotifyAfter       string  `hcl:"told,optional"`
	DiscoveryCallRate float64 `hcl:"calls,optional"`
	ClientTimeout     string  `hcl:"patience,optional"`
}

// Load reads and checks a scenario. The error has all mistakes with file, line and column.
func Load(path string) (*File, error) { return hcldiag.Read(path, Parse) }

// Parse parses and checks the text of a scenario. path is its name in errors.
func Parse(text []byte, path string) (*File, error) {
	f := &File{}
	check := func(body *hclsyntax.Body) hcl.Diagnostics {
		_, diags := f.plan(body)
		return diags
	}
	if err := hcldiag.Decode(text, path, f, check); err != nil {
		return nil, err
	}
	return f, nil
}

// Plan returns the scenario's plan for a seed. processes replaces the file's number of processes if it is above 0; there are then
// at most as many voters as the largest odd number of processes.
func (f *File) Plan(seed uint64, processes int) Plan {
	plan, _ := f.plan(nil) // Parse has reported the mistakes
	plan.Seed = seed
	if processes > 0 {
		plan.Processes = processes
		plan.Voters = min(plan.Voters, processes-1+processes%2)
	}
	return plan
}
