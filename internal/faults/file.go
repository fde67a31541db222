package faults

import (
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"brassdale/internal/hcldiag"
)

// File is a fault scenario file. Durations are texts such as "2.5s".
type File struct {
	Title     string       `hcl:"title"`
	Processes int          `hcl:"processes"`
	Voters    int          `hcl:"voters"`         // of the raft group; 0 for dispatchers without a fleet
	Bound     string       `hcl:"bound,optional"` // required unless voters is 0
	Span      string       `hcl:"span"`
	Every     string       `hcl:"every,optional"`     // mean time between drawn faults; if neither this nor the attribute faults is set, no faults are drawn
	Longest   string       `hcl:"longest,optional"`   // longest duration of a drawn fault
	Rate      float64      `hcl:"rate,optional"`      // jobs a second; ignored if there is a zones block, because its load sets the rate
	Proposals string       `hcl:"proposals,optional"` // time between proposals; required unless voters is 0
	Faults    []string     `hcl:"faults,optional"`    // kinds to draw from; all if unset
	Replace   string       `hcl:"replace,optional"`   // how long a voter may be silent before it is replaced
	Older     int          `hcl:"older,optional"`     // number of processes of an older build
	Events    []EventFile  `hcl:"event,block"`        // ignored if the attribute every or faults is set
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
	Process int    `hcl:"process,optional"` // by index, or Leader
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

// Load reads and checks a scenario. The error lists all mistakes, each with file, line and column.
func Load(path string) (*File, error) { return hcldiag.Read(path, Parse) }

// Parse parses and checks the text of a scenario. path is the file's name in errors.
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

// Plan returns the scenario's plan for a seed. If the parameter processes is above 0, it replaces the file's number of processes. The
// number of voters is then limited to the largest odd number that is not above processes.
func (f *File) Plan(seed uint64, processes int) Plan {
	plan, _ := f.plan(nil) // Parse has reported the mistakes
	plan.Seed = seed
	if processes > 0 {
		plan.Processes = processes
		plan.Voters = min(plan.Voters, processes-1+processes%2)
	}
	return plan
}
