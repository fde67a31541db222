package main

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestEndpointCache_discoveryReturns checks that workers which discovery lists with the same start time count as the same incarnations.
func TestEndpointCache_discoveryReturns(t *testing.T) {
	t.Parallel()
	workers := startNamedWorkers(t, completeCachedJob, "a", "b")
	dispatcher, restore := startWhileDiscoveryFails(t, workers...)
	restore(50, workers...)
	dispatcher.waitForListSource("discovery")
	dispatcher.waitForLog("discovery list in force\" known=2 same_incarnation=2") // the log line may appear after the metric
	dispatcher.waitUntilServed("k")
}

// TestEndpointCache_returnedListLacksWorker checks that a worker gets no new requests if discovery's list lacks it or lists it as draining,
// and that a job which runs at the removed worker is completed.
func TestEndpointCache_returnedListLacksWorker(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	handler := func(worker *testWorker, conn net.Conn, r *http.Request) {
		if r.Header.Get("Idempotency-Key") == "waits" {
			<-release
			completeJob(worker, conn, r)
			return
		}
		completeCachedJob(worker, conn, r)
	}
	workers := startNamedWorkers(t, handler, "a", "b", "c", "d")
	dispatcher, restore := startWhileDiscoveryFails(t, workers...)
	waiting := make(chan int, 1)
	go func() {
		status, _, _ := dispatcher.sendKey("waits")
		waiting <- status
	}()
	running := 0 // index of the worker where the job runs
	dispatcher.waitFor("the job at a worker", func() bool {
		running = slices.IndexFunc(workers, func(worker *testWorker) bool { return worker.runsOf("waits") == 1 })
		return running >= 0
	})
	removed, listed := workers[running], slices.Delete(slices.Clone(workers), running, running+1)
	draining := listed[0]
	draining.phase = "leaving"
	restore(50, listed...)
	dispatcher.waitForListSource("discovery")
	dispatcher.waitFor("the end of the drain grace period", func() bool { return time.Since(dispatcher.lastListUpdate()) > 500*time.Millisecond })
	atRemoved, atDraining := removed.jobCount(), draining.jobCount()
	dispatcher.checkServed("after-", 20)
	if jobs := removed.jobCount(); jobs != atRemoved {
		t.Errorf("%d requests at the worker that is not listed, want 0", jobs-atRemoved)
	}
	if jobs := draining.jobCount(); jobs != atDraining {
		t.Errorf("%d requests at the draining worker, want 0", jobs-atDraining)
	}
	close(release)
	if status := <-waiting; status != 200 {
		t.Errorf("the request whose job ran at the removed worker: status %d, want 200", status)
	}
}

// TestEndpointCache_discoveryFlaps checks that requests are served while discovery returns with an empty list, then with a quarter of the
// workers at a lower revision, then with all.
func TestEndpointCache_discoveryFlaps(t *testing.T) {
	t.Parallel()
	workers := startNamedWorkers(t, completeCachedJob, "a", "b", "c", "d")
	dispatcher, restore := startWhileDiscoveryFails(t, workers...)
	restore(50)
	dispatcher.waitForMetric("list_doubted", 1)
	dispatcher.checkServed("none-listed-", 10)
	if targets := dispatcher.metric("targets"); targets != 4 {
		t.Errorf("targets=%d, want 4", targets)
	}
	restore(3, workers[0]) // less than half of the cached list, and an older revision
	dispatcher.checkServed("quarter-listed-", 10)
	restore(60, workers...)
	dispatcher.waitFor("discovery's list", func() bool {
		return dispatcher.metricText("list_source") == "discovery" && dispatcher.metric("targets") == 4
	})
	dispatcher.checkServed("all-listed-", 10)
	if !strings.Contains(dispatcher.log(), "much shorter than cached list") {
		t.Error("no \"much shorter than cached list\" in the log")
	}
}

// TestEndpointCache_shortListConfirmed checks that a list much shorter than the cached one is applied once discovery has repeated it.
func TestEndpointCache_shortListConfirmed(t *testing.T) {
	t.Parallel()
	workers := startNamedWorkers(t, completeCachedJob, "a", "b", "c")
	dispatcher, restore := startWhileDiscoveryFails(t, workers...)
	restore(50, workers[0])
	dispatcher.waitForMetric("list_doubted", 1)
	dispatcher.waitFor("discovery's list", func() bool {
		return dispatcher.metricText("list_source") == "discovery" && dispatcher.metric("targets") == 1
	})
	dispatcher.waitUntilServed("k")
}

// TestEndpointCache_restartedWorkers checks that a worker that discovery lists with a later start time, and one with a new ID, do not
// count as the same incarnations.
func TestEndpointCache_restartedWorkers(t *testing.T) {
	t.Parallel()
	workers := startNamedWorkers(t, completeCachedJob, "a", "b")
	dispatcher, restore := startWhileDiscoveryFails(t, workers...)
	workers[0].startedAtMS, workers[1].id = time.Now().UnixMilli(), "b2"
	restore(50, workers...)
	dispatcher.waitForListSource("discovery")
	dispatcher.waitForLog("in force\" known=2 same_incarnation=0")
	dispatcher.waitUntilServed("k")
}

// TestEndpointCache_handover checks a handover by a process that still uses its cached list: the successor starts from the cached list
// too, and the files of the cache stay valid.
func TestEndpointCache_handover(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", completeCachedJob)
	dir := t.TempDir()
	writeCachedList(t, dir, time.Hour, nil, worker)
	dispatcher := startFromCache(t, dir, nil)
	dispatcher.waitUntilServed("first")
	successor := dispatcher.startSuccessor(savedListBlock(dir))
	if source := successor.metricText("list_source"); source != "saved" {
		t.Errorf("source %q, want saved", source)
	}
	dispatcher.waitForHandovers(1)
	dispatcher.terminate()
	dispatcher.waitForExit(time.Now().Add(5 * time.Second))
	successor.waitUntilServed("second")
	checkSavedCommand(t, 0, nil, "verify", dir)
}
