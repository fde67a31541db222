package routing

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"brassdale/internal/decisions/polling"
	"brassdale/scheduler"
)

// recordingPool is a pool that records the updates of endpoints.
type recordingPool struct {
	*fakePeers
	updates []Endpoint
}

func (p *recordingPool) Update(endpoint Endpoint) { p.updates = append(p.updates, endpoint) }

// applyResponse applies a response of the current discovery service.
func applyResponse(list *EndpointList, update ListUpdate) {
	now := time.Now()
	response := newListResponse(&listCall{service: list.calls.current, startedAt: now}, update, now)
	list.apply(response, list.stateTable.Classify(response.states))
}

// TestEndpointList_drainThenGone_notifiedOnce checks that an endpoint that drains and then is absent from a full list keeps its time of
// notification, so that the drain grace period does not start again.
func TestEndpointList_drainThenGone_notifiedOnce(t *testing.T) {
	core, peers := startTestCore(t)
	pool := &recordingPool{fakePeers: peers}
	inState := func(state scheduler.WorkerState) []Endpoint {
		return []Endpoint{{WorkerInfo: scheduler.WorkerInfo{ID: "a", State: state}, Address: "h:1"}}
	}
	list := NewEndpointList(core, pool, newScriptedDiscovery(), ListUpdate{Endpoints: inState(scheduler.Ready)}, core.log)
	applyResponse(list, ListUpdate{Endpoints: inState(scheduler.Draining)})
	applyResponse(list, ListUpdate{Endpoints: inState(scheduler.Draining)})
	applyResponse(list, ListUpdate{Complete: true})
	if len(pool.updates) != 4 || !pool.updates[0].NotifiedAt.IsZero() || pool.updates[1].NotifiedAt.IsZero() || pool.updates[3].State != scheduler.Gone ||
		pool.updates[2].NotifiedAt != pool.updates[1].NotifiedAt || pool.updates[3].NotifiedAt != pool.updates[1].NotifiedAt || pool.updates[3].Address != "h:1" {
		t.Errorf("updates %+v, want 4, the last one Gone, with the NotifiedAt of the first drain", pool.updates)
	}
}

