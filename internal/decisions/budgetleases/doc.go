// Package budgetleases divides a rate that all dispatchers have in common among them, as leases that expire: of retries, of probes
// or of new connections. It is pure: values in, verdicts out, with no I/O, no clock and no goroutine. Its types are not safe for
// concurrent use.
//
// A rate bounds uses over time: a lessee may save what one second of its lease permits, or one use where that is less than one,
// and use it at once.
//
// The package guarantees, whatever messages are lost, delayed or duplicated and whichever processes pause or restart, as long as
// no lessee's clock runs slower than the lessor's by more than MaxClockDrift:
//
//  1. At any time the sum of all valid leases, and of what the dispatchers without one may use, is at most
//     Settings.RatePerSecond.
//  2. A lessee that needs less than its fair share gets what it needs; the rest is divided evenly among the others, after each
//     has got its floor.
//  3. The rate leased to a dispatcher that is gone is available again once its lease has expired, and demand that rises is met
//     within two lease durations, as far as others leave budget for it.
package budgetleases

import "time"

// Instant is a point in time of one process: the time since an epoch of its own, which never moves back.
type Instant = time.Duration

// MaxClockDrift is the share by which a lessee's clock may run slower than the lessor's.
const MaxClockDrift = 0.01
