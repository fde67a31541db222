package zonerouting

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"brassdale/internal/decisions/failover"
	"brassdale/internal/protocol"
	"brassdale/scheduler"
)

// testSettings has three zones and two classes. The dispatcher is in the second zone, "b". Requests of class "bulk" are
// deduplicated for 2 s. Times are in microseconds, as on the wire.
const testSettings = `{
	"classes": [
		{"name": "bulk", "aim": 100000, "credit": 3, "window": 2000000, "aimStretch": 0.5},
		{"name": "view", "aim": 50000, "credit": 1}
	],
	"zones": ["a", "b", "c"], "locality": 1,
	"rules": {"cold": 3000000, "startCapacity": 0.25}
}`

const (
	zoneBitA = 1 << iota
	zoneBitB
	zoneBitC
)

// newTestRouter returns the router of a dispatcher with testSettings, and one worker in each zone.
func newTestRouter(t *testing.T) *Router {
	t.Helper()
	var settings protocol.Settings
	if err := json.Unmarshal([]byte(testSettings), &settings); err != nil {
		t.Fatal(err)
	}
	var live protocol.LiveSettings
	live.Replace(&settings, func(scheduler.Settings) {})
	router := New("n1", &live)
	router.EndpointsUpdated(0, scheduler.EndpointsUpdated{ListKind: scheduler.ListFull, Workers: []scheduler.WorkerInfo{
		{ID: "worker-a", Zone: 0, Weight: 4},
		{ID: "worker-b", Zone: 1, Weight: 8},
		{ID: "worker-c", Zone: 2, Weight: 8, State: scheduler.Draining},
	}})
	return router
}

// planOf returns a plan with shares for class "bulk" of zone "b".
func planOf(shares ...failover.ZoneShare) *failover.Plan {
	return &failover.Plan{Number: 1, Shares: map[string]map[string][]failover.ZoneShare{"b": {"bulk": shares}}}
}

// TestRouterRoute_byPlan checks the zones of a request according to the plan, the count of shed requests, and that only shed requests
// get a Retry-After, within its bounds.
func TestRouterRoute_byPlan(t *testing.T) {
	for _, test := range []struct {
		name    string
		plan    *failover.Plan
		expired bool
		class   string
		want    uint64
		wantOK  bool
	}{
		{name: "no plan", class: "bulk", want: zoneBitB, wantOK: true},
		{name: "all elsewhere", plan: planOf(failover.ZoneShare{Zone: "c", Share: 1}), class: "bulk", want: zoneBitC, wantOK: true},
		{name: "plan expired", plan: planOf(failover.ZoneShare{Zone: "c", Share: 1}), expired: true, class: "bulk", want: zoneBitB, wantOK: true},
		{name: "class that is not planned", plan: planOf(failover.ZoneShare{Zone: "c", Share: 1}), class: "view", want: zoneBitB, wantOK: true},
		{name: "zone that the settings do not name", plan: planOf(failover.ZoneShare{Zone: "d", Share: 1}), class: "bulk", want: 0, wantOK: true},
		{name: "all shed", plan: planOf(), class: "bulk"},
	} {
		t.Run(test.name, func(t *testing.T) {
			router := newTestRouter(t)
			router.ApplyPlan(test.plan, test.expired)
			zones, retryAfter, ok := router.Route(0, test.class, "")
			if zones != test.want || ok != test.wantOK {
				t.Errorf("zones %b, %t; want %b, %t", zones, ok, test.want, test.wantOK)
			}
			wantShed := 0
			if !test.wantOK {
				wantShed = 1
			}
			if shed := router.ShedCount(); shed != wantShed {
				t.Errorf("%d shed, want %d", shed, wantShed)
			}
			if inRange := retryAfter >= minRetryAfter && retryAfter <= minRetryAfter+maxRetryAfterSpread; inRange == ok {
				t.Errorf("Retry-After %v, routed %t", retryAfter, ok)
			}
		})
	}
}

// TestRouterRoute_sameZoneForKeyWithinWindow checks that requests of a key are routed to the zone of its first request, regardless of the
// plan, until the deduplication window of 2 s ends.
func TestRouterRoute_sameZoneForKeyWithinWindow(t *testing.T) {
	router := newTestRouter(t)
	router.ApplyPlan(planOf(failover.ZoneShare{Zone: "a", Share: 1}), false)
	if zones, _, _ := router.Route(0, "bulk", "key"); zones != zoneBitA {
		t.Errorf("first request of the key: zones %b, want zone a", zones)
	}
	router.ApplyPlan(planOf(failover.ZoneShare{Zone: "c", Share: 1}), false)
	if zones, _, _ := router.Route(2*time.Second-1, "bulk", "key"); zones != zoneBitA {
		t.Errorf("within the window: zones %b, want zone a", zones)
	}
	if zones, _, _ := router.Route(2*time.Second-1, "bulk", "other key"); zones != zoneBitC {
		t.Errorf("another key: zones %b, want zone c", zones)
	}
	if zones, _, _ := router.Route(2*time.Second, "bulk", "key"); zones != zoneBitC {
		t.Errorf("after the window: zones %b, want zone c", zones)
	}
}

