// Package budgetleases divides a rate limit of the whole fleet among its dispatchers, as leases that expire. The limited uses are
// retries, probes or new connections. The package is pure: it has no I/O, no clock and no goroutine. Its types are not safe for
// concurrent use.
//
// The limit permits short bursts: a lessee may save the uses that its lease permits in one second, or one use if the lease
// permits less than one, and make them at once.
//
// The package guarantees the following, even if messages are lost, delayed or duplicated and processes pause or restart, as long as no
// lessee's clock runs slower than the lessor's by more than MaxClockDrift:
//
//  1. At any time the sum of the rates of all valid leases and of the rates permitted to dispatchers without a lease is at most
//     Settings.RatePerSecond.
//  2. A lessee that needs less than its fair share gets what it needs; the rest is divided evenly among the others, after each
//     has got its floor.
//  3. The rate leased to a dispatcher that is gone is available again once its lease has expired, and demand that rises is met
//     within two lease durations, as far as the other lessees leave budget for it.
package budgetleases

import "time"

// Instant is a point in time of one process: the time since an epoch of its own, which never moves back.
type Instant = time.Duration

// MaxClockDrift is the share by which a lessee's clock may run slower than the lessor's.
const MaxClockDrift = 0.01
