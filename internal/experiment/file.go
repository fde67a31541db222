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

// class gives it in the emulator's terms.
func (c *Class) class() (emulator.Class, error) {
	out := emulator.Class{Name: c.Name, Share: c.Share, Work: c.Work, Spread: c.Spread, Stretch: c.Stretch, PriorityWeight: c.PriorityWeight, Wide: c.Wide}
	effect, ok := map[string]scheduler.Idempotency{"safe": scheduler.Idempotent, "keyed": scheduler.IdempotentWithKey, "unsafe": scheduler.NonIdempotent}[c.Effect]
	if !ok {
		return out, fmt.Errorf("class %q: there is no effect %q", c.Name, c.Effect)
	}
	scope, ok := map[string]scheduler.DeduplicationScope{"": scheduler.ScopeAll, "all": scheduler.ScopeAll, "zone": scheduler.ScopeZone, "cell": scheduler.ScopeCell}[c.Scope]
	if !ok {
		return out, fmt.Errorf("class %q: there is no scope %q", c.Name, c.Scope)
	}
	out.Effect, out.Scope = effect, scope
	for _, d := range []struct {
		to         *time.Duration
		name, text string
	}{{&out.Aim, "aim", c.Aim}, {&out.GiveUp, "give_up", c.GiveUp}, {&out.Window, "window", cmp.Or(c.Window, "0s")}} {
		span, err := time.ParseDuration(d.text)
		if err != nil {
			return out, fmt.Errorf("class %q: %s: %w", c.Name, d.name, err)
		}
		*d.to = span
	}
	return out, nil
}

// Variant is a way to play it.
type Variant struct {
	Name   string   `hcl:"name,label"`
	Policy string   `hcl:"policy,optional"` // "module", if left out, or one to compare it with
	Scale  *float64 `hcl:"scale"`           // boxes and rate times this
	Set    *World   `hcl:"set,block"`
}

var faultKinds = map[string]emulator.FaultKind{"freeze": emulator.Freeze, "silent": emulator.Silent, "slow": emulator.Slow,
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
	bad := func(at hcl.Range, format string, a ...any) {
		diags = append(diags, hcldiag.At(at, "Bad experiment", format, a...))
	}
	blocks := hcldiag.Blocks(body)
	if f.Seeds < 1 {
		bad(body.Attributes["seeds"].Expr.Range(), "seeds must be 1 or more.")
	}
	if len(f.Variants) == 0 {
		bad(body.MissingItemRange(), "There is no variant.")
	}
	names := map[string]bool{}
	for i, v := range f.Variants {
		at := blocks["variant"][i].DefRange()
		if names[v.Name] {
			bad(at, "There are two variants %q.", v.Name)
		}
		names[v.Name] = true
		if v.Policy != "" && v.Policy != "module" && !slices.Contains(policy.Names(), v.Policy) {
			bad(at, "There is no policy %q; there are module, %s.", v.Policy, strings.Join(policy.Names(), ", "))
		}
		if s, err := f.Scenario(v, 1); err != nil {
			bad(at, "%v.", err)
		} else if err := s.Check(); err != nil {
			bad(at, "%v.", err)
		}
	}
	return diags
}

