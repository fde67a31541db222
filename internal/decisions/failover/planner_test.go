package failover

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleetModel is a fleet that reports once a second: dispatchers in zones, each of which sees what there is to see.
type fleetModel struct {
	planner            *Planner
	now                Clock
	zones              []string
	capacity           map[string]float64
	work               map[string]float64 // asked for by zone, of class "dear" (worth 6) a quarter, of "cheap" the rest
	lost               map[string]bool
	cut                map[[2]string]bool
	late               map[string]bool
	lostClasses        map[[2]string]bool
	wrongDispatcher    string
	plansMade          int
	dispatchersPerZone int // dispatchers in a zone
}

func newFleetModel(alone int) *fleetModel {
	t := &fleetModel{zones: []string{"a", "b", "c", "d"}, capacity: map[string]float64{}, work: map[string]float64{}, lost: map[string]bool{}, cut: map[[2]string]bool{},
		late: map[string]bool{}, lostClasses: map[[2]string]bool{}, dispatchersPerZone: alone}
	regions := map[string]string{}
	for i, z := range t.zones {
		t.capacity[z], t.work[z] = 100, 50
		regions[z] = []string{"north", "south"}[i/2]
	}
	t.planner = NewPlanner(Settings{Headroom: 0.15, RecoveryRamp: 60 * time.Second, DetectionTime: 1500 * time.Millisecond, MaxShiftPerSecond: 0.1,
		Distance: func(from, to string) float64 { return math.Abs(float64(from[0]) - float64(to[0])) }}, regions, nil, 0)
	return t
}

func (t *fleetModel) run(seconds int) {
	for range seconds {
		t.now += time.Second
		for _, from := range t.zones {
			for n := range t.dispatchersPerZone {
				r := Report{Dispatcher: fmt.Sprint(from, n), Zone: from, Capacity: map[string]float64{}}
				share := t.work[from] / float64(t.dispatchersPerZone)
				r.Arrivals = []Arrivals{{"dear", share / 4, 6}, {"cheap", share * 3 / 4, 1}}
				for _, to := range t.zones {
					r.Capacity[to] = t.capacity[to]
					away := t.lost[to] || t.cut[[2]string{from, to}]
					h := LastResponse{To: to, Since: 100 * time.Millisecond}
					if away {
						h = LastResponse{to, time.Second, 5}
					}
					if r.Dispatcher == t.wrongDispatcher { // all is the other way round, and ten times as much
						r.Capacity[to] = 10 * t.capacity[to]
						if h = (LastResponse{to, time.Second, 5}); away {
							h = LastResponse{To: to}
						}
					}
					r.LastResponses = append(r.LastResponses, h)
					for _, class := range []string{"dear", "cheap"} {
						if share := t.planner.Plan().Share(from, class, to); share > 0 && !away {
							s := Observation{To: to, Class: class, Ended: 20 * share, InTime: 20 * share}
							if t.late[to] || t.lostClasses[[2]string{to, class}] {
								s.InTime = 0
							}
							r.Observations = append(r.Observations, s)
						}
					}
				}
				t.planner.AddReport(r, t.now)
			}
		}
		if _, made := t.planner.Next(t.now); made {
			t.plansMade++
		}
	}
}

func (t *fleetModel) load() map[string]float64 {
	_, demands := t.planner.inputs(t.now)
	return t.planner.Plan().Load(demands)
}

// Calm: everything near, one plan. A trouble of a second changes nothing; a zone that is lost is left within three seconds,
// for its region first and within room; back, it is filled over a minute, and later the more it flaps.
func TestPlanner_lossAndRecovery(t *testing.T) {
	w := newFleetModel(3)
	w.run(10)
	for _, z := range w.zones {
		if w.planner.Plan().Share(z, "dear", z) < 0.999 || w.planner.Plan().Share(z, "cheap", z) < 0.999 {
			t.Fatalf("%+v", w.planner.Plan())
		}
	}
	calm := w.plansMade
	w.lost["a"] = true
	w.run(1)
	w.lost["a"] = false
	w.run(10)
	if w.plansMade != calm {
		t.Errorf("a trouble of a second made %d plans", w.plansMade-calm)
	}
	w.lost["a"] = true
	w.run(3)
	p := w.planner.Plan()
	if p.Share("a", "dear", "a") > 0 || p.Share("a", "dear", "b") < 0.99 || p.Share("c", "dear", "c") < 0.99 || p.Reasons["a"] == "" {
		t.Fatalf("after three seconds %+v", p)
	}
	for z, load := range w.load() {
		if load > 85.1 {
			t.Errorf("%v planned in %s", load, z)
		}
	}
	if d := p.Share("a", "cheap", "c") + p.Share("a", "cheap", "d") + p.Share("b", "cheap", "c") + p.Share("b", "cheap", "d"); d < 0.1 {
		t.Errorf("100 of work in a region with room for 85, and %v of it leaves: %+v", d, p)
	}
	w.lost["a"] = false
	w.run(15)
	if share := w.planner.Plan().Share("a", "cheap", "a"); share > 0.75 {
		t.Errorf("%v back after 15 s", share)
	}
	w.run(90)
	if share := w.planner.Plan().Share("a", "cheap", "a"); share < 0.99 {
		t.Errorf("%v back after 105 s: %+v", share, w.planner.Plan())
	}
	before := w.plansMade
	for range 20 { // three seconds there, three gone
		w.lost["a"] = !w.lost["a"]
		w.run(3)
	}
	if made := w.plansMade - before; made > 12 {
		t.Errorf("%d plans for a minute of flapping", made)
	}
}

