// Package incarnations estimates how long ago each worker started. It does no I/O, reads no clock and starts no goroutine.
//
// Discovery stamps the start of a worker with Unix time by its own clock, which need not agree with the wall clock of this process;
// either clock may be stepped at any time. Therefore a stamp identifies a start (an incarnation of the worker), but is no reliable
// measure of when it was. Tracker guarantees:
//
//  1. If a list is received less than MaxListGap after the list before, a start that is new in it counts from the time of receipt.
//     The worker is at least that old, and is never taken to have finished its slow start too early.
//  2. A list after a longer gap, such as the first list of a process, may name workers that started long ago. The age of such a worker
//     is the minimum of three times: from its stamp to the newest stamp in the list, from its stamp to the wall clock of this
//     process, and the gap. The first does not depend on any clock being right; the second is left out if the wall clock is earlier
//     than the newest stamp.
//  3. The same stamp is the same incarnation. Another stamp, also a lower one, is another incarnation, because a clock may have been
//     set back.
//  4. No stamp means that the worker started long ago, unless a start of it was received before.
package incarnations

import (
	"time"

	"brassdale/internal/decisions/polling"
	"brassdale/scheduler"
)

// MaxListGap bounds the time between two lists: if less has passed, a new start in the second list counts from the receipt of that
// list. Until MaxListGap has passed, the endpoint list is not overdue.
const MaxListGap = polling.NotificationDeadline

// incarnation is one start of a worker.
type incarnation struct {
	stamp     scheduler.Instant // Unix time by discovery's clock
	startedAt scheduler.Instant // by this process's monotonic clock
}

// Tracker holds the last start of each worker. The zero value is an empty tracker. It is not safe for concurrent use.
type Tracker struct {
	incarnations map[scheduler.WorkerID]incarnation
}

// WorkerStart is the start of a worker in a list.
type WorkerStart struct {
	ID    scheduler.WorkerID
	Stamp scheduler.Instant // Unix time by discovery's clock; 0 for long ago
}

// ListTime is when a list was received.
type ListTime struct {
	Now           scheduler.Instant // by this process's monotonic clock
	Wall          scheduler.Instant // Unix time by this process's wall clock, which may be wrong
	SinceLastList time.Duration     // since the list before; very long for the first list
}

// Update records the starts in a list, or in a change of one, and returns when each of its workers started, by this process's
// monotonic clock; 0 for long ago.
func (t *Tracker) Update(received ListTime, starts []WorkerStart) []scheduler.Instant {
	newest := scheduler.Instant(0)
	for _, start := range starts {
		newest = max(newest, start.Stamp)
	}
	startedAt := make([]scheduler.Instant, len(starts))
	for i, start := range starts {
		known, ok := t.incarnations[start.ID]
		if start.Stamp > 0 && (!ok || known.stamp != start.Stamp) {
			t.Set(start.ID, start.Stamp, received.Now-received.estimatedAge(start.Stamp, newest))
		}
		startedAt[i] = t.StartedAt(start.ID)
	}
	return startedAt
}

// estimatedAge returns the assumed time since the start of a worker, for a stamp that has not been received before. newest is the
// newest stamp in the same list.
func (l ListTime) estimatedAge(stamp, newest scheduler.Instant) time.Duration {
	if l.SinceLastList < MaxListGap {
		return 0
	}
	age := min(newest-stamp, l.SinceLastList)
	if l.Wall >= newest { // a wall clock that is earlier than a stamp says nothing about the age
		age = min(age, l.Wall-stamp)
	}
	return age
}

// Set records a start whose time is known from elsewhere, such as a predecessor process.
func (t *Tracker) Set(id scheduler.WorkerID, stamp, startedAt scheduler.Instant) {
	if t.incarnations == nil {
		t.incarnations = map[scheduler.WorkerID]incarnation{}
	}
	t.incarnations[id] = incarnation{stamp, startedAt}
}

// StartedAt returns when a worker last started, by this process's monotonic clock; 0 for long ago or for a worker that is not known.
func (t *Tracker) StartedAt(id scheduler.WorkerID) scheduler.Instant {
	return t.incarnations[id].startedAt
}
