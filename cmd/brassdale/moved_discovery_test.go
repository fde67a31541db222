package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

const (
	// notificationLimit is the longest time after a change until a dispatcher that can reach discovery counts as notified.
	notificationLimit = 6 * time.Second
	// drainGraceAndSlack is the time for which a worker may still receive new jobs after the notification of its drain: the drain grace
	// period of the settings, and 50 ms for sockets.
	drainGraceAndSlack = 550 * time.Millisecond
)

// checkDrainObserved lets the load continue for overtime after the last moment at which the drained worker may receive a job. It then ends
// the load, and checks that the worker received no job after that moment.
func checkDrainObserved(t *testing.T, load *steadyLoad, atDrained *arrivals, drainedAt time.Time, overtime time.Duration) {
	t.Helper()
	const limit = notificationLimit + drainGraceAndSlack
	time.Sleep(time.Until(drainedAt.Add(limit + overtime)))
	load.end()
	atDrained.checkNoneAfter(t, drainedAt, limit)
	t.Logf("the drained worker received its last job %v after the drain", atDrained.lastSince(drainedAt))
}

// TestDrain_queuedAnswerAfterMove guards against the fault of incident 36: a worker drains while the answer of the open watch waits in
// discovery's queue, and a reload moves discovery to an address that rejects all calls. The answer of the old watch must still be read: a
// call that may report a change is not cancelled before another call has returned the list.
func TestDrain_queuedAnswerAfterMove(t *testing.T) {
	t.Parallel()
	var atDrained arrivals
	drained, other := startWorker(t, "a", atDrained.recording(completeJob)), startWorker(t, "b", completeJob)
	dispatcher := startDispatcher(t, "", drained) // this worker gets all jobs until the change is known: it drains, and the other joins
	discovery := dispatcher.discovery
	dispatcher.waitForWatch()

	rejecting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(rejecting.Close)
	load := newSteadyLoad()
	load.start(dispatcher, "job", 20*time.Millisecond)

	drainedAt := time.Now()
	dispatcher.reload(withDiscoveryAddress(dispatcher.config, rejecting.Listener.Addr().String()))
	dispatcher.waitForLog("msg=\"settings reloaded\"")
	time.Sleep(300 * time.Millisecond) // the answer waits in discovery's queue
	discovery.update(func() { drained.phase = "leaving"; discovery.workers = append(discovery.workers, other) })
	checkDrainObserved(t, load, &atDrained, drainedAt, 300*time.Millisecond)
}

// TestDrain_movesAtQueueingDiscovery checks that a drain is observed in the run of incident 36: six dispatchers reload four times within
// seconds, and each reload moves discovery, which needs 0.42 s per call and rejects calls that would wait for longer than 1 s. A worker
// drains during the reloads.
func TestDrain_movesAtQueueingDiscovery(t *testing.T) {
	t.Parallel()
	const dispatchers, moves = 6, 4
	var atDrained arrivals
	drained, other := startWorker(t, "a", atDrained.recording(completeJob)), startWorker(t, "b", completeJob)
	before, after := memberJSON(drained, "active"), memberJSON(drained, "leaving")+","+memberJSON(other, "active")
	discovery := newQueueingDiscovery(before)

	load := newSteadyLoad()
	type movedDispatcher struct {
		*testDispatcher
		addresses []string // addresses of discovery, in the order of the moves
	}
	var fleet []movedDispatcher
	for i := range dispatchers {
		addresses := discovery.startServers(t, fmt.Sprint(i), moves+1)
		dispatcher := startWithConfig(t, dispatcherConfig(i, dispatchers, byte(0x60+i), addresses[0], before))
		load.start(dispatcher, fmt.Sprint("n", i), 40*time.Millisecond)
		fleet = append(fleet, movedDispatcher{dispatcher, addresses})
	}
	time.Sleep(7 * time.Second) // until all dispatchers have a watch

	var moved sync.WaitGroup
	for i, dispatcher := range fleet {
		moved.Go(func() {
			time.Sleep(time.Duration(i) * 400 * time.Millisecond)
			for move, pauseMS := range []time.Duration{0, 300, 400, 900} {
				time.Sleep(pauseMS * time.Millisecond)
				dispatcher.reload(withDiscoveryAddress(dispatcher.config, dispatcher.addresses[move+1]))
			}
		})
	}
	time.Sleep(1200 * time.Millisecond)
	drainedAt := time.Now()
	discovery.publish(after)
	moved.Wait()
	checkDrainObserved(t, load, &atDrained, drainedAt, 1500*time.Millisecond)
	discovery.logCalls(t)
}
