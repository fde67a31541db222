package routing

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"brassdale/internal/decisions/endpointstate"
	"brassdale/internal/decisions/polling"
	"brassdale/scheduler"
)

// scriptedDiscovery is a Discovery whose calls the test answers.
type scriptedDiscovery struct {
	calls  chan scriptedCall
	mu     sync.Mutex
	closed int
}

type scriptedCall struct {
	kind      polling.Kind
	revision  int64
	response  chan ListUpdate // closed for a failure
	cancelled <-chan struct{}
}

func newScriptedDiscovery() *scriptedDiscovery {
	return &scriptedDiscovery{calls: make(chan scriptedCall, 64)}
}

func (s *scriptedDiscovery) Call(ctx context.Context, revision int64, kind polling.Kind) (ListUpdate, error) {
	c := scriptedCall{kind, revision, make(chan ListUpdate, 1), ctx.Done()}
	s.calls <- c
	select {
	case u, ok := <-c.response:
		if !ok {
			return u, errors.New("failed")
		}
		return u, nil
	case <-ctx.Done():
		return ListUpdate{}, ctx.Err()
	}
}

func (s *scriptedDiscovery) Service() string { return fmt.Sprintf("%p", s) }

func (s *scriptedDiscovery) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed++
}

func (s *scriptedDiscovery) closes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// startEndpointList runs an EndpointList that polls a discovery, until the end of the test.
func startEndpointList(t *testing.T, d Discovery) *EndpointList {
	t.Helper()
	c, f := startTestCore(t)
	u := &recordingPool{fakePeers: f}
	s := NewEndpointList(c, u, d, ListUpdate{}, c.log)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	s.Subscribe()
	return s
}

func testEndpoint(id scheduler.WorkerID, state scheduler.WorkerState) Endpoint {
	return Endpoint{WorkerInfo: scheduler.WorkerInfo{ID: id, State: state, Weight: 1}, Address: "h:1"}
}

// stateOfA returns the state of the worker a in the list, and whether it is listed.
func stateOfA(t *testing.T, list *EndpointList) (scheduler.WorkerState, bool) {
	t.Helper()
	u, err := list.Snapshot(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range u.Endpoints {
		if d.ID == "a" {
			return d.State, true
		}
	}
	return 0, false
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never seen: %s", what)
		}
	}
}

// After a change of the discovery service the watch at the previous one continues, and a drain that it reports counts, until the new
// one has responded. Then it is cancelled, and all previous services are closed, also one with no call in flight.
func TestEndpointList_discoveryChanged_previousWatchContinues(t *testing.T) {
	first, second, third := newScriptedDiscovery(), newScriptedDiscovery(), newScriptedDiscovery()
	list := startEndpointList(t, first)
	(<-first.calls).response <- ListUpdate{Revision: 1, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Ready), testEndpoint("b", scheduler.Ready)}}
	watch := <-first.calls
	if watch.kind != polling.Watch || watch.revision != 1 {
		t.Fatalf("after the list the call was %+v", watch)
	}
	list.MoveDiscovery(second)
	close((<-second.calls).response) // it fails, and no call is in flight there
	list.MoveDiscovery(third)
	full := <-third.calls
	watch.response <- ListUpdate{Revision: 2, Endpoints: []Endpoint{testEndpoint("a", scheduler.Draining)}}
	eventually(t, "the drain that the previous service reported", func() bool { st, _ := stateOfA(t, list); return st == scheduler.Draining })
	again := <-first.calls
	if again.kind != polling.Watch || again.revision != 2 {
		t.Errorf("the watch continued as %+v", again)
	}
	if first.closes()+second.closes() != 0 {
		t.Error("a service was closed before the new one had responded")
	}
	full.response <- ListUpdate{Revision: 70, Complete: true, Endpoints: []Endpoint{testEndpoint("b", scheduler.Ready)}}
	eventually(t, "the new list", func() bool { _, known := stateOfA(t, list); return !known })
	select {
	case <-again.cancelled:
	case <-time.After(5 * time.Second):
		t.Error("the watch at the previous service continues")
	}
	eventually(t, "both previous services closed", func() bool { return first.closes() == 1 && second.closes() == 1 })
}

