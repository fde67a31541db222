package endpointstate

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
	"brassdale/scheduler"
)

// table is what the properties are checked on: Table, or a version of it with a deliberate fault.
type table interface {
	Classify(ListResponse) ResponseOrder
	Apply(ListResponse, ResponseOrder) Changes
}

// workerChange is a change of the true state of the worker "w".
type workerChange struct {
	at       time.Duration // since the start of the model
	endpoint Endpoint      // with state Gone if the worker is not listed
}

// discoveryModel passes responses that show the true state of the worker late to a table, and checks the table's changes.
type discoveryModel struct {
	truth             []workerChange
	table             table
	acceptedState     scheduler.WorkerState // of the last accepted change
	newestRestriction int                   // index of the newest change whose restriction was accepted; -1 before the first
	countConfirmed    bool                  // a drain that a list shows counts as accepted also if the worker was not ready before
}

var epoch = time.Unix(1e9, 0)

// at returns the time at an offset from the start of the model.
func (m *discoveryModel) at(offset time.Duration) time.Time { return epoch.Add(offset) }

// changeInForce returns the index of the change that is in force at a time.
func (m *discoveryModel) changeInForce(at time.Duration) int {
	index := 0
	for i, change := range m.truth {
		if change.at <= at {
			index = i
		}
	}
	return index
}

// modelService is a discovery service that counts revisions from a number of its own.
type modelService struct {
	name          string
	firstRevision int64
}

// modelResponse is a response of a service, with the times of the call, the composition and the receipt.
type modelResponse struct {
	service                    modelService
	called, composed, received time.Duration
}

// String formats the response for failure messages.
func (r modelResponse) String() string {
	return fmt.Sprintf("[%s called at %v composed at %v received at %v]", r.service.name, r.called, r.composed, r.received)
}

// respond passes a response to the table, and returns an error if its changes violate a property.
func (m *discoveryModel) respond(planned modelResponse) error {
	shown := m.changeInForce(planned.composed)
	response := ListResponse{Service: planned.service.name, Revision: planned.service.firstRevision + int64(shown), Complete: true,
		CalledAt: m.at(planned.called), ReceivedAt: m.at(planned.received)}
	if endpoint := m.truth[shown].endpoint; endpoint.State != scheduler.Gone {
		response.Endpoints = []Endpoint{endpoint}
	}
	order := m.table.Classify(response)
	if order == Overtaken {
		return nil
	}
	for _, accepted := range m.table.Apply(response, order).Accepted {
		before := m.acceptedState
		m.acceptedState = accepted.State
		switch {
		case accepted.State != scheduler.Ready:
			if before == scheduler.Ready {
				m.newestRestriction = max(m.newestRestriction, shown)
			}
			if accepted.NotifiedAt.After(response.ReceivedAt) || accepted.NotifiedAt.IsZero() {
				return fmt.Errorf("NotifiedAt is %v, expected a time up to the receipt of the response at %v", accepted.NotifiedAt, response.ReceivedAt)
			}
		case before != scheduler.Ready && shown <= m.newestRestriction:
			return fmt.Errorf("a list that shows change %d, composed at %v, withdraws the restriction of change %d", shown, planned.composed, m.newestRestriction)
		}
	}
	if m.countConfirmed && m.truth[shown].endpoint.State == scheduler.Draining {
		m.newestRestriction = max(m.newestRestriction, shown)
	}
	return nil
}

// converges passes current responses to the table for MaxStaleness and one second, and returns an error if the table does not have the true
// state then.
func (m *discoveryModel) converges(service modelService, from time.Duration) error {
	last := len(m.truth) - 1
	for at := from; at <= from+MaxStaleness+time.Second; at += time.Second {
		if err := m.respond(modelResponse{service, at, at, at + 10*time.Millisecond}); err != nil {
			return err
		}
	}
	if truth := m.truth[last].endpoint.State; truth != m.acceptedState {
		return fmt.Errorf("the worker is %v, but the table has %v", truth, m.acceptedState)
	}
	return nil
}

