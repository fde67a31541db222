package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkJob measures the handling of one request from its arrival to its end, at one of 80 dispatchers, by the number of workers
// and with or without affinity keys.
func BenchmarkJob(b *testing.B) {
	for _, withKeys := range []bool{true, false} {
		for _, n := range []int{12, 60, 200, 1000, 5000} {
			b.Run(fmt.Sprintf("keys=%v/workers=%d", withKeys, n), func(b *testing.B) {
				settings := baseSettings()
				settings.Dispatchers, settings.ReportsPulled, settings.MayProbe, settings.MayHedge = 80, true, true, true
				scheduler, now := New(settings, 1), start
				scheduler.Handle(now, EndpointsUpdated{ListKind: ListFull, Workers: workers(n)})
				id := RequestID(0)
				for b.Loop() {
					id++
					now += 100 * time.Millisecond
					arrival := RequestArrived{ID: id, Slots: 1, Deadline: now + 5*time.Second}
					if withKeys {
						arrival.AffinityKey = uint64(id%500) + 1
					}
					to := firstSendWorker(scheduler.Handle(now, arrival))
					scheduler.Handle(now+time.Millisecond, AttemptStarted{ID: id, Worker: to})
					scheduler.Handle(now+50*time.Millisecond, TimerFired{Token: reviewTimer})
					scheduler.Handle(now+90*time.Millisecond, AttemptFinished{ID: id, Worker: to, Outcome: Served, Final: true})
				}
			})
		}
	}
}

// BenchmarkHandle measures the handling of one request from its arrival to its end, at one of 300 dispatchers, by the number of workers.
func BenchmarkHandle(b *testing.B) {
	for _, n := range []int{20, 200} {
		b.Run(fmt.Sprint(n, " workers"), func(b *testing.B) {
			settings := baseSettings()
			settings.Dispatchers = 300
			scheduler := New(settings, 1)
			scheduler.Handle(start, EndpointsUpdated{ListKind: ListFull, Workers: zonedWorkers(n, 2)})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				at, id := start+Instant(i)*200*ms, RequestID(i+1)
				scheduler.Handle(at, RequestArrived{ID: id, Class: i % 3, Slots: 1, Deadline: at + 2*time.Second})
				scheduler.Handle(at, AttemptStarted{ID: id})
				scheduler.Handle(at+100*ms, TimerFired{Token: reviewTimer})
				scheduler.Handle(at+150*ms, AttemptFinished{ID: id, Outcome: Served, Final: true, Report: loadReport(0.5, 2)})
			}
		})
	}
}
