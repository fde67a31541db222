package faults

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"brassdale/internal/decisions/failover"
	"brassdale/internal/emulator"
	"brassdale/scheduler"
)

// ZonePlan are zones in regions, with faults of them, and a council that plans where their jobs are served.
type ZonePlan struct {
	Zones, Regions, Workers int
	Load                    float64 // of what all boxes can do
	Plans                   bool    // else each process decides by itself
	Headroom                float64
	ReturnIn                time.Duration
	Faults                  []emulator.Fault
}

// ZonesResult is what came of them. The names of its figures are kept.
type ZonesResult struct {
	Served           float64 `json:"served_share"`                       // of the jobs in time
	ServedNoFailover float64 `json:"served_share_no_failover,omitempty"` // the model's: each process by itself
	ServedFault      float64 `json:"served_share_fault"`                 // of those that came from 3 s after the first fault to its end
	ServedBehind     float64 `json:"served_share_behind"`                // and in the 15 s behind
	Crossing         float64 `json:"crossing_share"`                     // of the calls
	MinCrossing      float64 `json:"crossing_least"`                     // that had to cross, by what zones could do
	Peak             float64 `json:"zone_peak_over_capacity"`
	PlanChanges      uint64  `json:"plan_changes"`
	DetectMS         float64 `json:"detect_ms"`                  // from the first fault to the first plan behind it
	MovedMS          float64 `json:"moved_ms"`                   // until all processes acted on it
	BackMS           float64 `json:"back_ms"`                    // from its end to the last plan
	ServedVirtual    float64 `json:"served_share_fault_virtual"` // the model's, of the same works
	each             []instant
}

type instant struct {
	at     time.Time
	inTime bool
}

const (
	zoneSlots  = 5
	zoneWork   = 0.2 // seconds of a job
	maxPlanAge = 10 * time.Second
)

func (t *ZonePlan) cluster(s *emulator.Scenario) {
	s.Kinds = []emulator.Kind{{Name: "box", Count: t.Workers, Slots: zoneSlots, SpeedMin: 0.9, SpeedMax: 1.1}}
	s.Network.Zones, s.Network.Regions, s.Network.CrossPrice, s.Network.Cross = t.Zones, t.Regions, 0.03, 5*time.Millisecond
	s.Traffic.Work, s.Traffic.Subjects, s.Traffic.Effect = zoneWork, 0, scheduler.Idempotent
	s.Traffic.Rate = t.Load * float64(t.Workers*zoneSlots) / zoneWork
	s.Faults = append(s.Faults, t.Faults...)
}

// operator is the block of an operator's file.
func (t *ZonePlan) operator() string {
	if t == nil || !t.Plans {
		return ""
	}
	text := "failover {\n"
	for r := range t.Regions {
		var zones []string
		for z := range t.Zones {
			if z*t.Regions/t.Zones == r {
				zones = append(zones, fmt.Sprintf("%q", fmt.Sprint("z", z)))
			}
		}
		text += fmt.Sprintf(" region \"r%d\" {\n  zones = [%s]\n }\n", r, strings.Join(zones, ", "))
	}
	return text + fmt.Sprintf(" headroom = %g\n return_in = %q\n alone = %q\n}\n", t.Headroom, t.ReturnIn, maxPlanAge)
}

// count enters a job's end for its client.
func (f *play) count(at time.Time, inTime bool) {
	if f.Zones != nil {
		if f.r.Zones == nil {
			f.r.Zones = &ZonesResult{}
		}
		f.r.Zones.each = append(f.r.Zones.each, instant{at, inTime})
	}
}

var planned = regexp.MustCompile(`msg="failover plan applied" number=(\d+) expired=(true|false) at_ms=(\d+)`)

