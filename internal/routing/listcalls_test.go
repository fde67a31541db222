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

// scriptedDiscovery is a discovery whose calls the test answers.
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

// startEndpointList starts a destination set's actor on a discovery.
func startEndpointList(t *testing.T, d Discovery) (*EndpointList, *recordingPool) {
	c, f := startTestCore(t)
	u := &recordingPool{fakePeers: f}
	s := NewEndpointList(c, u, d, ListUpdate{}, c.log)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	s.Subscribe()
	return s, u
}

func testEndpoint(id scheduler.WorkerID, state scheduler.WorkerState) Endpoint {
	return Endpoint{WorkerInfo: scheduler.WorkerInfo{ID: id, State: state, Weight: 1}, Address: "h:1"}
}

// endpointState gives what the set knows of a worker.
func endpointState(t *testing.T, s *EndpointList, id scheduler.WorkerID) (scheduler.WorkerState, bool) {
	t.Helper()
	u, err := s.Snapshot(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range u.Endpoints {
		if d.ID == id {
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

// Behind a move the watch at the service before goes on, and what it tells of a drain counts, until the new one has answered. Then
// it is given up, and the connections to all services before are let go of, also of one that had no call open.
func TestEndpointList_discoveryChanged_previousWatchContinues(t *testing.T) {
	first, second, third := newScriptedDiscovery(), newScriptedDiscovery(), newScriptedDiscovery()
	s, _ := startEndpointList(t, first)
	(<-first.calls).response <- ListUpdate{Revision: 1, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Ready), testEndpoint("b", scheduler.Ready)}}
	watch := <-first.calls
	if watch.kind != polling.Watch || watch.revision != 1 {
		t.Fatalf("behind the list came %+v", watch)
	}
	s.ChangeDiscovery(second)
	close((<-second.calls).response) // it fails, and nothing is open there
	s.ChangeDiscovery(third)
	whole := <-third.calls
	watch.response <- ListUpdate{Revision: 2, Endpoints: []Endpoint{testEndpoint("a", scheduler.Draining)}}
	eventually(t, "the drain that the service before told", func() bool { st, _ := endpointState(t, s, "a"); return st == scheduler.Draining })
	again := <-first.calls
	if again.kind != polling.Watch || again.revision != 2 {
		t.Errorf("the watch went on as %+v", again)
	}
	if first.closes()+second.closes() != 0 {
		t.Error("a service was let go of before the new one had answered")
	}
	whole.response <- ListUpdate{Revision: 70, Complete: true, Endpoints: []Endpoint{testEndpoint("b", scheduler.Ready)}}
	eventually(t, "the new list", func() bool { _, known := endpointState(t, s, "a"); return !known })
	select {
	case <-again.cancelled:
	case <-time.After(5 * time.Second):
		t.Error("the watch at the service before goes on")
	}
	eventually(t, "both services let go of", func() bool { return first.closes() == 1 && second.closes() == 1 })
}

// An answer that was overtaken by that of a call beside it changes nothing.
func TestEndpointList_overtakenResponse_ignored(t *testing.T) {
	d := newScriptedDiscovery()
	s, _ := startEndpointList(t, d)
	late := <-d.calls
	beside := <-d.calls // the first one is late
	beside.response <- ListUpdate{Revision: 5, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Draining)}}
	eventually(t, "the newer list", func() bool { st, known := endpointState(t, s, "a"); return known && st == scheduler.Draining })
	late.response <- ListUpdate{Revision: 4, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Ready)}}
	next := <-d.calls
	if st, _ := endpointState(t, s, "a"); st != scheduler.Draining || next.revision != 5 {
		t.Errorf("the older answer counts: state %v, the next call is behind revision %d", st, next.revision)
	}
}

// An answer with a lower revision, as of a replica that lags, takes no drain back, nor does a second one that agrees: both may be of
// that replica. A service that gives nothing else for endpointstate.Settle counts anew, and is believed then.
func TestEndpointList_lowerRevision_believedAfterMaxStaleness(t *testing.T) {
	t.Parallel()
	d := newScriptedDiscovery()
	s, _ := startEndpointList(t, d)
	(<-d.calls).response <- ListUpdate{Revision: 5, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Draining)}}
	eventually(t, "the drain", func() bool { st, known := endpointState(t, s, "a"); return known && st == scheduler.Draining })
	begun := time.Now()
	(<-d.calls).response <- ListUpdate{Revision: 4, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Ready)}}
	calls := 0
	for {
		if st, _ := endpointState(t, s, "a"); st == scheduler.Ready {
			break
		}
		again := <-d.calls
		if again.revision != FullList {
			t.Errorf("behind a lower revision the next call is behind revision %d", again.revision)
		}
		calls++
		again.response <- ListUpdate{Revision: 4, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Ready)}}
		time.Sleep(20 * time.Millisecond)
	}
	if took := time.Since(begun); took < endpointstate.MaxStaleness || took > endpointstate.MaxStaleness+4*time.Second || calls > 12 {
		t.Errorf("believed after %v and %d calls", took, calls)
	}
}

// A worker drained at the service before a move, and is active again at the new one, which says so once and then only that nothing
// has changed. That is not believed at first, as the list may be older; behind endpointstate.Settle the whole list is asked for again.
func TestEndpointList_workerReturnsAfterDiscoveryChanged(t *testing.T) {
	t.Parallel()
	first, second := newScriptedDiscovery(), newScriptedDiscovery()
	s, _ := startEndpointList(t, first)
	(<-first.calls).response <- ListUpdate{Revision: 5, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Draining), testEndpoint("b", scheduler.Ready)}}
	eventually(t, "the drain", func() bool { st, known := endpointState(t, s, "a"); return known && st == scheduler.Draining })
	known := time.Now()
	s.ChangeDiscovery(second)
	list := ListUpdate{Revision: 70, Complete: true, Endpoints: []Endpoint{testEndpoint("a", scheduler.Ready), testEndpoint("b", scheduler.Ready)}}
	(<-second.calls).response <- list
	for {
		call := <-second.calls
		if call.revision == FullList {
			call.response <- list
			break
		}
		if time.Since(known) > endpointstate.MaxStaleness+time.Second {
			t.Fatal("the whole list is not asked for again")
		}
		time.Sleep(100 * time.Millisecond)
		call.response <- ListUpdate{Revision: 70}
	}
	if st, _ := endpointState(t, s, "a"); time.Since(known) < endpointstate.MaxStaleness && st != scheduler.Draining {
		t.Errorf("believed %v behind the drain", time.Since(known))
	}
	eventually(t, "the return", func() bool { st, _ := endpointState(t, s, "a"); return st == scheduler.Ready })
	if took := time.Since(known); took < endpointstate.MaxStaleness || took > endpointstate.MaxStaleness+2*time.Second {
		t.Errorf("believed after %v", took)
	}
}