// TestKeyZones_sweepRemovesExpired checks that sweep removes expired keys, and that the other keys keep their zone until they expire.
func TestKeyZones_sweepRemovesExpired(t *testing.T) {
	keys := keyZones{zones: map[uint64]keyZone{}}
	keys.add(0, "a", time.Minute)
	keys.add(1, "a", time.Second)
	keys.add(2, "b", 3*time.Second)
	keys.sweep(2 * time.Second)
	if len(keys.zones) != 1 {
		t.Errorf("keys after sweep: %v, want one", keys.zones)
	}
	if zone, ok := keys.get(2, 2*time.Second); !ok || zone != "b" {
		t.Errorf("key that has not expired: zone %q, %t, want b", zone, ok)
	}
	if _, ok := keys.get(2, 3*time.Second); ok {
		t.Error("an expired key has a zone")
	}
}

// TestRouterAttemptEnded_counts checks how the report counts an ended attempt, depending on its outcome and times: ended, in time, full,
// unanswered, or not at all.
func TestRouterAttemptEnded_counts(t *testing.T) {
	const objective = 100 * time.Millisecond
	for _, test := range []struct {
		outcome                 scheduler.Outcome
		took, ran               time.Duration
		ended, inTime, full     float64
		unanswered, notReported bool
	}{
		{outcome: scheduler.Served, took: objective, ended: 1, inTime: 1},
		{outcome: scheduler.Served, took: objective + time.Millisecond, ended: 1},
		{outcome: scheduler.Served, took: objective + 10*time.Millisecond, ran: 20 * time.Millisecond, ended: 1, inTime: 1},
		{outcome: scheduler.Errored, ended: 1},
		{outcome: scheduler.Full, ended: 1, full: 1},
		{outcome: scheduler.TimedOut, unanswered: true},
		{outcome: scheduler.NoConnect, unanswered: true},
		{outcome: scheduler.Reset, unanswered: true},
		{outcome: scheduler.Cancelled, took: minCancelledWait, unanswered: true},
		{outcome: scheduler.Cancelled, took: minCancelledWait - 1, notReported: true},
		{outcome: scheduler.Cancelled, took: minCancelledWait, ran: 1, notReported: true},
		{outcome: scheduler.NeverSent, took: minCancelledWait, notReported: true},
	} {
		t.Run(fmt.Sprint(test.outcome, " after ", test.took, " ran ", test.ran), func(t *testing.T) {
			router := newTestRouter(t)
			router.AttemptEnded(time.Second, "worker-a", "bulk", test.outcome, test.took, test.ran)
			report := router.Report()
			var got failover.Observation
			if len(report.Observations) > 0 {
				got = report.Observations[0]
			}
			if got.Ended != test.ended || got.InTime != test.inTime || got.Full != test.full {
				t.Errorf("observation %+v", got)
			}
			if len(report.LastResponses) != 1 {
				if !test.notReported {
					t.Errorf("last responses %+v, want one", report.LastResponses)
				}
				return
			}
			if response := report.LastResponses[0]; test.notReported || response.To != "a" || (response.Unanswered == 1) != test.unanswered {
				t.Errorf("last response %+v", response)
			}
		})
	}
}

// TestRouterReport_capacityOfReadyWorkers checks that the reported capacity of a zone is the sum over its ready workers, reduced for a
// worker in slow start.
func TestRouterReport_capacityOfReadyWorkers(t *testing.T) {
	router := newTestRouter(t)
	router.EndpointsUpdated(time.Second, scheduler.EndpointsUpdated{ListKind: scheduler.ListDelta, Workers: []scheduler.WorkerInfo{
		{ID: "worker-a2", Zone: 0, Weight: 4, StartedAt: time.Second}, // just started: a fifth of a quarter of its slots
	}})
	capacity := router.Report().Capacity
	if want := map[string]float64{"a": 4.2, "b": 8}; len(capacity) != len(want) || capacity["a"] != want["a"] || capacity["b"] != want["b"] {
		t.Errorf("capacity %v, want %v", capacity, want)
	}
}
