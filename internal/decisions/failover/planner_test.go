package failover

import (
	"testing"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

// TestPlanner_lossAndRecovery checks that all work is served in its zone without faults, and that a fault of a second changes nothing. A
// lost zone gets no work after three seconds: its work goes to its region first, within the capacities. The zone's capacity returns over
// a minute, and flapping for a minute makes at most twelve plans.
func TestPlanner_lossAndRecovery(t *testing.T) {
	model := newFleetModel(3)
	model.run(10)
	for _, zone := range model.zones {
		if model.planner.Plan().Share(zone, "dear", zone) < 0.999 || model.planner.Plan().Share(zone, "cheap", zone) < 0.999 {
			t.Fatalf("work leaves its zone without faults: %+v", model.planner.Plan())
		}
	}
	plansBefore := model.plansMade
	model.lost["a"] = true
	model.run(1)
	model.lost["a"] = false
	model.run(10)
	if model.plansMade != plansBefore {
		t.Errorf("a fault of a second made %d plans", model.plansMade-plansBefore)
	}
	model.lost["a"] = true
	model.run(3)
	plan := model.planner.Plan()
	if plan.Share("a", "dear", "a") > 0 || plan.Share("a", "dear", "b") < 0.99 || plan.Share("c", "dear", "c") < 0.99 || plan.Reasons["a"] == "" {
		t.Fatalf("three seconds after the loss: %+v", plan)
	}
	for zone, load := range model.load() {
		if load > 85.1 {
			t.Errorf("%v slots of work planned in %s, want at most 85", load, zone)
		}
	}
	leavesRegion := plan.Share("a", "cheap", "c") + plan.Share("a", "cheap", "d") + plan.Share("b", "cheap", "c") + plan.Share("b", "cheap", "d")
	if leavesRegion < 0.1 {
		t.Errorf("the region has 100 slots of work and capacity for 85, but shares of only %v leave it: %+v", leavesRegion, plan)
	}
	model.lost["a"] = false
	model.run(15)
	if share := model.planner.Plan().Share("a", "cheap", "a"); share > 0.75 {
		t.Errorf("share %v restored after 15 s, want at most 0.75", share)
	}
	model.run(90)
	if share := model.planner.Plan().Share("a", "cheap", "a"); share < 0.99 {
		t.Errorf("share %v restored after 105 s, want all: %+v", share, model.planner.Plan())
	}
	plansBefore = model.plansMade
	for range 20 { // three seconds present, three lost
		model.lost["a"] = !model.lost["a"]
		model.run(3)
	}
	if made := model.plansMade - plansBefore; made > 12 {
		t.Errorf("%d plans for a minute of flapping, want at most 12", made)
	}
}

// TestPlanner_partialFaults checks a cut route, wrong reports of one dispatcher, late responses of a zone, and a zone lost for a class.
func TestPlanner_partialFaults(t *testing.T) {
	t.Run("a route that is cut in one direction is avoided only by its own zone", func(t *testing.T) {
		model := newFleetModel(3)
		model.work["a"] = 120 // so that zone a sends requests to zone b
		model.run(30)
		if model.planner.Plan().Share("a", "cheap", "b") < 0.1 {
			t.Fatalf("a has more work than capacity, but b does not serve it: %+v", model.planner.Plan())
		}
		model.cut[route{from: "a", to: "b"}] = true
		model.run(5)
		plan := model.planner.Plan()
		if plan.Share("a", "cheap", "b") > 0 || plan.Share("b", "cheap", "b") < 0.99 || plan.Share("a", "cheap", "c")+plan.Share("a", "cheap", "d") < 0.1 {
			t.Errorf("plan after the route from a to b was cut: %+v", plan)
		}
	})
	t.Run("one dispatcher that reports the opposite changes nothing", func(t *testing.T) {
		model := newFleetModel(3)
		model.wrongDispatcher = "a1"
		model.run(20)
		if model.planner.Plan().Share("a", "dear", "a") < 0.99 || model.plansMade > 2 {
			t.Errorf("plan changed by the wrong reports of one dispatcher: %+v", model.planner.Plan())
		}
		model.lost["c"] = true
		model.run(4)
		if model.planner.Plan().Share("c", "dear", "c") > 0 {
			t.Errorf("plan unchanged after a loss, with wrong reports of one dispatcher: %+v", model.planner.Plan())
		}
	})
	t.Run("a zone whose responses are late gets less work", func(t *testing.T) {
		model := newFleetModel(2)
		model.run(5)
		model.late["b"] = true
		model.run(20)
		if model.planner.Plan().Share("b", "cheap", "b") > 0.7 {
			t.Errorf("plan after responses of b were late for 20 s: %+v", model.planner.Plan())
		}
	})
	t.Run("a zone that is lost for a class gets no requests of the class", func(t *testing.T) {
		model := newFleetModel(2)
		model.run(5)
		model.lostClasses[zoneClass{"b", "dear"}] = true
		model.run(6)
		if plan := model.planner.Plan(); plan.Share("b", "dear", "b") > 0 || plan.Share("b", "cheap", "b") < 0.99 || plan.Share("b", "dear", "a") < 0.99 {
			t.Errorf("plan after b was lost for class dear: %+v", plan)
		}
	})
}

// TestPlanner_randomHistories checks random histories of zones and routes. No new plan loads a zone above its capacity minus the headroom
// unless the previous plan did, no new plan uses an excluded route, and class cheap is shed before class dear.
func TestPlanner_randomHistories(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		model := newFleetModel(rapid.IntRange(1, 3).Draw(t, "dispatchers"))
		model.run(3)
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			zone, other := rapid.SampledFrom(model.zones).Draw(t, "a"), rapid.SampledFrom(model.zones).Draw(t, "b")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				model.lost[zone] = !model.lost[zone]
			case 1:
				key := route{from: zone, to: other}
				model.cut[key] = !model.cut[key]
			case 2:
				model.work[zone] = float64(rapid.IntRange(0, 200).Draw(t, "work"))
			case 3:
				model.capacity[zone] = float64(rapid.IntRange(10, 150).Draw(t, "capacity"))
			case 4:
				model.late[zone] = !model.late[zone]
			}
			for range rapid.IntRange(1, 8).Draw(t, "seconds") {
				before := model.planner.Plan()
				model.run(1)
				checkPlan(t, model, before)
			}
		}
		checkShedding(t, model)
	})
}