// checkZones draws the zones' figures together.
func (f *play) checkZones() {
	r := f.r.Zones
	if r == nil {
		return
	}
	share := func(from, to time.Time) float64 {
		in, all := 0, 0
		for _, x := range r.each {
			if !x.at.Before(from) && x.at.Before(to) {
				if all++; x.inTime {
					in++
				}
			}
		}
		return float64(in) / float64(max(all, 1))
	}
	end := f.r.Begin.Add(f.Span)
	r.Served = share(f.r.Begin, end)
	load := f.cluster.Load()
	r.Crossing, r.Peak = float64(load.Crossings)/float64(max(load.Sends, 1)), load.Peak
	if len(f.Zones.Faults) == 0 {
		return
	}
	first := f.Zones.Faults[0]
	from, to := f.r.Begin.Add(first.At), f.r.Begin.Add(first.At+first.For)
	r.ServedFault, r.ServedBehind = share(from.Add(3*time.Second), to), share(to, to.Add(15*time.Second))
	r.MinCrossing = f.Zones.minCrossing(f.Span)
	for _, mode := range []string{"", "plan"} { // the model of the same works, without the processes' own faults
		s := f.scenario
		s.Failover = emulator.Failover{Mode: mode, Headroom: f.Zones.Headroom, ReturnIn: f.Zones.ReturnIn, Detect: time.Second, Step: 0.1}
		v, err := emulator.Run(s, func(s scheduler.Settings, seed uint64) emulator.Policy { return scheduler.New(s, seed) })
		if err != nil {
			continue
		}
		if mode == "" {
			r.ServedNoFailover = v.Service
		} else {
			r.ServedVirtual = v.Within(first.At+3*time.Second, first.At+first.For)
		}
	}
	var detected, moved, last time.Time
	for _, x := range f.all {
		log := x.logs
		if !x.lost {
			log += x.node.Log()
		}
		heard := false
		for _, m := range planned.FindAllStringSubmatch(log, -1) {
			number, _ := strconv.ParseUint(m[1], 10, 64)
			ms, _ := strconv.ParseInt(m[3], 10, 64)
			at := time.UnixMilli(ms)
			r.PlanChanges = max(r.PlanChanges, number)
			if at.After(from) && !heard {
				heard = true
				if detected.IsZero() || at.Before(detected) {
					detected = at
				}
				if at.After(moved) {
					moved = at
				}
			}
			if at.After(to) && at.After(last) {
				last = at
			}
		}
	}
	ms := func(at, since time.Time) float64 {
		if at.IsZero() {
			return -1
		}
		return float64(at.Sub(since).Milliseconds())
	}
	r.DetectMS, r.MovedMS, r.BackMS = ms(detected, from), ms(moved, from), ms(last, to)
}

// minCrossing is how much has to cross, by what zones can do with and without the faults that take one.
func (t *ZonePlan) minCrossing(span time.Duration) float64 {
	crossed := 0.0
	const step = 500 * time.Millisecond
	for at := time.Duration(0); at < span; at += step {
		var zones []failover.Zone
		var demands []failover.Demand
		each := float64(t.Workers*zoneSlots) / float64(t.Zones)
		for z := range t.Zones {
			zone := failover.Zone{Name: fmt.Sprint("z", z), Region: fmt.Sprint("r", z*t.Regions/t.Zones), Capacity: each}
			for _, f := range t.Faults {
				if f.Kind == emulator.ZoneLost && f.Zone-1 == z && at >= f.At && at < f.At+f.For {
					zone.Capacity = 0
				}
			}
			zones = append(zones, zone)
			demands = append(demands, failover.Demand{Zone: zone.Name, Class: "x", Work: t.Load * each, Weight: 1})
		}
		flow := failover.Solve(zones, demands, func(string, string, string) (float64, bool) { return 0, true }, t.Headroom)
		for i, d := range demands {
			for j, z := range zones {
				if d.Zone != z.Name {
					crossed += flow.Served[i][j] / (t.Load * float64(t.Workers*zoneSlots))
				}
			}
		}
	}
	return crossed * float64(step) / float64(span)
}
