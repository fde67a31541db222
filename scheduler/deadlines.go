package scheduler

import "time"

// Deadlines: how long a request can wait for its start, and when it is given up.

const (
	// typicalRuntimeShare is the runtime of a typical job as a share of its class's mean, which a few long jobs raise.
	typicalRuntimeShare = 0.5

	// maxExecutedShare is an upper bound: late requests are given up only while workers execute a smaller share of the cancelled
	// jobs. From this share on, the jobs of late requests would occupy the slots anyway, and their clients would retry.
	maxExecutedShare = 0.5

	// executedSharePrior is the share of the cancelled jobs that workers are assumed to execute before there is any report.
	executedSharePrior = 0.25

	// executedSharePriorReports is the weight of executedSharePrior, as a number of reports.
	executedSharePriorReports = 20

	// maxJobsPerOwnJob is the largest ratio of all jobs at the workers to this dispatcher's own jobs for which the estimate is used.
	// Above it, the own jobs are too few to show how many of them are executed after their cancellation.
	maxJobsPerOwnJob = 4
)

// startSlack returns how long request can still wait for its start and be served in time: within its latency objective, which
// its own work extends, and before its deadline. It is negative if the request is already late.
func (s *Scheduler) startSlack(request *request) time.Duration {
	class := &request.settings.Classes[request.class]
	runtime := durationOf(s.estimatedRuntime(request))
	if request.estimatedWork <= 0 {
		runtime = durationOf(typicalRuntimeShare * s.estimatedRuntime(request))
	}
	stretched := class.LatencyObjective + time.Duration((class.ObjectiveStretch-1)*float64(runtime))
	wait := min(stretched, max(class.Deadline-runtime, class.LatencyObjective))
	return min(request.clientStartedAt+wait, request.deadline-runtime) - s.now
}

// maxUsefulWait returns how long request may wait for its start and still be in time, counted from when its client first sent it.
func (s *Scheduler) maxUsefulWait(request *request) time.Duration {
	return s.startSlack(request) + s.now - request.clientStartedAt
}

// maxStartWait returns how long a request whose late answer has no value may wait for its start, counted from when its client
// first sent it. With an estimate of its work this is maxUsefulWait. Without one it shrinks with congestion, down to half the
// latency objective: if all requests waited for their maximum, some of those that start would be late nevertheless.
func (s *Scheduler) maxStartWait(request *request) time.Duration {
	longest := s.maxUsefulWait(request)
	if request.estimatedWork > 0 {
		return longest
	}
	shortest := request.settings.Classes[request.class].LatencyObjective / 2
	return longest + durationOf(s.congestion*(shortest-longest).Seconds())
}

// tooLate reports whether a late answer to request has no value and request has waited longer than maxStartWait.
func (s *Scheduler) tooLate(request *request) bool {
	class := &request.settings.Classes[request.class]
	return class.LateWeight <= 0 && s.now-request.clientStartedAt > s.maxStartWait(request)
}

// giveUp gives the final answer to a request that is too late and has not started at the worker. Its wait counts as a delayed start.
func (s *Scheduler) giveUp(request *request, worker *worker) {
	s.updateCongestion(worker, true)
	s.overcommit = max(s.overcommit-s.overcommitStep(), minOvercommit)
	s.rejectOrFail(request, TooLate)
}

// onShutdownStarted changes each deadline that is later than the end of this process to that end. It sets a timer for the end,
// because the regular reviews would be too late.
func (s *Scheduler) onShutdownStarted(event ShutdownStarted) {
	s.shutdownDeadline = event.Deadline
	for _, request := range s.requestsByArrival {
		request.deadline = min(request.deadline, s.shutdownDeadline)
	}
	s.emit(SetTimer{Token: shutdownTimer, After: s.shutdownDeadline - s.now + s.settings.AnswerSlack/2})
}

// cancellationEstimate estimates, from load reports, the share of the jobs cancelled before their start that workers execute
// nevertheless. The settings do not contain this share. It fits this model of the slots at a worker by least squares:
//
//	occupied = a x own + b x cancelled
//
// Own is the slots of this dispatcher's attempts in flight, cancelled the slots of the attempts that it recently cancelled. The
// factor a covers the other dispatchers, which are assumed to send as many jobs each. If workers drop cancelled jobs, b is 0; if
// they execute all, b is a.
// The fields are the sums of products that the fit needs.
type cancellationEstimate struct {
	ownSquared             float64
	ownTimesCancelled      float64
	cancelledSquared       float64
	occupiedTimesOwn       float64
	occupiedTimesCancelled float64
}

// observe adds one report: the slots occupied or queued for at the worker, and the own slots in flight and recently cancelled there.
func (e *cancellationEstimate) observe(occupied, own, cancelled float64) {
	e.ownSquared += own * own
	e.ownTimesCancelled += own * cancelled
	e.cancelledSquared += cancelled * cancelled
	e.occupiedTimesOwn += occupied * own
	e.occupiedTimesCancelled += occupied * cancelled
}

// executedShare returns the estimated share, from 0 to 1, of cancelled jobs that workers execute nevertheless.
func (e *cancellationEstimate) executedShare() float64 {
	determinant := e.ownSquared*e.cancelledSquared - e.ownTimesCancelled*e.ownTimesCancelled
	own := (e.occupiedTimesOwn*e.cancelledSquared - e.occupiedTimesCancelled*e.ownTimesCancelled) / determinant
	cancelled := (e.occupiedTimesCancelled*e.ownSquared - e.occupiedTimesOwn*e.ownTimesCancelled) / determinant
	if determinant <= 0 || own <= 0 || own > maxJobsPerOwnJob {
		return executedSharePrior
	}
	share := min(max(cancelled/own, 0), 1)
	return (share*e.cancelledSquared + executedSharePrior*executedSharePriorReports) / (e.cancelledSquared + executedSharePriorReports)
}
