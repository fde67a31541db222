package scheduler

import (
	"encoding/json"
	"testing"
	"time"
)

// TestHandover_learnedState checks that a successor starts with what its predecessor learned, also after a round trip through
// JSON. It must not adopt what was learned about a worker that has restarted since.
func TestHandover_learnedState(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(2)...)
	old := driver.scheduler
	old.overcommit, old.classes[1] = -0.2, classState{workScale: 0.3, meanLogRuntime: -1.5, jobs: 40}
	for _, w := range old.workers {
		w.observedSlots, w.logSlownessSum, w.slownessJobs = 6, 12, 12
	}
	text, err := json.Marshal(old.LearnedState())
	if err != nil {
		t.Fatal(err)
	}
	var learned LearnedState
	if err := json.Unmarshal(text, &learned); err != nil {
		t.Fatal(err)
	}
	next := newDriver(t, baseSettings())
	infos := workers(2)
	infos[1].StartedAt = next.now - time.Second
	next.listWorkers(infos...)
	next.handle(LearnedStateReceived{LearnedState: learned})
	same, restarted := next.scheduler.workersByID[infos[0].ID], next.scheduler.workersByID[infos[1].ID]
	if next.scheduler.overcommit != old.overcommit || next.scheduler.classes[1] != old.classes[1] || next.scheduler.estimatedSlots(same) != 6 || next.scheduler.slowdown(same) != old.slowdown(old.workers[0]) {
		t.Errorf("expected the predecessor's values, got overcommit %v, class %+v, slots %v, slowdown %v", next.scheduler.overcommit, next.scheduler.classes[1], next.scheduler.estimatedSlots(same), next.scheduler.slowdown(same))
	}
	if restarted.slownessJobs != 0 || restarted.logSlownessSum != 0 {
		t.Errorf("expected no slowness of a worker that has restarted, got the slowness of %v jobs", restarted.slownessJobs)
	}
}
