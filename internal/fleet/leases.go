package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/failover"
	"brassdale/internal/decisions/gossippeers"
	"brassdale/internal/traffic"
)

// grants gives leases to those who ask, if this seat leads. That somebody asked is noted first: a version waits for it from
// then on. Then a majority confirms who leads, so a leader that was cut off gives none.
func (a *Agent) grants(ctx context.Context, all []question) (answer, int) {
	a.mu.Lock()
	s, leads := a.seat, a.leads
	got := answer{Refused: map[string]string{}, Rates: map[string]json.RawMessage{}, Form: a.form, Neighbours: map[string]*gossippeers.PeerSuggestion{}}
	if s != nil && leads != nil {
		r := s.log.Record()
		if a.register.Due(a.now()) {
			a.register.Refresh(holders(leads.LeaseHolders(a.now())), a.now())
		}
		for _, q := range all {
			err := a.fits(q, r)
			if err == nil {
				err = leads.Renew(q.Dispatcher, a.now())
			}
			if err != nil {
				got.Refused[q.Name] = err.Error()
				continue
			}
			if rates := a.deal(q); rates != nil {
				got.Rates[q.Name] = rates
			}
			if q.Neighbours != nil {
				if named := a.register.Suggest(holder(q.Dispatcher), *q.Neighbours); named != nil {
					got.Neighbours[q.Name] = named
				}
			}
			if a.trying != nil {
				a.trying.Observe(canarySample(q.Dispatcher))
			}
			var report failover.Report
			if a.planner != nil && q.Report != nil && json.Unmarshal(q.Report, &report) == nil {
				a.planner.AddReport(report, a.now())
			}
		}
	}
	a.mu.Unlock()
	if s == nil {
		return answer{Why: "no seat"}, http.StatusMisdirectedRequest
	}
	if leads == nil {
		return answer{Leader: s.log.Leader(), Why: "does not lead"}, http.StatusMisdirectedRequest
	}
	if err := s.log.Confirm(ctx); err != nil {
		return answer{Why: err.Error()}, http.StatusServiceUnavailable
	}
	r := s.log.Record()
	got.Era, got.Revision, got.LeaseMS = r.Epoch, r.Revision, a.lease.Milliseconds()
	return got, http.StatusOK
}

func holder(m configversions.Dispatcher) gossippeers.Member {
	return gossippeers.Member{Name: m.Name, Address: m.Address, Region: m.Region, Zone: m.Zone}
}

func holders(present []configversions.Dispatcher) (all []gossippeers.Member) {
	for _, m := range present {
		all = append(all, holder(m))
	}
	return all
}

// fits tells whether who asks can be of the fleet as it stands.
func (a *Agent) fits(q question, r configversions.Record) error {
	needs := r.InForce.Rules.MinMessageFormat()
	if v := r.Announced; v != nil {
		needs = max(needs, v.Rules.MinMessageFormat())
	}
	switch {
	case q.Epoch > r.Epoch:
		a.fenced(q.Epoch)
		return configversions.ErrOldEpoch
	case q.MessageFormat < leastForm || q.MessageFormat < needs:
		return fmt.Errorf("form %d of messages: the fleet needs %d", q.MessageFormat, max(needs, leastForm))
	}
	return nil
}

// granted has one lease given: by this seat if it leads, else by the leader, asked by this seat for all that wait.
func (a *Agent) granted(ctx context.Context, q question) (answer, int) {
	a.mu.Lock()
	s, leads := a.seat, a.leads != nil
	a.mu.Unlock()
	if s == nil {
		return answer{Why: "no seat"}, http.StatusMisdirectedRequest
	}
	var got answer
	var status int
	if leads {
		got, status = a.grants(ctx, []question{q})
	} else {
		got, status = s.relay.ask(ctx, q)
	}
	if status != http.StatusOK {
		return got, status
	}
	if why := got.Refused[q.Name]; why != "" {
		return answer{Why: why}, http.StatusConflict
	}
	// The record goes from here, once this seat has what the leader had.
	for {
		a.mu.Lock()
		news := a.news
		a.mu.Unlock()
		if r := s.log.Record(); r.Epoch == got.Era && r.Revision >= got.Revision {
			break
		}
		select {
		case <-ctx.Done():
			return answer{Why: "this seat is behind"}, http.StatusServiceUnavailable
		case <-news:
		}
	}
	back := answer{LeaseMS: got.LeaseMS, Form: got.Form}
	if named := got.Neighbours[q.Name]; named != nil {
		back.Neighbours = map[string]*gossippeers.PeerSuggestion{q.Name: named}
	}
	if rates := got.Rates[q.Name]; rates != nil {
		back.Rates = map[string]json.RawMessage{q.Name: rates}
	}
	back.Entries, back.Record, back.Era, back.Revision = s.since(q.Epoch, q.Revision)
	return back, http.StatusOK
}

// relay gathers questions for the leader.
type relay struct{ in chan asked }

type asked struct {
	q      question
	answer chan<- relayedAnswer
}

type relayedAnswer struct {
	answer
	status int
}

func (r *relay) ask(ctx context.Context, q question) (answer, int) {
	back := make(chan relayedAnswer, 1)
	select {
	case r.in <- asked{q, back}:
	default:
		return answer{Why: "too many questions wait"}, http.StatusServiceUnavailable
	}
	select {
	case got := <-back:
		return got.answer, got.status
	case <-ctx.Done():
		return answer{Why: ctx.Err().Error()}, http.StatusServiceUnavailable
	}
}

// relayed asks the leader, one call at a time with all that wait.
func (a *Agent) relayed(ctx context.Context, s *seat) {
	for {
		var all []asked
		select {
		case <-ctx.Done():
			return
		case q := <-s.relay.in:
			all = append(all, q)
		}
		for len(s.relay.in) > 0 && len(all) < mostBatch {
			all = append(all, <-s.relay.in)
		}
		var questions []question
		for _, q := range all {
			questions = append(questions, q.q)
		}
		got, status := answer{Why: "nobody leads"}, http.StatusServiceUnavailable
		r, leader := s.log.Record(), s.log.Leader()
		if leader == s.id() { // since a moment ago
			by, stop := context.WithDeadline(ctx, time.Now().Add(callWithin))
			got, status = a.grants(by, questions)
			stop()
		} else if to, ok := r.Voter(leader); ok {
			by, stop := context.WithDeadline(ctx, time.Now().Add(min(callWithin, a.lease/3)))
			var err error
			part(a.Meter, true, questions...)
			if got, status, err = a.post(by, to.Address, "grant", questions); err != nil {
				got, status = answer{Why: err.Error()}, http.StatusServiceUnavailable
			}
			for _, rates := range got.Rates {
				a.Meter.Within(traffic.Renewal, traffic.Budget, 0, len(rates))
			}
			stop()
		}
		for _, q := range all {
			q.answer <- relayedAnswer{got, status} // has room
		}
		pause(ctx, relayEvery)
	}
}
