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

// scriptedCall is a call that the test answers.
type scriptedCall struct {
	kind      polling.Kind
	revision  int64
	response  chan ListUpdate // closed for a failure
	cancelled <-chan struct{}
}

// newScriptedDiscovery returns a discovery that blocks each call until the test answers it.
func newScriptedDiscovery() *scriptedDiscovery {
	return &scriptedDiscovery{calls: make(chan scriptedCall, 64)}
}

// Call passes the call to the test and blocks until it is answered or cancelled.
func (s *scriptedDiscovery) Call(ctx context.Context, revision int64, kind polling.Kind) (ListUpdate, error) {
	call := scriptedCall{kind, revision, make(chan ListUpdate, 1), ctx.Done()}
	s.calls <- call
	select {
	case update, ok := <-call.response:
		if !ok {
			return update, errors.New("failed")
		}
		return update, nil
	case <-ctx.Done():
		return ListUpdate{}, ctx.Err()
	}
}

// Service returns a different name for each discovery.
func (s *scriptedDiscovery) Service() string { return fmt.Sprintf("%p", s) }

// Close counts the calls of Close.
func (s *scriptedDiscovery) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed++
}

// closes returns how often Close was called.
func (s *scriptedDiscovery) closes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// startEndpointList runs an EndpointList that polls a discovery, until the end of the test.
func startEndpointList(t *testing.T, discovery Discovery) *EndpointList {
	t.Helper()
	core, peers := startTestCore(t)
	pool := &recordingPool{fakePeers: peers}
	list := NewEndpointList(core, pool, discovery, ListUpdate{}, core.log)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { list.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	list.Subscribe()
	return list
}

// testEndpoint returns an endpoint in the given state.
func testEndpoint(id scheduler.WorkerID, state scheduler.WorkerState) Endpoint {
	return Endpoint{WorkerInfo: scheduler.WorkerInfo{ID: id, State: state, Weight: 1}, Address: "h:1"}
}

// stateOfA returns the state of the worker a in the list, and whether it is listed.
func stateOfA(t *testing.T, list *EndpointList) (scheduler.WorkerState, bool) {
	t.Helper()
	snapshot, err := list.Snapshot(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, endpoint := range snapshot.Endpoints {
		if endpoint.ID == "a" {
			return endpoint.State, true
		}
	}
	return 0, false
}

// eventually polls a condition every millisecond, and fails the test if it does not hold within 5 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}

// TestEndpointList_discoveryChanged_previousWatchContinues checks that after a change of the discovery service the watch at the previous
// one continues, and that a drain that it reports counts, until the new one has responded. Then the watch is cancelled, and all previous
// services are closed, including one without a call in flight.
func TestEndpointList_discoveryChanged_previousWatchContinues(t *testing.T) {
	first, second, third := newScriptedDiscovery(), newScriptedDiscovery(), newScriptedDiscovery()
	list := startEndpointList(t, first)
	(<-first.calls).response <- ListUpdate{Revision: 1, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Ready), testEndpoint("b", scheduler.Ready)}}
	watch := <-first.calls
	if watch.kind != polling.Watch || watch.revision != 1 {
		t.Fatalf("call after the list: %+v, want a watch with revision 1", watch)
	}
	list.MoveDiscovery(second)
	close((<-second.calls).response) // the call fails, and no other is in flight there
	list.MoveDiscovery(third)
	full := <-third.calls
	watch.response <- ListUpdate{Revision: 2, Endpoints: []Endpoint{testEndpoint("a", scheduler.Draining)}}
	eventually(t, "the drain that the previous service reported", func() bool { state, _ := stateOfA(t, list); return state == scheduler.Draining })
	nextWatch := <-first.calls
	if nextWatch.kind != polling.Watch || nextWatch.revision != 2 {
		t.Errorf("next call at the previous service: %+v, want a watch with revision 2", nextWatch)
	}
	if first.closes()+second.closes() != 0 {
		t.Error("a service was closed before the new one had responded")
	}
	full.response <- ListUpdate{Revision: 70, Complete: true, Endpoints: []Endpoint{testEndpoint("b", scheduler.Ready)}}
	eventually(t, "the new list", func() bool { _, known := stateOfA(t, list); return !known })
	select {
	case <-nextWatch.cancelled:
	case <-time.After(5 * time.Second):
		t.Error("the watch at the previous service was not cancelled within 5 s")
	}
	eventually(t, "both previous services closed", func() bool { return first.closes() == 1 && second.closes() == 1 })
}

// TestEndpointList_overtakenResponse_ignored checks that a response changes nothing if the response of a concurrent call overtook it.
func TestEndpointList_overtakenResponse_ignored(t *testing.T) {
	discovery := newScriptedDiscovery()
	list := startEndpointList(t, discovery)
	late := <-discovery.calls
	concurrent := <-discovery.calls // made because the first one is late
	concurrent.response <- ListUpdate{Revision: 5, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Draining)}}
	eventually(t, "the newer list", func() bool { state, known := stateOfA(t, list); return known && state == scheduler.Draining })
	late.response <- ListUpdate{Revision: 4, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Ready)}}
	next := <-discovery.calls
	if state, _ := stateOfA(t, list); state != scheduler.Draining || next.revision != 5 {
		t.Errorf("after the older response: state %v, next call with revision %d, want draining and revision 5", state, next.revision)
	}
}

