package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/gossippeers"
	"brassdale/internal/decisions/voters"
	"brassdale/internal/traffic"
)

// order gives the council's seats in the order in which this dispatcher asks them; its own first.
func (a *Agent) order() []voters.Voter {
	a.mu.Lock()
	defer a.mu.Unlock()
	council := a.holder.Record().Voters
	if len(council) == 0 {
		council = a.s.founders()
	}
	order := voters.ContactOrder(council, a.Name, a.s.Region, a.Zone)
	if own := a.seat.id(); own != 0 {
		for i, s := range order {
			if s.ID == own {
				copy(order[1:i+1], order[:i])
				order[0] = s
			}
		}
	}
	return order
}

// asks gives the seat that is asked now: the next one behind each that was asked in vain.
func (a *Agent) asks() voters.Voter {
	order := a.order()
	a.mu.Lock()
	defer a.mu.Unlock()
	return order[a.turn%len(order)]
}

// tried notes whether a seat answered.
func (a *Agent) tried(ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ok {
		a.counts.Renewed++
		return
	}
	a.counts.Rejected++
	a.turn++
}

// question is what this dispatcher says when it asks for a lease.
// The answer's entries follow the record that the question is about, whatever was learned meanwhile.
func (a *Agent) question() (question, configversions.Record) {
	ended, bad := uint64(0), uint64(0)
	if a.JobCounts != nil {
		ended, bad = a.JobCounts()
	}
	demand, firsts := a.wants()
	var report json.RawMessage
	if now := a.now(); a.Report != nil && (now >= a.reported+reportEvery || a.HasUrgentChange != nil && a.HasUrgentChange()) {
		a.reported = now
		report, _ = json.Marshal(a.Report()) // a struct of numbers and names
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.holder.Record()
	q := question{Report: report, Demand: demand, Firsts: firsts, Dispatcher: configversions.Dispatcher{Name: a.Name, Instance: a.instance, AcknowledgedVersion: a.holder.Acknowledged(), MessageFormat: a.form, Epoch: r.Epoch,
		Address: a.address(), Region: a.s.Region, Zone: a.Zone, VoterID: a.seat.id(), JobsEnded: ended, JobsFailed: bad, DedicatedToControl: a.s.DedicatedToControl}, Revision: r.Revision}
	if r.Plan != nil {
		q.Plan = r.Plan.Number
	}
	if !a.heard {
		q.Revision = 0
	}
	if a.members != nil && a.form >= formNeighbours {
		roll := a.members.Digest()
		q.Neighbours = &roll
	}
	return q, r
}

// renew asks for leases, and again sooner where nobody gave one.
func (a *Agent) renew(ctx context.Context) {
	every := a.lease / renewals
	for ctx.Err() == nil {
		asked, begin := a.now(), time.Now()
		err := a.renewOnce(ctx, asked, begin.Add(min(callWithin, a.lease/3)))
		a.tried(err == nil)
		wait := time.Until(begin.Add(every))
		if err != nil {
			a.log.Debug("no lease", "err", err)
			wait = min(wait, every/4)
		}
		select {
		case <-ctx.Done():
		case <-a.renewNow:
		case <-time.After(max(wait, time.Millisecond)):
		}
	}
}

func (a *Agent) renewOnce(ctx context.Context, asked configversions.Clock, by time.Time) error {
	ctx, stop := context.WithDeadline(ctx, by)
	defer stop()
	q, of := a.question()
	s := a.asks()
	var got answer
	var status int
	if s.ID == q.VoterID {
		got, status = a.granted(ctx, q)
	} else {
		var err error
		part(a.Meter, true, q)
		if got, status, err = a.post(ctx, s.Address, "renew", q); err != nil {
			return err
		}
		a.Meter.Within(traffic.Renewal, traffic.Budget, 0, len(got.Rates[a.Name]))
	}
	if status != http.StatusOK {
		return fmt.Errorf("seat %d: %d %s", s.ID, status, got.Why)
	}
	a.mu.Lock()
	r, err := got.onto(of)
	fresh := err == nil && r.NewerThan(a.holder.Record())
	if err == nil {
		a.holder.ApplyLease(r, asked, time.Duration(got.LeaseMS)*time.Millisecond)
		a.settled()
	}
	a.heard = err == nil && (a.heard || got.Record != nil) // else the whole is asked for
	a.mu.Unlock()
	if err != nil {
		return err
	}
	a.visit(got)
	a.leased(got.Rates[a.Name], asked, time.Duration(got.LeaseMS)*time.Millisecond)
	if fresh {
		a.keep(r)
		wake(a.renewNow)
		wake(a.changed)
	}
	return nil
}

// visit exchanges all with a neighbour where the leader has named some and it is time. A leader of an older build names nobody:
// who is alone then meets a voter, as that build does.
func (a *Agent) visit(got answer) {
	if a.form < formNeighbours {
		return
	}
	roll, named := a.members.Digest(), got.Neighbours[a.Name]
	if got.Form < formNeighbours && roll.Count <= 1 {
		named = &gossippeers.PeerSuggestion{Addresses: slices.DeleteFunc(slices.Clone(a.s.Voters), func(at string) bool { return at == a.address() })}
	}
	if address, ok := a.visitor.NextExchange(named, roll, a.now()); ok {
		a.members.ExchangeWith(address)
	}
}

// subscribe follows the record at some seat: what changes comes as soon as that seat has it, the newest only where this
// dispatcher is slow. A dispatcher with a seat has it from its own log.
func (a *Agent) subscribe(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		own, r, heard := a.seat.id(), a.holder.Record(), a.heard
		a.mu.Unlock()
		if own != 0 || !heard {
			pause(ctx, a.lease/renewals)
			continue
		}
		at := fmt.Sprintf("watch?era=%d&revision=%d&wait=%d", r.Epoch, r.Revision, watchFor.Milliseconds())
		by, stop := context.WithDeadline(ctx, time.Now().Add(watchFor+callWithin))
		got, status, err := a.post(by, a.asks().Address, at, nil)
		stop()
		if err == nil && status == http.StatusOK {
			if r, err = got.onto(r); err == nil {
				a.learned(r)
				continue
			}
			a.mu.Lock()
			a.heard = false
			a.mu.Unlock()
		}
		pause(ctx, a.lease/renewals)
	}
}

