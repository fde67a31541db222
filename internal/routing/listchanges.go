package routing

import (
	"math"
	"time"

	"brassdale/internal/decisions/endpointstate"
	"brassdale/internal/decisions/incarnations"
	"brassdale/scheduler"
)

// noPreviousList stands for the time since the previous list if there was no previous list. It is longer than any process runs.
const noPreviousList = time.Duration(math.MaxInt64)

// restore accepts the list that was known before this process polled discovery.
func (l *EndpointList) restore(known ListUpdate, now time.Time) {
	states := make([]endpointstate.Endpoint, len(known.Endpoints))
	for i := range known.Endpoints {
		endpoint := &known.Endpoints[i]
		if endpoint.State != scheduler.Ready && endpoint.NotifiedAt.IsZero() { // if set, a predecessor process was notified earlier
			endpoint.NotifiedAt = l.notifiedFrom(now)
		}
		states[i] = endpoint.listedState()
	}
	l.stateTable.Restore(l.calls.current.discovery.Service(), known.Revision, states)
	l.publishChanges(known, known.Endpoints, nil, scheduler.ListCached)
}

// notifiedFrom returns the time from which this dispatcher counts as notified of a drain that it receives now. If lists are pushed to
// an agent, the dispatcher counts as notified of what the agent has, and the agent may have had the drain since its last response.
func (l *EndpointList) notifiedFrom(now time.Time) time.Time {
	if l.pollRules().ListsPushed {
		return l.listAcceptedAt
	}
	return now
}

// apply applies the accepted parts of a response to the list.
func (l *EndpointList) apply(response *listResponse, order endpointstate.ResponseOrder) {
	update, states := &response.update, &response.states
	receivedAt := update.ReceivedAt
	if receivedAt.IsZero() {
		receivedAt = time.Now()
	}
	states.Complete, states.ReceivedAt = update.Complete, receivedAt // when the response began to arrive; Classify used the end of the call
	for i := range states.Endpoints {
		if endpoint := &states.Endpoints[i]; endpoint.NotifiedAt.IsZero() {
			endpoint.NotifiedAt = l.notifiedFrom(receivedAt)
		}
	}
	changes := l.stateTable.Apply(*states, order)
	// A delta does not show whether parts of an earlier response that were not accepted are still pending.
	if response.call.service == l.calls.current && (update.Complete || !changes.PollAgainAt.IsZero()) {
		l.recheckAt = changes.PollAgainAt
	}
	listed, gone := l.acceptedEndpoints(update, changes.Accepted)
	listed = append(listed, l.unconfirmedReturns(update, changes.UnconfirmedReturns)...)
	l.publishChanges(*update, listed, gone, update.listKind())
}

// acceptedEndpoints returns the endpoints of an update with their accepted states, and the endpoints that a full list does not name.
func (l *EndpointList) acceptedEndpoints(update *ListUpdate, accepted []endpointstate.Accepted) (listed, gone []Endpoint) {
	for _, state := range accepted {
		if state.Index == endpointstate.NotListed {
			endpoint := l.known[state.ID]
			endpoint.ID, endpoint.State, endpoint.NotifiedAt = state.ID, state.State, state.NotifiedAt
			gone = append(gone, endpoint)
			continue
		}
		endpoint := update.Endpoints[state.Index]
		endpoint.State, endpoint.StartedAt, endpoint.NotifiedAt = state.State, state.Start, state.NotifiedAt
		listed = append(listed, endpoint)
	}
	return listed, gone
}

// unconfirmedReturns returns the endpoints of an update that stay draining, though the update lists them as ready.
func (l *EndpointList) unconfirmedReturns(update *ListUpdate, returns []endpointstate.Accepted) []Endpoint {
	listed, _ := l.acceptedEndpoints(update, returns)
	for i := range listed {
		listed[i].ReturnUnconfirmed = true
	}
	return listed
}

// publishChanges passes changes to the endpoint pool first, then to the scheduler, so that the scheduler never sends to an endpoint
// that the pool does not know. listed are the endpoints that the update names, gone the endpoints that a full list does not name.
// The scheduler is not passed gone: it finds them in the full list itself.
func (l *EndpointList) publishChanges(update ListUpdate, listed, gone []Endpoint, kind scheduler.ListKind) {
	changed := l.updateEndpoints(listed)
	l.updateEndpoints(gone)
	workers := l.recordStartTimes(listed)
	l.listReceived = l.listReceived || kind != scheduler.ListCached
	l.core.counters.setListedEndpoints(len(l.known))
	l.core.UpdateEndpoints(scheduler.EndpointsUpdated{ListKind: kind, Workers: workers, AsOf: l.core.clock.At(l.includesUntil)})
	l.logUpdate(&update, len(listed), changed)
}