// TestEndpointList_lowerRevision_acceptedAfterMaxStaleness checks that a response with a lower revision, such as a lagging replica's, does
// not revoke a drain. A second such response does not either: both may come from that replica. If the service returns nothing else, its
// list is accepted after endpointstate.MaxStaleness, at most 4 s later and after at most 12 calls.
func TestEndpointList_lowerRevision_acceptedAfterMaxStaleness(t *testing.T) {
	t.Parallel()
	discovery := newScriptedDiscovery()
	list := startEndpointList(t, discovery)
	(<-discovery.calls).response <- ListUpdate{Revision: 5, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Draining)}}
	eventually(t, "the drain", func() bool { state, known := stateOfA(t, list); return known && state == scheduler.Draining })
	startedAt := time.Now()
	(<-discovery.calls).response <- ListUpdate{Revision: 4, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Ready)}}
	calls := 0
	for {
		if state, _ := stateOfA(t, list); state == scheduler.Ready {
			break
		}
		nextCall := <-discovery.calls
		if nextCall.revision != NoRevision {
			t.Errorf("next call after a lower revision: revision %d, want a call for the full list", nextCall.revision)
		}
		calls++
		nextCall.response <- ListUpdate{Revision: 4, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Ready)}}
		time.Sleep(20 * time.Millisecond)
	}
	if took := time.Since(startedAt); took < endpointstate.MaxStaleness || took > endpointstate.MaxStaleness+4*time.Second || calls > 12 {
		t.Errorf("list accepted after %v and %d calls, want MaxStaleness to MaxStaleness+4s and at most 12 calls", took, calls)
	}
}

// TestEndpointList_workerReturnsAfterDiscoveryChanged checks a worker that drains at the previous discovery service and is active at the
// new one, which reports it once and then no change. The return is not accepted at first, because the list may be older than the drain.
// After endpointstate.MaxStaleness the full list is polled again.
func TestEndpointList_workerReturnsAfterDiscoveryChanged(t *testing.T) {
	t.Parallel()
	first, second := newScriptedDiscovery(), newScriptedDiscovery()
	list := startEndpointList(t, first)
	beforeDrain := time.Now()
	(<-first.calls).response <- ListUpdate{Revision: 5, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Draining), testEndpoint("b", scheduler.Ready)}}
	eventually(t, "the drain", func() bool { state, known := stateOfA(t, list); return known && state == scheduler.Draining })
	drainKnownAt := time.Now()
	list.MoveDiscovery(second)
	full := ListUpdate{Revision: 70, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Ready), testEndpoint("b", scheduler.Ready)}}
	(<-second.calls).response <- full
	for {
		call := <-second.calls
		if call.revision == NoRevision {
			call.response <- full
			break
		}
		if time.Since(drainKnownAt) > endpointstate.MaxStaleness+time.Second {
			t.Fatal("full list not polled again within MaxStaleness+1s of the drain")
		}
		time.Sleep(100 * time.Millisecond)
		call.response <- ListUpdate{Revision: 70}
	}
	if state, _ := stateOfA(t, list); time.Since(beforeDrain) < endpointstate.MaxStaleness && state != scheduler.Draining {
		t.Errorf("return accepted at most %v after the drain, want at least MaxStaleness", time.Since(beforeDrain))
	}
	eventually(t, "the return", func() bool { state, _ := stateOfA(t, list); return state == scheduler.Ready })
	if minElapsed, maxElapsed := time.Since(drainKnownAt), time.Since(beforeDrain); maxElapsed < endpointstate.MaxStaleness || minElapsed > endpointstate.MaxStaleness+2*time.Second {
		t.Errorf("return accepted %v to %v after the drain was known, want MaxStaleness to MaxStaleness+2s", minElapsed, maxElapsed)
	}
}

// TestEndpointList_discoveryChanged_previousServiceNamesNoWorker guards against attempts at a worker that a full list of the previous discovery
// service no longer names while the new service does not respond: this dispatcher was notified that the worker is gone.
func TestEndpointList_discoveryChanged_previousServiceNamesNoWorker(t *testing.T) {
	first, second := newScriptedDiscovery(), newScriptedDiscovery()
	list := startEndpointList(t, first)
	(<-first.calls).response <- ListUpdate{Revision: 1, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Ready), testEndpoint("b", scheduler.Ready)}}
	watch := <-first.calls
	list.MoveDiscovery(second)
	full := <-second.calls
	watch.response <- ListUpdate{Revision: 2, Complete: true, Endpoints: []Endpoint{testEndpoint("b", scheduler.Ready)}}
	eventually(t, "the end that the previous service reported", func() bool { _, known := stateOfA(t, list); return !known })
	full.response <- ListUpdate{Revision: 70, Complete: true, Endpoints: []Endpoint{testEndpoint("b", scheduler.Ready), testEndpoint("c", scheduler.Ready)}}
	eventually(t, "the new list", func() bool { known, err := list.Snapshot(t.Context()); return err == nil && len(known.Endpoints) == 2 })
}
