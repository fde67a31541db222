package fleet

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"time"

	"brassdale/internal/decisions/canary"
	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/failover"
	"brassdale/internal/decisions/gossippeers"
	"brassdale/internal/decisions/voters"
)

// elected is told by the log. A new leader begins without knowing of any lease.
func (a *Agent) elected(leads bool) {
	a.mu.Lock()
	a.leads, a.trying, a.planner, a.treasury, a.register = nil, nil, nil, nil, nil
	if leads && a.Overload != nil {
		a.treasury = a.newTreasury()
	}
	if leads {
		a.leads, a.register = configversions.NewLeaseTable(a.lease, a.now()), gossippeers.NewDirectory()
		if a.Failover != nil {
			s, regions := a.Failover.planner()
			a.planner = failover.NewPlanner(s, regions, a.holder.Record().Plan, a.now())
		}
	}
	a.mu.Unlock()
	a.log.Info("council", "leads", leads)
	wake(a.changed)
}

// lead does what the leader does by itself: versions whose time has come, trials, seats that are silent.
func (a *Agent) lead(ctx context.Context) {
	looked := time.Time{}
	for ; ctx.Err() == nil; pause(ctx, leadEvery) {
		a.mu.Lock()
		s, leads := a.seat, a.leads
		a.mu.Unlock()
		if s == nil || leads == nil {
			continue
		}
		if e, ok := a.due(s, leads); ok {
			by, stop := context.WithDeadline(ctx, time.Now().Add(callWithin))
			if err := s.log.Propose(by, e); err == nil {
				a.log.Info("council's entry", "force", e.PutInForce, "widen", e.EndCanary, "withdraw", e.Withdraw, "why", e.Reason)
			}
			stop()
			continue
		}
		if time.Since(looked) < sitEvery { // seats are silent for seconds before anything is done
			continue
		}
		looked = time.Now()
		a.mu.Lock()
		present := leads.LeaseHolders(a.now())
		a.mu.Unlock()
		places, next := s.log.VoterStatuses(), s.log.Record().NextVoterID
		if m, ok := voters.PlanChange(places, voterCandidates(present), next, a.patience); ok {
			by, stop := context.WithDeadline(ctx, time.Now().Add(callWithin))
			err := s.log.ChangeVoters(by, m)
			stop()
			a.log.Info("council's seats", "learns", m.AddLearner, "votes", m.Promote, "goes", m.Remove, "yields_to", m.TransferLeadership, "err", err)
			pause(ctx, 5*sitEvery)
		}
	}
}

// voterCandidates gives the dispatchers that hold leases as candidates for the raft group.
func voterCandidates(leaseHolders []configversions.Dispatcher) []voters.Candidate {
	candidates := make([]voters.Candidate, 0, len(leaseHolders))
	for _, dispatcher := range leaseHolders {
		candidates = append(candidates, voters.Candidate{
			Name: dispatcher.Name, Address: dispatcher.Address, Region: dispatcher.Region, Zone: dispatcher.Zone,
			VoterID: dispatcher.VoterID, DedicatedToControl: dispatcher.DedicatedToControl,
		})
	}
	return candidates
}

// canarySample gives what a dispatcher reports of its jobs.
func canarySample(dispatcher configversions.Dispatcher) canary.Sample {
	return canary.Sample{
		Dispatcher: dispatcher.Name, Instance: dispatcher.Instance,
		JobsEnded: dispatcher.JobsEnded, JobsFailed: dispatcher.JobsFailed,
	}
}

