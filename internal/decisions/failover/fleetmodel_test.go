package failover

import (
	"fmt"
	"math"
	"time"
)

// fleetModel is a fleet of four zones in two regions. Each dispatcher reports once a second what it can observe. Requests are of two
// classes: "dear" of weight 6 and "cheap" of weight 1.
type fleetModel struct {
	planner            *Planner
	now                Instant
	zones              []string
	dispatchersPerZone int
	capacity           map[string]float64 // slots by zone
	work               map[string]float64 // slots of work that arrive in each zone: a quarter dear, the rest cheap
	lost               map[string]bool    // zones that answer no dispatcher
	cut                map[route]bool     // routes on which no response arrives; their class is empty
	late               map[string]bool    // zones whose responses all miss the latency objective
	lostClasses        map[zoneClass]bool // classes whose responses from a zone all miss the latency objective
	wrongDispatcher    string             // name of a dispatcher that reports the opposite of what it observes, and ten times the capacity
	plansMade          int
}

// newFleetModel returns a model of four zones in two regions, half loaded and without faults.
func newFleetModel(dispatchersPerZone int) *fleetModel {
	model := &fleetModel{
		zones:              []string{"a", "b", "c", "d"},
		dispatchersPerZone: dispatchersPerZone,
		capacity:           map[string]float64{},
		work:               map[string]float64{},
		lost:               map[string]bool{},
		cut:                map[route]bool{},
		late:               map[string]bool{},
		lostClasses:        map[zoneClass]bool{},
	}
	regions := map[string]string{}
	for i, zone := range model.zones {
		model.capacity[zone], model.work[zone] = 100, 50
		regions[zone] = []string{"north", "south"}[i/2]
	}
	settings := Settings{
		Headroom: 0.15, RecoveryRamp: 60 * time.Second, DetectionTime: 1500 * time.Millisecond, MaxShiftPerSecond: 0.1,
		Distance: func(from, to string) float64 { return math.Abs(float64(from[0]) - float64(to[0])) },
	}
	model.planner = NewPlanner(settings, regions, nil, 0)
	return model
}

// run advances the model by seconds. In each second all dispatchers report, then the planner makes a plan if one is needed.
func (m *fleetModel) run(seconds int) {
	for range seconds {
		m.now += time.Second
		for _, zone := range m.zones {
			for i := range m.dispatchersPerZone {
				m.planner.AddReport(m.report(fmt.Sprint(zone, i), zone), m.now)
			}
		}
		if _, made := m.planner.Next(m.now); made {
			m.plansMade++
		}
	}
}

// report returns the report of a dispatcher in a zone.
func (m *fleetModel) report(dispatcher, zone string) Report {
	work := m.work[zone] / float64(m.dispatchersPerZone)
	report := Report{
		Dispatcher: dispatcher, Zone: zone, Capacity: map[string]float64{},
		Arrivals: []Arrivals{{"dear", work / 4, 6}, {"cheap", work * 3 / 4, 1}},
	}
	for _, to := range m.zones {
		unreachable := m.lost[to] || m.cut[route{from: zone, to: to}]
		report.Capacity[to] = m.capacity[to]
		response := LastResponse{To: to, Since: 100 * time.Millisecond}
		if unreachable {
			response = LastResponse{to, time.Second, 5}
		}
		if dispatcher == m.wrongDispatcher {
			report.Capacity[to] = 10 * m.capacity[to]
			if response = (LastResponse{to, time.Second, 5}); unreachable {
				response = LastResponse{To: to}
			}
		}
		report.LastResponses = append(report.LastResponses, response)
		if !unreachable {
			report.Observations = append(report.Observations, m.observations(zone, to)...)
		}
	}
	return report
}

// observations returns what a dispatcher in one zone observes of its attempts in another zone. The number of attempts is
// proportional to the plan's share.
func (m *fleetModel) observations(from, to string) (observations []Observation) {
	for _, class := range []string{"dear", "cheap"} {
		share := m.planner.Plan().Share(from, class, to)
		if share <= 0 {
			continue
		}
		observation := Observation{To: to, Class: class, Ended: 20 * share, InTime: 20 * share}
		if m.late[to] || m.lostClasses[zoneClass{to, class}] {
			observation.InTime = 0
		}
		observations = append(observations, observation)
	}
	return observations
}

// load returns the slots of work that the plan gives each zone.
func (m *fleetModel) load() map[string]float64 {
	_, demands := m.planner.inputs(m.now)
	return m.planner.Plan().Load(demands)
}
