package routing

import (
	"math"
	"time"

	"brassdale/internal/decisions/cachetrust"
	"brassdale/scheduler"
)

// minJobTime is the least time that a job is taken to have run for, in seconds, as its logarithm is compared.
const minJobTime = 1e-6

// endpointSignal is the message that an endpoint of a cached list has responded, or has not.
type endpointSignal struct {
	id          scheduler.WorkerID
	probe       bool                   // else a job was served
	result      cachetrust.ProbeResult // of the probe
	logSlowness float64                // of the job: the logarithm of the time it took over the usual time
}

// cachedStartObserver is the Observer of a cached start. It posts what it is notified of to the mailbox of EndpointList.
type cachedStartObserver struct {
	mailbox *Mailbox[any]
	start   *CachedStart // of which it reads what never changes
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

// JobServed posts how slow a job was, where the usual time of its class is known. The slowness of the worker when the list was
// cached is subtracted.
func (o *cachedStartObserver) JobServed(id scheduler.WorkerID, class int, took time.Duration) {
	usual := o.start.MeanLogRuntime
	if class >= len(usual) || math.IsNaN(usual[class]) {
		return
	}
	slowness := math.Log(max(took.Seconds(), minJobTime)) - usual[class]
	if statistics, ok := o.start.LearnedState.Workers[id]; ok && statistics.SlownessJobs > 0 {
		slowness -= statistics.Slowness / statistics.SlownessJobs
	}
	o.mailbox.Post(endpointSignal{id: id, logSlowness: slowness})
}
