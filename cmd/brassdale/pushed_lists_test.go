package main

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
)

// pushed has lists pushed: discovery's address is an agent's.
func withPushedLists(config string) string {
	return strings.Replace(config, `"discovery":"ask"`, `"discovery":"push"`, 1)
}

// leaves has the agent tell that a worker drains, waits until the program has heard it, and others that clients may still reach
// at its address, and then looks that the worker gets no job while another does.
func (d *testDispatcher) drainAndCheck(discovery *testDiscovery, worker, stays *testWorker, others ...*testDispatcher) {
	d.t.Helper()
	discovery.update(func() { worker.phase, stays.phase, discovery.hanging = "leaving", "active", false })
	for _, other := range append(others, d) {
		other.waitFor("what the agent has", func() bool {
			return strings.Contains(other.log(), fmt.Sprintf("msg=\"endpoint list updated\" revision=%d ", discovery.revision))
		})
	}
	_, before := worker.count()
	for i := range 10 {
		if status, _, _ := d.send(newRequest(d.http1URL, fmt.Sprintf("%s-%d-%d", worker.id, discovery.revision, i))); status != 200 {
			d.t.Errorf("status %d", status)
		}
	}
	if _, after := worker.count(); after != before {
		d.t.Errorf("%s drains and got %d jobs", worker.id, after-before)
	}
}

// hangs has the agent fall silent until a call to it was given up.
func (d *testDispatcher) stallDiscovery(discovery *testDiscovery) {
	d.t.Helper()
	discovery.update(func() { discovery.hanging = true })
	failed := strings.Count(d.log(), "discovery call failed")
	d.waitFor("a call given up", func() bool {
		// The same fault again is not logged: the calls tell.
		discovery.mu.Lock()
		defer discovery.mu.Unlock()
		return strings.Count(d.log(), "discovery call failed") > failed
	})
}

// Where lists are pushed nobody but the actor of the endpoint list asks the agent. It was read once, at the start: all that
// drained later got jobs for good. It is watched from the start, through silence, a move at SIGHUP and a replacement.
func TestPushedLists_drains(t *testing.T) {
	workerA, workerB := startWorker(t, "a", completeJob), startWorker(t, "b", completeJob)
	dispatcher := startDispatcherWith(t, "", withPushedLists, workerA, workerB)
	dispatcher.drainAndCheck(dispatcher.discovery, workerA, workerB)
	dispatcher.stallDiscovery(dispatcher.discovery)
	dispatcher.drainAndCheck(dispatcher.discovery, workerB, workerA) // it drained while the agent was silent

	moved := &testDiscovery{revision: 100, workers: []*testWorker{workerA, workerB}, changed: make(chan struct{})}
	to := httptest.NewServer(moved)
	t.Cleanup(to.CloseClientConnections)
	_, rest, _ := strings.Cut(dispatcher.config, `"discovery":"`)
	old, _, _ := strings.Cut(rest, `"`)
	dispatcher.config = strings.Replace(dispatcher.config, old, to.Listener.Addr().String(), 1)
	dispatcher.reload(dispatcher.config)
	dispatcher.waitFor("the other agent's list", func() bool { return strings.Contains(dispatcher.log(), "msg=\"endpoint list updated\" revision=100 ") })
	dispatcher.drainAndCheck(moved, workerA, workerB)

	successor := &testDispatcher{t: t, discovery: moved, tempDir: dispatcher.tempDir, exited: make(chan struct{})}
	successor.startProcess(dispatcher.config, "")
	successor.waitUntilReady("")
	dispatcher.waitForHandovers(1)
	successor.drainAndCheck(moved, workerB, workerA, dispatcher) // a connection that was kept leads to the process that is being replaced
	dispatcher.terminate()
}

// A start while the agent is silent goes by the list that the program was given, and hears what drained as soon as the
// agent speaks.
func TestPushedLists_agentSilentAtStart(t *testing.T) {
	workerA, workerB := startWorker(t, "a", completeJob), startWorker(t, "b", completeJob)
	dispatcher := &testDispatcher{t: t, discovery: &testDiscovery{revision: 1, workers: []*testWorker{workerA, workerB}, changed: make(chan struct{}), hanging: true}, exited: make(chan struct{})}
	dispatcher.start("", withPushedLists)
	if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, "first")); status != 200 {
		t.Errorf("status %d", status)
	}
	dispatcher.waitFor("a call given up", func() bool { return strings.Contains(dispatcher.log(), "discovery call failed") })
	dispatcher.drainAndCheck(dispatcher.discovery, workerA, workerB)
}
