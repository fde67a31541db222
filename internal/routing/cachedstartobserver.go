package routing

import (
	"math"
	"time"

	"brassdale/internal/decisions/cachetrust"
	"brassdale/scheduler"
)

// minJobSeconds is the lower bound on a job's run time, in seconds, before its logarithm is taken.
const minJobSeconds = 1e-6

// endpointSignal is the message with the result of a probe, or the slowness of a served job, at an endpoint of a cached list.
type endpointSignal struct {
	id          scheduler.WorkerID
	probe       bool                   // a probe completed; otherwise a job was served
	result      cachetrust.ProbeResult // of the probe
	logSlowness float64                // of the job: logarithm of its run time divided by the usual run time
}

// cachedStartObserver is the Observer of a cached start. It posts its notifications to the mailbox of EndpointList.
type cachedStartObserver struct {
	mailbox *Mailbox[any]
	start   *CachedStart // only its constant fields are read
}

// ProbeCompleted posts the result of a probe.
func (o *cachedStartObserver) ProbeCompleted(id scheduler.WorkerID, outcome scheduler.Outcome, report bool) {
	result := cachetrust.NoResponse
	switch {
	case outcome == scheduler.Served && (report || !o.start.ReportsPulled):
		result = cachetrust.Answered
	case outcome == scheduler.Served, outcome == scheduler.Errored, outcome == scheduler.InvalidRequest, outcome == scheduler.Reset:
		result = cachetrust.Unrecognized
	}
	o.mailbox.Post(endpointSignal{id: id, probe: true, result: result})
}

// JobServed posts the slowness of a job if the usual run time of its class is known. The worker's slowness at the time when the list
// was cached is subtracted.
func (o *cachedStartObserver) JobServed(id scheduler.WorkerID, class int, took time.Duration) {
	meanLogRuntime := o.start.MeanLogRuntime
	if class >= len(meanLogRuntime) || math.IsNaN(meanLogRuntime[class]) {
		return
	}
	slowness := math.Log(max(took.Seconds(), minJobSeconds)) - meanLogRuntime[class]
	if statistics, ok := o.start.LearnedState.Workers[id]; ok && statistics.SlownessJobs > 0 {
		slowness -= statistics.Slowness / statistics.SlownessJobs
	}
	o.mailbox.Post(endpointSignal{id: id, logSlowness: slowness})
}
