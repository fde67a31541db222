// Package scale is the test rig of 'brassdale-lab scale': it runs fleets that are larger than one machine can run as real dispatchers, and
// measures what control costs them. Control is everything by which dispatchers learn of workers and agree on config versions; jobs and probes of
// workers are no part of it.
//
// A scale run plays one Plan in real time, with everything on loopback. Play starts these parts and ends them:
//
//   - Workers and discovery, by package emulator.
//   - Real dispatchers: processes of the dispatcher's program, with jobs. Some may be dedicated to control (set_aside in files): they get no
//     jobs and are the first voters of the raft group.
//   - Hollow dispatchers, like the hollow nodes of Kubernetes' kubemark: the same fleet agent and the same calls to discovery on real
//     sockets, without jobs and without connections to workers. Many of them share a process (ServeHollow).
//   - Bare dispatchers, real or hollow: the same without a fleet. What control costs in processor time and memory is the difference to them.
//
// Once all dispatchers have leases, the run takes a snapshot of every dispatcher's counts at the start and at the end of the measured span.
// In between it sends jobs, proposes config versions, more of them than a day of the operators' capacity plan would bring in the same time
// (Plan.Packing), and injects the fault of the Plan, if it has one. Result has the figures and the rules that were broken. It also says
// whether the machine, and not the fleet, was the limit: such a run does not count.
//
// A File describes one run or several: one for each fault, one for each size of its sweeps (slope in files), and all of these for several
// seeds (Point).
// Package fit fits lines to the results of sweeps. Compare checks that hollow dispatchers cost what real ones cost.
package scale
