package fleet

import (
	"context"
	"net/http"
	"time"

	"brassdale/internal/traffic"
)

const (
	// relayInterval is the shortest time between two calls to the leader.
	relayInterval = 10 * time.Millisecond
	// maxQueuedRelays bounds the requests queued at a voter: after a change all dispatchers request a lease at once.
	maxQueuedRelays = 4096
)

// leaderRelay batches the lease requests that a voter gets, and sends them to the leader in one call, so that the number of calls
// to the leader grows with the voters and not with the dispatchers. It may be used from any goroutine.
type leaderRelay struct{ queue chan relayedRequest }

// relayedRequest is a queued request. result has capacity for one result.
type relayedRequest struct {
	request leaseRequest
	result  chan<- relayedResult
}

type relayedResult struct {
	response response
	status   int
}

func newLeaderRelay() *leaderRelay {
	return &leaderRelay{queue: make(chan relayedRequest, maxQueuedRelays)}
}

// request queues a request and waits for the leader's response. The leader responds once to all requests that one call contains.
func (r *leaderRelay) request(ctx context.Context, request leaseRequest) (response, int) {
	result := make(chan relayedResult, 1)
	select {
	case r.queue <- relayedRequest{request, result}:
	default:
		return response{Reason: "too many questions wait"}, http.StatusServiceUnavailable // maxQueuedRelays requests are queued
	}
	select {
	case got := <-result:
		return got.response, got.status
	case <-ctx.Done():
		return response{Reason: ctx.Err().Error()}, http.StatusServiceUnavailable
	}
}

// nextBatch waits for a request and returns all queued requests, up to maxBatch. It returns false when the context ends.
func (r *leaderRelay) nextBatch(ctx context.Context) (batch []relayedRequest, ok bool) {
	select {
	case <-ctx.Done():
		return nil, false
	case first := <-r.queue:
		batch = append(batch, first)
	}
	for len(r.queue) > 0 && len(batch) < maxBatch {
		batch = append(batch, <-r.queue)
	}
	return batch, true
}

// relayRequests sends the queued requests to the leader, one call at a time. It returns when the context ends.
func (a *Agent) relayRequests(ctx context.Context, own *ownVoter) {
	for {
		batch, ok := own.relay.nextBatch(ctx)
		if !ok {
			return
		}
		requests := make([]leaseRequest, 0, len(batch))
		for _, relayed := range batch {
			requests = append(requests, relayed.request)
		}
		got, status := a.requestFromLeader(ctx, own, requests)
		for _, relayed := range batch {
			relayed.result <- relayedResult{got, status}
		}
		sleep(ctx, relayInterval)
	}
}

// requestFromLeader requests leases from the leader. This voter itself may have become the leader meanwhile.
func (a *Agent) requestFromLeader(ctx context.Context, own *ownVoter, requests []leaseRequest) (response, int) {
	record := own.log.Record()
	leaderID := own.log.Leader()
	if leaderID == own.id() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return a.grantLeases(ctx, requests)
	}
	leader, ok := record.Voter(leaderID)
	if !ok {
		return response{Reason: reasonNoLeader}, http.StatusServiceUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, a.leaseCallTimeout())
	defer cancel()
	meterRequests(a.options.Meter, true, requests...)
	got, status, err := a.call(ctx, leader.Address, "grant", requests)
	if err != nil {
		return response{Reason: err.Error()}, http.StatusServiceUnavailable
	}
	for _, rates := range got.BudgetRates {
		a.options.Meter.Within(traffic.Renewal, traffic.Budget, 0, len(rates))
	}
	return got, status
}

// leaseCallTimeout returns how long a call for a lease may take: at most a third of the lease duration, so that another voter can
// be asked before the lease runs out.
func (a *Agent) leaseCallTimeout() time.Duration { return min(callTimeout, a.leaseDuration/3) }
