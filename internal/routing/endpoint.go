package routing

import (
	"time"

	"brassdale/scheduler"
)

// Endpoint is a worker as the endpoint list has it.
type Endpoint struct {
	scheduler.WorkerInfo
	Address    string
	NotifiedAt time.Time // when this dispatcher was notified that it is draining or gone; zero while it is neither

	// OtherServiceAt is when its state was last received from a service whose revisions cannot be compared with those of the list that a
	// predecessor process hands over; zero for never, and elsewhere.
	OtherServiceAt time.Time

	// Age is the time since its start, where a predecessor process hands it over; 0 elsewhere.
	Age time.Duration
}

// EndpointPool sends attempts and probes to endpoints. No method blocks. Each Send is followed by exactly one
// Core.AttemptFinished, each Probe by exactly one Core.ProbeCompleted.
type EndpointPool interface {
	// Update adds an endpoint or changes it. One that is Gone gets no further attempts once the drain grace is over.
	Update(Endpoint)
	Send(Attempt)
	// Cancel ends an attempt that is queued or in flight. Its outcome follows.
	Cancel(scheduler.WorkerID, AttemptID)
	// CloseIdle closes the connections of an endpoint that have been idle for at least that long.
	CloseIdle(id scheduler.WorkerID, idle time.Duration)
	Probe(scheduler.WorkerID)
	// SetDetached marks an endpoint as detached by the operator since then; the zero time reattaches it.
	SetDetached(id scheduler.WorkerID, since time.Time)
}

// Observer is notified of what endpoints return, as the scheduler is. No method blocks.
type Observer interface {
	// ProbeCompleted is called with the outcome of a probe and whether it carried a load report.
	ProbeCompleted(id scheduler.WorkerID, o scheduler.Outcome, report bool)
	// JobServed is called with the time that a served job took, counted from its start, or from its send where no start was
	// reported.
	JobServed(id scheduler.WorkerID, class int, took time.Duration)
}
