package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Discovery returns with all: nothing is started over, and the module goes on with what it knew.
func TestEndpointCache_discoveryReturns(t *testing.T) {
	t.Parallel()
	script := completeAfter(20 * time.Millisecond)
	workerA, workerB := startWorker(t, "a", script), startWorker(t, "b", script)
	dispatcher, back := startWhileDiscoveryFails(t, workerA, workerB)
	back(50, workerA, workerB)
	dispatcher.waitFor("discovery's list", func() bool { return dispatcher.metricText("list_source") == "discovery" })
	// The door may answer before the line written earlier has come through the pipe.
	dispatcher.waitFor("what was learned", func() bool {
		return strings.Contains(dispatcher.log(), "discovery list in force\" known=2 same_incarnation=2")
	})
	dispatcher.waitUntilServed("k")
}

// A worker that the returned list does not name gets nothing new, and its running job ends where it is; one that is named
// as leaving the same.
func TestEndpointCache_returnedListLacksWorker(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	script := func(worker *testWorker, conn net.Conn, r *http.Request) {
		if r.Header.Get("Idempotency-Key") == "held" {
			<-release
			completeJob(worker, conn, r)
			return
		}
		completeAfter(20*time.Millisecond)(worker, conn, r)
	}
	workerA, workerB, workerC, workerD := startWorker(t, "a", script), startWorker(t, "b", script), startWorker(t, "c", script), startWorker(t, "d", script)
	dispatcher, back := startWhileDiscoveryFails(t, workerA, workerB, workerC, workerD)
	held := make(chan int, 1)
	go func() {
		status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, "held"))
		held <- status
	}()
	var at *testWorker
	dispatcher.waitFor("the job", func() bool {
		for _, worker := range []*testWorker{workerA, workerB, workerC, workerD} {
			if worker.runsOf("held") == 1 {
				at = worker
				return true
			}
		}
		return false
	})
	var rest []*testWorker
	for _, worker := range []*testWorker{workerA, workerB, workerC, workerD} {
		if worker != at {
			rest = append(rest, worker)
		}
	}
	rest[0].phase = "leaving"
	back(50, rest...)
	dispatcher.waitFor("discovery's list", func() bool { return dispatcher.metricText("list_source") == "discovery" })
	dispatcher.waitFor("the end of the grace", func() bool { return time.Since(dispatcher.lastListUpdate()) > 500*time.Millisecond })
	_, before := at.count()
	_, leaving := rest[0].count()
	for i := range 20 {
		if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, fmt.Sprint("after-", i))); status != 200 {
			t.Errorf("job %d: %d", i, status)
		}
	}
	if _, now := at.count(); now != before {
		t.Errorf("%d jobs at the one that is gone", now-before)
	}
	if _, now := rest[0].count(); now != leaving {
		t.Errorf("%d jobs at the one that leaves", now-leaving)
	}
	close(release)
	if status := <-held; status != 200 {
		t.Errorf("the running job: %d", status)
	}
}

// Discovery comes back with nothing, then a third at a lower revision, then all: it flaps, and all jobs go on being served
// by the workers that answer.
func TestEndpointCache_discoveryFlaps(t *testing.T) {
	t.Parallel()
	script := completeAfter(20 * time.Millisecond)
	workerA, workerB, workerC, workerD := startWorker(t, "a", script), startWorker(t, "b", script), startWorker(t, "c", script), startWorker(t, "d", script)
	dispatcher, back := startWhileDiscoveryFails(t, workerA, workerB, workerC, workerD)
	serve := func(what string) {
		t.Helper()
		for i := range 10 {
			if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, fmt.Sprint(what, "-", i))); status != 200 {
				t.Errorf("%s, job %d: %d", what, i, status)
			}
		}
	}
	back(50)
	dispatcher.waitFor("the doubt", func() bool { return dispatcher.metric("list_doubted") == 1 })
	serve("nothing listed")
	if dispatcher.metric("targets") != 4 {
		t.Errorf("%d targets", dispatcher.metric("targets"))
	}
	back(3, workerA) // below half of four, and older
	serve("a quarter listed")
	back(60, workerA, workerB, workerC, workerD)
	dispatcher.waitFor("discovery's list", func() bool {
		return dispatcher.metricText("list_source") == "discovery" && dispatcher.metric("targets") == 4
	})
	serve("all listed")
	if lines := strings.Count(dispatcher.log(), "much shorter than cached list"); lines < 1 {
		t.Errorf("%d lines of doubt", lines)
	}
}

// A short list that is told twice counts.
func TestEndpointCache_shortListConfirmed(t *testing.T) {
	t.Parallel()
	script := completeAfter(20 * time.Millisecond)
	workerA, workerB, workerC := startWorker(t, "a", script), startWorker(t, "b", script), startWorker(t, "c", script)
	dispatcher, back := startWhileDiscoveryFails(t, workerA, workerB, workerC)
	back(50, workerA)
	dispatcher.waitFor("the doubt", func() bool { return dispatcher.metric("list_doubted") == 1 })
	dispatcher.waitFor("discovery's list", func() bool {
		return dispatcher.metricText("list_source") == "discovery" && dispatcher.metric("targets") == 1
	})
	dispatcher.waitUntilServed("k")
}

// A worker that is named with a later start is new, and cold; one whose id and address are new too.
func TestEndpointCache_restartedWorkers(t *testing.T) {
	t.Parallel()
	script := completeAfter(20 * time.Millisecond)
	workerA, workerB := startWorker(t, "a", script), startWorker(t, "b", script)
	dispatcher, back := startWhileDiscoveryFails(t, workerA, workerB)
	workerA.startedAtMS, workerB.id = time.Now().UnixMilli(), "b2"
	back(50, workerA, workerB)
	dispatcher.waitFor("discovery's list", func() bool { return dispatcher.metricText("list_source") == "discovery" })
	dispatcher.waitFor("nothing taken for what it was", func() bool { return strings.Contains(dispatcher.log(), "in force\" known=2 same_incarnation=0") })
	dispatcher.waitUntilServed("k")
}

// While one process replaces another that still trusts its saved list, the successor begins from that too, and neither
// tears the other's files.
func TestEndpointCache_handover(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", completeAfter(20*time.Millisecond))
	dir := t.TempDir()
	writeCachedList(t, dir, time.Hour, nil, worker)
	dispatcher := startFromCache(t, dir, nil)
	dispatcher.waitUntilServed("first")
	successor := dispatcher.startSuccessor(savedListBlock(dir))
	if successor.metricText("list_source") != "saved" {
		t.Errorf("source %q", successor.metricText("list_source"))
	}
	dispatcher.waitForHandovers(1)
	dispatcher.command.Process.Signal(syscall.SIGTERM)
	dispatcher.waitForExit(time.Now().Add(5 * time.Second))
	successor.waitUntilServed("second")
	if code, out, _ := runCommand(t, "saved", "verify", dir); code != 0 {
		t.Errorf("saved verify: %s", out)
	}
}
