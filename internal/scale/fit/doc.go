// Package fit evaluates scale runs. It shows the cost of control at a dispatcher, a voter and the raft leader, the time until changes are in
// force, and how each of these grows with the fleet's size. Its only user is "brassdale-lab scale-report". Engineers read the reports before
// they enlarge a fleet, and when a change of the program may make control more expensive.
//
// [Read] parses each result of "brassdale-lab scale" to a [Run]. [SelectSweep] finds the runs that differ in only one parameter, the
// regressor: dispatchers, workers, zones or changes. [Fit] regresses a metric of such runs on the regressor and on its logarithm, by
// ordinary least squares with one observation per run, and says whether the metric is flat, linear or logarithmic. [Sweeps] does so for
// all metrics and regressors. [Compare] compares the runs of two builds. [Save], [Table] and [CompareTable] write the results. Metrics
// keep the names and units of the result files: control_bytes_s_p50 is in bytes/s, seat_cpu_ms_s_most in ms of CPU time per second.
//
// Runs in which the machine, and not the fleet, was the limit are excluded and listed.
package fit
