// Package incarnations judges how long ago workers started. Values in, verdicts out: no I/O, no clock, no goroutine.
//
// Discovery stamps a worker's start with Unix time, by a wall clock that need not agree with the one here, and either may be
// set forward or back at any moment. So a stamp tells which start is meant, and hardly when it was. Book promises:
//
//  1. A start that is told while lists come counts from when it was first told here: the worker is that old at least, and it is
//     not taken for warmer than it is.
//  2. A list behind a time in which nothing was told, as the first of a process, may name workers that started long before. One
//     of them is taken to be as old as its stamp is behind the newest stamp of that list, or as the own wall clock has it, or
//     as that time was long, whichever is least. No clock needs to be right for the first; an own clock that is behind the
//     newest stamp is not gone by.
//  3. The same stamp again is the same start. Another stamp, also a lower one, is another start: a clock was set back.
//  4. No stamp means long ago: the worker is warm, unless a start of it was told here before.
package incarnations

import (
	"time"

	"brassdale/scheduler"
)

// MaxListGap is how old the last list may be for a start in the next to be taken for one of just now.
const MaxListGap = 6 * time.Second

// incarnation is one that was told of a worker.
type incarnation struct {
	stamp     scheduler.Clock // as discovery has it
	startedAt scheduler.Clock // on the own clock
}

// Tracker remembers the starts of workers. Its zero value is empty.
type Tracker struct {
	incarnations map[scheduler.WorkerID]incarnation
}

// WorkerStart is what a list says of a worker's start.
type WorkerStart struct {
	ID    scheduler.WorkerID
	Stamp scheduler.Clock // Unix time by discovery's clock; 0 for long ago
}

// ListTime is when a list is taken in.
type ListTime struct {
	Now           scheduler.Clock // on the own clock, which runs on evenly
	Wall          scheduler.Clock // Unix time by the own wall clock, which may be wrong
	SinceLastList time.Duration   // how long nothing had been told before
}

// Update takes in a list, or a change of it, and gives when each of its workers started, on the own clock; 0 for long ago.
func (b *Tracker) Update(received ListTime, starts []WorkerStart) []scheduler.Clock {
	newest := scheduler.Clock(0)
	for _, start := range starts {
		newest = max(newest, start.Stamp)
	}
	startedAt := make([]scheduler.Clock, len(starts))
	for i, l := range starts {
		known, had := b.incarnations[l.ID]
		if l.Stamp > 0 && !(had && known.stamp == l.Stamp) {
			b.Set(l.ID, l.Stamp, received.Now-received.estimatedAge(l.Stamp, newest))
		}
		startedAt[i] = b.StartedAt(l.ID)
	}
	return startedAt
}

// estimatedAge is how old a worker is taken to be by a stamp that is told for the first time.
func (m ListTime) estimatedAge(stamp, newest scheduler.Clock) time.Duration {
	if m.SinceLastList < MaxListGap {
		return 0
	}
	age := min(newest-stamp, m.SinceLastList)
	if m.Wall >= newest { // else it is behind the clock that stamps, and tells nothing
		age = min(age, m.Wall-stamp)
	}
	return age
}

// Set notes when a start was, from one who knows.
func (b *Tracker) Set(id scheduler.WorkerID, stamp, at scheduler.Clock) {
	if b.incarnations == nil {
		b.incarnations = map[scheduler.WorkerID]incarnation{}
	}
	b.incarnations[id] = incarnation{stamp, at}
}

// StartedAt gives when a worker started last, on the own clock, as far as it was told; 0 for long ago.
func (b *Tracker) StartedAt(id scheduler.WorkerID) scheduler.Clock {
	return b.incarnations[id].startedAt
}
