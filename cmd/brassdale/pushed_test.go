package main

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
)

// pushed has lists pushed: discovery's address is an agent's.
func pushed(config string) string {
	return strings.Replace(config, `"discovery":"ask"`, `"discovery":"push"`, 1)
}

// leaves has the agent tell that a worker drains, waits until the program has heard it, and others that clients may still reach
// at its address, and then looks that the worker gets no job while another does.
func (n *node) leaves(g *registry, b, stays *worker, others ...*node) {
	n.t.Helper()
	g.set(func() { b.phase, stays.phase, g.hang = "leaving", "active", false })
	for _, m := range append(others, n) {
		m.waitFor("what the agent has", func() bool {
			return strings.Contains(m.log(), fmt.Sprintf("msg=\"endpoint list updated\" revision=%d ", g.revision))
		})
	}
	_, before := b.count()
	for i := range 10 {
		if status, _, _ := n.do(request(n.url, fmt.Sprintf("%s-%d-%d", b.id, g.revision, i))); status != 200 {
			n.t.Errorf("status %d", status)
		}
	}
	if _, after := b.count(); after != before {
		n.t.Errorf("%s drains and got %d jobs", b.id, after-before)
	}
}

// hangs has the agent fall silent until a call to it was given up.
func (n *node) hangs(g *registry) {
	n.t.Helper()
	g.set(func() { g.hang = true })
	failed := strings.Count(n.log(), "discovery call failed")
	n.waitFor("a call given up", func() bool {
		// The same fault again is not logged: the calls tell.
		g.mu.Lock()
		defer g.mu.Unlock()
		return strings.Count(n.log(), "discovery call failed") > failed
	})
}

// Where lists are pushed nobody but the actor of the endpoint list asks the agent. It was read once, at the start: all that
// drained later got jobs for good. It is watched from the start, through silence, a move at SIGHUP and a replacement.
func TestPushedList(t *testing.T) {
	a, b := newWorker(t, "a", works), newWorker(t, "b", works)
	n := startWith(t, "", pushed, a, b)
	n.leaves(n.registry, a, b)
	n.hangs(n.registry)
	n.leaves(n.registry, b, a) // it drained while the agent was silent

	moved := &registry{revision: 100, workers: []*worker{a, b}, changed: make(chan struct{})}
	to := httptest.NewServer(moved)
	t.Cleanup(to.CloseClientConnections)
	_, rest, _ := strings.Cut(n.config, `"discovery":"`)
	old, _, _ := strings.Cut(rest, `"`)
	n.config = strings.Replace(n.config, old, to.Listener.Addr().String(), 1)
	n.reload(n.config)
	n.waitFor("the other agent's list", func() bool { return strings.Contains(n.log(), "msg=\"endpoint list updated\" revision=100 ") })
	n.leaves(moved, a, b)

	m := &node{t: t, registry: moved, tmp: n.tmp, exited: make(chan struct{})}
	m.launch(n.config, "")
	m.serves("")
	n.passesOn(1)
	m.leaves(moved, b, a, n) // a connection that was kept leads to the process that is being replaced
	n.stop()
}

// A start while the agent is silent goes by the list that the program was given, and hears what drained as soon as the
// agent speaks.
func TestStartWithSilentAgent(t *testing.T) {
	a, b := newWorker(t, "a", works), newWorker(t, "b", works)
	n := &node{t: t, registry: &registry{revision: 1, workers: []*worker{a, b}, changed: make(chan struct{}), hang: true}, exited: make(chan struct{})}
	n.startHere("", pushed)
	if status, _, _ := n.do(request(n.url, "first")); status != 200 {
		t.Errorf("status %d", status)
	}
	n.waitFor("a call given up", func() bool { return strings.Contains(n.log(), "discovery call failed") })
	n.leaves(n.registry, a, b)
}
