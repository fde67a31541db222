// Package cachetrust decides how far an endpoint list that was cached before a restart is trusted while discovery cannot be called,
// and how discovery's list takes over. It does no I/O, reads no clock and starts no goroutine. The scheduler still chooses the worker
// for each job: what is decided here reaches it as endpoint updates.
//
// Assessor guarantees:
//
//  1. A list older than Rules.MaxAge is not used. A list whose time lies in the future is used, with the least trust.
//  2. A worker that the list has as draining, gone or detached is sent nothing until a newer list has it as ready.
//  3. Where Rules.MayProbe is set, a worker is announced as ready only after it has answered a probe as a worker does. An address
//     that another service has now is sent no job.
//  4. A worker is announced as started at the time of the announcement. The scheduler then sends it no more than a worker that is
//     warming up can bear, divided among the dispatchers.
//  5. It is announced with the start that the list had only when the run times of its jobs show that it is warm, by a sequential
//     probability ratio test (A. Wald, "Sequential Tests of Statistical Hypotheses", 1945) that takes one warming worker in twenty
//     (maxFalseWarmRate) for a warm one at most. The older the list, the more evidence is required.
//  6. First probes are sent at a rate between MinProbesPerSecond and MaxProbesPerSecond, to the workers with the latest signal first. A
//     worker that does not answer is probed again after delays that double from MinProbeRetryDelay to MaxProbeRetryDelay; no worker
//     has two probes in flight.
//  7. A list of discovery is in force at once, with one exception: a first full list that does not name some worker which is Responsive
//     or Verified, and that has fewer ready workers than Rules.MinFirstListShare of those which the cached list had (or none), or a
//     lower revision than the cached list. The states in that list are in force at once, but the Responsive and Verified workers that
//     it does not name are retained until a second full list, received ConfirmationDelay later or more, agrees, and for MaxRetention
//     at most. An empty second list confirms nothing: a site without workers has no jobs either.
//  8. A worker that discovery has with the start that the cached list had is the same incarnation, and what was learned of it holds;
//     a later start is a new incarnation.
package cachetrust
