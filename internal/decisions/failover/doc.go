// Package failover decides in which zones the requests of each zone are served: near while that is safe, elsewhere where it is
// not, and how many are shed where all zones together lack the capacity. It is pure: values in, verdicts out, with no I/O, no clock
// and no goroutine. Its types are not safe for concurrent use.
//
// Dispatchers record what they observe (Recorder) and report it. The raft leader makes plans from the reports (Planner). A Plan is a
// table from zone of arrival and class to zones of service, with the share of each. The package guarantees:
//
//  1. Safety: no plan gives a zone more work than its capacity less Settings.Headroom, unless the plan before gave it as much.
//     Workers that are warming up count with what they can take now. What exceeds the capacity is shed where it arrives, the work
//     of the smallest weight first.
//  2. Proximity: of all plans that serve the same weight of work, the target is one that sends the least work out of its region,
//     and of those one that sends the least out of its zone.
//  3. Calm: a fault that is over within Settings.DetectionTime changes nothing. Shares change by at most
//     Settings.MaxShiftPerSecond, but for an excluded route or an overloaded zone, which are left at once. A zone that was lost
//     gets its capacity back over Settings.RecoveryRamp, and an excluded route is trusted again after a time that doubles each
//     time it fails anew.
//  4. Evidence: a route from one zone to another is excluded by the majority of the dispatchers of the first one that report on it,
//     and a zone is lost by the majority of the zones. One dispatcher alone excludes nothing where others of its zone report.
package failover

import "time"

// Instant is a point in time of the process that plans.
type Instant = time.Duration

// negligible is the amount of work or capacity, in slots, below which an amount counts as none.
const negligible = 1e-9
