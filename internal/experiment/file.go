// Package experiment plays scenarios of the emulator over variants and seeds, and keeps what came of them as rows, tables
// and charts.
package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"brassdale/internal/emulator"
	"brassdale/internal/emulator/policy"
	"brassdale/internal/hcldiag"
	"brassdale/scheduler"
)

// File is an experiment as an operator writes it.
type File struct {
	Title    string    `hcl:"title"`
	Seeds    int       `hcl:"seeds"`
	First    int       `hcl:"first_seed,optional"`
	World    *World    `hcl:"world,block"` // what differs from the works at Llanelli
	Kinds    []Kind    `hcl:"kind,block"`
	Classes  []Class   `hcl:"class,block"`
	Faults   []Fault   `hcl:"fault,block"`
	Variants []Variant `hcl:"variant,block"`
}

// World is what a scenario may set; what it leaves out is as at Llanelli.
type World struct {
	Rate        *float64 `hcl:"rate"`
	Span        *string  `hcl:"span"`
	Dispatchers *int     `hcl:"dispatchers"`
	Bays        *int     `hcl:"bays"`
	Work        *float64 `hcl:"work"`
	Spread      *float64 `hcl:"spread"`
	Subjects    *int     `hcl:"subjects"`
	Fetch       *float64 `hcl:"fetch"`
	Retries     *float64 `hcl:"retries"`
	Delay       *string  `hcl:"delay"`
	Discovery   *string  `hcl:"discovery"`
	Reports     *string  `hcl:"reports"`
	Users       *int     `hcl:"users"`
	Attempts    *int     `hcl:"attempts"`
	GiveUp      *string  `hcl:"give_up"`
	Push        *bool    `hcl:"push"` // boxes that share tell their load at each change
	// What one deployment has and another has not.
	Zones       *int     `hcl:"zones"`
	Cross       *string  `hcl:"cross"`       // the way between zones
	CrossPrice  *float64 `hcl:"cross_price"` // of an attempt that takes it
	Memory      *float64 `hcl:"memory"`      // units for each slot of a job
	Queue       *float64 `hcl:"queue"`       // most that wait at a box, for each slot
	Keeps       *bool    `hcl:"keeps"`       // boxes keep what waits when it is called off
	Hints       *bool    `hcl:"hints"`
	LiveWeights *bool    `hcl:"live_weights"`
	Pushed      *bool    `hcl:"pushed"`
	Answers     *bool    `hcl:"answers"`      // reports come in answers
	ReportDelay *string  `hcl:"report_delay"` // and are so old
	Handshake   *float64 `hcl:"handshake"`    // ways that a new connection takes
	Connections *int     `hcl:"connections"`  // that a box takes

	Greedy *float64 `hcl:"greedy"` // the first account sends so many times its share
}

// Kind is a kind of box.
type Kind struct {
	Name  string    `hcl:"name,label"`
	Count int       `hcl:"count"`
	Slots int       `hcl:"slots"`
	Speed []float64 `hcl:"speed"` // least and most
	Share bool      `hcl:"sharing,optional"`
}

// Fault befalls some boxes.
type Fault struct {
	Kind  string  `hcl:"kind,label"`
	At    string  `hcl:"at"`
	For   string  `hcl:"for"`
	Share float64 `hcl:"share"`
	Size  float64 `hcl:"size,optional"` // of a burst or a heavy tail
}

// Class is a class of jobs.
type Class struct {
	Name           string  `hcl:"name,label"`
	Share          float64 `hcl:"share"`
	Work           float64 `hcl:"work"`
	Spread         float64 `hcl:"spread,optional"`
	Aim            string  `hcl:"aim"`
	Stretch        float64 `hcl:"stretch"`
	GiveUp         string  `hcl:"give_up"`
	PriorityWeight float64 `hcl:"worth"`
	Effect         string  `hcl:"effect"`          // safe, keyed or unsafe
	Scope          string  `hcl:"scope,optional"`  // all, zone or cell, where keyed
	Window         string  `hcl:"window,optional"` // where keyed
	Wide           float64 `hcl:"wide,optional"`
}