// A way that is cut in one direction is left by those who use it alone; a dispatcher that tells the contrary of all moves
// nothing; a zone that is late is given less, one that loses a class none of that class.
func TestPlanner_partialFaults(t *testing.T) {
	w := newFleetModel(3)
	w.work["a"] = 120 // so that a uses b
	w.run(30)
	if w.planner.Plan().Share("a", "cheap", "b") < 0.1 {
		t.Fatalf("%+v", w.planner.Plan())
	}
	w.cut[[2]string{"a", "b"}] = true
	w.run(5)
	p := w.planner.Plan()
	if p.Share("a", "cheap", "b") > 0 || p.Share("b", "cheap", "b") < 0.99 || p.Share("a", "cheap", "c")+p.Share("a", "cheap", "d") < 0.1 {
		t.Errorf("a cannot reach b: %+v", p)
	}

	w = newFleetModel(3)
	w.wrongDispatcher = "a1"
	w.run(20)
	if w.planner.Plan().Share("a", "dear", "a") < 0.99 || w.plansMade > 2 {
		t.Errorf("by one liar's word %+v", w.planner.Plan())
	}
	w.lost["c"] = true
	w.run(4)
	if w.planner.Plan().Share("c", "dear", "c") > 0 {
		t.Errorf("in spite of the loss, by one liar's word %+v", w.planner.Plan())
	}

	w = newFleetModel(2)
	w.run(5)
	w.late["b"] = true
	w.run(20)
	if w.planner.Plan().Share("b", "cheap", "b") > 0.7 {
		t.Errorf("late for 20 s %+v", w.planner.Plan())
	}
	w = newFleetModel(2)
	w.run(5)
	w.lostClasses[[2]string{"b", "dear"}] = true
	w.run(6)
	if p := w.planner.Plan(); p.Share("b", "dear", "b") > 0 || p.Share("b", "cheap", "b") < 0.99 || p.Share("b", "dear", "a") < 0.99 {
		t.Errorf("b answers nothing dear: %+v", p)
	}
}

// Whatever befalls zones and ways, a plan never loads a zone above its room by what was known, mixed with the one before no
// zone above its capacity but for what was lost, and shares move by no more than a step where nothing is out; all short, it is
// the cheap that is shed.
func TestPlanner_randomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFleetModel(rapid.IntRange(1, 3).Draw(t, "dispatchers"))
		w.run(3)
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			a, b := rapid.SampledFrom(w.zones).Draw(t, "a"), rapid.SampledFrom(w.zones).Draw(t, "b")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				w.lost[a] = !w.lost[a]
			case 1:
				w.cut[[2]string{a, b}] = !w.cut[[2]string{a, b}]
			case 2:
				w.work[a] = float64(rapid.IntRange(0, 200).Draw(t, "work"))
			case 3:
				w.capacity[a] = float64(rapid.IntRange(10, 150).Draw(t, "capacity"))
			case 4:
				w.late[a] = !w.late[a]
			}
			for range rapid.IntRange(1, 8).Draw(t, "seconds") {
				before := w.planner.Plan()
				w.run(1)
				p := w.planner.Plan()
				zones, demands := w.planner.inputs(w.now)
				for _, d := range demands {
					sum := 0.0
					for _, part := range p.shares(d.Zone, d.Class) {
						sum += part.Share
						if part.Share < 0 || part.Share > 1+1e-9 {
							t.Fatalf("share %v", part)
						}
					}
					if sum > 1+1e-6 {
						t.Fatalf("%v of %s in %s", sum, d.Class, d.Zone)
					}
				}
				if p == before || before == nil {
					continue
				}
				for _, z := range zones {
					if load := p.Load(demands)[z.Name]; load > max(z.Capacity*0.85, before.Load(demands)[z.Name])+1e-6 {
						t.Fatalf("%v in %+v", load, z)
					}
				}
				if w.planner.planUsesExcludedRoute(demands) {
					t.Fatalf("jobs are sent where nothing may go: %+v", p)
				}
			}
		}
		_, demands := w.planner.inputs(w.now)
		for _, d := range demands { // the dear is shed only where no cheap of its zone is served
			if d.Class != "dear" {
				continue
			}
			dear, cheap := 0.0, 0.0
			for _, part := range w.planner.Plan().shares(d.Zone, "dear") {
				dear += part.Share
			}
			for _, part := range w.planner.Plan().shares(d.Zone, "cheap") {
				cheap += part.Share
			}
			if dear < 0.9 && cheap > dear+0.2 {
				t.Fatalf("in %s %v of the dear is served and %v of the cheap: %+v", d.Zone, dear, cheap, w.planner.Plan())
			}
		}
	})
}
