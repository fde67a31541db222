package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/gossippeers"
	"brassdale/internal/decisions/voters"
	"brassdale/internal/traffic"
)

const (
	// renewalsPerLease is how often a lease is renewed before it runs out. followRecord receives changes of the record in between.
	renewalsPerLease = 4
	// reportInterval is the shortest time between two reports of zones, except urgent reports.
	reportInterval = 900 * time.Millisecond
)

// renewInterval returns the time between two renewals.
func (a *Agent) renewInterval() time.Duration { return a.leaseDuration / renewalsPerLease }

// renewLeases renews the dispatcher's lease until the context ends: every renewInterval, sooner after a failed request, and at
// once when renewNow wakes it.
func (a *Agent) renewLeases(ctx context.Context) {
	interval := a.renewInterval()
	for ctx.Err() == nil {
		requestedAt := a.now() // the dispatcher counts the lease from now, the leader from later, so the lease ends at the dispatcher first
		begin := time.Now()
		err := a.renewOnce(ctx, requestedAt, begin.Add(a.leaseCallTimeout()))
		a.countRenewal(err == nil)
		wait := time.Until(begin.Add(interval))
		if err != nil {
			a.log.Debug("lease not renewed", "err", err)
			wait = min(wait, interval/4)
		}
		select {
		case <-ctx.Done():
		case <-a.renewNow:
		case <-time.After(max(wait, time.Millisecond)):
		}
	}
}

// countRenewal counts a lease request. After a failed request the next one goes to another voter.
func (a *Agent) countRenewal(granted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if granted {
		a.counts.Renewed++
		return
	}
	a.counts.Rejected++
	a.voterCursor++
}

// renewOnce requests a lease and applies it.
func (a *Agent) renewOnce(ctx context.Context, requestedAt configversions.Instant, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	request, base := a.newLeaseRequest()
	voter := a.nextVoter()
	got, status, err := a.requestLease(ctx, voter, request)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("voter %d: %d %s", voter.ID, status, got.Reason)
	}
	lease := time.Duration(got.LeaseMS) * time.Millisecond
	record, isNew, err := a.applyLease(got, base, requestedAt, lease)
	if err != nil {
		return err
	}
	a.exchangeWithPeer(got)
	a.budgets.applyRates(got.BudgetRates[a.options.Name], requestedAt, lease)
	if isNew {
		a.saveRecord(record)
		wake(a.renewNow) // acknowledges the record
		wake(a.stateChanged)
	}
	return nil
}

// requestLease requests a lease from a voter, which may be this dispatcher's own.
func (a *Agent) requestLease(ctx context.Context, voter voters.Voter, request leaseRequest) (response, int, error) {
	if voter.ID == request.VoterID {
		got, status := a.obtainLease(ctx, request)
		return got, status, nil
	}
	meterRequests(a.options.Meter, true, request)
	got, status, err := a.call(ctx, voter.Address, "renew", request)
	if err == nil {
		a.options.Meter.Within(traffic.Renewal, traffic.Budget, 0, len(got.BudgetRates[a.options.Name]))
	}
	return got, status, err
}

// applyLease applies a lease, and the record that results from applying the response to base, the record of the request. isNew
// reports whether the record is newer than the one known before. If the entries do not apply to base, the next request asks for
// the whole record.
func (a *Agent) applyLease(
	got response, base configversions.Record, requestedAt configversions.Instant, lease time.Duration,
) (record configversions.Record, isNew bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	record, err = got.applyTo(base)
	if err != nil {
		a.recordComplete = false
		return record, false, err
	}
	isNew = record.NewerThan(a.lessee.Record())
	a.lessee.ApplyLease(record, requestedAt, lease)
	a.applyStateLocked()
	a.recordComplete = a.recordComplete || got.Record != nil
	return record, isNew, nil
}