// workerHistories are the histories of the worker that are explored: a drain, an end, a return, a new start, an end soon after a new start.
func workerHistories() [][]workerChange {
	endpoint := func(state scheduler.WorkerState, start scheduler.Instant) Endpoint {
		return Endpoint{ID: "w", State: state, Start: start}
	}
	ready, draining, gone := endpoint(scheduler.Ready, 0), endpoint(scheduler.Draining, 0), endpoint(scheduler.Gone, 0)
	restarted := endpoint(scheduler.Ready, 7)
	history := func(endpoints ...Endpoint) (truth []workerChange) {
		for i, e := range endpoints {
			truth = append(truth, workerChange{time.Duration(i) * 4 * time.Second, e})
		}
		return truth
	}
	return [][]workerChange{
		history(ready, draining),
		history(ready, gone),
		history(ready, draining, gone),
		history(ready, draining, ready),
		history(ready, gone, restarted),
		history(ready, draining, restarted),
		history(ready, gone, ready),
		history(ready, restarted, gone),
	}
}

// A response of the model is composed at most maxLag before its call.
const maxLag = MaxStaleness - time.Second

// testServices are the services before and after a move of discovery.
func testServices() []modelService { return []modelService{{"before", 1}, {"after", 100}} }

// explore runs all sequences of a number of responses of two services, and returns the first violation of a property. Each response is
// composed maxLag before its call, at its call, or when it is received.
func explore(newTable func() table, truth []workerChange, responses int) error {
	var sequence []modelResponse
	var explorePrefix func(depth int, from time.Duration) error
	explorePrefix = func(depth int, from time.Duration) error {
		if depth == 0 {
			return runSequence(newTable(), truth, sequence)
		}
		for _, response := range responsesFrom(from) {
			sequence = append(sequence, response)
			err := explorePrefix(depth-1, response.received+time.Millisecond)
			sequence = sequence[:len(sequence)-1]
			if err != nil {
				return err
			}
		}
		return nil
	}
	return explorePrefix(responses, 0)
}

// responsesFrom returns the responses that are received at a time or later.
func responsesFrom(from time.Duration) (responses []modelResponse) {
	for _, received := range []time.Duration{time.Second, 5 * time.Second, 9 * time.Second, 13 * time.Second} {
		if received < from {
			continue
		}
		for _, service := range testServices() {
			for _, called := range []time.Duration{received - 100*time.Millisecond, received - 4*time.Second} {
				for _, composed := range []time.Duration{received, called, called - maxLag} {
					responses = append(responses, modelResponse{service, called, composed, received})
				}
			}
		}
	}
	return responses
}

// runSequence passes a sequence of responses to a table, and returns the first violation of a property.
func runSequence(subject table, truth []workerChange, sequence []modelResponse) error {
	model := &discoveryModel{truth: truth, table: subject, acceptedState: scheduler.Gone, newestRestriction: -1}
	for _, response := range sequence {
		if err := model.respond(response); err != nil {
			return fmt.Errorf("%w: %v", err, sequence)
		}
	}
	if err := model.converges(testServices()[1], max(truth[len(truth)-1].at, 14*time.Second)+time.Second); err != nil {
		return fmt.Errorf("%w: %v", err, sequence)
	}
	return nil
}

// TestTable_everySmallHistory checks the properties for all sequences of three responses of two services over each history.
func TestTable_everySmallHistory(t *testing.T) {
	for i, truth := range workerHistories() {
		if err := explore(func() table { return &Table{} }, truth, 3); err != nil {
			t.Errorf("history %d: %v", i, err)
		}
	}
}

// TestTable_randomHistories checks the properties for long random histories: the responses come from lagging replicas of two services,
// and are delayed, repeated and overtaken.
func TestTable_randomHistories(t *testing.T) { checkRandomHistories(t, false) }

// TestTable_randomHistories_confirmedDrains guards against this failure: a list shows a drain while the worker already is not ready, and a
// list that may be older withdraws the drain.
func TestTable_randomHistories_confirmedDrains(t *testing.T) { checkRandomHistories(t, true) }

func checkRandomHistories(t *testing.T, countConfirmed bool) {
	property.Check(t, func(t *rapid.T) {
		truth := drawHistory(t)
		model := &discoveryModel{table: &Table{}, acceptedState: scheduler.Gone, newestRestriction: -1, truth: truth, countConfirmed: countConfirmed}
		received := time.Duration(0)
		for range rapid.IntRange(0, 30).Draw(t, "responses") {
			received += time.Duration(rapid.Int64Range(1, int64(2*time.Second)).Draw(t, "gap"))
			called := received - time.Duration(rapid.Int64Range(1, int64(5*time.Second)).Draw(t, "took"))
			lag := time.Duration(rapid.Int64Range(0, int64(maxLag)).Draw(t, "lag"))
			composed := called - lag + time.Duration(rapid.Float64Range(0, 1).Draw(t, "composed")*float64(received-called+lag))
			service := rapid.SampledFrom(testServices()).Draw(t, "service")
			if err := model.respond(modelResponse{service, called, composed, received}); err != nil {
				t.Fatal(err)
			}
		}
		if err := model.converges(testServices()[1], max(truth[len(truth)-1].at, received)+time.Second); err != nil {
			t.Fatal(err)
		}
	})
}

