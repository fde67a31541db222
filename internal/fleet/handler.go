package fleet

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/failover"
	"brassdale/internal/decisions/voters"
	"brassdale/internal/fleet/gossip"
	"brassdale/internal/traffic"
)

// Status is what a dispatcher tells of the fleet.
type Status struct {
	Name              string                      `json:"name"`
	Fleet             string                      `json:"fleet"`
	VoterID           uint64                      `json:"seat,omitempty"`
	Leader            uint64                      `json:"leader,omitempty"`
	IsLeader          bool                        `json:"leads,omitempty"`
	EffectiveVersions []uint64                    `json:"acting"`
	LeaseExpired      bool                        `json:"lapsed,omitempty"`
	LeaseLeftMS       int64                       `json:"lease_left_ms"`
	Record            configversions.Record       `json:"record"`
	LeaseHolders      []configversions.Dispatcher `json:"present,omitempty"` // who holds a lease, where this one leads
	WaitingFor        []string                    `json:"waits,omitempty"`   // for whom an announced version waits
	Voters            []voters.Status             `json:"places,omitempty"`  // the council's seats, where this one leads
	Members           []gossip.Member             `json:"members,omitempty"` // by gossip
	Zones             []failover.ZoneView         `json:"zones,omitempty"`   // as the leader plans them
	PlanExpired       bool                        `json:"alone,omitempty"`   // it does not trust its plan any more
	BudgetUsage       []BudgetUsage               `json:"spent,omitempty"`   // of the fleet's budgets, here
	BudgetsGranted    []BudgetGranted             `json:"dealt,omitempty"`   // and by all, where this one leads
	Counts            Counts                      `json:"counts"`

	ControlTraffic map[string]traffic.Count `json:"control"` // bytes and messages that control cost this process, by kind
}

// Status gives it.
func (a *Agent) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.holder.Effective(a.now())
	st := Status{Name: a.Name, Fleet: a.s.Name, VoterID: a.seat.id(), EffectiveVersions: s.Versions, LeaseExpired: s.LeaseExpired, Record: a.holder.Record(),
		LeaseLeftMS: max((a.holder.LeaseExpiry() - a.now()).Milliseconds(), 0), IsLeader: a.leads != nil, Counts: a.counts, ControlTraffic: a.Meter.Counts()}
	if a.members != nil {
		st.Members = a.members.Members()
	}
	if a.seat != nil {
		st.Leader, st.Record, st.Voters = a.seat.log.Leader(), a.seat.log.Record(), a.seat.log.VoterStatuses()
	}
	st.BudgetUsage, st.BudgetsGranted = a.spent(), a.dealt()
	if a.planner != nil {
		st.Zones = a.planner.Views(a.now())
	}
	st.PlanExpired = a.Failover != nil && a.cutOff(s.LeaseExpired)
	if a.leads != nil {
		st.LeaseHolders = a.leads.LeaseHolders(a.now())
		if v := st.Record.Announced; v != nil {
			_, st.WaitingFor = a.leads.MayPutInForce(v.Number, a.now())
		}
	}
	return st
}

