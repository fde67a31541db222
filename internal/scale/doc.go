// Package scale is the test rig of 'brassdale-lab scale': it runs fleets that are larger than one machine can run as real dispatchers, and
// measures what control costs them. Control is all traffic and work by which dispatchers learn of workers and agree on config versions. Jobs and
// probes of workers are not part of it.
//
// A scale run executes one Plan in real time, with everything on loopback. Run starts and ends these parts:
//
//   - Workers and discovery, by package emulator.
//   - Real dispatchers: processes of the dispatcher's program, with jobs. Some may be dedicated to control (set_aside in files): they get no
//     jobs and are the first voters of the raft group (seats in files).
//   - Hollow dispatchers, like the hollow nodes of Kubernetes' kubemark: the same fleet agent and the same calls to discovery on real
//     sockets, without jobs and without connections to workers. Many of them share a process (ServeHollow).
//   - Baseline dispatchers, real or hollow (bare in files): the same without a fleet agent. The processor time and memory that control costs is
//     the difference to them.
//
// Once all dispatchers have leases, the run takes a snapshot of every dispatcher's counts at the start and at the end of the measured span.
// In between it sends jobs, proposes config versions at a higher rate than the operators' capacity plan expects (Plan.ChangeRateFactor), and
// injects the fault of the Plan, if there is one. Result contains the measured figures and the rules that were broken. It also says whether the
// machine, and not the fleet, was the limit: such a run does not count.
//
// A File describes one or more runs: one for each fault and one for each size of its sweeps (slope in files), each with every seed (Point).
// Package fit fits lines to the results of sweeps. Compare checks that a hollow dispatcher costs as much as a real one.
package scale