// watchFor is how long a subscription waits for news in one call.
const watchFor = 10 * time.Second

// post calls another dispatcher; a nil body gets.
func (a *Agent) post(ctx context.Context, address, what string, body any) (got answer, status int, err error) {
	var text []byte
	if body != nil {
		if text, err = json.Marshal(body); err != nil {
			return got, 0, err
		}
	}
	by, ok := ctx.Deadline()
	if !ok {
		by = time.Now().Add(callWithin)
	}
	name, _, _ := strings.Cut(what, "?")
	status, back, err := Call(a.Meter.Call(ctx, kindOfCall(name)), a.client, "http://"+a.s.reach(address)+"/council/"+what, text, by)
	a.mu.Lock()
	a.counts.Calls++
	a.mu.Unlock()
	if err == nil {
		err = json.Unmarshal(back, &got)
	}
	return got, status, err
}

// onto gives the record behind an answer.
func (g answer) onto(r configversions.Record) (configversions.Record, error) {
	if g.Record != nil {
		return *g.Record, nil
	}
	for _, e := range g.Entries {
		next, err := r.Apply(e)
		if err != nil {
			return r, fmt.Errorf("an entry does not follow revision %d: %w", r.Revision, err)
		}
		r = next
	}
	if g.Revision > 0 && (r.Revision != g.Revision || r.Epoch != g.Era) {
		return r, fmt.Errorf("entries lead to revision %d, not %d", r.Revision, g.Revision)
	}
	return r, nil
}
