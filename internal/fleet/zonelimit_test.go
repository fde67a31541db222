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

// TestLimitZone has a raft group of one plan by a report. A limit of a zone for which the other zone lacks the capacity is
// rejected with the figures, and applied where it is forced; once the limit is lifted the zone gets its jobs back.
func TestLimitZone(t *testing.T) {
	l, err := net.Listen("tcp", "127.99.7.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := l.Addr().String()
	l.Close()
	o := options(t.TempDir())
	o.Settings.Listen, o.Settings.Voters, o.Settings.VoterID = at, []string{at}, 1
	f := DefaultFailover()
	f.Regions, f.RecoveryRamp = []Region{{"north", []string{"a", "b"}}}, "1s"
	o.Failover, o.PlanChanged = &f, func(*failover.Plan, bool) {}
	o.Report = func() *failover.Report {
		heard := []failover.LastResponse{{To: "a"}, {To: "b"}}
		return &failover.Report{Dispatcher: "n0", Zone: "a", LastResponses: heard, Capacity: map[string]float64{"a": 100, "b": 100}, Arrivals: []failover.Arrivals{{Class: "x", Work: 120, Weight: 1}}}
	}
	a, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { a.Run(ctx) })
	defer wait.Wait()
	defer stop()
	until := func(what string, ok func(Status) bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !ok(a.Status()); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: %+v", what, a.Status().Record.Plan)
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
	if s := a.Status(); len(s.Record.ZoneLimits) != 1 || !s.Record.ZoneLimits[0].Force || len(s.Zones) != 2 {
		t.Errorf("%+v", s.Record.ZoneLimits)
	}
	if status, _ := limit(1, false); status != http.StatusOK {
		t.Errorf("%d", status)
	}
	until("its jobs again", near(0.65, 0.72))
}