// A response that was overtaken by that of a concurrent call changes nothing.
func TestEndpointList_overtakenResponse_ignored(t *testing.T) {
	d := newScriptedDiscovery()
	list := startEndpointList(t, d)
	late := <-d.calls
	beside := <-d.calls // the first one is late
	beside.response <- ListUpdate{Revision: 5, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Draining)}}
	eventually(t, "the newer list", func() bool { st, known := stateOfA(t, list); return known && st == scheduler.Draining })
	late.response <- ListUpdate{Revision: 4, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Ready)}}
	next := <-d.calls
	if st, _ := stateOfA(t, list); st != scheduler.Draining || next.revision != 5 {
		t.Errorf("the older response counts: state %v, the next call has revision %d", st, next.revision)
	}
}

// A response with a lower revision, as of a replica that lags, does not revoke a drain, nor does a second one that agrees: both may be
// of that replica. A service that responds with nothing else for endpointstate.MaxStaleness is believed then.
func TestEndpointList_lowerRevision_believedAfterMaxStaleness(t *testing.T) {
	t.Parallel()
	d := newScriptedDiscovery()
	list := startEndpointList(t, d)
	(<-d.calls).response <- ListUpdate{Revision: 5, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Draining)}}
	eventually(t, "the drain", func() bool { st, known := stateOfA(t, list); return known && st == scheduler.Draining })
	begun := time.Now()
	(<-d.calls).response <- ListUpdate{Revision: 4, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Ready)}}
	calls := 0
	for {
		if st, _ := stateOfA(t, list); st == scheduler.Ready {
			break
		}
		again := <-d.calls
		if again.revision != NoRevision {
			t.Errorf("after a lower revision the next call has revision %d", again.revision)
		}
		calls++
		again.response <- ListUpdate{Revision: 4, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Ready)}}
		time.Sleep(20 * time.Millisecond)
	}
	if took := time.Since(begun); took < endpointstate.MaxStaleness || took > endpointstate.MaxStaleness+4*time.Second || calls > 12 {
		t.Errorf("believed after %v and %d calls", took, calls)
	}
}

// A worker drains at the previous discovery service and is active at the new one, which reports it once and then no change. That is
// not believed at first, as the list may be older; after endpointstate.MaxStaleness the full list is polled again.
func TestEndpointList_workerReturnsAfterDiscoveryChanged(t *testing.T) {
	t.Parallel()
	first, second := newScriptedDiscovery(), newScriptedDiscovery()
	list := startEndpointList(t, first)
	notKnownYet := time.Now()
	(<-first.calls).response <- ListUpdate{Revision: 5, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Draining), testEndpoint("b", scheduler.Ready)}}
	eventually(t, "the drain", func() bool { st, known := stateOfA(t, list); return known && st == scheduler.Draining })
	known := time.Now()
	list.MoveDiscovery(second)
	full := ListUpdate{Revision: 70, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Ready), testEndpoint("b", scheduler.Ready)}}
	(<-second.calls).response <- full
	for {
		call := <-second.calls
		if call.revision == NoRevision {
			call.response <- full
			break
		}
		if time.Since(known) > endpointstate.MaxStaleness+time.Second {
			t.Fatal("the full list is not polled again")
		}
		time.Sleep(100 * time.Millisecond)
		call.response <- ListUpdate{Revision: 70}
	}
	if st, _ := stateOfA(t, list); time.Since(notKnownYet) < endpointstate.MaxStaleness && st != scheduler.Draining {
		t.Errorf("believed %v after the drain", time.Since(notKnownYet))
	}
	eventually(t, "the return", func() bool { st, _ := stateOfA(t, list); return st == scheduler.Ready })
	if least, most := time.Since(known), time.Since(notKnownYet); most < endpointstate.MaxStaleness || least > endpointstate.MaxStaleness+2*time.Second {
		t.Errorf("believed %v to %v after the drain was known", least, most)
	}
}
