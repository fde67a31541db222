package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/failover"
)

// newPlanningAgent returns the agent of the only voter of a raft group, and its address. The agent plans from its own report: zone a
// has 120 slots of work and a capacity of 100 slots, zone b the same capacity and no work.
func newPlanningAgent(t *testing.T) (agent *Agent, address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.99.7.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address = listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	configured := options(t.TempDir())
	configured.Settings.Listen, configured.Settings.Voters, configured.Settings.VoterID = address, []string{address}, 1
	planning := DefaultFailover()
	planning.Regions, planning.RecoveryRamp = []Region{{"north", []string{"a", "b"}}}, "1s"
	configured.Failover, configured.PlanChanged = &planning, func(*failover.Plan, bool) {}
	configured.Report = func() *failover.Report {
		responses := []failover.LastResponse{{To: "a"}, {To: "b"}}
		return &failover.Report{Dispatcher: "n0", Zone: "a", LastResponses: responses, Capacity: map[string]float64{"a": 100, "b": 100}, Arrivals: []failover.Arrivals{{Class: "x", Work: 120, Weight: 1}}}
	}
	agent, err = New(configured)
	if err != nil {
		t.Fatal(err)
	}
	return agent, address
}

// TestLimitZone_capacityElsewhere checks a limit on a zone while the other zone lacks the capacity for its work: an unforced limit is
// rejected with the reason, and a forced limit is applied. Once the limit is lifted, the zone gets its requests back.
func TestLimitZone_capacityElsewhere(t *testing.T) {
	agent, address := newPlanningAgent(t)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { agent.Run(ctx) })
	defer running.Wait()
	defer stop()
	awaitStatus := func(what string, condition func(Status) bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !condition(agent.Status()); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("condition not met within 20 s: %s; plan %+v", what, agent.Status().Record.Plan)
			}
		}
	}
	shareBetween := func(least, most float64) func(Status) bool {
		return func(status Status) bool {
			share := status.Record.Plan.Share("a", "x", "a")
			return status.Record.Plan != nil && share >= least && share <= most
		}
	}
	awaitStatus("a plan that uses both zones", shareBetween(0.69, 0.72)) // 85 of 120
	limit := func(share float64, force bool) (int, string) {
		encoded, _ := json.Marshal(configversions.ZoneLimit{Zone: "a", Share: share, By: "t", Reason: "test", Force: force})
		status, body, err := Call(t.Context(), http.DefaultClient, fmt.Sprintf("http://%s/council/hold", address), encoded, time.Now().Add(5*time.Second))
		if err != nil {
			t.Fatal(err)
		}
		return status, string(body)
	}
	if status, text := limit(0, false); status != http.StatusConflict || !strings.Contains(text, "no room elsewhere") {
		t.Errorf("unforced limit: got status %d, %s; want 409 with reason \"no room elsewhere\"", status, text)
	}
	if status, text := limit(0, true); status != http.StatusOK {
		t.Errorf("forced limit: got status %d, %s; want 200", status, text)
	}
	awaitStatus("nothing in the drained zone", shareBetween(0, 0.01))
	if status := agent.Status(); len(status.Record.ZoneLimits) != 1 || !status.Record.ZoneLimits[0].Force || len(status.Zones) != 2 {
		t.Errorf("got limits %+v and %d zones; want 1 forced limit and 2 zones", status.Record.ZoneLimits, len(status.Zones))
	}
	if status, _ := limit(1, false); status != http.StatusOK {
		t.Errorf("lifting the limit: got status %d, want 200", status)
	}
	awaitStatus("requests in the zone again", shareBetween(0.65, 0.72))
}
