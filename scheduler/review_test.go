package scheduler

import (
	"testing"
	"time"
)

// TestReview_afterStall checks that a process that was stalled for 5 s does not treat its workers as silent.
func TestReview_afterStall(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(zonedWorkers(3, 1)...)
	driver.submit(1, 2)
	driver.advance(50 * ms)
	driver.now += 5 * time.Second
	actions := append(driver.handle(TimerFired{Token: reviewTimer}), driver.handle(AttemptStarted{ID: 1})...)
	driver.now += 30 * ms
	actions = append(actions, driver.handle(TimerFired{Token: reviewTimer})...)
	if countActions[Log](actions) != 0 || driver.scheduler.overcommit != initialOvercommit {
		t.Errorf("after a stall of the process: expected no Log and the initial overcommit, got %v, overcommit %v", actions, driver.scheduler.overcommit)
	}
}
