// Package canary decides which dispatchers act on a new version of the fleet's rules before the others do, and whether the failure
// rates that they report permit all others to follow. It is pure: it has no I/O, no clock and no goroutine. Its types are not safe
// for concurrent use.
//
// It guarantees:
//
//  1. Each dispatcher can determine by itself, from its name and the version's number, whether it is in the canary. Each version has a
//     different canary.
//  2. A version passes only after MinDuration and minCanaryJobs ended jobs in the canary, and fails if the canary's failure rate exceeds the
//     others' by more than FailureMargin and by more than chance explains.
//  3. The canary applies the stricter of the version and the one in force. So it tests what the version restricts in addition, but not
//     what it permits in addition.
package canary

import "time"

// Instant is a point in time of one process: the time since an epoch of its own, which never moves back.
type Instant = time.Duration
