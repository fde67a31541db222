// Package experiment runs scenarios of the emulator over variants and seeds, and saves the results as rows, tables and charts.
package experiment

import (
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"brassdale/internal/emulator/policy"
	"brassdale/internal/hcldiag"
)

// File is an experiment's file. Settings that it leaves out are as in emulator.ReferenceScenario.
type File struct {
	Title    string            `hcl:"title"`
	Seeds    int               `hcl:"seeds"`
	First    int               `hcl:"first_seed,optional"`
	Settings *ScenarioSettings `hcl:"world,block"`
	Kinds    []WorkerKind      `hcl:"kind,block"`
	Classes  []Class           `hcl:"class,block"`
	Faults   []Fault           `hcl:"fault,block"`
	Variants []Variant         `hcl:"variant,block"`
}

// ScenarioSettings are the settings of a scenario. A setting that is not given is nil. Durations are in the format of time.ParseDuration.
type ScenarioSettings struct {
	Rate           *float64 `hcl:"rate"` // jobs a second
	Span           *string  `hcl:"span"`
	Dispatchers    *int     `hcl:"dispatchers"`
	Cells          *int     `hcl:"bays"`
	Work           *float64 `hcl:"work"` // mean, in seconds
	WorkLogStdDev  *float64 `hcl:"spread"`
	Subjects       *int     `hcl:"subjects"`
	Fetch          *float64 `hcl:"fetch"` // mean, in seconds
	Retries        *float64 `hcl:"retries"`
	Delay          *string  `hcl:"delay"`
	Discovery      *string  `hcl:"discovery"`
	ReportInterval *string  `hcl:"reports"`
	Users          *int     `hcl:"users"`
	MaxAttempts    *int     `hcl:"attempts"`
	Deadline       *string  `hcl:"give_up"`
	PushReports    *bool    `hcl:"push"` // workers with processor sharing push a report at each change

	// In virtual time only.
	Zones            *int     `hcl:"zones"`
	Cross            *string  `hcl:"cross"`       // one-way delay between zones
	CrossPrice       *float64 `hcl:"cross_price"` // of an attempt between zones
	Memory           *float64 `hcl:"memory"`      // mean units that a job needs for each slot
	Queue            *float64 `hcl:"queue"`       // maximum of queued jobs at a worker, per slot
	KeepsCancelled   *bool    `hcl:"keeps"`       // workers run queued jobs that were cancelled
	WorkEstimates    *bool    `hcl:"hints"`       // clients send work estimates
	LiveWeights      *bool    `hcl:"live_weights"`
	ListPushed       *bool    `hcl:"pushed"`       // endpoint updates are pushed
	ReportsInAnswers *bool    `hcl:"answers"`      // answers carry reports
	ReportDelay      *string  `hcl:"report_delay"` // age of reports when dispatchers receive them
	Handshake        *float64 `hcl:"handshake"`    // round trips to open a connection
	MaxConnections   *int     `hcl:"connections"`  // that a worker accepts

	Greedy *float64 `hcl:"greedy"` // the first account sends this multiple of its share
}

// WorkerKind is a kind of worker.
type WorkerKind struct {
	Name    string    `hcl:"name,label"`
	Count   int       `hcl:"count"`
	Slots   int       `hcl:"slots"`
	Speed   []float64 `hcl:"speed"` // minimum and maximum
	Sharing bool      `hcl:"sharing,optional"`
}

// Fault is a fault of workers, discovery or traffic. Files have no faults of zones.
type Fault struct {
	Kind  string  `hcl:"kind,label"`
	At    string  `hcl:"at"`
	For   string  `hcl:"for"`
	Share float64 `hcl:"share"`
	Size  float64 `hcl:"size,optional"` // of a burst or a heavy tail
}

// Class is a class of jobs.
type Class struct {
	Name                string  `hcl:"name,label"`
	Share               float64 `hcl:"share"`
	Work                float64 `hcl:"work"`
	WorkLogStdDev       float64 `hcl:"spread,optional"`
	LatencyObjective    string  `hcl:"aim"`
	ObjectiveStretch    float64 `hcl:"stretch"`
	Deadline            string  `hcl:"give_up"`
	PriorityWeight      float64 `hcl:"worth"`
	Idempotency         string  `hcl:"effect"`          // a key of the map effects
	DeduplicationScope  string  `hcl:"scope,optional"`  // a key of the map scopes, if the effect is keyed
	DeduplicationWindow string  `hcl:"window,optional"` // if the effect is keyed
	TwoSlotShare        float64 `hcl:"wide,optional"`
}

// Variant is one way to run the experiment.
type Variant struct {
	Name   string            `hcl:"name,label"`
	Policy string            `hcl:"policy,optional"` // one of policy.Names; empty or schedulerPolicy for the scheduler
	Scale  *float64          `hcl:"scale"`           // multiplies workers and rate
	Set    *ScenarioSettings `hcl:"set,block"`
}

// schedulerPolicy is the policy name that selects the scheduler, as an empty name does.
const schedulerPolicy = "module"

// usesScheduler reports whether the variant's policy is the scheduler.
func (v *Variant) usesScheduler() bool { return v.Policy == "" || v.Policy == schedulerPolicy }

// Load reads and checks an experiment. The error lists all mistakes with file, line and column.
func Load(path string) (*File, error) { return hcldiag.Read(path, Parse) }

// Parse parses and checks the text of an experiment. path is its name in errors.
func Parse(text []byte, path string) (*File, error) {
	f := &File{First: 1}
	if err := hcldiag.Decode(text, path, f, f.check); err != nil {
		return nil, err
	}
	return f, nil
}

// check returns the mistakes that gohcl does not find: every variant must give a scenario that can be run.
func (f *File) check(body *hclsyntax.Body) (diags hcl.Diagnostics) {
	addMistake := func(place hcl.Range, format string, args ...any) {
		diags = append(diags, hcldiag.At(place, "Bad experiment", format, args...))
	}
	blocks := hcldiag.Blocks(body)
	if f.Seeds < 1 {
		addMistake(body.Attributes["seeds"].Expr.Range(), "seeds must be 1 or more.")
	}
	if len(f.Variants) == 0 {
		addMistake(body.MissingItemRange(), "There is no variant.")
	}
	names := map[string]bool{}
	for i, variant := range f.Variants {
		place := blocks["variant"][i].DefRange()
		if names[variant.Name] {
			addMistake(place, "There are two variants %q.", variant.Name)
		}
		names[variant.Name] = true
		if !variant.usesScheduler() && !slices.Contains(policy.Names(), variant.Policy) {
			addMistake(place, "There is no policy %q; there are module, %s.", variant.Policy, strings.Join(policy.Names(), ", "))
		}
		if scenario, err := f.Scenario(variant, 1); err != nil {
			addMistake(place, "%v.", err)
		} else if err := scenario.Check(); err != nil {
			addMistake(place, "%v.", err)
		}
	}
	return diags
}
