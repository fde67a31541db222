package emulator

import (
	"testing"
	"time"

	"brassdale/scheduler"
)

// fourZones is a cluster of four zones in two regions at 0.55 of its capacity; one zone is lost for 20 s.
func fourZones(seed uint64, mode string) Scenario {
	s := ReferenceScenario(seed)
	s.Span, s.Dispatchers = 100*time.Second, 12
	s.Kinds = []WorkerKind{{"box", 24, 5, 0.9, 1.1, false}}
	s.Network.Zones, s.Network.Regions, s.Network.CrossPrice = 4, 2, 0.03
	s.Traffic.Rate, s.Traffic.Subjects, s.Traffic.Idempotency = 0.55*24*5/0.2, 0, scheduler.Idempotent
	s.Reports.Every = 500 * time.Millisecond
	s.Faults = []Fault{{At: 20 * time.Second, For: 20 * time.Second, Kind: ZoneLost, Zone: 1, Share: 1}}
	s.Failover = Failover{Mode: mode, Headroom: 0.1, RecoveryRamp: 30 * time.Second, DetectionTime: time.Second, MaxShiftPerSecond: 0.1}
	return s
}

// TestFailover_zoneLost loses a zone for 20 s; its workers then warm up. With a plan, no zone receives more than 1.05 of its capacity,
// nothing is planned into the lost zone after four seconds, the zone has its share again after 20 s at the earliest, and no rule is broken.
// At least as much is served as in the modes "near" and "spread".
func TestFailover_zoneLost(t *testing.T) {
	results := map[string]*Result{}
	for _, mode := range []string{"", "near", "spread", "plan"} {
		result, err := Run(fourZones(3, mode), schedulerPolicy)
		if err != nil {
			t.Fatal(err)
		}
		results[mode] = result
		t.Logf("%-6q served before the loss %.3f, during it %.3f, after it %.3f; crossings %.2f, zone's peak %.2f, p99 %v, plans %d, moved after %v, restored after %v, breaches %d",
			mode, result.ServiceBetween(5*time.Second, 20*time.Second), result.ServiceBetween(23*time.Second, 40*time.Second), result.ServiceBetween(40*time.Second, 70*time.Second),
			result.Crossings, result.ZonePeak, result.P99, result.PlanChanges, result.MovedAfter, result.RestoredAfter, len(result.Breaches))
	}
	planned := results["plan"]
	if len(planned.Breaches) > 0 || planned.ZonePeak > 1.05 || planned.MovedAfter == 0 || planned.MovedAfter > 4*time.Second || planned.RestoredAfter < 20*time.Second {
		t.Errorf("breaches %+v, zone's peak %.2f, moved after %v, restored after %v", planned.Breaches, planned.ZonePeak, planned.MovedAfter, planned.RestoredAfter)
	}
	for _, mode := range []string{"near", "spread"} {
		if planned.Service < results[mode].Service {
			t.Errorf("%s serves %v, the plan %v", mode, results[mode].Service, planned.Service)
		}
	}
}
