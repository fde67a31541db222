package main

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// replicatedDiscovery is a discovery service whose replicas return each list only some time after its publication.
type replicatedDiscovery struct {
	mu    sync.Mutex
	lists []publishedList // by revision
	calls atomic.Int64
}

// publishedList is the lines of a list and its time of publication.
type publishedList struct {
	publishedAt time.Time
	members     string
}

// publish publishes a new revision, and returns the time of publication.
func (d *replicatedDiscovery) publish(members string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.lists = append(d.lists, publishedList{now, members})
	return now
}

// listAt returns the newest list that a replica with this lag has.
func (d *replicatedDiscovery) listAt(lag time.Duration) (revision int, members string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, list := range d.lists {
		if i == 0 || time.Since(list.publishedAt) >= lag {
			revision, members = i+1, list.members
		}
	}
	return revision, members
}

// startReplica starts a replica and returns its address. lag is called at each call to the replica.
func (d *replicatedDiscovery) startReplica(t *testing.T, lag func() time.Duration) string {
	t.Helper()
	return d.startRenumberedReplica(t, 0, lag)
}

// startRenumberedReplica starts a replica that adds an offset to the revisions of the lists, and returns its address.
func (d *replicatedDiscovery) startRenumberedReplica(t *testing.T, offset int, lag func() time.Duration) string {
	t.Helper()
	list := func(replicaLag time.Duration) (revision int, members string) {
		revision, members = d.listAt(replicaLag)
		return revision + offset, members
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.calls.Add(1)
		currentLag := lag()
		call := readPoll(r)
		waitEnd := time.Now().Add(call.wait)
		revision, members := list(currentLag)
		for call.hasList && revision == call.index && time.Now().Before(waitEnd) && r.Context().Err() == nil {
			time.Sleep(5 * time.Millisecond)
			revision, members = list(currentLag)
		}
		if call.hasList && revision == call.index {
			io.WriteString(w, listAnswer(revision, false, ""))
			return
		}
		io.WriteString(w, listAnswer(revision, true, members))
	}))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// constantLag returns a lag function for a replica that has the same lag at each call.
func constantLag(lag time.Duration) func() time.Duration { return func() time.Duration { return lag } }

// TestDrain_moveToLaggingReplica guards against a known drain or removal of a worker being withdrawn by the first list after a reload has
// moved discovery to a lagging replica. A list does not say when it was written, and revisions of two services cannot be compared. So a
// list may withdraw a drain only if the list is certainly newer.
func TestDrain_moveToLaggingReplica(t *testing.T) {
	t.Parallel()
	for _, phase := range []string{"leaving", "left"} {
		t.Run(phase, func(t *testing.T) {
			t.Parallel()
			var atDrained arrivals
			drained, other := startWorker(t, "a", atDrained.recording(completeJob)), startWorker(t, "b", completeJob)
			before, after := memberJSON(drained, "active")+","+memberJSON(other, "active"), memberJSON(drained, "leaving")+","+memberJSON(other, "active")
			if phase == "left" {
				after = memberJSON(other, "active")
			}
			var discovery replicatedDiscovery
			discovery.publish(before)
			dispatcher := startWithConfig(t, dispatcherConfig(0, 1, 0, discovery.startReplica(t, constantLag(0)), before))
			load := newSteadyLoad()
			load.start(dispatcher, "job", 5*time.Millisecond)
			time.Sleep(time.Second)
			drainedAt := discovery.publish(after)
			time.Sleep(time.Second)
			dispatcher.reload(withDiscoveryAddress(dispatcher.config, discovery.startReplica(t, constantLag(4*time.Second))))
			time.Sleep(3 * time.Second)
			load.end()
			if !strings.Contains(dispatcher.log(), "msg=\"settings reloaded\"") {
				t.Error("no \"settings reloaded\" in the log: discovery was not moved")
			}
			atDrained.checkNoneAfter(t, drainedAt, time.Second+drainGraceAndSlack)
		})
	}
}

// TestDrain_moveToReplicaWithEarlierReturn guards against a known drain being withdrawn after a move of discovery, because the new service
// still reports an earlier drain of the worker and its return from that drain.
func TestDrain_moveToReplicaWithEarlierReturn(t *testing.T) {
	t.Parallel()
	const lag = 3500 * time.Millisecond
	for name, change := range map[string]func(string) string{"polled": func(config string) string { return config }, "pushed": withPushedLists} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var atDrained arrivals
			drained, others := startWorker(t, "a", atDrained.recording(completeJob)), startNamedWorkers(t, completeJob, "b", "c")
			list := func(phase string) string {
				return memberJSON(drained, phase) + "," + memberJSON(others[0], "active") + "," + memberJSON(others[1], "active")
			}
			var discovery replicatedDiscovery
			discovery.publish(list("active"))
			dispatcher := startWithConfig(t, change(dispatcherConfig(0, 1, 0, discovery.startReplica(t, constantLag(0)), list("active"))))
			load := newSteadyLoad()
			load.start(dispatcher, "job", 5*time.Millisecond)
			time.Sleep(time.Second)
			discovery.publish(list("leaving"))
			time.Sleep(600 * time.Millisecond)
			discovery.publish(list("active"))
			time.Sleep(1400 * time.Millisecond)
			drainedAt := discovery.publish(list("leaving"))
			time.Sleep(1700 * time.Millisecond)
			dispatcher.reload(withDiscoveryAddress(dispatcher.config, discovery.startRenumberedReplica(t, 100, constantLag(lag))))
			dispatcher.waitForLog("msg=\"endpoint list updated\" revision=102 ")
			dispatcher.waitForLog("msg=\"endpoint list updated\" revision=104 ")
			load.end()
			atDrained.checkNoneAfter(t, drainedAt, time.Second+drainGraceAndSlack)
		})
	}
}

