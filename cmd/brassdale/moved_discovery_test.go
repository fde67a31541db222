package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// What discovery has counts as told after this at the latest, where it can be reached.
	notificationLimit = 6 * time.Second
	// Nothing new may reach a worker this long after its drain was told: the grace of the settings and the slack of the rules.
	drainGraceAndSlack = 550 * time.Millisecond
)

// A worker drains while the watch is open, and the answer of the watch waits in discovery's queue. A new configuration moves
// discovery, and the new address refuses all calls for longer than a change may stay unheard. The answer of the old watch must
// still be heard: a call that may bring a change is not given up before another has brought the list (incident 36).
func TestDrain_queuedAnswerAfterMove(t *testing.T) {
	t.Parallel()
	var arrived arrivals
	workerA, workerB := startWorker(t, "a", arrived.recording(completeJob)), startWorker(t, "b", completeJob)
	dispatcher := startDispatcher(t, "", workerA) // all jobs go to this one until the change is heard: it drains, the other joins
	discovery := dispatcher.discovery
	dispatcher.waitFor("a watch", func() bool {
		discovery.mu.Lock()
		defer discovery.mu.Unlock()
		return len(discovery.pollWaits) > 0 && discovery.pollWaits[len(discovery.pollWaits)-1] > 0
	})

	refuses := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(refuses.Close)
	stop, wait := make(chan struct{}), sync.WaitGroup{}
	dispatcher.sendSteadily("job", 20*time.Millisecond, stop, &wait)

	drained := time.Now()
	dispatcher.reload(withDiscoveryAddress(dispatcher.config, refuses.Listener.Addr().String()))
	dispatcher.waitFor("the move", func() bool { return strings.Contains(dispatcher.log(), "msg=\"settings reloaded\"") })
	time.Sleep(300 * time.Millisecond) // of waiting in discovery's queue
	discovery.update(func() { workerA.phase = "leaving"; discovery.workers = append(discovery.workers, workerB) })
	time.Sleep(time.Until(drained.Add(notificationLimit + drainGraceAndSlack + 300*time.Millisecond)))
	close(stop)
	wait.Wait()
	if last := arrived.lastSince(drained); last > notificationLimit+drainGraceAndSlack {
		t.Errorf("a job came to the drained worker %v after the drain", last)
	}
	t.Logf("the last job came to the drained worker %v after the drain", arrived.lastSince(drained))
}

// Six dispatchers get four new configurations each within seconds, and each moves discovery, which serves a call in 0.42 s and
// refuses those that would wait for over a second. Workers drain in the middle. This is the run of incident 36.
func TestDrain_movesAtQueueingDiscovery(t *testing.T) {
	t.Parallel()
	const dispatchers, moves = 6, 4
	var arrived arrivals
	workerA := startWorker(t, "a", arrived.recording(completeJob))
	workerB := startWorker(t, "b", completeJob)
	before, after := memberJSON(workerA, "active"), memberJSON(workerA, "leaving")+","+memberJSON(workerB, "active")
	discovery := newQueueingDiscovery(before)

	stop, wait := make(chan struct{}), sync.WaitGroup{}
	type movedDispatcher struct {
		*testDispatcher
		addresses []string
	}
	var fleet []movedDispatcher
	for i := range dispatchers {
		addresses := discovery.startServers(t, fmt.Sprint(i), moves+1)
		config := fmt.Sprintf(`{"name":"n%d","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be96%d","limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"revision":0,"complete":true,"members":[%s]},"settings":%s}`,
			i, addresses[0], i, before, strings.Replace(settingsJSON, `"replicasOfMe":1`, fmt.Sprintf(`"ordinal":%d,"replicasOfMe":%d`, i, dispatchers), 1))
		dispatcher := &testDispatcher{t: t, exited: make(chan struct{})}
		dispatcher.startProcess(config, "")
		dispatcher.waitUntilReady("")
		dispatcher.sendSteadily(fmt.Sprint("n", i), 40*time.Millisecond, stop, &wait)
		fleet = append(fleet, movedDispatcher{dispatcher, addresses})
	}
	time.Sleep(7 * time.Second) // until all have a watch

	var drained time.Time
	var moved sync.WaitGroup
	for i, d := range fleet {
		moved.Go(func() {
			time.Sleep(time.Duration(i) * 400 * time.Millisecond)
			for k, pause := range []time.Duration{0, 300, 400, 900} {
				time.Sleep(pause * time.Millisecond)
				d.reload(withDiscoveryAddress(d.config, d.addresses[k+1]))
			}
		})
	}
	time.Sleep(1200 * time.Millisecond)
	drained = time.Now()
	discovery.publish(after)
	moved.Wait()
	time.Sleep(time.Until(drained.Add(notificationLimit + drainGraceAndSlack + 1500*time.Millisecond)))
	close(stop)
	wait.Wait()
	if last := arrived.lastSince(drained); last > notificationLimit+drainGraceAndSlack {
		t.Errorf("a job came to the drained worker %v after the drain", last)
	}
	discovery.mu.Lock()
	defer discovery.mu.Unlock()
	t.Logf("the last job came to the drained worker %v after the drain; %d calls, %d of them refused", arrived.lastSince(drained), discovery.calls, discovery.rejected)
}