// due gives the entry whose time has come.
func (a *Agent) due(s *seat, leads *configversions.LeaseTable) (configversions.Entry, bool) {
	r := s.log.Record()
	v := r.Announced
	a.mu.Lock()
	defer a.mu.Unlock()
	if e, ok := a.plans(r, leads); ok {
		return e, true
	}
	if v == nil {
		return configversions.Entry{}, false
	}
	if v.Canary != nil {
		if a.trying == nil || a.trying.Version() != v.Number {
			a.trying = canary.NewEvaluation(v.Number, a.now())
		}
		switch o, why := a.trying.Judge(v.Canary, a.now()); o {
		case canary.Passed:
			return configversions.Entry{ID: rand.Text(), EndCanary: v.Number}, true
		case canary.Failed:
			return configversions.Entry{ID: rand.Text(), Withdraw: v.Number, Reason: why}, true
		}
		return configversions.Entry{}, false
	}
	may, _ := leads.MayPutInForce(v.Number, a.now())
	return configversions.Entry{ID: rand.Text(), PutInForce: v.Number}, may
}

// planEvery is how often the leader looks whether another plan is called for.
const planEvery = 250 * time.Millisecond

// plans gives the next plan, once all that hold leases act on the last: two plans at a time are in use, and no more; a.mu is
// held.
func (a *Agent) plans(r configversions.Record, leads *configversions.LeaseTable) (configversions.Entry, bool) {
	last := uint64(0)
	if r.Plan != nil {
		last = r.Plan.Number
	}
	if a.planner == nil || a.now() < a.planAt || !leads.AllOnPlan(last, a.now()) {
		return configversions.Entry{}, false
	}
	a.planAt = a.now() + planEvery
	for zone := range a.planner.Regions() {
		share := 1.0
		for _, h := range r.ZoneLimits {
			if h.Zone == zone {
				share = h.Share
			}
		}
		a.planner.LimitZone(zone, share)
	}
	if p, made := a.planner.Next(a.now()); made {
		a.log.Info("plan made", "number", p.Number, "why", fmt.Sprint(p.Reasons))
		return configversions.Entry{ID: rand.Text(), Plan: p}, true
	}
	return configversions.Entry{}, false
}

// hold has a zone held at a share of its capacity, where there is room for the rest elsewhere or it is forced.
func (a *Agent) hold(ctx context.Context, h configversions.ZoneLimit, passed bool) (answer, int) {
	a.mu.Lock()
	s, planner := a.seat, a.planner
	var shed, then float64
	known := false
	if planner != nil {
		shed, then = planner.PredictShedding(h.Zone, h.Share, a.now())
		_, known = planner.Regions()[h.Zone]
	}
	a.mu.Unlock()
	if planner == nil {
		return a.toLeader(ctx, "hold", h, passed)
	}
	room := fmt.Sprintf("%.1f slots' work a second is shed now, %.1f with %s at %g", shed, then, h.Zone, h.Share)
	switch {
	case !known:
		return answer{Why: fmt.Sprintf("there is no zone %q", h.Zone)}, http.StatusNotFound
	case then > shed+0.5 && !h.Force:
		return answer{Why: "no room elsewhere: " + room}, http.StatusConflict
	}
	by, stop := context.WithDeadline(ctx, time.Now().Add(3*callWithin))
	defer stop()
	if err := s.log.Propose(by, configversions.Entry{ID: rand.Text(), ZoneLimit: &h}); err != nil {
		return answer{Why: err.Error()}, http.StatusServiceUnavailable
	}
	return answer{Why: room}, http.StatusOK
}

// toLeader passes on what only the leader can do.
func (a *Agent) toLeader(ctx context.Context, what string, body any, passed bool) (answer, int) {
	a.mu.Lock()
	s := a.seat
	a.mu.Unlock()
	to := a.asks()
	if s != nil {
		if passed { // by one that thought this one leads
			return answer{Why: "does not lead"}, http.StatusMisdirectedRequest
		}
		r, leader := s.log.Record(), s.log.Leader()
		seat, ok := r.Voter(leader)
		if !ok || leader == s.id() {
			return answer{Why: "nobody leads"}, http.StatusServiceUnavailable
		}
		to, what = seat, what+"?passed=1"
	}
	return a.passOn(ctx, to, what, body)
}

