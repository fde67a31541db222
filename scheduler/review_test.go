package scheduler

import (
	"testing"
	"time"
)

// A process that stood still does not take its workers for silent.
func TestStall_isNoSilence(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(zonedWorkers(3, 1)...)
	v.submit(1, 2)
	v.advance(50 * ms)
	v.now += 5 * time.Second
	acts := append(v.handle(TimerFired{Token: reviewTimer}), v.handle(AttemptStarted{ID: 1})...)
	v.now += 30 * ms
	acts = append(acts, v.handle(TimerFired{Token: reviewTimer})...)
	if countActions[Log](acts) != 0 || v.scheduler.overcommit != initialOvercommit {
		t.Errorf("after a standstill of its own it did %v, allowance %v", acts, v.scheduler.overcommit)
	}
}
