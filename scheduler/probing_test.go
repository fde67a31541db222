package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// TestProbe_rateByDispatchers checks that a worker gets 1 to 2.5 probes a second, regardless of the number of dispatchers.
func TestProbe_rateByDispatchers(t *testing.T) {
	for _, dispatchers := range []int{2, 10, 80} {
		t.Run(fmt.Sprint(dispatchers), func(t *testing.T) {
			const n, span = 60, 80 * time.Second
			driver := newDispatchers(t, dispatchers, n)[0]
			driver.handle(RequestArrived{ID: 1, Slots: 1, AffinityKey: 1, Deadline: driver.now + 4*time.Second})
			driver.finishServed(1, nil)
			probes := 0
			for end := driver.now + span; driver.now < end; driver.now += 50 * ms {
				for _, a := range driver.handle(TimerFired{Token: reviewTimer}) {
					if p, ok := a.(Probe); ok {
						probes++
						driver.handle(ProbeCompleted{Worker: p.Worker, Report: loadReport(0.5, 2)})
					}
				}
			}
			each := float64(probes*dispatchers) / n / span.Seconds()
			if each < 1 || each > 2.5 {
				t.Errorf("got %.1f probes a second at each worker, want 1 to 2.5", each)
			}
		})
	}
}

// TestProbe_repeatedReportIsNotFresh checks that a report with the same values as the previous one does not count as newer,
// because the worker has not refreshed it.
func TestProbe_repeatedReportIsNotFresh(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(1)...)
	w, first := driver.scheduler.workers[0], driver.now
	for _, c := range []struct {
		free float64
		want Instant
	}{{3.5, first}, {3.5, first}, {3.4, first + 2*time.Second}} {
		if driver.handle(ProbeCompleted{Worker: w.ID, Report: loadReport(0.5, c.free)}); w.reportedAt != c.want || w.lastSignal != driver.now {
			t.Errorf("got a report at %v and the last signal at %v, want %v and now", w.reportedAt, w.lastSignal, c.want)
		}
		driver.now += time.Second
	}
}