// drawHistory draws a history of the worker.
func drawHistory(t *rapid.T) []workerChange {
	truth := []workerChange{{0, Endpoint{ID: "w"}}}
	at := time.Duration(0)
	for range rapid.IntRange(1, 6).Draw(t, "changes") {
		at += time.Duration(rapid.Int64Range(int64(100*time.Millisecond), int64(8*time.Second)).Draw(t, "pause"))
		state := scheduler.WorkerState(rapid.IntRange(0, 2).Draw(t, "state"))
		endpoint := Endpoint{ID: "w", State: state, Start: truth[len(truth)-1].endpoint.Start}
		if endpoint.State == scheduler.Ready && rapid.Bool().Draw(t, "a new start") {
			endpoint.Start += time.Second
		}
		truth = append(truth, workerChange{at, endpoint})
	}
	return truth
}

// acceptsEverything accepts each response as it is.
type acceptsEverything struct {
	Table
	state scheduler.WorkerState
}

func (a *acceptsEverything) Apply(response ListResponse, _ ResponseOrder) (changes Changes) {
	endpoint := Endpoint{ID: "w", State: scheduler.Gone}
	if len(response.Endpoints) > 0 {
		endpoint = response.Endpoints[0]
	}
	if a.state != endpoint.State {
		changes.Accepted = []Accepted{{ID: "w", State: endpoint.State, NotifiedAt: response.ReceivedAt}}
	}
	a.state = endpoint.State
	return changes
}

// neverAcceptsReturn never accepts that a worker has returned.
type neverAcceptsReturn struct {
	Table
	restricted bool
}

func (n *neverAcceptsReturn) Apply(response ListResponse, order ResponseOrder) (changes Changes) {
	for _, accepted := range n.Table.Apply(response, order).Accepted {
		if accepted.State == scheduler.Ready && n.restricted {
			continue
		}
		n.restricted = n.restricted || accepted.State != scheduler.Ready
		changes.Accepted = append(changes.Accepted, accepted)
	}
	return changes
}

// forgetsGone deletes the record of a worker that is gone.
type forgetsGone struct{ Table }

func (f *forgetsGone) Apply(response ListResponse, order ResponseOrder) Changes {
	changes := f.Table.Apply(response, order)
	if f.records["w"].state == scheduler.Gone {
		delete(f.records, "w")
	}
	return changes
}

// datesDrainLate sets NotifiedAt to 1 s after the response was received.
type datesDrainLate struct{ Table }

func (c *datesDrainLate) Apply(response ListResponse, order ResponseOrder) Changes {
	changes := c.Table.Apply(response, order)
	for i := range changes.Accepted {
		if changes.Accepted[i].State != scheduler.Ready {
			changes.Accepted[i].NotifiedAt = response.ReceivedAt.Add(time.Second)
		}
	}
	return changes
}

// TestExplore_findsBrokenTables checks that each table with a deliberate fault violates a property in some small history.
func TestExplore_findsBrokenTables(t *testing.T) {
	for name, newTable := range map[string]func() table{
		"accepts each response as it is": func() table { return &acceptsEverything{} },
		"never accepts a return":         func() table { return &neverAcceptsReturn{} },
		"forgets gone workers":           func() table { return &forgetsGone{} },
		"dates a drain too late":         func() table { return &datesDrainLate{} },
	} {
		found := false
		for _, truth := range workerHistories() {
			found = found || explore(newTable, truth, 3) != nil
		}
		if !found {
			t.Errorf("no violation was found for a table that %s", name)
		}
	}
}

