package endpointstate

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"brassdale/scheduler"
)

// table is what the properties are held over: Table, or a version of it that is broken on purpose.
type table interface {
	Classify(ListResponse) Freshness
	Apply(ListResponse, Freshness) Changes
}

// fleetChange is one of the truth about the worker "w": what discovery has from a moment on.
type fleetChange struct {
	at       time.Duration
	endpoint Endpoint // State Gone for a worker that is not listed
}

// discoveryModel is a fleet's discovery: what is true when, and services that show it late.
type discoveryModel struct {
	truth             []fleetChange
	table             table
	acceptedState     scheduler.WorkerState // as the table's verdicts have it
	newestRestriction int                   // the newest change whose restriction was accepted; -1 for none
}

var epoch = time.Unix(1e9, 0)

func (w *discoveryModel) at(d time.Duration) time.Time { return epoch.Add(d) }

// changeInForce gives the index of the change that was in force at a moment.
func (w *discoveryModel) changeInForce(d time.Duration) int {
	n := 0
	for i, c := range w.truth {
		if c.at <= d {
			n = i
		}
	}
	return n
}

// service is one that shows the truth late, and counts revisions from a number of its own.
type modelService struct {
	name          string
	firstRevision int64
}

// answer brings an answer that was composed at a moment. It returns what breaks a property.
func (w *discoveryModel) answer(s modelService, asked, composed, came time.Duration) error {
	shown := w.changeInForce(composed)
	a := ListResponse{Service: s.name, Revision: s.firstRevision + int64(shown), Complete: true, CalledAt: w.at(asked), ReceivedAt: w.at(came)}
	if m := w.truth[shown].endpoint; m.State != scheduler.Gone {
		a.Endpoints = []Endpoint{m}
	}
	order := w.table.Classify(a)
	if order == Overtaken {
		return nil
	}
	for _, accepted := range w.table.Apply(a, order).Accepted {
		was := w.acceptedState
		w.acceptedState = accepted.State
		switch {
		case accepted.State != scheduler.Ready:
			if was == scheduler.Ready {
				w.newestRestriction = max(w.newestRestriction, shown)
			}
			if accepted.NotifiedAt.After(a.ReceivedAt) || accepted.NotifiedAt.IsZero() {
				return fmt.Errorf("told %v, behind the answer of %v", accepted.NotifiedAt, a.ReceivedAt)
			}
		case was != scheduler.Ready && shown <= w.newestRestriction:
			return fmt.Errorf("a list of change %d, composed at %v, takes back what change %d brought", shown, composed, w.newestRestriction)
		}
	}
	return nil
}

// converges tells whether answers that come from now on bring the truth in its time.
func (w *discoveryModel) converges(s modelService, from time.Duration) error {
	last := len(w.truth) - 1
	for at := from; at <= from+MaxStaleness+time.Second; at += time.Second {
		if err := w.answer(s, at, at, at+10*time.Millisecond); err != nil {
			return err
		}
	}
	if truth := w.truth[last].endpoint.State; truth != w.acceptedState {
		return fmt.Errorf("the worker is %v, and %v is known", truth, w.acceptedState)
	}
	return nil
}

// scripts are the truths that are played: a drain, an end, a return, a new start.
func scripts() [][]fleetChange {
	member := func(s scheduler.WorkerState, start scheduler.Clock) Endpoint {
		return Endpoint{ID: "w", State: s, Start: start}
	}
	active, drains, gone, anew := member(scheduler.Ready, 0), member(scheduler.Draining, 0), member(scheduler.Gone, 0), member(scheduler.Ready, 7)
	at := func(members ...Endpoint) (truth []fleetChange) {
		for i, m := range members {
			truth = append(truth, fleetChange{time.Duration(i) * 4 * time.Second, m})
		}
		return truth
	}
	return [][]fleetChange{at(active, drains), at(active, gone), at(active, drains, gone), at(active, drains, active), at(active, gone, anew),
		at(active, drains, anew), at(active, gone, active)}
}

