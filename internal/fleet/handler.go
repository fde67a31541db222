package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/voters"
	"brassdale/internal/traffic"
)

// handler serves the calls of other dispatchers and of 'brassdale fleet'.
func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /members/stream", func(w http.ResponseWriter, r *http.Request) { a.members.ServeHTTP(w, r) })
	mux.HandleFunc("POST /council/messages", a.serveMessages)
	mux.HandleFunc("GET /council/watch", a.serveWatch)
	mux.HandleFunc("POST /council/renew", a.serveRenew)
	mux.HandleFunc("POST /council/grant", a.serveGrant)
	mux.HandleFunc("POST /council/leave", a.serveLeave)
	mux.HandleFunc("POST /council/propose", a.servePropose)
	mux.HandleFunc("POST /council/hold", a.serveZoneLimit)
	mux.HandleFunc("GET /council/founder", a.serveFounder)
	mux.HandleFunc("GET /council/record", a.serveRecord)
	mux.HandleFunc("GET /council/known", a.serveDispatchers)
	mux.HandleFunc("GET /council/status", a.serveStatus)
	return mux
}

// serveRenew serves one dispatcher's request for a lease, at a voter.
func (a *Agent) serveRenew(w http.ResponseWriter, r *http.Request) {
	var request leaseRequest
	if err := a.decode(r, &request); err != nil || !request.valid() {
		a.reply(w, http.StatusBadRequest, response{Reason: reasonInvalidRequest})
		return
	}
	meterRequests(a.options.Meter, false, request)
	got, status := a.obtainLease(r.Context(), request)
	a.options.Meter.Within(traffic.Renewal, traffic.Budget, len(got.BudgetRates[request.Name]), 0)
	a.reply(w, status, got)
}

// serveGrant serves a voter's request for the leases of several dispatchers, at the leader.
func (a *Agent) serveGrant(w http.ResponseWriter, r *http.Request) {
	var requests []leaseRequest
	invalid := func(request leaseRequest) bool { return !request.valid() }
	if err := a.decode(r, &requests); err != nil || len(requests) == 0 || slices.ContainsFunc(requests, invalid) {
		a.reply(w, http.StatusBadRequest, response{Reason: "no questions"}) // no lease request, or an invalid one
		return
	}
	meterRequests(a.options.Meter, false, requests...)
	got, status := a.grantLeases(r.Context(), requests)
	for _, rates := range got.BudgetRates {
		a.options.Meter.Within(traffic.Renewal, traffic.Budget, len(rates), 0)
	}
	a.reply(w, status, got)
}

// serveLeave serves a dispatcher's notification that it has dropped its lease.
func (a *Agent) serveLeave(w http.ResponseWriter, r *http.Request) {
	var request leaseRequest
	if err := a.decode(r, &request); err != nil || !request.valid() {
		a.reply(w, http.StatusBadRequest, response{Reason: reasonInvalidRequest})
		return
	}
	got, status := a.dropLease(r.Context(), request, wasForwarded(r))
	a.reply(w, status, got)
}

// servePropose serves the proposal of a version.
func (a *Agent) servePropose(w http.ResponseWriter, r *http.Request) {
	var version configversions.Version
	if err := a.decode(r, &version); err != nil {
		a.reply(w, http.StatusBadRequest, response{Reason: err.Error()})
		return
	}
	got, status := a.propose(r.Context(), version, wasForwarded(r))
	a.reply(w, status, got)
}

// serveZoneLimit serves an operator's limit on a zone's capacity.
func (a *Agent) serveZoneLimit(w http.ResponseWriter, r *http.Request) {
	var limit configversions.ZoneLimit
	err := a.decode(r, &limit)
	if err != nil || limit.Zone == "" || limit.Share < 0 || limit.Share > 1 || !a.planningEnabled() {
		a.reply(w, http.StatusBadRequest, response{Reason: "no hold of a zone"}) // the limit is invalid, or the fleet has no failover planning
		return
	}
	got, status := a.limitZone(r.Context(), limit, wasForwarded(r))
	a.reply(w, status, got)
}

// serveFounder serves this dispatcher's founder state; empty if it is not a founder.
func (a *Agent) serveFounder(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	founder := a.founder
	a.mu.Unlock()
	if founder == nil {
		founder = &voters.Founder{}
	}
	a.reply(w, http.StatusOK, founder)
}

// serveRecord serves the whole record.
func (a *Agent) serveRecord(w http.ResponseWriter, r *http.Request) {
	got, status := a.record(r.Context(), wasForwarded(r))
	a.reply(w, status, got)
}

// serveDispatchers serves the dispatchers that hold a lease or held one recently.
func (a *Agent) serveDispatchers(w http.ResponseWriter, r *http.Request) {
	got, status := a.dispatchers(r.Context(), wasForwarded(r))
	a.reply(w, status, got)
}

// serveStatus serves the status of this dispatcher.
func (a *Agent) serveStatus(w http.ResponseWriter, _ *http.Request) {
	a.reply(w, http.StatusOK, a.Status())
}

// wasForwarded reports whether another dispatcher forwarded a call.
func wasForwarded(r *http.Request) bool { return r.URL.Query().Get(forwardedParam) != "" }

// decode reads the whole body of a request as JSON.
func (a *Agent) decode(r *http.Request, to any) error {
	text, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	if err != nil {
		return err
	}
	a.countServed() // counts only calls whose body was read
	if err := json.Unmarshal(text, to); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return nil
}

// reply writes a response as JSON. It ignores a failed write, because the caller is gone.
func (a *Agent) reply(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
		text = []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header()["Date"] = nil // omitted, because nobody reads it and each dispatcher makes several calls per second
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