// parse gives it in the emulator's terms.
func (c *Class) parse() (emulator.Class, error) {
	class := emulator.Class{Name: c.Name, Share: c.Share, Work: c.Work, Spread: c.Spread, Stretch: c.Stretch, PriorityWeight: c.PriorityWeight, Wide: c.Wide}
	effect, ok := map[string]scheduler.Idempotency{"safe": scheduler.Idempotent, "keyed": scheduler.IdempotentWithKey, "unsafe": scheduler.NonIdempotent}[c.Effect]
	if !ok {
		return class, fmt.Errorf("class %q: there is no effect %q", c.Name, c.Effect)
	}
	scope, ok := map[string]scheduler.DeduplicationScope{"": scheduler.ScopeAll, "all": scheduler.ScopeAll, "zone": scheduler.ScopeZone, "cell": scheduler.ScopeCell}[c.Scope]
	if !ok {
		return class, fmt.Errorf("class %q: there is no scope %q", c.Name, c.Scope)
	}
	class.Effect, class.Scope = effect, scope
	for _, duration := range []struct {
		to         *time.Duration
		name, text string
	}{{&class.Aim, "aim", c.Aim}, {&class.GiveUp, "give_up", c.GiveUp}, {&class.Window, "window", cmp.Or(c.Window, "0s")}} {
		span, err := time.ParseDuration(duration.text)
		if err != nil {
			return class, fmt.Errorf("class %q: %s: %w", c.Name, duration.name, err)
		}
		*duration.to = span
	}
	return class, nil
}

// Variant is a way to play it.
type Variant struct {
	Name   string   `hcl:"name,label"`
	Policy string   `hcl:"policy,optional"` // "module", if left out, or one to compare it with
	Scale  *float64 `hcl:"scale"`           // boxes and rate times this
	Set    *World   `hcl:"set,block"`
}

var faultKindNames = map[string]emulator.FaultKind{"freeze": emulator.Freeze, "silent": emulator.Silent, "slow": emulator.Slow,
	"restart": emulator.Restart, "drain": emulator.Drain, "unheard": emulator.Unreported, "reset": emulator.Reset, "partition": emulator.Partition,
	"burst": emulator.Burst, "heavy-tail": emulator.HeavyTail,
	"list-down": emulator.ListDown, "list-hung": emulator.ListHung}

// Load reads and checks an experiment. An error names all faults with file, line and column.
func Load(path string) (*File, error) { return hcldiag.Read(path, Parse) }

// Parse reads the text of an experiment; path is its name in errors.
func Parse(text []byte, path string) (*File, error) {
	f := &File{First: 1}
	if err := hcldiag.Decode(text, path, f, f.check); err != nil {
		return nil, err
	}
	return f, nil
}

// check finds what gohcl cannot: each variant must be a scenario that can be played.
func (f *File) check(body *hclsyntax.Body) (diags hcl.Diagnostics) {
	bad := func(place hcl.Range, format string, a ...any) {
		diags = append(diags, hcldiag.At(place, "Bad experiment", format, a...))
	}
	blocks := hcldiag.Blocks(body)
	if f.Seeds < 1 {
		bad(body.Attributes["seeds"].Expr.Range(), "seeds must be 1 or more.")
	}
	if len(f.Variants) == 0 {
		bad(body.MissingItemRange(), "There is no variant.")
	}
	names := map[string]bool{}
	for i, variant := range f.Variants {
		at := blocks["variant"][i].DefRange()
		if names[variant.Name] {
			bad(at, "There are two variants %q.", variant.Name)
		}
		names[variant.Name] = true
		if variant.Policy != "" && variant.Policy != "module" && !slices.Contains(policy.Names(), variant.Policy) {
			bad(at, "There is no policy %q; there are module, %s.", variant.Policy, strings.Join(policy.Names(), ", "))
		}
		if s, err := f.Scenario(variant, 1); err != nil {
			bad(at, "%v.", err)
		} else if err := s.Check(); err != nil {
			bad(at, "%v.", err)
		}
	}
	return diags
}

