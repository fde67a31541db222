package cachetrust

import "brassdale/scheduler"

// CachedList is an endpoint list as it was cached.
type CachedList struct {
	ConfirmedAt scheduler.Instant // when the list was last known to be correct
	Revision    int64
	Workers     []CachedWorker
}

// CachedWorker is a worker in a cached list.
type CachedWorker struct {
	ID         scheduler.WorkerID
	State      scheduler.WorkerState
	Detached   bool              // by the operator
	StartedAt  scheduler.Instant // 0 for long ago
	LastSignal scheduler.Instant // when something was last received from it; 0 for never
}
