package scale

import (
	"fmt"
	"slices"
	"time"
)

// SlopeFile is a list of sizes that differ in one thing.
type slopeBlock struct {
	By    string `hcl:"by,label"` // dispatchers, workers, zones or changes
	Sizes []int  `hcl:"of"`       // changes are those within the measured span
}

// Point is one run of a file that has several.
type Point struct {
	Name string // a folder's; empty where there is one run alone
	Plan Plan
}

// sized gives the file at another size. Real dispatchers stay as many, and accelerators as many a worker.
func (f *File) resized(by string, n int) (*File, bool) {
	g := *f
	switch by {
	case "dispatchers":
		g.Dispatchers, g.Hollow = n, n-(f.Dispatchers-f.Hollow)
	case "workers":
		g.Workers = n
		if f.Accelerators > 0 {
			g.Accelerators = f.Accelerators * n / max(f.Workers, 1)
		}
	case "zones":
		g.Zones = n
		if f.Processes > 0 && f.Hollow > 0 {
			g.Processes = min(max(f.Processes, n), f.Hollow)
		}
	case "changes":
		if f.Changes == nil {
			return nil, false
		}
		p, _ := f.plan(nil)
		c := *f.Changes
		c.Every = ((p.Span - p.Rest) / time.Duration(max(n, 1))).String()
		g.Changes = &c
	default:
		return nil, false
	}
	return &g, n > 0
}

// Points gives a file's runs in their order, for seeds from one on; hollow not below 0, and processes above 0, are in place of
// the file's.
func (f *File) Points(seed uint64, hollow, processes int) ([]Point, error) {
	g := *f
	if hollow >= 0 {
		g.Hollow = hollow
	}
	if processes > 0 {
		g.Processes = processes
	}
	var first error
	wrong := func(attribute, format string, a ...any) {
		if first == nil {
			first = fmt.Errorf("%s: "+format, append([]any{attribute}, a...)...)
		}
	}
	var all []Point
	add := func(name string, p Plan) {
		p.check(wrong)
		if !slices.ContainsFunc(all, func(o Point) bool { return o.Name == name }) {
			all = append(all, Point{name, p})
		}
	}
	for n := range uint64(max(f.Seeds, 1)) {
		with := func(g *File) Plan {
			p, _ := g.plan(nil)
			p.Seed = seed + n
			return p
		}
		for _, x := range g.faults(func(int, string, string, ...any) {}) {
			p := with(&g)
			p.Fault, p.Span = &x, max(p.Span, x.measuredSpan())
			add(pointName(string(x.Kind), f.Seeds, p.Seed), p)
		}
		for _, s := range f.Slopes {
			for _, size := range s.Sizes {
				if h, ok := g.resized(s.By, size); ok {
					p := with(h)
					add(pointName(fmt.Sprintf("d%d-w%d-z%d-c%d", p.Dispatchers, p.Workers, p.Zones, p.plannedChanges()), f.Seeds, p.Seed), p)
				}
			}
		}
		if len(f.Faults)+len(f.Slopes) == 0 {
			add(pointName("", f.Seeds, seed+n), with(&g))
		}
	}
	return all, first
}

func pointName(name string, seeds int, seed uint64) string {
	switch {
	case seeds < 2:
		return name
	case name == "":
		return fmt.Sprint("s", seed)
	}
	return fmt.Sprintf("%s-s%d", name, seed)
}

// expected is how many changes the measured span has room for.
func (p *Plan) plannedChanges() int {
	if p.ChangeInterval == 0 {
		return 0
	}
	return int((p.Span - p.Rest + p.ChangeInterval - 1) / p.ChangeInterval)
}