// TestHandover_drainKnownFromOtherService guards against a drain being withdrawn in a successor process: its predecessor knew the drain from
// the service before a move of discovery, and the service after the move still reports an earlier drain and the return from that drain.
func TestHandover_drainKnownFromOtherService(t *testing.T) {
	t.Parallel()
	const lag = 3500 * time.Millisecond
	var atDrained arrivals
	drained, other := startWorker(t, "a", atDrained.recording(completeJob)), startWorker(t, "b", completeJob)
	list := func(phase string) string { return memberJSON(drained, phase) + "," + memberJSON(other, "active") }
	var discovery replicatedDiscovery
	discovery.publish(list("active"))
	dispatcher := startWithConfig(t, dispatcherConfig(0, 1, 0, discovery.startReplica(t, constantLag(0)), list("active")))
	discovery.publish(list("leaving"))
	time.Sleep(time.Second)
	discovery.publish(list("active"))
	time.Sleep(1400 * time.Millisecond)
	drainedAt := discovery.publish(list("leaving"))
	dispatcher.waitForLog("msg=\"endpoint list updated\" revision=4 ")
	dispatcher.config = withDiscoveryAddress(dispatcher.config, discovery.startRenumberedReplica(t, 100, constantLag(lag)))
	time.Sleep(1200 * time.Millisecond)
	dispatcher.reload(dispatcher.config)
	dispatcher.waitForLog("msg=\"endpoint list updated\" revision=102 ")

	successor := dispatcher.startSuccessor("")
	dispatcher.waitForHandovers(1)
	load := newSteadyLoad()
	load.start(successor, "job", 5*time.Millisecond)
	successor.waitForLog("msg=\"endpoint list updated\" revision=103 ")
	successor.waitForLog("msg=\"endpoint list updated\" revision=104 ")
	load.end()
	atDrained.checkNoneAfter(t, drainedAt, time.Second+drainGraceAndSlack)
}

// TestReturn_afterMove checks that a worker whose drain was known before a move of discovery, and which returns after the move, gets jobs
// within notificationLimit plus the time of a call. No later change of the list is needed, and another worker is ready all the time.
func TestReturn_afterMove(t *testing.T) {
	t.Parallel()
	const timeOfCall = time.Second
	completeSlowly := func(worker *testWorker, conn net.Conn, r *http.Request) { // so slow that the load needs both workers
		time.Sleep(50 * time.Millisecond)
		completeJob(worker, conn, r)
	}
	var atReturned arrivals
	returned, other := startWorker(t, "a", atReturned.recording(completeSlowly)), startWorker(t, "b", completeSlowly)
	list := func(phase string) string { return memberJSON(returned, phase) + "," + memberJSON(other, "active") }
	var discovery replicatedDiscovery
	discovery.publish(list("active"))
	dispatcher := startWithConfig(t, dispatcherConfig(0, 1, 0, discovery.startReplica(t, constantLag(0)), list("active")))
	load := newSteadyLoad()
	load.start(dispatcher, "job", 5*time.Millisecond)
	defer load.end()
	time.Sleep(time.Second)
	discovery.publish(list("leaving"))
	dispatcher.waitForLog("msg=\"endpoint list updated\" revision=2 ")
	dispatcher.reload(withDiscoveryAddress(dispatcher.config, discovery.startRenumberedReplica(t, 100, constantLag(0))))
	dispatcher.waitForLog("msg=\"endpoint list updated\" revision=102 ")
	returnedAt := discovery.publish(list("active"))
	time.Sleep(notificationLimit + timeOfCall - 100*time.Millisecond)
	if last := atReturned.lastSince(returnedAt); last < notificationLimit+timeOfCall-200*time.Millisecond {
		t.Errorf("the returned worker received its last job %v after its return, want one shortly before the end of the test", last)
	}
}

// TestDiscovery_callRateAtLaggingReplicas checks that a dispatcher makes at most 30 calls in 12 s if answers come from a lagging replica.
// After an answer with a lower revision the dispatcher requests the complete list again. These requests must be rare, because discovery
// serves many dispatchers.
func TestDiscovery_callRateAtLaggingReplicas(t *testing.T) {
	t.Parallel()
	for name, lag := range map[string]func() func() time.Duration{
		"every other answer": func() func() time.Duration {
			var calls atomic.Int64
			return func() time.Duration { return time.Duration(calls.Add(1)%2) * time.Hour }
		},
		"after the first answer": func() func() time.Duration {
			var calls atomic.Int64
			return func() time.Duration { return min(time.Duration(calls.Add(1)-1), 1) * time.Hour }
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			workerA, workerB := startWorker(t, "a", completeJob), startWorker(t, "b", completeJob)
			var discovery replicatedDiscovery
			before := memberJSON(workerA, "active") + "," + memberJSON(workerB, "active")
			discovery.publish(before)
			discovery.publish(memberJSON(workerA, "leaving") + "," + memberJSON(workerB, "active"))
			startWithConfig(t, dispatcherConfig(0, 1, 0, discovery.startReplica(t, lag()), before))
			time.Sleep(12 * time.Second)
			if calls := discovery.calls.Load(); calls > 30 {
				t.Errorf("%d calls in 12 s, more than 30", calls)
			}
		})
	}
}
