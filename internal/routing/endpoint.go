package routing

import (
	"time"

	"brassdale/scheduler"
)

// Endpoint is a worker as an entry of the endpoint list.
type Endpoint struct {
	scheduler.WorkerInfo
	Address    string
	NotifiedAt time.Time // when this dispatcher was notified that the worker is draining or gone; zero while it is neither

	// OtherServiceAt is when the state was last received from a service whose revisions cannot be compared with the revision of the
	// list; zero for never. It is set only in a list that a predecessor process hands over.
	OtherServiceAt time.Time

	// Age is the time since the worker started; 0 for unknown. It is set only in a list that a predecessor process hands over.
	Age time.Duration
}

// EndpointPool sends attempts and probes to endpoints. No method blocks. Each Send is followed by exactly one
// Core.AttemptFinished, each Probe by exactly one Core.ProbeCompleted.
type EndpointPool interface {
	// Update adds an endpoint or changes it. A Gone endpoint gets no further attempts after the drain grace period.
	Update(Endpoint)
	Send(Attempt)
	// Cancel ends an attempt that is queued or in flight. Its outcome is still reported.
	Cancel(scheduler.WorkerID, AttemptID)
	// CloseIdle closes the connections of an endpoint that have been idle for at least the given time.
	CloseIdle(id scheduler.WorkerID, idle time.Duration)
	Probe(scheduler.WorkerID)
	// SetDetached marks an endpoint as detached by the operator since the given time; the zero time reattaches it.
	SetDetached(id scheduler.WorkerID, since time.Time)
}

// Observer is notified of probe results and served jobs, as the scheduler is. No method blocks.
type Observer interface {
	// ProbeCompleted is called with the outcome of a probe and whether it carried a load report.
	ProbeCompleted(id scheduler.WorkerID, o scheduler.Outcome, report bool)
	// JobServed is called with the run time of a served job, measured from its reported start or, if no start was reported, from
	// the send of its attempt.
	JobServed(id scheduler.WorkerID, class int, took time.Duration)
}