// TestTable_pollAgainAt checks that a return is rejected until MaxStaleness after the drain was received, and that PollAgainAt is that time.
func TestTable_pollAgainAt(t *testing.T) {
	var known Table
	apply := func(response ListResponse) Changes { return known.Apply(response, known.Classify(response)) }
	drain := ListResponse{Service: "before", Revision: 9, CalledAt: epoch, ReceivedAt: epoch.Add(time.Second),
		Endpoints: []Endpoint{{ID: "w", State: scheduler.Draining}}}
	if changes := apply(drain); len(changes.Accepted) != 1 || changes.Accepted[0].NotifiedAt != drain.ReceivedAt || !changes.PollAgainAt.IsZero() {
		t.Fatalf("a drain: want it accepted with its time of receipt and no poll, got %+v", changes)
	}
	ready := ListResponse{Service: "after", Revision: 3, Complete: true, CalledAt: drain.ReceivedAt.Add(time.Second),
		ReceivedAt: drain.ReceivedAt.Add(2 * time.Second), Endpoints: []Endpoint{{ID: "w"}}}
	if changes := apply(ready); len(changes.Accepted) != 0 || changes.PollAgainAt != drain.ReceivedAt.Add(MaxStaleness) {
		t.Fatalf("a return before MaxStaleness: want it rejected and a poll at MaxStaleness, got %+v", changes)
	}
	ready.CalledAt, ready.ReceivedAt = drain.ReceivedAt.Add(MaxStaleness), drain.ReceivedAt.Add(MaxStaleness+time.Second)
	if changes := apply(ready); len(changes.Accepted) != 1 || changes.Accepted[0].State != scheduler.Ready || !changes.Accepted[0].NotifiedAt.IsZero() {
		t.Fatalf("a return after MaxStaleness was not accepted: %+v", changes)
	}
}

// TestTable_withdrawalAfterConfirmationByOtherService guards against this failure: a stale list of another service confirms a restriction,
// and the next revision of that service then counts as newer than the restriction.
func TestTable_withdrawalAfterConfirmationByOtherService(t *testing.T) {
	var known Table
	respond := func(service string, revision int64, state scheduler.WorkerState, calledAt time.Duration) Changes {
		response := ListResponse{Service: service, Revision: revision, Complete: true, CalledAt: epoch.Add(calledAt),
			ReceivedAt: epoch.Add(calledAt + 100*time.Millisecond), Endpoints: []Endpoint{{ID: "w", State: state}}}
		return known.Apply(response, known.Classify(response))
	}
	respond("before", 4, scheduler.Draining, 0)
	respond("after", 101, scheduler.Draining, time.Second) // shows an earlier drain
	learnedAt := epoch.Add(100 * time.Millisecond)
	if changes := respond("after", 102, scheduler.Ready, 2*time.Second); len(changes.Accepted) != 0 || changes.PollAgainAt != learnedAt.Add(MaxStaleness) {
		t.Errorf("a return before MaxStaleness: want it rejected and a poll at MaxStaleness, got %+v", changes)
	}
	if changes := respond("after", 103, scheduler.Ready, 100*time.Millisecond+MaxStaleness); len(changes.Accepted) != 1 || changes.Accepted[0].State != scheduler.Ready {
		t.Errorf("a return after MaxStaleness was not accepted: %+v", changes)
	}
}

// TestTable_withdrawalAfterEndByOtherService guards against this failure: a first stale list of another service does not name a draining
// worker, and a second one withdraws the drain.
func TestTable_withdrawalAfterEndByOtherService(t *testing.T) {
	var known Table
	respond := func(service string, revision int64, calledAt time.Duration, endpoints ...Endpoint) Changes {
		response := ListResponse{Service: service, Revision: revision, Complete: true, CalledAt: epoch.Add(calledAt),
			ReceivedAt: epoch.Add(calledAt + 100*time.Millisecond), Endpoints: endpoints}
		return known.Apply(response, known.Classify(response))
	}
	respond("before", 4, 0, Endpoint{ID: "w", State: scheduler.Draining})
	respond("after", 101, time.Second) // shows an earlier end
	if changes := respond("after", 102, 2*time.Second, Endpoint{ID: "w"}); len(changes.Accepted) != 0 || changes.PollAgainAt != epoch.Add(100*time.Millisecond+MaxStaleness) {
		t.Errorf("a return before MaxStaleness: want it rejected and a poll at MaxStaleness, got %+v", changes)
	}
	if changes := respond("after", 103, 3*time.Second, Endpoint{ID: "w", Start: 7}); len(changes.Accepted) != 1 {
		t.Errorf("a start later than the draining one was not accepted: %+v", changes)
	}
}

