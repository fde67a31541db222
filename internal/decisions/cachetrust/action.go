package cachetrust

import "brassdale/scheduler"

// Action is what the caller of an Assessor has to do. Exactly one of its fields is set.
type Action struct {
	Probe    scheduler.WorkerID // send a probe, and pass its result to ProbeCompleted
	Announce *ReadyWorker       // pass the worker to the scheduler
}

// ReadyWorker is a worker that is announced to the scheduler as ready.
type ReadyWorker struct {
	ID             scheduler.WorkerID
	StartedAt      scheduler.Instant
	StartConfirmed bool // StartedAt replaces the start announced before, although it is earlier
}

// ProbeResult is how a probe of a worker ended.
type ProbeResult uint8

// The results of a probe.
const (
	Answered     ProbeResult = iota // with an answer of a worker
	Unrecognized                    // with another answer
	NoResponse                      // without an answer, or without a connection
)