// Scenario gives a variant's for a seed.
func (f *File) Scenario(v Variant, seed uint64) (emulator.Scenario, error) {
	s := emulator.LlanelliWorks(seed)
	if len(f.Kinds) > 0 {
		s.Kinds = nil
	}
	for _, k := range f.Kinds {
		if len(k.Speed) != 2 {
			return s, fmt.Errorf("kind %q: speed must be [least, most]", k.Name)
		}
		s.Kinds = append(s.Kinds, emulator.Kind{Name: k.Name, Count: k.Count, Slots: k.Slots, SpeedMin: k.Speed[0], SpeedMax: k.Speed[1], Sharing: k.Share})
	}
	for _, in := range f.Classes {
		c, err := in.class()
		if err != nil {
			return s, err
		}
		s.Traffic.Classes = append(s.Traffic.Classes, c)
		s.Traffic.GiveUp = max(s.Traffic.GiveUp, c.GiveUp)
	}
	for _, in := range f.Faults {
		kind, ok := faultKinds[in.Kind]
		if !ok {
			return s, fmt.Errorf("there is no fault %q", in.Kind)
		}
		at, err := time.ParseDuration(in.At)
		if err != nil {
			return s, fmt.Errorf("fault %q: %w", in.Kind, err)
		}
		span, err := time.ParseDuration(in.For)
		if err != nil {
			return s, fmt.Errorf("fault %q: %w", in.Kind, err)
		}
		s.Faults = append(s.Faults, emulator.Fault{At: at, For: span, Kind: kind, Share: in.Share, Size: in.Size})
	}
	for _, w := range []*World{f.World, v.Set} {
		if err := w.apply(&s); err != nil {
			return s, err
		}
	}
	if v.Scale != nil {
		s.Traffic.Rate *= *v.Scale
		s.Store.Slots = int(float64(s.Store.Slots) * *v.Scale)
		for i := range s.Kinds {
			s.Kinds[i].Count = int(float64(s.Kinds[i].Count)**v.Scale + 0.5)
		}
	}
	return s, nil
}

// set sets what is given.
func set[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

// apply sets what is given.
func (w *World) apply(s *emulator.Scenario) error {
	if w == nil {
		return nil
	}
	set(&s.Traffic.Rate, w.Rate)
	set(&s.Traffic.Work, w.Work)
	set(&s.Traffic.Spread, w.Spread)
	set(&s.Traffic.Retries, w.Retries)
	set(&s.Store.Fetch, w.Fetch)
	set(&s.Dispatchers, w.Dispatchers)
	set(&s.Bays, w.Bays)
	set(&s.Traffic.Subjects, w.Subjects)
	set(&s.Traffic.Users, w.Users)
	set(&s.Rules.MaxAttempts, w.Attempts)
	set(&s.Reports.Push, w.Push)
	set(&s.Network.Zones, w.Zones)
	set(&s.Network.CrossPrice, w.CrossPrice)
	set(&s.Network.Handshake, w.Handshake)
	set(&s.Network.Most, w.Connections)
	set(&s.Traffic.Memory, w.Memory)
	set(&s.Traffic.Hints, w.Hints)
	set(&s.Queue, w.Queue)
	set(&s.Keeps, w.Keeps)
	set(&s.LiveWeights, w.LiveWeights)
	set(&s.Pushed, w.Pushed)
	set(&s.Reports.Answers, w.Answers)
	if w.Greedy != nil && len(s.Traffic.Accounts) > 0 {
		// The rate grows by what the first account sends beyond its share.
		first := &s.Traffic.Accounts[0]
		more := first.Share * (*w.Greedy - 1)
		s.Traffic.Rate *= 1 + more
		first.Share += more
	}
	for _, d := range []struct {
		to   *time.Duration
		from *string
		name string
	}{{&s.Span, w.Span, "span"}, {&s.Network.Cross, w.Cross, "cross"}, {&s.Reports.Delay, w.ReportDelay, "report_delay"}, {&s.Network.Delay, w.Delay, "delay"}, {&s.Discovery, w.Discovery, "discovery"}, {&s.Reports.Every, w.Reports, "reports"}, {&s.Traffic.GiveUp, w.GiveUp, "give_up"}} {
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

// decider gives what decides in a variant.
func (v Variant) decider() func(scheduler.Settings, uint64) emulator.Policy {
	if v.Policy == "" || v.Policy == "module" {
		return func(s scheduler.Settings, seed uint64) emulator.Policy { return scheduler.New(s, seed) }
	}
	return func(s scheduler.Settings, seed uint64) emulator.Policy { return policy.New(v.Policy, s, seed) }
}
