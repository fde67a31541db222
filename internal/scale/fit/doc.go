// Package fit evaluates scale runs: it shows what control of the fleet costs a dispatcher, a voter and the raft leader, how long changes
// take to be in force, and how each of these grows with the fleet's size. "brassdale-lab scale-report" is its one user; engineers read the
// reports before they let a fleet grow, and when a change of the program may make control more expensive.
//
// [Read] parses each result of "brassdale-lab scale" to a [Run]. [SelectSweep] finds the runs that differ in one parameter only, the
// regressor: dispatchers, workers, zones or changes. [Fit] regresses a metric of such runs on the regressor and on its logarithm, by
// ordinary least squares with one observation a run, and says whether the metric is flat, linear or logarithmic. [Sweeps] does so for
// all metrics and regressors, and [Compare] sets the runs of two builds side by side. [Save], [Table] and [CompareTable] write the
// results. Metrics keep the names and units of the result files: control_bytes_s_p50 is in bytes/s, seat_cpu_ms_s_most in ms of CPU
// time per second.
//
// Runs in which the machine was the limit, and not the fleet, are excluded and listed.
package fit