// Scenario gives a variant's for a seed.
func (f *File) Scenario(variant Variant, seed uint64) (emulator.Scenario, error) {
	scenario := emulator.LlanelliWorks(seed)
	if len(f.Kinds) > 0 {
		scenario.Kinds = nil
	}
	for _, kind := range f.Kinds {
		if len(kind.Speed) != 2 {
			return scenario, fmt.Errorf("kind %q: speed must be [least, most]", kind.Name)
		}
		scenario.Kinds = append(scenario.Kinds, emulator.Kind{Name: kind.Name, Count: kind.Count, Slots: kind.Slots, SpeedMin: kind.Speed[0], SpeedMax: kind.Speed[1], Sharing: kind.Share})
	}
	for _, configured := range f.Classes {
		c, err := configured.parse()
		if err != nil {
			return scenario, err
		}
		scenario.Traffic.Classes = append(scenario.Traffic.Classes, c)
		scenario.Traffic.GiveUp = max(scenario.Traffic.GiveUp, c.GiveUp)
	}
	for _, in := range f.Faults {
		kind, ok := faultKindNames[in.Kind]
		if !ok {
			return scenario, fmt.Errorf("there is no fault %q", in.Kind)
		}
		at, err := time.ParseDuration(in.At)
		if err != nil {
			return scenario, fmt.Errorf("fault %q: %w", in.Kind, err)
		}
		span, err := time.ParseDuration(in.For)
		if err != nil {
			return scenario, fmt.Errorf("fault %q: %w", in.Kind, err)
		}
		scenario.Faults = append(scenario.Faults, emulator.Fault{At: at, For: span, Kind: kind, Share: in.Share, Size: in.Size})
	}
	for _, w := range []*World{f.World, variant.Set} {
		if err := w.apply(&scenario); err != nil {
			return scenario, err
		}
	}
	if variant.Scale != nil {
		scenario.Traffic.Rate *= *variant.Scale
		scenario.Store.Slots = int(float64(scenario.Store.Slots) * *variant.Scale)
		for i := range scenario.Kinds {
			scenario.Kinds[i].Count = int(float64(scenario.Kinds[i].Count)**variant.Scale + 0.5)
		}
	}
	return scenario, nil
}

// setIfGiven sets what is given.
func setIfGiven[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

// apply sets what is given.
func (w *World) apply(scenario *emulator.Scenario) error {
	if w == nil {
		return nil
	}
	setIfGiven(&scenario.Traffic.Rate, w.Rate)
	setIfGiven(&scenario.Traffic.Work, w.Work)
	setIfGiven(&scenario.Traffic.Spread, w.Spread)
	setIfGiven(&scenario.Traffic.Retries, w.Retries)
	setIfGiven(&scenario.Store.Fetch, w.Fetch)
	setIfGiven(&scenario.Dispatchers, w.Dispatchers)
	setIfGiven(&scenario.Bays, w.Bays)
	setIfGiven(&scenario.Traffic.Subjects, w.Subjects)
	setIfGiven(&scenario.Traffic.Users, w.Users)
	setIfGiven(&scenario.Rules.MaxAttempts, w.Attempts)
	setIfGiven(&scenario.Reports.Push, w.Push)
	setIfGiven(&scenario.Network.Zones, w.Zones)
	setIfGiven(&scenario.Network.CrossPrice, w.CrossPrice)
	setIfGiven(&scenario.Network.Handshake, w.Handshake)
	setIfGiven(&scenario.Network.Most, w.Connections)
	setIfGiven(&scenario.Traffic.Memory, w.Memory)
	setIfGiven(&scenario.Traffic.Hints, w.Hints)
	setIfGiven(&scenario.Queue, w.Queue)
	setIfGiven(&scenario.Keeps, w.Keeps)
	setIfGiven(&scenario.LiveWeights, w.LiveWeights)
	setIfGiven(&scenario.Pushed, w.Pushed)
	setIfGiven(&scenario.Reports.Answers, w.Answers)
	if w.Greedy != nil && len(scenario.Traffic.Accounts) > 0 {
		// The rate grows by what the first account sends beyond its share.
		first := &scenario.Traffic.Accounts[0]
		more := first.Share * (*w.Greedy - 1)
		scenario.Traffic.Rate *= 1 + more
		first.Share += more
	}
	for _, d := range []struct {
		to   *time.Duration
		from *string
		name string
	}{{&scenario.Span, w.Span, "span"}, {&scenario.Network.Cross, w.Cross, "cross"}, {&scenario.Reports.Delay, w.ReportDelay, "report_delay"}, {&scenario.Network.Delay, w.Delay, "delay"}, {&scenario.Discovery, w.Discovery, "discovery"}, {&scenario.Reports.Every, w.Reports, "reports"}, {&scenario.Traffic.GiveUp, w.GiveUp, "give_up"}} {
		if d.from == nil {
			continue
		}
		span, err := time.ParseDuration(*d.from)
		if err != nil {
			return fmt.Errorf("%s: %w", d.name, err)
		}
		*d.to = span
	}
	return nil
}

// newPolicy gives what decides in a variant.
func (v Variant) newPolicy() func(scheduler.Settings, uint64) emulator.Policy {
	if v.Policy == "" || v.Policy == "module" {
		return func(s scheduler.Settings, seed uint64) emulator.Policy { return scheduler.New(s, seed) }
	}
	return func(s scheduler.Settings, seed uint64) emulator.Policy { return policy.New(v.Policy, s, seed) }
}
