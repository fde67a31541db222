package routing

import (
	"context"
	"testing"
	"time"

	"brassdale/scheduler"
)

// A worker's age as the module has it must not be more than it is, whichever way the wall clocks stand to each other: one that
// has just started is cold. It must not be less for long either: a worker whose stamp lies in the future is not cold for ever.
func TestEndpointList_startTimesWithClockSkew(t *testing.T) {
	for name, apart := range map[string]time.Duration{
		"alike": 0, "ahead by an hour": time.Hour, "behind by an hour": -time.Hour, "ahead by seconds": 5 * time.Second, "behind by seconds": -5 * time.Second,
	} {
		c, f := startTestCore(t)
		s := NewEndpointList(c, &recordingPool{fakePeers: f}, newScriptedDiscovery(), ListUpdate{}, c.log)
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
		stamp := func(ago time.Duration) scheduler.Clock { // by a clock that ours is ahead of
			return time.Duration(time.Now().Add(-apart - ago).UnixNano())
		}
		line := func(id scheduler.WorkerID, since scheduler.Clock) Endpoint {
			return Endpoint{WorkerInfo: scheduler.WorkerInfo{ID: id, StartedAt: since, Weight: 1}, Address: "h:1"}
		}
		old, young := stamp(30*time.Second), stamp(2*time.Second)
		applyResponse(s, ListUpdate{Revision: 1, Complete: true, Endpoints: []Endpoint{line("longago", 0), line("old", old), line("young", young)}}, scheduler.ListFull)
		if got := age("longago"); got < time.Hour {
			t.Errorf("%s: long ago is %v ago", name, got)
		}
		if got := age("young"); got < -time.Second || got > 3*time.Second {
			t.Errorf("%s: 2 s ago, in the first list, is %v ago", name, got)
		}
		if got := age("old"); got > 31*time.Second || got < 20*time.Second {
			t.Errorf("%s: 30 s ago, in the first list, is %v ago", name, got)
		}
		applyResponse(s, ListUpdate{Revision: 2, Endpoints: []Endpoint{line("joins", stamp(0)), line("old", stamp(0))}}, scheduler.ListDelta)
		for _, id := range []scheduler.WorkerID{"joins", "old"} {
			if got := age(id); got < -time.Second || got > time.Second {
				t.Errorf("%s: %s, just started, is %v ago", name, id, got)
			}
		}
		applyResponse(s, ListUpdate{Revision: 3, Endpoints: []Endpoint{line("young", young)}}, scheduler.ListDelta)
		if got := age("young"); got > 4*time.Second || got < -time.Second {
			t.Errorf("%s: told again with the same start, it is %v ago", name, got)
		}
		// The stamping clock is set back by an hour, and the worker starts again.
		applyResponse(s, ListUpdate{Revision: 4, Endpoints: []Endpoint{line("joins", stamp(time.Hour))}}, scheduler.ListDelta)
		if got := age("joins"); got > time.Second {
			t.Errorf("%s: started again behind a step of the clock, it is %v ago", name, got)
		}
	}
}

// A process that takes another's place has the ages of workers from it: one that was told to have started ten seconds ago is not
// taken for one of just now, though its start is the newest in the list.
func TestEndpointList_agesPassToSuccessor(t *testing.T) {
	c, f := startTestCore(t)
	before := NewEndpointList(c, &recordingPool{fakePeers: f}, newScriptedDiscovery(), ListUpdate{}, c.log)
	stamp := time.Duration(time.Now().Add(-10 * time.Second).UnixNano())
	before.incarnations.Set("a", stamp, c.clock.Now()-10*time.Second)
	before.known["a"] = Endpoint{WorkerInfo: scheduler.WorkerInfo{ID: "a", StartedAt: stamp, Weight: 1}, Address: "h:1"}
	handed := before.snapshot()
	next, g := startTestCore(t)
	after := NewEndpointList(next, &recordingPool{fakePeers: g}, newScriptedDiscovery(), handed, next.log)
	if age := next.clock.Now() - after.StartedAt("a"); age < 9*time.Second || age > 11*time.Second {
		t.Errorf("taken to be %v old", age)
	}
}
