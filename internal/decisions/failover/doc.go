// Package failover decides in which zones the requests of each zone are served, and how many are shed if all zones together lack the
// capacity. Requests stay in their zone or near it while that is safe. The package is pure: it has no I/O, no clock and no goroutine.
// Its types are not safe for concurrent use.
//
// Dispatchers record what they observe (Recorder) and report it. The raft leader makes plans from the reports (Planner). A Plan maps
// each zone of arrival and class to the zones that serve its requests, with the share of each. The package guarantees:
//
//  1. Safety: no plan gives a zone more work than its capacity minus Settings.Headroom, unless the previous plan gave it as much.
//     A warming-up worker counts with its current capacity. Work that exceeds the capacity is shed in the zone where it arrives,
//     the smallest weight first.
//  2. Proximity: of all plans that serve the same weight of work, the planner aims at those that send the least work out of its
//     region, and among them at one that sends the least work out of its zone.
//  3. Stability: a fault that ends within Settings.DetectionTime changes nothing. Shares change by at most
//     Settings.MaxShiftPerSecond, except that excluded routes and overloaded zones are avoided at once. A lost zone that recovers
//     regains its capacity over Settings.RecoveryRamp. An excluded route is restored once it has worked without a break for a
//     certain time, which doubles with each exclusion.
//  4. Majority: a route from one zone to another is excluded if it fails for most dispatchers of the first zone that report on
//     it. A zone is lost if the routes from most zones to it are excluded. A single dispatcher cannot exclude a route if other
//     dispatchers of its zone report on it.
package failover

import "time"

// Instant is a point in time of one process: the planner's or the recorder's.
type Instant = time.Duration

// negligible is the amount of work or capacity, in slots, below which an amount counts as 0.
const negligible = 1e-9
