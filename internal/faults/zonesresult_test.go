package faults

import (
	"fmt"
	"testing"
	"time"
)

// TestPlanChanges: detection is measured from the start of the fault until the first process applies a plan, the move until the last
// process has applied one, and the return from the end of the fault until the last plan is applied.
func TestPlanChanges(t *testing.T) {
	from := time.UnixMilli(1_000_000)
	applied := func(ms, number int) string {
		return fmt.Sprintf("level=INFO msg=\"failover plan applied\" number=%d expired=false at_ms=%d\n", number, 1_000_000+ms)
	}
	r := &run{processes: []*dispatcherProcess{
		{lost: true, earlierLog: applied(-50, 1) + applied(300, 2) + applied(5400, 4)},
		{lost: true, earlierLog: applied(700, 2) + applied(900, 3) + applied(5200, 4)},
		{lost: true},
	}}
	var result ZonesResult
	r.measurePlanChanges(&result, from, from.Add(5*time.Second))
	if want := (ZonesResult{PlanChanges: 4, DetectMS: 300, MovedMS: 700, BackMS: 400}); result != want {
		t.Errorf("%+v", result)
	}
	r.measurePlanChanges(&result, from.Add(time.Minute), from.Add(time.Hour))
	if result.DetectMS != -1 || result.MovedMS != -1 || result.BackMS != -1 {
		t.Errorf("without a plan: %+v", result)
	}
}

// TestServedShare: only jobs that were sent in the period count. Its begin is included, its end is not.
func TestServedShare(t *testing.T) {
	begin := time.UnixMilli(1_000_000)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	jobs := endedJobs{{at(-1), true}, {at(0), true}, {at(10), false}, {at(20), false}, {at(29), true}, {at(30), true}}
	if share := jobs.servedShare(begin, at(30)); share != 0.5 {
		t.Errorf("served %v", share)
	}
	if share := jobs.servedShare(at(40), at(50)); share != 0 {
		t.Errorf("without jobs: served %v", share)
	}
}
