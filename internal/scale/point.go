package scale

import (
	"fmt"
	"slices"
	"time"
)

// Point is one run of a file.
type Point struct {
	Name string // of its results directory; empty if the file has only one run
	Plan Plan
}

// Points returns a file's runs, with consecutive seeds from the given one on. The parameter hollow replaces the file's value if it is not
// negative, and the parameter processes if it is above 0. The error names the first mistake in the resulting plans, by attribute.
func (f *File) Points(seed uint64, hollow, processes int) ([]Point, error) {
	file := *f
	if hollow >= 0 {
		file.Hollow = hollow
	}
	if processes > 0 {
		file.Processes = processes
	}
	list := &pointList{seeds: f.Seeds}
	for n := range uint64(max(f.Seeds, 1)) {
		file.addPoints(list, seed+n)
	}
	return list.points, list.err
}

// addPoints adds the file's runs with the given seed.
func (f *File) addPoints(list *pointList, seed uint64) {
	for _, fault := range f.faults(func(int, string, string, ...any) {}) { // mistakes were reported when the file was read
		plan := f.seededPlan(seed)
		plan.Fault, plan.Span = &fault, max(plan.Span, fault.measuredSpan())
		list.add(string(fault.Kind), plan)
	}
	for _, sweep := range f.Sweeps {
		for _, size := range sweep.Sizes {
			if resized, ok := f.resized(sweep.By, size); ok {
				plan := resized.seededPlan(seed)
				list.add(fmt.Sprintf("d%d-w%d-z%d-c%d", plan.Dispatchers, plan.Workers, plan.Zones, plan.plannedChanges()), plan)
			}
		}
	}
	if len(f.Faults)+len(f.Sweeps) == 0 {
		list.add("", f.seededPlan(seed))
	}
}

// seededPlan returns the file's plan with a seed.
func (f *File) seededPlan(seed uint64) Plan {
	plan := f.plan(ignoreMistake)
	plan.Seed = seed
	return plan
}

// resized returns the file with another value of one size, and false if the size or the value is invalid. The number of real dispatchers and the
// number of accelerators per worker stay.
func (f *File) resized(by string, size int) (*File, bool) {
	file := *f
	switch by {
	case "dispatchers":
		file.Dispatchers, file.Hollow = size, size-(f.Dispatchers-f.Hollow)
	case "workers":
		file.Workers = size
		if f.Accelerators > 0 {
			file.Accelerators = f.Accelerators * size / max(f.Workers, 1)
		}
	case "zones":
		file.Zones = size
		if f.Processes > 0 && f.Hollow > 0 {
			file.Processes = min(max(f.Processes, size), f.Hollow)
		}
	case "changes":
		if f.Changes == nil {
			return nil, false
		}
		plan := f.plan(ignoreMistake)
		changes := *f.Changes
		changes.Every = ((plan.Span - plan.SpanWithoutChanges) / time.Duration(max(size, 1))).String()
		file.Changes = &changes
	default:
		return nil, false
	}
	return &file, size > 0
}

// pointList collects points.
type pointList struct {
	points []Point
	seeds  int
	err    error // for the first mistake
}

// add checks a plan and adds a point for it, unless there is already a point with this name.
func (l *pointList) add(name string, plan Plan) {
	plan.check(func(attribute, format string, args ...any) {
		if l.err == nil {
			l.err = attributeError(attribute, format, args...)
		}
	})
	name = pointName(name, l.seeds, plan.Seed)
	if !slices.ContainsFunc(l.points, func(other Point) bool { return other.Name == name }) {
		l.points = append(l.points, Point{name, plan})
	}
}

// attributeError returns the error for a mistake at an attribute.
func attributeError(attribute, format string, args ...any) error {
	return fmt.Errorf("%s: %s", attribute, fmt.Sprintf(format, args...))
}

// pointName returns the name of a point, with its seed if the file has several seeds.
func pointName(name string, seeds int, seed uint64) string {
	switch {
	case seeds < 2:
		return name
	case name == "":
		return fmt.Sprint("s", seed)
	}
	return fmt.Sprintf("%s-s%d", name, seed)
}