// maxLag is how old an answer may be when its call is made, in the plays.
const maxLag = MaxStaleness - time.Second

// explore plays all sequences of so many answers of two services, each composed up to mostLag before its call or any time until it
// came, and gives the first that breaks a property.
func explore(make func() table, truth []fleetChange, answers int) error {
	type step struct {
		service               modelService
		asked, composed, came time.Duration
	}
	services := []modelService{{"before", 1}, {"behind", 100}}
	moments := []time.Duration{1, 5, 9, 13}
	var steps []step
	var play func(depth int, from time.Duration) error
	run := func() error {
		w := &discoveryModel{truth: truth, table: make(), acceptedState: scheduler.Gone, newestRestriction: -1}
		trace := ""
		for _, s := range steps {
			trace += fmt.Sprintf(" [%s asked %v composed %v came %v]", s.service.name, s.asked, s.composed, s.came)
			if err := w.answer(s.service, s.asked, s.composed, s.came); err != nil {
				return fmt.Errorf("%w:%s", err, trace)
			}
		}
		if err := w.converges(services[1], max(truth[len(truth)-1].at, 14*time.Second)+time.Second); err != nil {
			return fmt.Errorf("%w:%s", err, trace)
		}
		return nil
	}
	play = func(depth int, from time.Duration) error {
		if depth == 0 {
			return run()
		}
		for _, came := range moments {
			came *= time.Second
			if came < from {
				continue
			}
			for _, service := range services {
				for _, asked := range []time.Duration{came - 100*time.Millisecond, came - 4*time.Second} {
					for _, composed := range []time.Duration{came, asked, asked - maxLag} {
						steps = append(steps, step{service, asked, composed, came})
						err := play(depth-1, came+time.Millisecond)
						steps = steps[:len(steps)-1]
						if err != nil {
							return err
						}
					}
				}
			}
		}
		return nil
	}
	return play(answers, 0)
}

// All sequences of three answers of two services over each script.
func TestTable_everySmallHistory(t *testing.T) {
	for i, truth := range scripts() {
		if err := explore(func() table { return &Table{} }, truth, 3); err != nil {
			t.Errorf("script %d: %v", i, err)
		}
	}
}

// Long histories: drawn truths, answers that are delayed, doubled and overtaken, of replicas of two services that lag.
func TestTable_drawnHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &discoveryModel{table: &Table{}, acceptedState: scheduler.Gone, newestRestriction: -1, truth: []fleetChange{{0, Endpoint{ID: "w"}}}}
		at := time.Duration(0)
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			at += time.Duration(rapid.Int64Range(int64(100*time.Millisecond), int64(8*time.Second)).Draw(t, "pause"))
			m := Endpoint{ID: "w", State: scheduler.WorkerState(rapid.IntRange(0, 2).Draw(t, "state")), Start: w.truth[len(w.truth)-1].endpoint.Start}
			if m.State == scheduler.Ready && rapid.Bool().Draw(t, "a new start") {
				m.Start += time.Second
			}
			w.truth = append(w.truth, fleetChange{at, m})
		}
		services := []modelService{{"before", 1}, {"behind", 100}}
		came := time.Duration(0)
		for range rapid.IntRange(0, 30).Draw(t, "answers") {
			came += time.Duration(rapid.Int64Range(1, int64(2*time.Second)).Draw(t, "gap"))
			asked := came - time.Duration(rapid.Int64Range(1, int64(5*time.Second)).Draw(t, "took"))
			lag := time.Duration(rapid.Int64Range(0, int64(maxLag)).Draw(t, "lag"))
			composed := asked - lag + time.Duration(rapid.Float64Range(0, 1).Draw(t, "composed")*float64(came-asked+lag))
			if err := w.answer(rapid.SampledFrom(services).Draw(t, "service"), asked, composed, came); err != nil {
				t.Fatal(err)
			}
		}
		if err := w.converges(services[1], max(at, came)+time.Second); err != nil {
			t.Fatal(err)
		}
	})
}