// TestEndpointList_pushedDrain_notifiedFromStart checks that, if lists are pushed to an agent, a drain in the agent's first list counts as
// notified from the start of the process, not from when the list was received.
func TestEndpointList_pushedDrain_notifiedFromStart(t *testing.T) {
	core, peers := startTestCore(t)
	pool := &recordingPool{fakePeers: peers}
	list := NewEndpointList(core, pool, newScriptedDiscovery(), ListUpdate{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	list.SetPollRules(func() polling.Rules { return polling.Rules{ListsPushed: true} })
	startedAt := time.Now()
	applyResponse(list, ListUpdate{Revision: 1, Complete: true, Endpoints: []Endpoint{{WorkerInfo: scheduler.WorkerInfo{ID: "a", State: scheduler.Draining}}}})
	if got := pool.updates[len(pool.updates)-1]; got.NotifiedAt.IsZero() || got.NotifiedAt.After(startedAt) {
		t.Errorf("NotifiedAt is zero or after the start: %v after it", got.NotifiedAt.Sub(startedAt))
	}
}

// TestEndpointList_startTimesWithClockSkew checks that the scheduler does not overestimate the age of a worker, regardless of the skew
// between the wall clocks: a worker that has just started is in warmup. Its age is not underestimated for long either: a worker whose
// start is stamped in the future does not stay in warmup for ever.
func TestEndpointList_startTimesWithClockSkew(t *testing.T) {
	for name, skew := range map[string]time.Duration{
		"equal": 0, "ahead by an hour": time.Hour, "behind by an hour": -time.Hour, "ahead by seconds": 5 * time.Second, "behind by seconds": -5 * time.Second,
	} {
		core, peers := startTestCore(t)
		list := NewEndpointList(core, &recordingPool{fakePeers: peers}, newScriptedDiscovery(), ListUpdate{}, core.log)
		age := func(id scheduler.WorkerID) time.Duration {
			learned, err := core.LearnedState(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			since := learned.Workers[id].StartedAt
			if since == 0 {
				return time.Hour * 24 * 365
			}
			return core.clock.Now() - since
		}
		stamp := func(ago time.Duration) scheduler.Instant { // by a clock that is behind this host's clock by skew
			return time.Duration(time.Now().Add(-skew - ago).UnixNano())
		}
		endpoint := func(id scheduler.WorkerID, since scheduler.Instant) Endpoint {
			return Endpoint{WorkerInfo: scheduler.WorkerInfo{ID: id, StartedAt: since, Weight: 1}, Address: "h:1"}
		}
		old, young := stamp(30*time.Second), stamp(2*time.Second)
		applyResponse(list, ListUpdate{Revision: 1, Complete: true, Endpoints: []Endpoint{endpoint("longago", 0), endpoint("old", old), endpoint("young", young)}})
		if got := age("longago"); got < time.Hour {
			t.Errorf("%s: age %v without a start time, want at least 1 h", name, got)
		}
		if got := age("young"); got < -time.Second || got > 3*time.Second {
			t.Errorf("%s: age %v for a start 2 s before the first list, want -1 s to 3 s", name, got)
		}
		if got := age("old"); got > 31*time.Second || got < 20*time.Second {
			t.Errorf("%s: age %v for a start 30 s before the first list, want 20 s to 31 s", name, got)
		}
		applyResponse(list, ListUpdate{Revision: 2, Endpoints: []Endpoint{endpoint("joins", stamp(0)), endpoint("old", stamp(0))}})
		for _, id := range []scheduler.WorkerID{"joins", "old"} {
			if got := age(id); got < -time.Second || got > time.Second {
				t.Errorf("%s: %s has just started: age %v, want -1 s to 1 s", name, id, got)
			}
		}
		applyResponse(list, ListUpdate{Revision: 3, Endpoints: []Endpoint{endpoint("young", young)}})
		if got := age("young"); got > 4*time.Second || got < -time.Second {
			t.Errorf("%s: age %v when listed again with the same start, want -1 s to 4 s", name, got)
		}
		// The stamping clock is set back by an hour, and the worker starts again.
		applyResponse(list, ListUpdate{Revision: 4, Endpoints: []Endpoint{endpoint("joins", stamp(time.Hour))}})
		if got := age("joins"); got > time.Second {
			t.Errorf("%s: age %v for a start after a step of the clock, want at most 1 s", name, got)
		}
	}
}

// TestEndpointList_agesPassToSuccessor checks that a successor process gets the ages of workers from its predecessor, within a second:
// a worker that started ten seconds ago is not treated as just started, although its start is the newest in the list.
func TestEndpointList_agesPassToSuccessor(t *testing.T) {
	core, peers := startTestCore(t)
	predecessor := NewEndpointList(core, &recordingPool{fakePeers: peers}, newScriptedDiscovery(), ListUpdate{}, core.log)
	stamp := time.Duration(time.Now().Add(-10 * time.Second).UnixNano())
	predecessor.incarnations.Set("a", stamp, core.clock.Now()-10*time.Second)
	predecessor.known["a"] = Endpoint{WorkerInfo: scheduler.WorkerInfo{ID: "a", StartedAt: stamp, Weight: 1}, Address: "h:1"}
	handedOver := predecessor.snapshot()
	successorCore, successorPeers := startTestCore(t)
	successor := NewEndpointList(successorCore, &recordingPool{fakePeers: successorPeers}, newScriptedDiscovery(), handedOver, successorCore.log)
	if age := successorCore.clock.Now() - successor.StartedAt("a"); age < 9*time.Second || age > 11*time.Second {
		t.Errorf("age %v at the successor, want 9 s to 11 s", age)
	}
}
