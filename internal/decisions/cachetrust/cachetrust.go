// Package cachetrust decides how far an endpoint list that was cached before a restart is trusted while discovery cannot be called,
// and how discovery's list replaces it. It does no I/O, reads no clock and starts no goroutine. The scheduler still chooses the worker
// for each job: the decisions of this package reach it as endpoint updates.
//
// Assessor guarantees:
//
//  1. A list older than Rules.MaxAge is not used. A list whose time lies in the future is used, with the least trust.
//  2. A worker that is draining, gone or detached in the list is sent nothing until it is ready in a newer list.
//  3. If Rules.MayProbe is set, a worker is announced as ready only after it has answered a probe as a worker does. So no job is sent
//     to an address that another service uses by now.
//  4. A worker is announced with the time of the announcement as its start. The scheduler then sends it no more than a worker that is
//     warming up can bear, divided among the dispatchers.
//  5. A worker is announced with its start in the list only when the run times of its jobs show that it is warm, by a sequential
//     probability ratio test (A. Wald, "Sequential Tests of Statistical Hypotheses", 1945). The test takes at most one warming worker
//     in twenty (maxFalseWarmRate) for a warm one. The older the list, the more evidence is required.
//  6. First probes are sent at a rate between MinProbesPerSecond and MaxProbesPerSecond, to the workers with the latest signal first. A
//     worker that does not answer is probed again after delays that double from MinProbeRetryDelay to MaxProbeRetryDelay; no worker
//     has two probes in flight.
//  7. A list of discovery applies as a whole at once, with one exception. If Rules.MinFirstListShare is above 0, a first full list must
//     be confirmed under two conditions. First, a Responsive or Verified worker is missing from the list. Second, the list's ready
//     workers are fewer than Rules.MinFirstListShare times the number in the cached list (detached workers aside), or its revision is
//     lower than the revision of the cached list. The states in such a list apply at once, but the missing workers are retained until a
//     second full list, received ConfirmationDelay later or more, confirms it, and for MaxRetention at most. An empty second list
//     confirms nothing: a deployment without workers has no jobs either.
//  8. If discovery lists a worker with the start that it had in the cached list, it is the same incarnation, and what was learned of
//     it stays valid. A later start is a new incarnation.
package cachetrust