// believesEverything takes every answer at its word, as the dispatcher once did.
type believesEverything struct {
	Table
	state scheduler.WorkerState
}

func (l *believesEverything) Apply(a ListResponse, _ Freshness) (v Changes) {
	m := Endpoint{ID: "w", State: scheduler.Gone}
	if len(a.Endpoints) > 0 {
		m = a.Endpoints[0]
	}
	if l.state != m.State {
		v.Accepted = []Accepted{{ID: "w", State: m.State, NotifiedAt: a.ReceivedAt}}
	}
	l.state = m.State
	return v
}

// neverReattaches never believes that a worker has come back.
type neverReattaches struct {
	Table
	ended bool
}

func (s *neverReattaches) Apply(a ListResponse, o Freshness) (v Changes) {
	for _, x := range s.Table.Apply(a, o).Accepted {
		if x.State == scheduler.Ready && s.ended {
			continue
		}
		s.ended = s.ended || x.State != scheduler.Ready
		v.Accepted = append(v.Accepted, x)
	}
	return v
}

// forgetsGone keeps nothing of a worker that is gone.
type forgetsGone struct{ Table }

func (f *forgetsGone) Apply(a ListResponse, o Freshness) Changes {
	v := f.Table.Apply(a, o)
	if f.records["w"].state == scheduler.Gone {
		delete(f.records, "w")
	}
	return v
}

// countsDrainLate counts a drain from the last answer that named it.
type countsDrainLate struct{ Table }

func (l *countsDrainLate) Apply(a ListResponse, o Freshness) Changes {
	v := l.Table.Apply(a, o)
	for i := range v.Accepted {
		if v.Accepted[i].State != scheduler.Ready {
			v.Accepted[i].NotifiedAt = a.ReceivedAt.Add(time.Second)
		}
	}
	return v
}

// Each property is broken by a version that is broken on purpose.
func TestExplore_findsBrokenTables(t *testing.T) {
	for name, make := range map[string]func() table{
		"takes every answer at its word":   func() table { return &believesEverything{} },
		"never believes a return":          func() table { return &neverReattaches{} },
		"forgets who is gone":              func() table { return &forgetsGone{} },
		"counts a drain from a later time": func() table { return &countsDrainLate{} },
	} {
		found := false
		for _, truth := range scripts() {
			found = found || explore(make, truth, 3) != nil
		}
		if !found {
			t.Errorf("one that %s is not found", name)
		}
	}
}

// An answer that is not believed says when to ask again.
func TestTable_pollAgainAt(t *testing.T) {
	var known Table
	take := func(a ListResponse) Changes { return known.Apply(a, known.Classify(a)) }
	drains := ListResponse{Service: "before", Revision: 9, CalledAt: epoch, ReceivedAt: epoch.Add(time.Second), Endpoints: []Endpoint{{ID: "w", State: scheduler.Draining}}}
	if v := take(drains); len(v.Accepted) != 1 || v.Accepted[0].NotifiedAt != drains.ReceivedAt || !v.PollAgainAt.IsZero() {
		t.Fatalf("%+v", v)
	}
	active := ListResponse{Service: "behind", Revision: 3, Complete: true, CalledAt: drains.ReceivedAt.Add(time.Second), ReceivedAt: drains.ReceivedAt.Add(2 * time.Second), Endpoints: []Endpoint{{ID: "w"}}}
	if v := take(active); len(v.Accepted) != 0 || v.PollAgainAt != drains.ReceivedAt.Add(MaxStaleness) {
		t.Fatalf("%+v", v)
	}
	active.CalledAt, active.ReceivedAt = drains.ReceivedAt.Add(MaxStaleness), drains.ReceivedAt.Add(MaxStaleness+time.Second)
	if v := take(active); len(v.Accepted) != 1 || v.Accepted[0].State != scheduler.Ready || !v.Accepted[0].NotifiedAt.IsZero() {
		t.Fatalf("%+v", v)
	}
}
