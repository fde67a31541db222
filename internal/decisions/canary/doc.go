// Package canary decides which dispatchers act on a new version of the fleet's rules before the others do, and whether the failure
// rates that they report let all others follow. It is pure: values in, verdicts out, with no I/O, no clock and no goroutine. Its
// types are not safe for concurrent use.
package canary

import "time"

// Clock is a point in time of one process: the time since an epoch of its own, which never moves back.
type Clock = time.Duration
