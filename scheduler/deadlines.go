package scheduler

import "time"

// Deadlines: how long a request can wait, and when it is given up.

const (
	// typicalRuntimeShare is the runtime of most jobs as a share of their class's mean, which a few long ones raise.
	typicalRuntimeShare = 0.5

	// maxUndroppedShare is the share of cancelled jobs that workers run all the same, from which on late requests are no longer
	// given up: they would occupy their slots anyway, and their clients would come again.
	maxUndroppedShare = 0.5

	// undroppedPrior is the undropped share that is assumed before any report.
	undroppedPrior = 0.25

	// undroppedPriorReports is the number of reports that undroppedPrior counts for.
	undroppedPriorReports = 20

	// maxOwnMultiple bounds the jobs at a worker as a multiple of the own ones there: beyond it the own jobs are too small a
	// part to show what becomes of them.
	maxOwnMultiple = 4
)

// spareWait returns how long request can still wait for its start and be served in time: inside the latency objective, stretched by
// its own work, and before its deadline. It is negative for a request that is late already.
func (s *Scheduler) spareWait(request *request) time.Duration {
	class := &request.settings.Classes[request.class]
	runtime := durationOf(s.estimatedRuntime(request))
	if request.estimatedWork <= 0 {
		runtime = durationOf(typicalRuntimeShare * s.estimatedRuntime(request))
	}
	stretched := class.LatencyObjective + time.Duration((class.ObjectiveStretch-1)*float64(runtime))
	wait := min(stretched, max(class.Deadline-runtime, class.LatencyObjective))
	return min(request.clientStartedAt+wait, request.deadline-runtime) - s.now
}

// maxUsefulWait returns how long after its client first sent it a request may start and still be in time.
func (s *Scheduler) maxUsefulWait(request *request) time.Duration {
	return s.spareWait(request) + s.now - request.clientStartedAt
}

// maxStartWait returns how long after its client first sent it a request whose late answer has no value may wait for its
// start: as long as it can be in time. Without an estimate of its own work it is less with congestion, down to half the latency
// objective: where all wait for as long as they may, some of what starts is late nevertheless.
func (s *Scheduler) maxStartWait(request *request) time.Duration {
	longest := s.maxUsefulWait(request)
	if request.estimatedWork > 0 {
		return longest
	}
	shortest := request.settings.Classes[request.class].LatencyObjective / 2
	return longest + durationOf(s.congestion*(shortest-longest).Seconds())
}

// tooLate reports whether a late answer to request has no value and its start has been delayed beyond maxStartWait.
func (s *Scheduler) tooLate(request *request) bool {
	class := &request.settings.Classes[request.class]
	return class.LateWeight <= 0 && s.now-request.clientStartedAt > s.maxStartWait(request)
}

// giveUp answers a request that is too late and has not started at the worker. The wait counts as a delayed start.
func (s *Scheduler) giveUp(request *request, worker *worker) {
	s.updateCongestion(worker, true)
	s.overcommit = max(s.overcommit-s.overcommitStep(), minOvercommit)
	s.rejectOrFail(request, TooLate)
}

// onShutdownStarted bounds the deadlines of all requests by the time at which this process ends, and sets a timer for it: the
// regular reviews would come too late.
func (s *Scheduler) onShutdownStarted(event ShutdownStarted) {
	s.shutdownDeadline = event.Deadline
	for _, request := range s.requestsByArrival {
		request.deadline = min(request.deadline, s.shutdownDeadline)
	}
	s.emit(SetTimer{Token: shutdownTimer, After: s.shutdownDeadline - s.now + s.settings.AnswerSlack/2})
}

// cancellationEstimate estimates from load reports which share of the jobs that are cancelled before their start workers keep
// and run, which the settings do not say. The jobs at a worker are fitted, by least squares, as a multiple of the own ones in flight
// there (other dispatchers send as many each) plus a multiple of the own ones cancelled lately: where workers drop cancelled
// jobs, the second factor is 0. The fields are the sums of products that the fit needs.
type cancellationEstimate struct {
	ownSquared             float64
	ownTimesCancelled      float64
	cancelledSquared       float64
	occupiedTimesOwn       float64
	occupiedTimesCancelled float64
}

// observe adds one report: the slots occupied and queued at the worker, and the own slots in flight and lately cancelled there.
func (e *cancellationEstimate) observe(occupied, own, cancelled float64) {
	e.ownSquared += own * own
	e.ownTimesCancelled += own * cancelled
	e.cancelledSquared += cancelled * cancelled
	e.occupiedTimesOwn += occupied * own
	e.occupiedTimesCancelled += occupied * cancelled
}

// undroppedShare returns the share, from 0 to 1, of cancelled jobs that workers do not drop.
func (e *cancellationEstimate) undroppedShare() float64 {
	determinant := e.ownSquared*e.cancelledSquared - e.ownTimesCancelled*e.ownTimesCancelled
	own := (e.occupiedTimesOwn*e.cancelledSquared - e.occupiedTimesCancelled*e.ownTimesCancelled) / determinant
	cancelled := (e.occupiedTimesCancelled*e.ownSquared - e.occupiedTimesOwn*e.ownTimesCancelled) / determinant
	if determinant <= 0 || own <= 0 || own > maxOwnMultiple {
		return undroppedPrior
	}
	share := min(max(cancelled/own, 0), 1)
	return (share*e.cancelledSquared + undroppedPrior*undroppedPriorReports) / (e.cancelledSquared + undroppedPriorReports)
}
