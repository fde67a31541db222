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
func (d *testDispatcher) drainAndCheck(g *testDiscovery, b, stays *testWorker, others ...*testDispatcher) {
	d.t.Helper()
	g.update(func() { b.phase, stays.phase, g.hanging = "leaving", "active", false })
	for _, m := range append(others, d) {
		m.waitFor("what the agent has", func() bool {
			return strings.Contains(m.log(), fmt.Sprintf("msg=\"endpoint list updated\" revision=%d ", g.revision))
		})
	}
	_, before := b.count()
	for i := range 10 {
		if status, _, _ := d.send(newRequest(d.http1URL, fmt.Sprintf("%s-%d-%d", b.id, g.revision, i))); status != 200 {
			d.t.Errorf("status %d", status)
		}
	}
	if _, after := b.count(); after != before {
		d.t.Errorf("%s drains and got %d jobs", b.id, after-before)
	}
}

// hangs has the agent fall silent until a call to it was given up.
func (d *testDispatcher) stallDiscovery(g *testDiscovery) {
	d.t.Helper()
	g.update(func() { g.hanging = true })
	failed := strings.Count(d.log(), "discovery call failed")
	d.waitFor("a call given up", func() bool {
		// The same fault again is not logged: the calls tell.
		g.mu.Lock()
		defer g.mu.Unlock()
		return strings.Count(d.log(), "discovery call failed") > failed
	})
}

// Where lists are pushed nobody but the actor of the endpoint list asks the agent. It was read once, at the start: all that
// drained later got jobs for good. It is watched from the start, through silence, a move at SIGHUP and a replacement.
func TestPushedLists_drains(t *testing.T) {
	a, b := startWorker(t, "a", completeJob), startWorker(t, "b", completeJob)
	n := startDispatcherWith(t, "", withPushedLists, a, b)
	n.drainAndCheck(n.discovery, a, b)
	n.stallDiscovery(n.discovery)
	n.drainAndCheck(n.discovery, b, a) // it drained while the agent was silent

	moved := &testDiscovery{revision: 100, workers: []*testWorker{a, b}, changed: make(chan struct{})}
	to := httptest.NewServer(moved)
	t.Cleanup(to.CloseClientConnections)
	_, rest, _ := strings.Cut(n.config, `"discovery":"`)
	old, _, _ := strings.Cut(rest, `"`)
	n.config = strings.Replace(n.config, old, to.Listener.Addr().String(), 1)
	n.reload(n.config)
	n.waitFor("the other agent's list", func() bool { return strings.Contains(n.log(), "msg=\"endpoint list updated\" revision=100 ") })
	n.drainAndCheck(moved, a, b)

	m := &testDispatcher{t: t, discovery: moved, tempDir: n.tempDir, exited: make(chan struct{})}
	m.startProcess(n.config, "")
	m.waitUntilReady("")
	n.waitForHandovers(1)
	m.drainAndCheck(moved, b, a, n) // a connection that was kept leads to the process that is being replaced
	n.terminate()
}

// A start while the agent is silent goes by the list that the program was given, and hears what drained as soon as the
// agent speaks.
func TestPushedLists_agentSilentAtStart(t *testing.T) {
	a, b := startWorker(t, "a", completeJob), startWorker(t, "b", completeJob)
	n := &testDispatcher{t: t, discovery: &testDiscovery{revision: 1, workers: []*testWorker{a, b}, changed: make(chan struct{}), hanging: true}, exited: make(chan struct{})}
	n.start("", withPushedLists)
	if status, _, _ := n.send(newRequest(n.http1URL, "first")); status != 200 {
		t.Errorf("status %d", status)
	}
	n.waitFor("a call given up", func() bool { return strings.Contains(n.log(), "discovery call failed") })
	n.drainAndCheck(n.discovery, a, b)
}
