package emulator

import (
	"math/rand/v2"
	"time"

	"brassdale/internal/decisions/failover"
	"brassdale/scheduler"
)

// Policy makes a dispatcher's decisions as the scheduler does: it takes events and returns actions. The caller must use the actions
// before its next call.
type Policy interface {
	Handle(now scheduler.Instant, ev scheduler.Event) []scheduler.Action
}

// dispatcher carries out a policy's actions as routing.Core does, and drops the actions that routing.Core would drop.
type dispatcher struct {
	sim           *simulation
	index, zone   int
	idleSince     map[scheduler.WorkerID][]time.Duration // when each idle connection became idle
	policy        Policy
	requests      map[scheduler.RequestID]*openRequest
	knownStarts   map[scheduler.WorkerID]time.Duration // latest start of each worker of which the dispatcher was notified
	recorder      *failover.Recorder                   // nil unless zones are planned
	plan          *failover.Plan
	endpointsByID map[scheduler.WorkerID]scheduler.WorkerInfo // nil unless zones are planned
	subscribed    bool
	random        *rand.Rand
}

// openRequest is a request without a final answer, or with attempts in flight.
type openRequest struct {
	job        *job
	expires    time.Duration
	answered   bool
	attempts   []*attemptRun
	inFlight   []bool // by attempt
	unfinished int    // attempts in flight
}

// handle gives the policy an event and carries out its actions. No action calls handle again before handle returns.
func (d *dispatcher) handle(event scheduler.Event) {
	for _, action := range d.policy.Handle(d.sim.now, event) {
		switch action := action.(type) {
		case scheduler.Send:
			d.send(action)
		case scheduler.Cancel:
			d.cancel(action)
		case scheduler.Reject:
			d.answer(action.ID, outcomeRejected, action.RetryAfter)
		case scheduler.Fail:
			d.answer(action.ID, outcomeFailed, 0)
		case scheduler.Probe:
			d.probe(action.Worker)
		case scheduler.Subscribe:
			d.subscribe()
		case scheduler.SetTimer:
			d.sim.after(action.After, func() { d.handle(scheduler.TimerFired{Token: action.Token}) })
		case scheduler.Log:
			d.sim.addNote("%v dispatcher %d: %s", d.sim.now-clockStart, d.index, action.Text)
		}
	}
}

// cancel cancels an attempt that is in flight: its outcome is Cancelled at once, and the worker is notified one network delay
// later.
func (d *dispatcher) cancel(action scheduler.Cancel) {
	request := d.requests[action.ID]
	if request == nil || action.Attempt >= len(request.attempts) || !request.inFlight[action.Attempt] {
		return
	}
	d.cancelAtWorker(request.attempts[action.Attempt])
	d.sim.after(0, func() { d.finishAttempt(action.ID, action.Attempt, scheduler.Cancelled) })
}

// cancelAtWorker notifies the attempt's worker, one network delay later, that the attempt is cancelled.
func (d *dispatcher) cancelAtWorker(attempt *attemptRun) {
	worker := d.sim.workerByAttempt(attempt)
	d.sim.after(d.sim.oneWayDelay(d.zone, worker, d.random), func() { worker.cancel(attempt) })
}

// subscribe begins a watch of the endpoint list: the full list comes after discovery's delay. It fails during a fault of
// discovery.
func (d *dispatcher) subscribe() {
	switch {
	case d.subscribed:
	case d.sim.discoveryDown+d.sim.discoveryHung > 0:
		d.failPoll()
	default:
		d.subscribed = true
		d.sim.after(d.sim.updateDelay(d.random), func() {
			if d.subscribed {
				d.updateEndpoints(scheduler.ListFull, d.sim.endpoints())
			}
		})
	}
}

// failPoll makes a poll of discovery fail: after a network delay if discovery is down, after hungPollTimeout if it hangs.
func (d *dispatcher) failPoll() {
	delay := d.sim.localDelay(d.random)
	if d.sim.discoveryDown == 0 {
		delay = hungPollTimeout
	}
	d.sim.after(delay, func() { d.handle(scheduler.EndpointsUpdated{ListKind: scheduler.ListFailed}) })
}

