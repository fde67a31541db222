package emulator

import (
	"math/rand/v2"
	"time"

	"brassdale/internal/decisions/failover"
	"brassdale/scheduler"
)

// Policy decides, as the module does: events in, actions out. The actions are read before the next call.
type Policy interface {
	Handle(now scheduler.Clock, ev scheduler.Event) []scheduler.Action
}

// dispatcher carries a policy's actions out, as routing.Core does: it lets nothing through that the core would not.
type dispatcher struct {
	sim           *simulation
	index, zone   int
	idleSince     map[scheduler.WorkerID][]time.Duration // connections, by since when they have been
	policy        Policy
	requests      map[scheduler.RequestID]*openRequest
	knownStarts   map[scheduler.WorkerID]time.Duration // of which start of a box
	recorder      *failover.Recorder                   // nil where nobody plans
	plan          *failover.Plan
	endpointsByID map[scheduler.WorkerID]scheduler.WorkerInfo
	subscribed    bool
	random        *rand.Rand
}

type openRequest struct {
	job        *job
	expires    time.Duration
	answered   bool
	attempts   []*attemptRun
	inFlight   []bool
	unfinished int // attempts without an outcome
}

// handle tells the policy an event. Nothing in here feeds again: what an action brings about comes later.
func (d *dispatcher) handle(ev scheduler.Event) {
	for _, a := range d.policy.Handle(d.sim.now, ev) {
		switch a := a.(type) {
		case scheduler.Send:
			d.send(a)
		case scheduler.Cancel:
			if request := d.requests[a.ID]; request != nil && a.Attempt < len(request.attempts) && request.inFlight[a.Attempt] {
				attempt := request.attempts[a.Attempt]
				d.sim.after(d.sim.oneWayDelay(d.zone, d.sim.workerByAttempt(attempt), d.random), func() { d.sim.workerByAttempt(attempt).cancel(attempt) })
				d.sim.after(0, func() { d.finishAttempt(a.ID, a.Attempt, scheduler.Cancelled) })
			}
		case scheduler.Reject:
			d.answer(a.ID, outcomeRejected, a.RetryAfter)
		case scheduler.Fail:
			d.answer(a.ID, outcomeFailed, 0)
		case scheduler.Probe:
			d.probe(a.Worker)
		case scheduler.Subscribe:
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
		case scheduler.SetTimer:
			d.sim.after(a.After, func() { d.handle(scheduler.TimerFired{Token: a.Token}) })
		case scheduler.Log:
			d.sim.addNote("%v dispatcher %d: %s", d.sim.now-clockStart, d.index, a.Text)
		}
	}
}

// failPoll has a call to discovery fail: at once where it is down, behind the caller's patience where it hangs.
func (d *dispatcher) failPoll() {
	delay := d.sim.localDelay(d.random)
	if d.sim.discoveryDown == 0 {
		delay = hungPollTimeout
	}
	d.sim.after(delay, func() { d.handle(scheduler.EndpointsUpdated{ListKind: scheduler.ListFailed}) })
}

// hungPollTimeout is how long a dispatcher waits for an answer of discovery.
const hungPollTimeout = 750 * time.Millisecond

// requestArrived takes a client's request.
func (d *dispatcher) requestArrived(job *job, id scheduler.RequestID, expires time.Duration) {
	d.requests[id] = &openRequest{job: job, expires: expires}
	d.sim.audit.requestArrived(uint64(id), d.sim.classOf(job))
	d.sim.after(expires-d.sim.now, func() { d.requestExpired(id) })
	zones, ok := d.permittedZones(job)
	if !ok { // shed where it arrives
		d.sim.after(0, func() { d.answer(id, outcomeRejected, time.Duration((0.5+d.random.Float64())*float64(time.Second))) })
		return
	}
	d.handle(scheduler.RequestArrived{ID: id, Class: job.class, Slots: float64(job.slots), EstimatedWork: job.workEstimate, AffinityKey: uint64(job.subject), Deadline: expires, AllowedZones: zones})
}

// requestExpired ends what is out when a client gives up.
func (d *dispatcher) requestExpired(id scheduler.RequestID) {
	request := d.requests[id]
	if request == nil {
		return
	}
	for i := range request.attempts {
		if request.inFlight[i] {
			attempt := request.attempts[i]
			d.sim.after(d.sim.oneWayDelay(d.zone, d.sim.workerByAttempt(attempt), d.random), func() { d.sim.workerByAttempt(attempt).cancel(attempt) })
			d.finishAttempt(id, i, scheduler.TimedOut)
		}
	}
}

