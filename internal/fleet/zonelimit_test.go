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

// newPlanningAgent makes the agent of a raft group of one, which plans by one report, and returns its address: zone a has more
// work than capacity, zone b has none.
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
		heard := []failover.LastResponse{{To: "a"}, {To: "b"}}
		return &failover.Report{Dispatcher: "n0", Zone: "a", LastResponses: heard, Capacity: map[string]float64{"a": 100, "b": 100}, Arrivals: []failover.Arrivals{{Class: "x", Work: 120, Weight: 1}}}
	}
	agent, err = New(configured)
	if err != nil {
		t.Fatal(err)
	}
	return agent, address
}

// TestLimitZone has a raft group of one plan by a report. A limit of a zone for which the other zone lacks the capacity is
// rejected with the figures, and applied where it is forced; once the limit is lifted the zone gets its jobs back.
func TestLimitZone(t *testing.T) {
	agent, at := newPlanningAgent(t)
	ctx, stop := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { agent.Run(ctx) })
	defer wait.Wait()
	defer stop()
	until := func(what string, ok func(Status) bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !ok(agent.Status()); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: %+v", what, agent.Status().Record.Plan)
			}
		}
	}
	near := func(least, most float64) func(Status) bool {
		return func(s Status) bool {
			share := s.Record.Plan.Share("a", "x", "a")
			return s.Record.Plan != nil && share >= least && share <= most
		}
	}
	until("a plan that uses both zones", near(0.69, 0.72)) // 85 of 120
	limit := func(share float64, force bool) (int, string) {
		text, _ := json.Marshal(configversions.ZoneLimit{Zone: "a", Share: share, By: "t", Reason: "test", Force: force})
		status, body, err := Call(t.Context(), http.DefaultClient, fmt.Sprintf("http://%s/council/hold", at), text, time.Now().Add(5*time.Second))
		if err != nil {
			t.Fatal(err)
		}
		return status, string(body)
	}
	if status, text := limit(0, false); status != http.StatusConflict || !strings.Contains(text, "no room elsewhere") {
		t.Errorf("%d %s", status, text)
	}
	if status, text := limit(0, true); status != http.StatusOK {
		t.Errorf("%d %s", status, text)
	}
	until("nothing in the drained zone", near(0, 0.01))
	if s := agent.Status(); len(s.Record.ZoneLimits) != 1 || !s.Record.ZoneLimits[0].Force || len(s.Zones) != 2 {
		t.Errorf("%+v", s.Record.ZoneLimits)
	}
	if status, _ := limit(1, false); status != http.StatusOK {
		t.Errorf("%d", status)
	}
	until("its jobs again", near(0.65, 0.72))
}
