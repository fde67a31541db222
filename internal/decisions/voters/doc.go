// Package voters decides which dispatchers vote in the fleet's raft group: when it is founded, which voter is replaced by which
// dispatcher, and in which order a dispatcher contacts the voters. It is pure: it has no I/O, no clock and no goroutine.
//
// It guarantees:
//
//  1. A group is founded only while all its founding voters are present, and a founding voter that has lost its storage does
//     not vote under its ID again (DecideFounding).
//  2. The leader changes one thing at a time, and no change leaves fewer voters present than there were: a voter is removed only
//     together with the promotion of a learner that has caught up (PlanChange).
//  3. The group does not change while every voter is present, there is no learner, and no dispatcher on a machine dedicated to
//     control can replace a voter whose machine serves jobs.
package voters
