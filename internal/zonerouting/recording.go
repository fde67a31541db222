package zonerouting

import (
	"time"

	"brassdale/internal/decisions/failover"
	"brassdale/internal/protocol"
	"brassdale/scheduler"
)

// minCancelledWait is the minimum time since the arrival of its request for an attempt to count as unanswered if it is cancelled before its
// job starts.
const minCancelledWait = failover.NoResponseAfter / 4

// AttemptStarted records that a worker has started a job.
func (r *Router) AttemptStarted(now scheduler.Instant, id scheduler.WorkerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.now = now
	r.recorder.ResponseReceived(r.zoneOf(id), now)
}

// AttemptEnded records the outcome of an attempt. sinceArrival is the time since the request arrived, ran the time since the worker
// started the job; 0 if it has not started.
func (r *Router) AttemptEnded(now scheduler.Instant, id scheduler.WorkerID, class string, outcome scheduler.Outcome, sinceArrival, ran time.Duration) {
	settings := r.settings.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.now = now
	switch outcome {
	case scheduler.NeverSent:
	case scheduler.Cancelled:
		if ran == 0 && sinceArrival >= minCancelledWait {
			r.recorder.AttemptUnanswered(r.zoneOf(id), now)
		}
	case scheduler.TimedOut, scheduler.NoConnect, scheduler.Reset:
		r.recorder.AttemptUnanswered(r.zoneOf(id), now)
	default:
		inTime := outcome == scheduler.Served && withinObjective(settings, class, sinceArrival, ran)
		r.recorder.AttemptEnded(r.zoneOf(id), class, outcome == scheduler.Full, inTime, ran, now)
	}
}

// withinObjective reports whether a request was served within the latency objective of its class, which grows with the time that
// the job ran. A class that the settings do not name has no objective.
func withinObjective(settings *protocol.Settings, class string, sinceArrival, ran time.Duration) bool {
	i, known := settings.Class(class)
	if !known {
		return true
	}
	objective := settings.Classes[i].Aim.Duration() + time.Duration(settings.Classes[i].AimStretch*float64(ran))
	return sinceArrival <= objective
}

// AttemptUnanswered records that an attempt has had no response for failover.NoResponseAfter.
func (r *Router) AttemptUnanswered(now scheduler.Instant, id scheduler.WorkerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recorder.AttemptUnanswered(r.zoneOf(id), now)
}

// ProbeCompleted records the outcome of a probe.
func (r *Router) ProbeCompleted(id scheduler.WorkerID, outcome scheduler.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch outcome {
	case scheduler.Served:
		r.recorder.ResponseReceived(r.zoneOf(id), r.now)
	case scheduler.NeverSent:
	default:
		r.recorder.AttemptUnanswered(r.zoneOf(id), r.now)
	}
}

// zoneOf returns the name of a worker's zone. The caller holds r.mu.
func (r *Router) zoneOf(id scheduler.WorkerID) string {
	return zoneName(r.settings.Current(), r.workers[id].Zone)
}

// HasUrgentChange reports whether the leader should get a report at once, because a route has begun to fail or has recovered.
func (r *Router) HasUrgentChange() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recorder.HasUrgentChange(r.now)
}

// Report returns what was recorded since the last report. The weights in the endpoint list count as slots.
func (r *Router) Report() *failover.Report {
	settings := r.settings.Current()
	warmup, startCapacity := settings.Rules.Cold.Duration(), settings.Rules.StartCapacity
	r.mu.Lock()
	defer r.mu.Unlock()
	capacity := map[string]float64{}
	for _, worker := range r.workers {
		if worker.State != scheduler.Ready {
			continue
		}
		age := warmup
		if worker.StartedAt > 0 {
			age = r.now - worker.StartedAt
		}
		capacity[zoneName(settings, worker.Zone)] += failover.Capacity(worker.Weight, startCapacity, age, warmup)
	}
	report := r.recorder.Report(r.now, capacity)
	return &report
}