// hungPollTimeout is how long a dispatcher waits for an answer of discovery.
const hungPollTimeout = 750 * time.Millisecond

// requestArrived takes a client's request. The request is rejected if the failover plan sheds it.
func (d *dispatcher) requestArrived(job *job, id scheduler.RequestID, expires time.Duration) {
	d.requests[id] = &openRequest{job: job, expires: expires}
	d.sim.audit.requestArrived(uint64(id), d.sim.classOf(job))
	d.sim.after(expires-d.sim.now, func() { d.requestExpired(id) })
	zones, ok := d.permittedZones(job)
	if !ok {
		d.sim.after(0, func() {
			retryAfter := time.Duration((0.5 + d.random.Float64()) * float64(time.Second))
			d.answer(id, outcomeRejected, retryAfter)
		})
		return
	}
	d.handle(scheduler.RequestArrived{ID: id, Class: job.class, Slots: float64(job.slots), EstimatedWork: job.workEstimate,
		AffinityKey: uint64(job.subject), Deadline: expires, AllowedZones: zones})
}

// requestExpired ends the attempts in flight of a request whose deadline has passed.
func (d *dispatcher) requestExpired(id scheduler.RequestID) {
	request := d.requests[id]
	if request == nil {
		return
	}
	for i, attempt := range request.attempts {
		if request.inFlight[i] {
			d.cancelAtWorker(attempt)
			d.finishAttempt(id, i, scheduler.TimedOut)
		}
	}
}

// send sends an attempt. Its outcome is NeverSent if the request has ended or has no attempt left, and NoConnect if the worker
// accepts no further connection.
func (d *dispatcher) send(action scheduler.Send) {
	request := d.requests[action.ID]
	if request == nil {
		return
	}
	worker := d.sim.byID[action.Worker]
	index := len(request.attempts)
	attempt := &attemptRun{job: request.job, index: index, worker: action.Worker, source: d, work: request.job.work, zone: d.zone, sentAt: d.sim.now}
	request.attempts, request.inFlight = append(request.attempts, attempt), append(request.inFlight, true)
	request.unfinished++
	if request.answered || d.sim.now >= request.expires || index >= d.sim.scenario.Rules.MaxAttempts || worker == nil {
		d.sim.after(0, func() { d.finishAttempt(action.ID, index, scheduler.NeverSent) })
		return
	}
	attempt.id = action.ID
	d.sim.attemptsSent++
	handshake, ok := d.connect(worker)
	if !ok {
		d.sim.after(d.sim.oneWayDelay(d.zone, worker, d.random), func() { d.finishAttempt(action.ID, index, scheduler.NoConnect) })
		return
	}
	attempt.hasConnection = true
	if worker.zone != d.zone {
		d.sim.crossings++
	}
	d.sim.audit.attemptSent(d.sim.now, d.index, uint64(action.ID), worker.id, worker.cell, worker.zone)
	d.sim.after(handshake+d.sim.oneWayDelay(d.zone, worker, d.random), func() {
		if !attempt.over && !d.partitionedFrom(worker) {
			if worker.partitioned == 0 && !worker.down {
				d.sim.recordZoneWork(worker, attempt.work)
			}
			worker.receive(attempt)
		}
	})
}

// finishAttempt gives the policy an attempt's outcome. Only the first call for an attempt counts.
func (d *dispatcher) finishAttempt(id scheduler.RequestID, index int, outcome scheduler.Outcome) {
	request := d.requests[id]
	if request == nil || !request.inFlight[index] {
		return
	}
	request.inFlight[index] = false
	request.unfinished--
	d.sim.audit.attemptEnded(uint64(id), index, outcome)
	attempt := request.attempts[index]
	responded := outcome == scheduler.Served || outcome == scheduler.Full
	if attempt.hasConnection {
		d.disconnect(d.sim.workerByAttempt(attempt), responded)
	}
	var report *scheduler.Report
	if responded {
		report = attempt.report
	}
	d.recordAttempt(attempt, outcome)
	if outcome == scheduler.Served {
		d.answer(id, outcomeServed, 0)
	}
	d.handle(scheduler.AttemptFinished{ID: id, Attempt: index, Worker: attempt.worker, Outcome: outcome, Final: request.answered, Report: report, ConnectionIdle: -1})
	d.forget(id)
}