// passOn has a seat answer what this dispatcher was asked; a nil body gets.
func (a *Agent) passOn(ctx context.Context, to voters.Voter, what string, body any) (answer, int) {
	by, stop := context.WithDeadline(ctx, time.Now().Add(4*callWithin))
	defer stop()
	got, status, err := a.post(by, to.Address, what, body)
	if err != nil {
		return answer{Why: err.Error()}, http.StatusServiceUnavailable
	}
	return got, status
}

// record is all that was agreed on, with what was: as a seat has it, this one or the one that is asked.
func (a *Agent) record(ctx context.Context, passed bool) (answer, int) {
	a.mu.Lock()
	s := a.seat
	a.mu.Unlock()
	if s != nil {
		r := s.log.Record()
		return answer{Record: &r}, http.StatusOK
	}
	if passed {
		return answer{Why: "no seat"}, http.StatusMisdirectedRequest
	}
	return a.passOn(ctx, a.asks(), "record?passed=1", nil)
}

// known is who holds leases and who held one lately, as the leader knows, wherever this is asked.
func (a *Agent) known(ctx context.Context, passed bool) (answer, int) {
	a.mu.Lock()
	leads := a.leads
	var got answer
	if leads != nil {
		got.Present, got.Absent = leads.LeaseHolders(a.now()), leads.AbsentDispatchers(a.now())
	}
	a.mu.Unlock()
	if leads != nil {
		return got, http.StatusOK
	}
	return a.toLeader(ctx, "known", nil, passed)
}

// propose announces a version, at whichever seat leads.
func (a *Agent) propose(ctx context.Context, v configversions.Version, passed bool) (answer, int) {
	if err := v.Rules.Check(); err != nil {
		return answer{Why: err.Error()}, http.StatusBadRequest
	}
	if err := v.Canary.Check(); err != nil {
		return answer{Why: err.Error()}, http.StatusBadRequest
	}
	a.mu.Lock()
	s, leads := a.seat, a.leads
	var cannot []string
	if leads != nil {
		cannot = leads.CannotRead(v.Rules, a.now())
	}
	a.mu.Unlock()
	if s != nil && leads != nil {
		if len(cannot) > 0 {
			return answer{Why: fmt.Sprintf("older builds could not read it: %v", cannot)}, http.StatusConflict
		}
		ctx, stop := context.WithDeadline(ctx, time.Now().Add(3*callWithin))
		defer stop()
		err := s.log.Propose(ctx, configversions.Entry{ID: rand.Text(), Announce: &v})
		record := s.log.Record().WithoutHistory()
		switch {
		case err == nil:
			return answer{Record: &record}, http.StatusOK
		case errors.Is(err, configversions.ErrChangeInProgress), errors.Is(err, configversions.ErrNotNextVersion):
			return answer{Why: err.Error(), Record: &record}, http.StatusConflict
		default: // nobody knows whether it is announced: the status tells
			return answer{Why: err.Error()}, http.StatusServiceUnavailable
		}
	}
	return a.toLeader(ctx, "propose", v, passed)
}

// left takes a dispatcher's word that it has dropped its lease, to the leader.
func (a *Agent) left(ctx context.Context, q question, passed bool) (answer, int) {
	a.mu.Lock()
	s, leads := a.seat, a.leads
	if leads != nil {
		leads.LeaseDropped(q.Name, q.Instance, a.now())
	}
	a.mu.Unlock()
	if leads != nil {
		return answer{}, http.StatusOK
	}
	if s == nil || passed {
		return answer{Why: "does not lead"}, http.StatusMisdirectedRequest
	}
	r, leader := s.log.Record(), s.log.Leader()
	if to, ok := r.Voter(leader); ok {
		if got, status, err := a.post(ctx, to.Address, "leave?passed=1", q); err == nil {
			return got, status
		}
	}
	return answer{Why: "nobody leads"}, http.StatusServiceUnavailable
}
