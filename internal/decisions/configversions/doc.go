// Package configversions decides which versions of the fleet's rules a dispatcher acts on, and when the raft leader may put an
// announced version in force. The package is pure: it has no I/O, no clock and no goroutine. Its types are not safe for
// concurrent use.
//
// A change takes two steps, each an Entry in the raft log. First the version is announced: a dispatcher that has read it acts
// on the stricter of the announced version and the version in force, and acknowledges the announced one with its next lease
// renewal. Then the version is put in force, once every dispatcher that may hold a lease has acknowledged it. A lease that has
// expired no longer counts.
//
// The package guarantees the following, even if messages are lost, delayed or duplicated and processes pause, as long as no
// dispatcher's clock runs slower than the leader's by more than MaxClockDrift:
//
//  1. For any two dispatchers that hold leases, there is a version that both act on (Effective.Contradicts is false).
//  2. A dispatcher that cannot reach the leader holds no lease, at the latest one lease duration after it sent its last
//     successful renewal. From then on it sends no retries (Effective clears Rules.RetriesAllowed) and keeps all other limits.
//  3. An announced version waits for a dispatcher that does not renew its lease for at most one lease duration, lengthened by
//     MaxClockDrift. A newly elected leader waits for the same time after its election, because leases of its predecessor may
//     still be valid.
package configversions

import "time"

// Instant is a point in time of one process: the time since an epoch of its own, which never moves back.
type Instant = time.Duration
