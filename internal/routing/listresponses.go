package routing

import (
	"context"
	"math/rand/v2"
	"time"

	"brassdale/internal/decisions/endpointstate"
	"brassdale/internal/decisions/polling"
)

const (
	// lagLogInterval is the minimum time between warnings of responses with a lower revision. Others are logged at debug level.
	lagLogInterval = 10 * time.Second

	// maxReplicaLag is the maximum lag of a replica of discovery. A response does not say which replica sent it or how much that
	// replica lags.
	maxReplicaLag = 2500 * time.Millisecond
)

// listResponse is a list, or a change of it, that a call to discovery returned.
type listResponse struct {
	call    *listCall
	update  ListUpdate
	states  endpointstate.ListResponse // the states of endpoints in update
	endedAt time.Time                  // when the end of the call was handled
}

// newListResponse returns the response of a call.
func newListResponse(call *listCall, update ListUpdate, endedAt time.Time) *listResponse {
	states := endpointstate.ListResponse{
		Service: call.service.discovery.Service(), Revision: update.Revision, Complete: update.Complete,
		CalledAt: call.startedAt, ReceivedAt: endedAt, Endpoints: make([]endpointstate.Endpoint, len(update.Endpoints)),
	}
	for i := range update.Endpoints {
		states.Endpoints[i] = update.Endpoints[i].listedState()
	}
	return &listResponse{call, update, states, endedAt}
}

// handleCallEnded handles the result of a call.
func (l *EndpointList) handleCallEnded(ctx context.Context, call *listCall, ended callEnded) {
	now, rules, err := time.Now(), l.pollRules(), ended.err
	if err == nil && l.cachedStart.isForeign(ended.update) {
		err = errForeignList
	}
	current := call.service == l.calls.current
	switch {
	case err != nil && !current: // a previous service is not called again after a failure
	case err != nil:
		if ctx.Err() == nil {
			l.recordFailure(call, err, now)
		}
		l.calls.schedule.CallFailed(now, call.number, call.failure(err, now), rules, rand.Float64())
	case current || !l.calls.current.answered:
		l.handleResponse(ctx, newListResponse(call, ended.update, now))
	}
}

// handleResponse accepts a response, or parts of it, according to its order among the responses of its service.
func (l *EndpointList) handleResponse(ctx context.Context, response *listResponse) {
	call := response.call
	order := l.stateTable.Classify(response.states)
	switch {
	case order == endpointstate.Overtaken:
		l.log.Info("discovery response overtaken", "call", call.number, "revision", response.update.Revision,
			"known", call.service.revision)
		l.markStale(response, call.service.fullListDue)
	case order == endpointstate.Lagging:
		l.logLag(response)
		response.update.Complete = false
		l.apply(response, order)
		l.markStale(response, true)
	case call.service != l.calls.current:
		l.acceptPrevious(ctx, response)
	default:
		l.acceptList(response)
		l.recordRecovery() // logged after the list has been applied
	}
}

// markStale records that a response of the current service reported nothing new, and whether the next call must request the full list.
func (l *EndpointList) markStale(response *listResponse, fullListDue bool) {
	call := response.call
	if call.service == l.calls.current {
		call.service.fullListDue = fullListDue
		l.calls.schedule.CallStale(response.endedAt, call.number, l.pollRules(), rand.Float64())
	}
}

// logLag logs a response with a lower revision, as a warning at most once per lagLogInterval.
func (l *EndpointList) logLag(response *listResponse) {
	log := l.log.Debug
	if response.endedAt.Sub(l.lagLoggedAt) >= lagLogInterval {
		l.lagLoggedAt = response.endedAt
		log = l.log.Warn
	}
	log("discovery revision decreased, polling full list", "call", response.call.number,
		"revision", response.update.Revision, "known", response.call.service.revision)
}

// acceptList accepts a list or a change of it from the current service. If the assessor of a cached start requires a second list to
// confirm it, only a part is accepted (acceptDoubted).
func (l *EndpointList) acceptList(response *listResponse) {
	service := response.call.service
	if !service.answered {
		service.answered = true
		l.calls.dropPrevious()
	}
	if pollAt, doubted := l.assessList(&response.update); doubted {
		l.acceptDoubted(response, pollAt)
		return
	}
	l.acceptConfirmed(response)
}

// acceptDoubted applies a list that a second list must confirm: it accepts the states of the workers that the list names, but removes
// no worker that the list lacks. The full list is polled again at pollAt and decides which workers exist.
func (l *EndpointList) acceptDoubted(response *listResponse, pollAt time.Time) {
	response.update.Complete = false
	l.apply(response, endpointstate.Current)
	response.call.service.revision = NoRevision
	l.calls.schedule.PollAt(pollAt)
}

// acceptConfirmed applies a list or a change of it from the current service that needs no confirmation by a second list. It also
// replaces a cached list.
func (l *EndpointList) acceptConfirmed(response *listResponse) {
	call, update, service, now := response.call, &response.update, response.call.service, response.endedAt
	changed := update.Revision != service.revision || len(update.Endpoints) > 0
	if update.Complete {
		service.fullListDue = false
	}
	if asOf := l.responseIncludesUntil(response, changed); asOf.After(l.includesUntil) {
		l.includesUntil = asOf
	}
	l.apply(response, endpointstate.Current)
	service.revision = update.Revision
	l.listAcceptedAt = now // after apply, which judges start times by the time since the previous list
	l.core.counters.setListAcceptedAt(now)
	l.endCachedStart()
	if l.store != nil {
		l.store.EndpointsUpdated(*update)
	}
	l.source.Store(&ListSource{Name: SourceDiscovery, ConfirmedAt: now})
	l.calls.schedule.CallAnswered(now, call.number, now.Sub(call.startedAt), changed, update.BeforeWaitEnded, l.pollRules(), rand.Float64())
}

// acceptPrevious accepts the response of a previous service while the current one has not responded, because this dispatcher counts as
// notified of it. During a cached start the response is applied as a delta: only the current service decides which endpoints exist. A
// watch at the previous service continues.
func (l *EndpointList) acceptPrevious(ctx context.Context, response *listResponse) {
	call, now := response.call, response.endedAt
	response.update.Complete = response.update.Complete && l.cachedStart == nil
	l.apply(response, endpointstate.Current)
	call.service.revision = response.update.Revision
	l.calls.schedule.PreviousServiceAnswered(now)
	if call.kind == polling.Watch {
		l.calls.startCall(ctx, now, call.service, polling.Watch)
	}
}

// responseIncludesUntil returns the time up to which a response includes all changes of discovery: the time at which it was received
// (for a watch) or its call was made (otherwise), minus maxReplicaLag. A busy service may end a watch before it has processed the
// change that the watch waits for. A response without a change then proves nothing, and the zero time is returned.
func (l *EndpointList) responseIncludesUntil(response *listResponse, changed bool) time.Time {
	receivedAt := response.update.ReceivedAt
	switch {
	case response.call.kind != polling.Watch:
		return response.call.startedAt.Add(-maxReplicaLag)
	case !changed && l.calls.schedule.ServiceBusy(response.endedAt):
		return time.Time{}
	case receivedAt.IsZero():
		return response.endedAt.Add(-maxReplicaLag)
	}
	return receivedAt.Add(-maxReplicaLag)
}
