package main

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
)

// withPushedLists is a change of the platform's file to pushed lists: the address of discovery is then the address of an agent.
var withPushedLists = withSetting(`"discovery":"ask"`, `"discovery":"push"`)

// drainAndCheck makes the agent list one worker as draining and the other as active. It waits until this process and the others that
// listen at its address have the list, and checks that ten requests are served without the draining worker.
func (d *testDispatcher) drainAndCheck(agent *testDiscovery, draining, active *testWorker, others ...*testDispatcher) {
	d.t.Helper()
	agent.update(func() { draining.phase, active.phase, agent.hanging = "leaving", "active", false })
	for _, dispatcher := range append(others, d) {
		dispatcher.waitForLog(fmt.Sprintf("msg=\"endpoint list updated\" revision=%d ", agent.revision))
	}
	before := draining.jobCount()
	d.checkServed(fmt.Sprintf("%s-%d-", draining.id, agent.revision), 10)
	if after := draining.jobCount(); after != before {
		d.t.Errorf("%d requests at draining worker %s, want 0", after-before, draining.id)
	}
}

// stallAgent makes the agent leave calls unanswered, and waits until a call has failed.
func (d *testDispatcher) stallAgent(agent *testDiscovery) {
	d.t.Helper()
	agent.update(func() { agent.hanging = true })
	failed := strings.Count(d.log(), "discovery call failed")
	d.waitFor("a failed call", func() bool { return strings.Count(d.log(), "discovery call failed") > failed })
}

// TestPushedLists_drains checks that drains in a pushed list are observed after the start, after the agent has left calls unanswered,
// after a reload has moved discovery to another agent, and during a handover.
func TestPushedLists_drains(t *testing.T) {
	workerA, workerB := startWorker(t, "a", completeJob), startWorker(t, "b", completeJob)
	dispatcher := startDispatcherWith(t, "", withPushedLists, workerA, workerB)
	dispatcher.drainAndCheck(dispatcher.discovery, workerA, workerB)
	dispatcher.stallAgent(dispatcher.discovery)
	dispatcher.drainAndCheck(dispatcher.discovery, workerB, workerA) // the first list after calls that the agent did not answer

	otherAgent := newTestDiscovery(workerA, workerB)
	otherAgent.revision = 100
	server := httptest.NewServer(otherAgent)
	t.Cleanup(server.CloseClientConnections)
	dispatcher.config = withDiscoveryAddress(dispatcher.config, server.Listener.Addr().String())
	dispatcher.reload(dispatcher.config)
	dispatcher.waitForLog("msg=\"endpoint list updated\" revision=100 ")
	dispatcher.drainAndCheck(otherAgent, workerA, workerB)

	successor := dispatcher.startSuccessor("")
	dispatcher.waitForHandovers(1)
	successor.drainAndCheck(otherAgent, workerB, workerA, dispatcher) // the client may reuse an idle connection to the predecessor
	dispatcher.terminate()
}

// TestPushedLists_agentSilentAtStart checks that a dispatcher whose agent does not answer starts with the list of the platform's file,
// and observes a drain as soon as the agent answers.
func TestPushedLists_agentSilentAtStart(t *testing.T) {
	workerA, workerB := startWorker(t, "a", completeJob), startWorker(t, "b", completeJob)
	dispatcher := newTestDispatcher(t, newTestDiscovery(workerA, workerB))
	dispatcher.discovery.hanging = true
	dispatcher.start("", withPushedLists)
	if status, _, _ := dispatcher.sendKey("first"); status != 200 {
		t.Errorf("a request before the agent answers: status %d, want 200", status)
	}
	dispatcher.waitForLog("discovery call failed")
	dispatcher.drainAndCheck(dispatcher.discovery, workerA, workerB)
}