// logUpdate logs an update that names endpoints: at info level if it changed something or is a full list, else at debug level.
func (l *EndpointList) logUpdate(update *ListUpdate, accepted int, changed bool) {
	if len(update.Endpoints) == 0 {
		return
	}
	log := l.log.Debug
	if changed || update.Complete {
		log = l.log.Info
	}
	log("endpoint list updated", "revision", update.Revision, "complete", update.Complete, "endpoints", len(update.Endpoints),
		"accepted", accepted, "known", len(l.known))
}

// recordStartTimes records the start times of listed workers in incarnations, and returns the workers with start times on the
// scheduler's clock.
func (l *EndpointList) recordStartTimes(listed []Endpoint) []scheduler.WorkerInfo {
	now := time.Now()
	listTime := incarnations.ListTime{Now: l.core.clock.At(now), Wall: time.Duration(now.UnixNano()), SinceLastList: now.Sub(l.listAcceptedAt)}
	if !l.listReceived {
		listTime.SinceLastList = noPreviousList
	}
	stamped := make([]incarnations.WorkerStart, len(listed))
	for i, endpoint := range listed {
		stamped[i] = incarnations.WorkerStart{ID: endpoint.ID, Stamp: endpoint.StartedAt}
		if endpoint.Age > 0 {
			l.incarnations.Set(endpoint.ID, endpoint.StartedAt, listTime.Now-endpoint.Age)
		}
	}
	workers := make([]scheduler.WorkerInfo, len(listed))
	for i, startedAt := range l.incarnations.Update(listTime, stamped) {
		workers[i] = listed[i].WorkerInfo
		workers[i].StartedAt = startedAt
	}
	return workers
}

// StartedAt returns when a worker started, on the scheduler's clock; 0 for long ago or unknown. It may be called before Run only.
func (l *EndpointList) StartedAt(id scheduler.WorkerID) scheduler.Instant {
	return l.incarnations.StartedAt(id)
}

// updateEndpoints calls updateEndpoint for each endpoint and reports whether any of them changed.
func (l *EndpointList) updateEndpoints(endpoints []Endpoint) (changed bool) {
	for _, endpoint := range endpoints {
		if l.updateEndpoint(endpoint) {
			changed = true
		}
	}
	return changed
}

// updateEndpoint stores an endpoint in the list, or removes it if it is Gone, and passes it to the endpoint pool. It reports whether
// the endpoint has changed, apart from the time of notification and the weight, which follows the load.
func (l *EndpointList) updateEndpoint(endpoint Endpoint) bool {
	before := l.known[endpoint.ID]
	if endpoint.Address == "" {
		endpoint.Address = before.Address
	}
	l.logStateChange(before, endpoint)
	endpoint.Age, endpoint.OtherServiceAt = 0, time.Time{} // valid only at the time of the handover
	if endpoint.State == scheduler.Gone {
		delete(l.known, endpoint.ID)
	} else {
		l.known[endpoint.ID] = endpoint
	}
	l.pool.Update(endpoint)
	before.Weight, before.NotifiedAt = endpoint.Weight, endpoint.NotifiedAt
	return before != endpoint
}

// listedState returns the state of an endpoint as the list reports it.
func (e *Endpoint) listedState() endpointstate.Endpoint {
	return endpointstate.Endpoint{ID: e.ID, State: e.State, Start: e.StartedAt, NotifiedAt: e.NotifiedAt, OtherServiceAt: e.OtherServiceAt}
}

// logStateChange logs that the state of a known endpoint has changed, or that its return has become unconfirmed. New endpoints are not
// logged: a first list may have thousands.
func (l *EndpointList) logStateChange(before, after Endpoint) {
	if after.ReturnUnconfirmed && !before.ReturnUnconfirmed {
		l.log.Info("worker return unconfirmed", "worker", after.ID, "since_notified", sinceNotified(after.NotifiedAt))
	}
	if _, known := l.known[after.ID]; known && before.State != after.State {
		l.log.Info("worker state changed", "worker", after.ID, "from", before.State.String(), "to", after.State.String(),
			"since_notified", sinceNotified(after.NotifiedAt))
	}
}

// sinceNotified returns the time since a notification; 0 if there was no notification.
func sinceNotified(at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return time.Since(at).Round(time.Millisecond)
}