func (d *dispatcher) send(action scheduler.Send) {
	request := d.requests[action.ID]
	if request == nil {
		return
	}
	worker := d.sim.byID[action.Worker]
	index := len(request.attempts)
	attempt := &attemptRun{job: request.job, index: index, source: d, work: request.job.work, zone: d.zone}
	attempt.worker, attempt.sentAt = action.Worker, d.sim.now
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

// finishAttempt ends an attempt, once.
func (d *dispatcher) finishAttempt(id scheduler.RequestID, index int, outcome scheduler.Outcome) {
	request := d.requests[id]
	if request == nil || !request.inFlight[index] {
		return
	}
	request.inFlight[index] = false
	request.unfinished--
	d.sim.audit.attemptEnded(uint64(id), index, outcome)
	attempt := request.attempts[index]
	if attempt.hasConnection {
		d.disconnect(d.sim.workerByAttempt(attempt), outcome == scheduler.Served || outcome == scheduler.Full)
	}
	var report *scheduler.Report
	if outcome == scheduler.Served || outcome == scheduler.Full {
		report = attempt.report
	}
	d.recordAttempt(attempt, request, outcome)
	if outcome == scheduler.Served {
		d.answer(id, outcomeServed, 0)
	}
	d.handle(scheduler.AttemptFinished{ID: id, Attempt: index, Worker: request.attempts[index].worker, Outcome: outcome, Final: request.answered, Report: report, ConnectionIdle: -1})
	d.forget(id)
}

// attemptStarted, over, knows and way make it an origin of attempts.
func (d *dispatcher) attemptStarted(attempt *attemptRun) {
	if d.partitionedFrom(d.sim.workerByAttempt(attempt)) {
		return
	}
	if request := d.requests[attempt.id]; request != nil && request.inFlight[attempt.index] {
		if attempt.startHeardAt = d.sim.now; d.recorder != nil {
			d.recorder.ResponseReceived(d.sim.zoneName(d.sim.workerByAttempt(attempt).zone), d.sim.now)
		}
		d.handle(scheduler.AttemptStarted{ID: attempt.id, Attempt: attempt.index, Worker: attempt.worker})
	}
}

func (d *dispatcher) attemptOver(attempt *attemptRun, outcome scheduler.Outcome) {
	if !d.partitionedFrom(d.sim.workerByAttempt(attempt)) { // else nothing of it is heard before the client gives up
		d.finishAttempt(attempt.id, attempt.index, outcome)
	}
}
func (d *dispatcher) knownStart(id scheduler.WorkerID) time.Duration { return d.knownStarts[id] }
func (d *dispatcher) delayRandom() *rand.Rand                        { return d.random }

// answer gives the final answer. Whether there was one before is the auditor's to see.
func (d *dispatcher) answer(id scheduler.RequestID, outcome clientOutcome, retryAfter time.Duration) {
	request := d.requests[id]
	if request == nil || request.answered && outcome == outcomeServed { // a second result is dropped
		return
	}
	request.answered = true
	d.sim.audit.answered(d.sim.now, uint64(id), outcome == outcomeRejected)
	d.sim.handleAnswer(request.job, id, outcome, retryAfter)
	d.sim.after(0, func() { d.forget(id) })
}

func (d *dispatcher) forget(id scheduler.RequestID) {
	if request := d.requests[id]; request != nil && request.answered && request.unfinished == 0 {
		delete(d.requests, id)
		d.sim.audit.forget(uint64(id))
	}
}

// updateEndpoints tells the policy of the list.
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

// probe asks a box, and takes its silence for an answer after a while.
func (d *dispatcher) probe(id scheduler.WorkerID) {
	worker := d.sim.byID[id]
	d.sim.probesSent++
	answered := false
	answer := func(outcome scheduler.Outcome, report *scheduler.Report) {
		if !answered {
			answered = true
			if d.recorder != nil {
				if outcome == scheduler.Served {
					d.recorder.ResponseReceived(d.sim.zoneName(worker.zone), d.sim.now)
				} else {
					d.recorder.CallUnanswered(d.sim.zoneName(worker.zone), d.sim.now)
				}
			}
			d.handle(scheduler.ProbeCompleted{Worker: id, Outcome: outcome, Report: report})
		}
	}
	d.sim.after(probeTimeout, func() { answer(scheduler.TimedOut, nil) })
	d.sim.after(d.sim.oneWayDelay(d.zone, worker, d.random), func() {
		worker.answerProbe(func(o scheduler.Outcome, r *scheduler.Report) {
			d.sim.after(d.sim.oneWayDelay(d.zone, worker, d.random), func() {
				if !d.partitionedFrom(worker) {
					answer(o, r)
				}
			})
		})
	})
}

const probeTimeout = 300 * time.Millisecond