// attemptStarted implements attemptSource. During a partition the dispatcher is not notified.
func (d *dispatcher) attemptStarted(attempt *attemptRun) {
	if d.partitionedFrom(d.sim.workerByAttempt(attempt)) {
		return
	}
	if request := d.requests[attempt.id]; request != nil && request.inFlight[attempt.index] {
		if attempt.startNotifiedAt = d.sim.now; d.recorder != nil {
			d.recorder.ResponseReceived(d.sim.zoneName(d.sim.workerByAttempt(attempt).zone), d.sim.now)
		}
		d.handle(scheduler.AttemptStarted{ID: attempt.id, Attempt: attempt.index, Worker: attempt.worker})
	}
}

// attemptOver implements attemptSource. During a partition the dispatcher is not notified, and the request's deadline ends the
// attempt.
func (d *dispatcher) attemptOver(attempt *attemptRun, outcome scheduler.Outcome) {
	if !d.partitionedFrom(d.sim.workerByAttempt(attempt)) {
		d.finishAttempt(attempt.id, attempt.index, outcome)
	}
}

// knownStart implements attemptSource.
func (d *dispatcher) knownStart(id scheduler.WorkerID) time.Duration { return d.knownStarts[id] }

// delayRandom implements attemptSource.
func (d *dispatcher) delayRandom() *rand.Rand { return d.random }

// answer gives a request its final answer. A result after another answer is dropped; any other second answer reaches the
// auditor, which reports it.
func (d *dispatcher) answer(id scheduler.RequestID, outcome clientOutcome, retryAfter time.Duration) {
	request := d.requests[id]
	if request == nil || request.answered && outcome == outcomeServed {
		return
	}
	request.answered = true
	d.sim.audit.answered(d.sim.now, uint64(id), outcome == outcomeRejected)
	d.sim.handleAnswer(request.job, outcome, retryAfter)
	d.sim.after(0, func() { d.forget(id) })
}

// forget drops a request that is answered and has no attempt in flight.
func (d *dispatcher) forget(id scheduler.RequestID) {
	if request := d.requests[id]; request != nil && request.answered && request.unfinished == 0 {
		delete(d.requests, id)
		d.sim.audit.forget(uint64(id))
	}
}

// updateEndpoints gives the policy a full endpoint list or a change of it.
func (d *dispatcher) updateEndpoints(kind scheduler.ListKind, endpoints []scheduler.WorkerInfo) {
	for _, endpoint := range endpoints {
		d.sim.audit.endpointNotified(d.sim.now, d.index, endpoint.ID, endpoint.State)
		if d.endpointsByID != nil {
			d.endpointsByID[endpoint.ID] = endpoint
		}
		d.knownStarts[endpoint.ID] = max(d.knownStarts[endpoint.ID], endpoint.StartedAt)
	}
	d.handle(scheduler.EndpointsUpdated{ListKind: kind, Workers: endpoints})
}

// probe sends a worker a probe and gives the policy the result, or TimedOut after probeTimeout.
func (d *dispatcher) probe(id scheduler.WorkerID) {
	worker := d.sim.byID[id]
	d.sim.probesSent++
	completed := false
	complete := func(outcome scheduler.Outcome, report *scheduler.Report) {
		if !completed {
			completed = true
			d.recordProbe(worker, outcome)
			d.handle(scheduler.ProbeCompleted{Worker: id, Outcome: outcome, Report: report})
		}
	}
	d.sim.after(probeTimeout, func() { complete(scheduler.TimedOut, nil) })
	d.sim.after(d.sim.oneWayDelay(d.zone, worker, d.random), func() {
		worker.answerProbe(func(outcome scheduler.Outcome, report *scheduler.Report) {
			d.sim.after(d.sim.oneWayDelay(d.zone, worker, d.random), func() {
				if !d.partitionedFrom(worker) {
					complete(outcome, report)
				}
			})
		})
	})
}

// probeTimeout is how long a dispatcher waits for the result of a probe.
const probeTimeout = 300 * time.Millisecond