// TestTable_earlierStartAfterOtherService guards against this failure: an earlier start of a worker is accepted from the second stale list
// of another service, so that a worker that has just started counts as warm.
func TestTable_earlierStartAfterOtherService(t *testing.T) {
	var known Table
	respond := func(service string, revision int64, start scheduler.Instant, calledAt time.Duration) scheduler.Instant {
		response := ListResponse{Service: service, Revision: revision, Complete: true, CalledAt: epoch.Add(calledAt),
			ReceivedAt: epoch.Add(calledAt + 100*time.Millisecond), Endpoints: []Endpoint{{ID: "w", Start: start}}}
		return known.Apply(response, known.Classify(response)).Accepted[0].Start
	}
	respond("before", 4, 7, 0)
	for _, revision := range []int64{101, 102} {
		if start := respond("after", revision, 1, time.Second); start != 7 {
			t.Errorf("revision %d: got start %v, want the known 7 ns", revision, start)
		}
	}
	if start := respond("after", 103, 1, 200*time.Millisecond+MaxStaleness+time.Second); start != 1 {
		t.Errorf("MaxStaleness after the known start was received: got start %v, want 1 ns", start)
	}
}

// TestRestoredDrain_notWithdrawnByOtherService checks guarantee 1 after a restart: the first list of another service does not withdraw a
// drain that a predecessor process handed over, if its call was made less than MaxStaleness after the NotifiedAt of the drain.
func TestRestoredDrain_notWithdrawnByOtherService(t *testing.T) {
	var restored Table
	drain := Endpoint{ID: "w", State: scheduler.Draining, NotifiedAt: epoch}
	restored.Restore("before", 9, []Endpoint{drain})
	ready := ListResponse{Service: "after", Revision: 3, Complete: true, CalledAt: epoch.Add(time.Second),
		ReceivedAt: epoch.Add(2 * time.Second), Endpoints: []Endpoint{{ID: "w"}}}
	if changes := restored.Apply(ready, restored.Classify(ready)); len(changes.Accepted) != 0 || changes.PollAgainAt != epoch.Add(MaxStaleness) {
		t.Errorf("a return before MaxStaleness: want it rejected and a poll at MaxStaleness, got %+v", changes)
	}
	ready.CalledAt, ready.ReceivedAt = epoch.Add(MaxStaleness), epoch.Add(MaxStaleness+time.Second)
	if changes := restored.Apply(ready, restored.Classify(ready)); len(changes.Accepted) != 1 {
		t.Errorf("a return after MaxStaleness was not accepted: %+v", changes)
	}
}

// TestRestoredDrain_withdrawnByHigherRevision checks that a higher revision of the service that a predecessor process called withdraws at
// once a drain that the predecessor handed over.
func TestRestoredDrain_withdrawnByHigherRevision(t *testing.T) {
	var restored Table
	restored.Restore("before", 9, []Endpoint{{ID: "w", State: scheduler.Draining, NotifiedAt: epoch}})
	ready := ListResponse{Service: "before", Revision: 10, Complete: true, CalledAt: epoch.Add(time.Second),
		ReceivedAt: epoch.Add(2 * time.Second), Endpoints: []Endpoint{{ID: "w"}}}
	if changes := restored.Apply(ready, restored.Classify(ready)); len(changes.Accepted) != 1 || changes.Accepted[0].State != scheduler.Ready {
		t.Errorf("a return at a higher revision was not accepted: %+v", changes)
	}
}

// TestTable_unknownWorkerInListOfOtherService guards against jobs for a worker that left before this process learned of it: a stale list
// of another service shows it as ready. If an earlier full list of the previous service lacked it, the worker must not be accepted as
// ready, just as if a list had removed it.
func TestTable_unknownWorkerInListOfOtherService(t *testing.T) {
	var known Table
	respond := func(service string, revision int64, calledAt time.Duration, endpoints ...Endpoint) Changes {
		response := ListResponse{Service: service, Revision: revision, Complete: true, CalledAt: epoch.Add(calledAt),
			ReceivedAt: epoch.Add(calledAt + 100*time.Millisecond), Endpoints: endpoints}
		return known.Apply(response, known.Classify(response))
	}
	respond("before", 11, 0, Endpoint{ID: "other"}) // "w" had left at revision 10
	for _, accepted := range respond("after", 109, time.Second, Endpoint{ID: "other"}, Endpoint{ID: "w"}).Accepted {
		if accepted.ID == "w" && accepted.State == scheduler.Ready {
			t.Errorf("accepted as ready: %+v", accepted)
		}
	}
}
