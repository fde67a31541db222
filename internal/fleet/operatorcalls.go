package fleet

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"time"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/voters"
)

const (
	proposeTimeout = 3 * callTimeout // of an operator's entry at the leader
	forwardTimeout = 4 * callTimeout // of a call that is forwarded to another dispatcher
)

// maxAddedShedding is the most additional work, in slots, that an unforced zone limit may cause to be shed.
const maxAddedShedding = 0.5

// propose announces a version, here or at the leader. forwarded is true if another voter forwarded the call to this one, because
// it assumes that this one leads.
func (a *Agent) propose(ctx context.Context, version configversions.Version, forwarded bool) (response, int) {
	if err := version.Rules.Check(); err != nil {
		return response{Reason: err.Error()}, http.StatusBadRequest
	}
	if err := version.Canary.Check(); err != nil {
		return response{Reason: err.Error()}, http.StatusBadRequest
	}
	a.mu.Lock()
	own, lead := a.voter, a.leadership
	var cannotRead []string
	if lead != nil {
		cannotRead = lead.leases.CannotRead(version.Rules, a.now())
	}
	a.mu.Unlock()
	if own == nil || lead == nil {
		return a.forwardToLeader(ctx, "propose", version, forwarded)
	}
	if len(cannotRead) > 0 {
		return response{Reason: fmt.Sprintf("older builds could not read it: %v", cannotRead)}, http.StatusConflict
	}
	return announce(ctx, own, version)
}

// announce appends the announcement of a version to the log. After an error other than a conflict it is unknown whether the
// version is announced; the status shows it.
func announce(ctx context.Context, own *ownVoter, version configversions.Version) (response, int) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := own.log.Propose(ctx, configversions.Entry{ID: rand.Text(), Announce: &version})
	record := own.log.Record().WithoutHistory()
	switch {
	case err == nil:
		return response{Record: &record}, http.StatusOK
	case errors.Is(err, configversions.ErrChangeInProgress), errors.Is(err, configversions.ErrNotNextVersion):
		return response{Reason: err.Error(), Record: &record}, http.StatusConflict
	}
	return response{Reason: err.Error()}, http.StatusServiceUnavailable
}

// limitZone limits a zone to a share of its capacity, if the other zones have the capacity for the rest or the limit is forced.
func (a *Agent) limitZone(ctx context.Context, limit configversions.ZoneLimit, forwarded bool) (response, int) {
	a.mu.Lock()
	own := a.voter
	planning := a.leadership != nil && a.leadership.planner != nil
	var shedNow, shedThen float64
	zoneExists := false
	if planning {
		planner := a.leadership.planner
		shedNow, shedThen = planner.PredictShedding(limit.Zone, limit.Share, a.now())
		_, zoneExists = planner.Regions()[limit.Zone]
	}
	a.mu.Unlock()
	if !planning {
		return a.forwardToLeader(ctx, "hold", limit, forwarded)
	}
	prediction := fmt.Sprintf("%.1f slots' work a second is shed now, %.1f with %s at %g", shedNow, shedThen, limit.Zone, limit.Share)
	switch {
	case !zoneExists:
		return response{Reason: fmt.Sprintf("there is no zone %q", limit.Zone)}, http.StatusNotFound
	case shedThen > shedNow+maxAddedShedding && !limit.Force:
		return response{Reason: "no room elsewhere: " + prediction}, http.StatusConflict
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := own.log.Propose(ctx, configversions.Entry{ID: rand.Text(), ZoneLimit: &limit}); err != nil {
		return response{Reason: err.Error()}, http.StatusServiceUnavailable
	}
	return response{Reason: prediction}, http.StatusOK
}

// record returns the whole record with its history, from this dispatcher's voter or, at a follower, from another voter.
func (a *Agent) record(ctx context.Context, forwarded bool) (response, int) {
	if own := a.currentVoter(); own != nil {
		record := own.log.Record()
		return response{Record: &record}, http.StatusOK
	}
	if forwarded {
		return response{Reason: reasonNotVoter}, http.StatusMisdirectedRequest
	}
	return a.forward(ctx, a.nextVoter(), "record"+forwardedQuery, nil)
}

// dispatchers returns the dispatchers that hold a lease or held one recently, as the leader knows them.
func (a *Agent) dispatchers(ctx context.Context, forwarded bool) (response, int) {
	a.mu.Lock()
	lead := a.leadership
	var got response
	if lead != nil {
		got.LeaseHolders = lead.leases.LeaseHolders(a.now())
		got.Absent = lead.leases.AbsentDispatchers(a.now())
	}
	a.mu.Unlock()
	if lead != nil {
		return got, http.StatusOK
	}
	return a.forwardToLeader(ctx, "known", nil, forwarded)
}

// forwardedQuery marks a forwarded call, so that it is not forwarded a second time.
const (
	forwardedParam = "passed"
	forwardedQuery = "?" + forwardedParam + "=1"
)

// forwardToLeader forwards a call: a voter forwards it to the leader, a follower to nextVoter. A nil body makes it a GET request.
func (a *Agent) forwardToLeader(ctx context.Context, name string, body any, forwarded bool) (response, int) {
	own := a.currentVoter()
	if own == nil {
		return a.forward(ctx, a.nextVoter(), name, body)
	}
	if forwarded { // by a voter that assumed that this one leads
		return response{Reason: reasonNotLeader}, http.StatusMisdirectedRequest
	}
	record := own.log.Record()
	leaderID := own.log.Leader()
	leader, ok := record.Voter(leaderID)
	if !ok || leaderID == own.id() {
		return response{Reason: reasonNoLeader}, http.StatusServiceUnavailable
	}
	return a.forward(ctx, leader, name+forwardedQuery, body)
}

// forward sends a call to another voter and returns its response.
func (a *Agent) forward(ctx context.Context, to voters.Voter, name string, body any) (response, int) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(forwardTimeout))
	defer cancel()
	got, status, err := a.call(ctx, to.Address, name, body)
	if err != nil {
		return response{Reason: err.Error()}, http.StatusServiceUnavailable
	}
	return got, status
}
