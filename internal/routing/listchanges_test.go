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

// An endpoint that drains and then is absent from a full list keeps its time of notification: the drain grace does not begin again.
func TestEndpointList_drainThenGone_notifiedOnce(t *testing.T) {
	c, f := startTestCore(t)
	u := &recordingPool{fakePeers: f}
	line := func(s scheduler.WorkerState) []Endpoint {
		return []Endpoint{{WorkerInfo: scheduler.WorkerInfo{ID: "a", State: s}, Address: "h:1"}}
	}
	s := NewEndpointList(c, u, newScriptedDiscovery(), ListUpdate{Endpoints: line(scheduler.Ready)}, c.log)
	applyResponse(s, ListUpdate{Endpoints: line(scheduler.Draining)})
	applyResponse(s, ListUpdate{Endpoints: line(scheduler.Draining)})
	applyResponse(s, ListUpdate{Complete: true})
	if len(u.updates) != 4 || !u.updates[0].NotifiedAt.IsZero() || u.updates[1].NotifiedAt.IsZero() || u.updates[3].State != scheduler.Gone ||
		u.updates[2].NotifiedAt != u.updates[1].NotifiedAt || u.updates[3].NotifiedAt != u.updates[1].NotifiedAt || u.updates[3].Address != "h:1" {
		t.Errorf("updates %+v", u.updates)
	}
}

// What the agent of a pushed list has counts as notified from the start of the process: a drain in its first list counts from then,
// not from when the list was received.
func TestEndpointList_pushedDrain_notifiedFromStart(t *testing.T) {
	c, f := startTestCore(t)
	u := &recordingPool{fakePeers: f}
	s := NewEndpointList(c, u, newScriptedDiscovery(), ListUpdate{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	s.SetPollRules(func() polling.Rules { return polling.Rules{ListsPushed: true} })
	began := time.Now()
	applyResponse(s, ListUpdate{Revision: 1, Complete: true, Endpoints: []Endpoint{{WorkerInfo: scheduler.WorkerInfo{ID: "a", State: scheduler.Draining}}}})
	if got := u.updates[len(u.updates)-1]; got.NotifiedAt.IsZero() || got.NotifiedAt.After(began) {
		t.Errorf("notified %v after the start", got.NotifiedAt.Sub(began))
	}
}

// The scheduler must not take a worker for older than it is, whatever the skew between the wall clocks: one that has just started
// is warming up. Nor for younger for long: a worker whose start is stamped in the future does not warm up for ever.
func TestEndpointList_startTimesWithClockSkew(t *testing.T) {
	for name, apart := range map[string]time.Duration{
		"alike": 0, "ahead by an hour": time.Hour, "behind by an hour": -time.Hour, "ahead by seconds": 5 * time.Second, "behind by seconds": -5 * time.Second,
	} {
		c, f := startTestCore(t)
		list := NewEndpointList(c, &recordingPool{fakePeers: f}, newScriptedDiscovery(), ListUpdate{}, c.log)
		age := func(id scheduler.WorkerID) time.Duration {
			learned, err := c.LearnedState(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			since := learned.Workers[id].StartedAt
			if since == 0 {
				return time.Hour * 24 * 365
			}
			return c.clock.Now() - since
		}
		stamp := func(ago time.Duration) scheduler.Instant { // by a clock that this host's clock is ahead of
			return time.Duration(time.Now().Add(-apart - ago).UnixNano())
		}
		line := func(id scheduler.WorkerID, since scheduler.Instant) Endpoint {
			return Endpoint{WorkerInfo: scheduler.WorkerInfo{ID: id, StartedAt: since, Weight: 1}, Address: "h:1"}
		}
		old, young := stamp(30*time.Second), stamp(2*time.Second)
		applyResponse(list, ListUpdate{Revision: 1, Complete: true, Endpoints: []Endpoint{line("longago", 0), line("old", old), line("young", young)}})
		if got := age("longago"); got < time.Hour {
			t.Errorf("%s: long ago is %v ago", name, got)
		}
		if got := age("young"); got < -time.Second || got > 3*time.Second {
			t.Errorf("%s: 2 s ago, in the first list, is %v ago", name, got)
		}
		if got := age("old"); got > 31*time.Second || got < 20*time.Second {
			t.Errorf("%s: 30 s ago, in the first list, is %v ago", name, got)
		}
		applyResponse(list, ListUpdate{Revision: 2, Endpoints: []Endpoint{line("joins", stamp(0)), line("old", stamp(0))}})
		for _, id := range []scheduler.WorkerID{"joins", "old"} {
			if got := age(id); got < -time.Second || got > time.Second {
				t.Errorf("%s: %s, just started, is %v ago", name, id, got)
			}
		}
		applyResponse(list, ListUpdate{Revision: 3, Endpoints: []Endpoint{line("young", young)}})
		if got := age("young"); got > 4*time.Second || got < -time.Second {
			t.Errorf("%s: listed again with the same start, it is %v ago", name, got)
		}
		// The stamping clock is set back by an hour, and the worker starts again.
		applyResponse(list, ListUpdate{Revision: 4, Endpoints: []Endpoint{line("joins", stamp(time.Hour))}})
		if got := age("joins"); got > time.Second {
			t.Errorf("%s: started again after a step of the clock, it is %v ago", name, got)
		}
	}
}

// A successor process gets the ages of workers from its predecessor: one that started ten seconds ago is not taken for one that has
// just started, though its start is the newest in the list.
func TestEndpointList_agesPassToSuccessor(t *testing.T) {
	c, f := startTestCore(t)
	before := NewEndpointList(c, &recordingPool{fakePeers: f}, newScriptedDiscovery(), ListUpdate{}, c.log)
	stamp := time.Duration(time.Now().Add(-10 * time.Second).UnixNano())
	before.incarnations.Set("a", stamp, c.clock.Now()-10*time.Second)
	before.known["a"] = Endpoint{WorkerInfo: scheduler.WorkerInfo{ID: "a", StartedAt: stamp, Weight: 1}, Address: "h:1"}
	handedOver := before.snapshot()
	next, g := startTestCore(t)
	after := NewEndpointList(next, &recordingPool{fakePeers: g}, newScriptedDiscovery(), handedOver, next.log)
	if age := next.clock.Now() - after.StartedAt("a"); age < 9*time.Second || age > 11*time.Second {
		t.Errorf("age %v", age)
	}
}