func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /members/stream", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { a.members.ServeHTTP(w, r) }))
	mux.HandleFunc("POST /council/messages", a.messages)
	mux.HandleFunc("GET /council/watch", a.watched)
	mux.HandleFunc("POST /council/renew", func(w http.ResponseWriter, r *http.Request) {
		var q question
		if err := a.decode(r, &q); err != nil || q.Name == "" || q.Instance == "" {
			a.reply(w, http.StatusBadRequest, answer{Why: "no question"})
			return
		}
		part(a.Meter, false, q)
		got, status := a.granted(r.Context(), q)
		a.Meter.Within(traffic.Renewal, traffic.Budget, len(got.Rates[q.Name]), 0)
		a.reply(w, status, got)
	})
	mux.HandleFunc("POST /council/grant", func(w http.ResponseWriter, r *http.Request) {
		var all []question
		if err := a.decode(r, &all); err != nil || len(all) == 0 || slices.ContainsFunc(all, func(q question) bool { return q.Name == "" || q.Instance == "" }) {
			a.reply(w, http.StatusBadRequest, answer{Why: "no questions"})
			return
		}
		part(a.Meter, false, all...)
		got, status := a.grants(r.Context(), all)
		for _, rates := range got.Rates {
			a.Meter.Within(traffic.Renewal, traffic.Budget, len(rates), 0)
		}
		a.reply(w, status, got)
	})
	mux.HandleFunc("POST /council/leave", func(w http.ResponseWriter, r *http.Request) {
		var q question
		if err := a.decode(r, &q); err != nil || q.Name == "" || q.Instance == "" {
			a.reply(w, http.StatusBadRequest, answer{Why: "no question"})
			return
		}
		got, status := a.left(r.Context(), q, r.URL.Query().Get("passed") != "")
		a.reply(w, status, got)
	})
	mux.HandleFunc("POST /council/propose", func(w http.ResponseWriter, r *http.Request) {
		var v configversions.Version
		if err := a.decode(r, &v); err != nil {
			a.reply(w, http.StatusBadRequest, answer{Why: err.Error()})
			return
		}
		got, status := a.propose(r.Context(), v, r.URL.Query().Get("passed") != "")
		a.reply(w, status, got)
	})
	mux.HandleFunc("POST /council/hold", func(w http.ResponseWriter, r *http.Request) {
		var h configversions.ZoneLimit
		if err := a.decode(r, &h); err != nil || h.Zone == "" || !(h.Share >= 0 && h.Share <= 1) || a.Failover == nil {
			a.reply(w, http.StatusBadRequest, answer{Why: "no hold of a zone"})
			return
		}
		got, status := a.hold(r.Context(), h, r.URL.Query().Get("passed") != "")
		a.reply(w, status, got)
	})
	mux.HandleFunc("GET /council/founder", func(w http.ResponseWriter, _ *http.Request) {
		a.mu.Lock()
		f := a.founder
		a.mu.Unlock()
		if f == nil {
			f = &voters.Founder{}
		}
		a.reply(w, http.StatusOK, f)
	})
	mux.HandleFunc("GET /council/record", func(w http.ResponseWriter, r *http.Request) {
		got, status := a.record(r.Context(), r.URL.Query().Get("passed") != "")
		a.reply(w, status, got)
	})
	mux.HandleFunc("GET /council/known", func(w http.ResponseWriter, r *http.Request) {
		got, status := a.known(r.Context(), r.URL.Query().Get("passed") != "")
		a.reply(w, status, got)
	})
	mux.HandleFunc("GET /council/status", func(w http.ResponseWriter, _ *http.Request) { a.reply(w, http.StatusOK, a.Status()) })
	return mux
}

// messages takes another seat's. Of two councils the one of the older era hears that it is none any more.
func (a *Agent) messages(w http.ResponseWriter, r *http.Request) {
	var all [][]byte
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostBody))
	if err == nil {
		all, err = frames(text)
	}
	era, bad := strconv.ParseUint(r.URL.Query().Get("era"), 10, 64)
	a.mu.Lock()
	s, known := a.seat, a.holder.Record().Epoch
	a.counts.Served++
	a.mu.Unlock()
	switch {
	case err != nil || bad != nil:
		a.reply(w, http.StatusBadRequest, answer{Why: "no messages to a seat"})
	case era < known:
		a.reply(w, http.StatusGone, answer{Why: configversions.ErrOldEpoch.Error(), Era: known})
	case s == nil:
		a.reply(w, http.StatusMisdirectedRequest, answer{Why: "no seat"})
	case era > s.log.Record().Epoch && s.log.Record().Revision > 0:
		a.fenced(era)
		a.reply(w, http.StatusMisdirectedRequest, answer{Why: "of a newer council"})
	default:
		for _, m := range all {
			s.log.Step(m)
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

// watched waits until the council has something newer than a revision, and gives it. Whole records are sent to a few at a
// time, so that a change that all hear of at once does not hold the log up.
func (a *Agent) watched(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	era, err1 := strconv.ParseUint(q.Get("era"), 10, 64)
	revision, err2 := strconv.ParseUint(q.Get("revision"), 10, 64)
	wait, err3 := strconv.ParseUint(q.Get("wait"), 10, 32)
	if err1 != nil || err2 != nil || err3 != nil {
		a.reply(w, http.StatusBadRequest, answer{Why: "no revision"})
		return
	}
	over := time.NewTimer(min(time.Duration(wait)*time.Millisecond, watchFor))
	defer over.Stop()
	for waiting := true; ; {
		a.mu.Lock()
		s, news := a.seat, a.news
		a.mu.Unlock()
		if s == nil {
			a.reply(w, http.StatusMisdirectedRequest, answer{Why: "no seat"})
			return
		}
		entries, whole, toEra, to := s.since(era, revision)
		if entries == nil && whole == nil && waiting {
			select {
			case <-news:
			case <-over.C:
				waiting = false
			case <-r.Context().Done():
				return
			}
			continue
		}
		if whole != nil {
			a.slow <- struct{}{}
			defer func() { <-a.slow }()
		}
		a.reply(w, http.StatusOK, answer{Entries: entries, Record: whole, Era: toEra, Revision: to})
		return
	}
}
