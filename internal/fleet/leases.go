package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/failover"
	"brassdale/internal/decisions/gossippeers"
)

// grantLeases grants leases to the dispatchers that request them, if this voter leads. It records the requests before a majority
// confirms the leadership: from then on a version waits for these dispatchers, whether or not they get their leases. A leader
// that is cut off from the majority grants no leases.
func (a *Agent) grantLeases(ctx context.Context, requests []leaseRequest) (response, int) {
	granted := response{
		Rejected:        map[string]string{},
		BudgetRates:     map[string]json.RawMessage{},
		MessageFormat:   a.messageFormat,
		PeerSuggestions: map[string]*gossippeers.PeerSuggestion{},
	}
	a.mu.Lock()
	own, lead := a.voter, a.leadership
	if own != nil && lead != nil {
		a.processRequestsLocked(own.log.Record(), lead, requests, granted)
	}
	a.mu.Unlock()
	if own == nil {
		return response{Reason: reasonNotVoter}, http.StatusMisdirectedRequest
	}
	if lead == nil {
		return response{Leader: own.log.Leader(), Reason: reasonNotLeader}, http.StatusMisdirectedRequest
	}
	if err := own.log.Confirm(ctx); err != nil {
		return response{Reason: err.Error()}, http.StatusServiceUnavailable
	}
	record := own.log.Record()
	granted.Epoch = record.Epoch
	granted.Revision = record.Revision
	granted.LeaseMS = a.leaseDuration.Milliseconds()
	return granted, http.StatusOK
}

// processRequestsLocked records the requests in the leader's tables, and writes each dispatcher's results to the maps in the
// response granted. a.mu is held.
func (a *Agent) processRequestsLocked(record configversions.Record, lead *leadership, requests []leaseRequest, granted response) {
	if lead.directory.Due(a.now()) {
		lead.directory.Refresh(toLeaseHolders(lead.leases.LeaseHolders(a.now())), a.now())
	}
	for _, request := range requests {
		err := a.checkRequest(request, record)
		if err == nil {
			err = lead.leases.Renew(request.Dispatcher, a.now())
		}
		if err != nil {
			granted.Rejected[request.Name] = err.Error()
			continue
		}
		if rates := a.grantBudgetsLocked(lead.budgets, request); rates != nil {
			granted.BudgetRates[request.Name] = rates
		}
		if request.Digest != nil {
			if suggestion := lead.directory.Suggest(toLeaseHolder(request.Dispatcher), *request.Digest); suggestion != nil {
				granted.PeerSuggestions[request.Name] = suggestion
			}
		}
		if lead.canary != nil {
			lead.canary.Observe(canarySample(request.Dispatcher))
		}
		a.addReportLocked(lead.planner, request.Report)
	}
}

// addReportLocked passes a dispatcher's report to the planner. It ignores a report that cannot be decoded. a.mu is held.
func (a *Agent) addReportLocked(planner *failover.Planner, encoded json.RawMessage) {
	if planner == nil || encoded == nil {
		return
	}
	var report failover.Report
	if json.Unmarshal(encoded, &report) == nil {
		planner.AddReport(report, a.now())
	}
}

// checkRequest returns an error if the request's epoch or message format does not allow a lease. A request of a higher epoch also
// makes this dispatcher leave its old raft group.
func (a *Agent) checkRequest(request leaseRequest, record configversions.Record) error {
	required := record.InForce.Rules.MinMessageFormat()
	if announced := record.Announced; announced != nil {
		required = max(required, announced.Rules.MinMessageFormat())
	}
	required = max(required, minMessageFormat)
	if request.Epoch > record.Epoch {
		a.leaveOldRaftGroup(request.Epoch)
		return configversions.ErrOldEpoch
	}
	if request.MessageFormat < required {
		return fmt.Errorf("form %d of messages: the fleet needs %d", request.MessageFormat, required)
	}
	return nil
}

// toLeaseHolder converts a dispatcher to the type of package gossippeers.
func toLeaseHolder(dispatcher configversions.Dispatcher) gossippeers.LeaseHolder {
	return gossippeers.LeaseHolder{
		Name:    dispatcher.Name,
		Address: dispatcher.Address,
		Region:  dispatcher.Region,
		Zone:    dispatcher.Zone,
	}
}

func toLeaseHolders(dispatchers []configversions.Dispatcher) (members []gossippeers.LeaseHolder) {
	for _, dispatcher := range dispatchers {
		members = append(members, toLeaseHolder(dispatcher))
	}
	return members
}

// obtainLease gets a lease for one dispatcher, from this voter if it leads, else from the leader. It returns once this voter's
// record is as new as the leader's. The response has the changes of the record that the dispatcher does not know yet.
func (a *Agent) obtainLease(ctx context.Context, request leaseRequest) (response, int) {
	own, lead := a.currentLeadership()
	if own == nil {
		return response{Reason: reasonNotVoter}, http.StatusMisdirectedRequest
	}
	var got response
	var status int
	if lead != nil {
		got, status = a.grantLeases(ctx, []leaseRequest{request})
	} else {
		got, status = own.relay.request(ctx, request)
	}
	if status != http.StatusOK {
		return got, status
	}
	if reason := got.Rejected[request.Name]; reason != "" {
		return response{Reason: reason}, http.StatusConflict
	}
	if !a.awaitRevision(ctx, own, got.Epoch, got.Revision) {
		return response{Reason: "this seat is behind"}, http.StatusServiceUnavailable // this voter has not applied the leader's revision in time
	}
	lease := newUpdateResponse(own.updateSince(request.Epoch, request.Revision))
	lease.LeaseMS = got.LeaseMS
	lease.MessageFormat = got.MessageFormat
	if suggestion := got.PeerSuggestions[request.Name]; suggestion != nil {
		lease.PeerSuggestions = map[string]*gossippeers.PeerSuggestion{request.Name: suggestion}
	}
	if rates := got.BudgetRates[request.Name]; rates != nil {
		lease.BudgetRates = map[string]json.RawMessage{request.Name: rates}
	}
	return lease, http.StatusOK
}

// awaitRevision waits until this voter has applied a revision, and returns false if the context ends first.
func (a *Agent) awaitRevision(ctx context.Context, own *ownVoter, epoch, revision uint64) bool {
	for {
		a.mu.Lock()
		changed := a.recordChanged
		a.mu.Unlock()
		if record := own.log.Record(); record.Epoch == epoch && record.Revision >= revision {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// dropLease records at the leader that a dispatcher has dropped its lease. A voter that does not lead forwards the request to the
// leader, unless it was already forwarded.
func (a *Agent) dropLease(ctx context.Context, request leaseRequest, forwarded bool) (response, int) {
	a.mu.Lock()
	own, lead := a.voter, a.leadership
	if lead != nil {
		lead.leases.LeaseDropped(request.Name, request.Instance, a.now())
	}
	a.mu.Unlock()
	if lead != nil {
		return response{}, http.StatusOK
	}
	if own == nil || forwarded {
		return response{Reason: reasonNotLeader}, http.StatusMisdirectedRequest
	}
	record := own.log.Record()
	if leader, ok := record.Voter(own.log.Leader()); ok {
		if got, status, err := a.call(ctx, leader.Address, "leave"+forwardedQuery, request); err == nil {
			return got, status
		}
	}
	return response{Reason: reasonNoLeader}, http.StatusServiceUnavailable
}