// newLeaseRequest returns a lease request and the record on which it is based. The entries of the response apply to that record,
// even if a newer one arrives meanwhile. Only the goroutine of Run may call it.
func (a *Agent) newLeaseRequest() (leaseRequest, configversions.Record) {
	var ended, failed uint64
	if a.options.JobCounts != nil {
		ended, failed = a.options.JobCounts()
	}
	demand, firstAttemptsPerSecond := a.budgets.takeDemand(a.options.FirstAttempts)
	report := a.dueReport()
	a.mu.Lock()
	defer a.mu.Unlock()
	record := a.lessee.Record()
	_, plan := currentPlan(record)
	request := leaseRequest{
		Dispatcher: configversions.Dispatcher{
			Name:                a.options.Name,
			Instance:            a.instance,
			AcknowledgedVersion: a.lessee.Acknowledged(),
			MessageFormat:       a.messageFormat,
			Epoch:               record.Epoch,
			Address:             a.address(),
			Region:              a.settings.Region,
			Zone:                a.options.Zone,
			VoterID:             a.voter.id(),
			JobsEnded:           ended,
			JobsFailed:          failed,
			PlanNumber:          plan,
			DedicatedToControl:  a.settings.DedicatedToControl,
		},
		Revision:               record.Revision,
		Report:                 report,
		BudgetDemand:           demand,
		FirstAttemptsPerSecond: firstAttemptsPerSecond,
	}
	if !a.recordComplete {
		request.Revision = 0
	}
	if a.members != nil && a.messageFormat >= zoneGossipFormat {
		digest := a.members.Digest()
		request.Digest = &digest
	}
	return request, record
}

// dueReport returns the report of zones, encoded as JSON, if one is due; else nil. Only the goroutine of Run may call it.
func (a *Agent) dueReport() json.RawMessage {
	if a.options.Report == nil {
		return nil
	}
	now := a.now()
	urgent := a.options.HasUrgentChange
	if now < a.reportedAt+reportInterval && (urgent == nil || !urgent()) {
		return nil
	}
	a.reportedAt = now
	encoded, _ := json.Marshal(a.options.Report()) // encoding a struct of numbers and names cannot fail
	return encoded
}

// exchangeWithPeer starts an exchange of gossip state with a peer that the leader suggests, if an exchange is due. A leader of an
// older build suggests no peer. Then a dispatcher that knows no peer exchanges with a founder, as dispatchers of that build do.
// Only the goroutine of Run may call it.
func (a *Agent) exchangeWithPeer(got response) {
	if a.messageFormat < zoneGossipFormat {
		return
	}
	digest := a.members.Digest()
	suggestion := got.PeerSuggestions[a.options.Name]
	if got.MessageFormat < zoneGossipFormat && digest.Count <= 1 {
		isOwn := func(address string) bool { return address == a.address() }
		others := slices.DeleteFunc(slices.Clone(a.settings.Voters), isOwn)
		suggestion = &gossippeers.PeerSuggestion{Addresses: others}
	}
	if address, ok := a.exchanger.NextExchange(suggestion, digest, a.now()); ok {
		a.members.ExchangeWith(address)
	}
}

// releaseLease drops the lease and notifies a voter, so that neither a change nor a successor of the same name waits for the lease
// to run out. Only the goroutine of Run may call it.
func (a *Agent) releaseLease(ctx context.Context) {
	a.mu.Lock()
	a.lessee.DropLease(a.now())
	a.mu.Unlock()
	a.applyState()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, _ := a.newLeaseRequest()
	for _, voter := range a.contactOrder() {
		_, status, err := a.call(ctx, voter.Address, "leave", request)
		if err == nil && status == http.StatusOK {
			return
		}
	}
}

// contactOrder returns the voters in the order in which this dispatcher asks them: first itself if it is a voter, then the others,
// nearest first.
func (a *Agent) contactOrder() []voters.Voter {
	a.mu.Lock()
	defer a.mu.Unlock()
	group := a.lessee.Record().Voters
	if len(group) == 0 {
		group = a.settings.founders()
	}
	order := voters.ContactOrder(group, a.options.Name, a.settings.Region, a.options.Zone)
	isOwn := func(voter voters.Voter) bool { return voter.ID == a.voter.id() }
	own := slices.IndexFunc(order, isOwn)
	if own < 0 {
		return order
	}
	first := order[own]
	copy(order[1:own+1], order[:own])
	order[0] = first
	return order
}

// nextVoter returns the voter to ask now: the first of contactOrder, and after each failed lease request the next one.
func (a *Agent) nextVoter() voters.Voter {
	order := a.contactOrder()
	a.mu.Lock()
	defer a.mu.Unlock()
	return order[a.voterCursor%len(order)]
}