// checkPlan checks the shares of the last plan, and its loads and routes if it is a new one.
func checkPlan(t *rapid.T, model *fleetModel, before *Plan) {
	t.Helper()
	plan := model.planner.Plan()
	zones, demands := model.planner.inputs(model.now)
	for _, demand := range demands {
		sum := 0.0
		for _, share := range plan.shares(demand.Zone, demand.Class) {
			sum += share.Share
			if share.Share < 0 || share.Share > 1+1e-9 {
				t.Fatalf("share %v is not from 0 to 1", share)
			}
		}
		if sum > 1+1e-6 {
			t.Fatalf("the shares of class %s in zone %s sum up to %v, want at most 1", demand.Class, demand.Zone, sum)
		}
	}
	if plan == before || before == nil {
		return
	}
	for _, zone := range zones {
		if load := plan.Load(demands)[zone.Name]; load > max(zone.Capacity*0.85, before.Load(demands)[zone.Name])+1e-6 {
			t.Fatalf("%v slots of work planned in %+v, more than its capacity minus the headroom and than before", load, zone)
		}
	}
	if model.planner.planUsesExcludedRoute(demands) {
		t.Fatalf("the plan uses an excluded route: %+v", plan)
	}
}

// checkShedding checks that a zone's requests of class dear are shed only if none of its requests of class cheap are served. It
// tolerates small deviations.
func checkShedding(t *rapid.T, model *fleetModel) {
	t.Helper()
	_, demands := model.planner.inputs(model.now)
	for _, demand := range demands {
		if demand.Class != "dear" {
			continue
		}
		dear, cheap := 0.0, 0.0
		for _, share := range model.planner.Plan().shares(demand.Zone, "dear") {
			dear += share.Share
		}
		for _, share := range model.planner.Plan().shares(demand.Zone, "cheap") {
			cheap += share.Share
		}
		if dear < 0.9 && cheap > dear+0.2 {
			t.Fatalf("in zone %s, share %v of class dear is served, but share %v of class cheap: %+v", demand.Zone, dear, cheap, model.planner.Plan())
		}
	}
}
