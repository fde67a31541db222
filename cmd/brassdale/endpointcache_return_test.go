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
	a, b := startWorker(t, "a", script), startWorker(t, "b", script)
	n, back := startWhileDiscoveryFails(t, a, b)
	back(50, a, b)
	n.waitFor("discovery's list", func() bool { return n.metricText("list_source") == "discovery" })
	// The door may answer before the line written earlier has come through the pipe.
	n.waitFor("what was learned", func() bool {
		return strings.Contains(n.log(), "discovery list in force\" known=2 same_incarnation=2")
	})
	n.waitUntilServed("k")
}

// A worker that the returned list does not name gets nothing new, and its running job ends where it is; one that is named
// as leaving the same.
func TestEndpointCache_returnedListLacksWorker(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	script := func(b *testWorker, c net.Conn, r *http.Request) {
		if r.Header.Get("Idempotency-Key") == "held" {
			<-release
			completeJob(b, c, r)
			return
		}
		completeAfter(20*time.Millisecond)(b, c, r)
	}
	a, b, c, d := startWorker(t, "a", script), startWorker(t, "b", script), startWorker(t, "c", script), startWorker(t, "d", script)
	n, back := startWhileDiscoveryFails(t, a, b, c, d)
	held := make(chan int, 1)
	go func() {
		status, _, _ := n.send(newRequest(n.http1URL, "held"))
		held <- status
	}()
	var at *testWorker
	n.waitFor("the job", func() bool {
		for _, x := range []*testWorker{a, b, c, d} {
			if x.runsOf("held") == 1 {
				at = x
				return true
			}
		}
		return false
	})
	var rest []*testWorker
	for _, x := range []*testWorker{a, b, c, d} {
		if x != at {
			rest = append(rest, x)
		}
	}
	rest[0].phase = "leaving"
	back(50, rest...)
	n.waitFor("discovery's list", func() bool { return n.metricText("list_source") == "discovery" })
	n.waitFor("the end of the grace", func() bool { return time.Since(n.lastListUpdate()) > 500*time.Millisecond })
	_, before := at.count()
	_, leaving := rest[0].count()
	for i := range 20 {
		if status, _, _ := n.send(newRequest(n.http1URL, fmt.Sprint("after-", i))); status != 200 {
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
	a, b, c, d := startWorker(t, "a", script), startWorker(t, "b", script), startWorker(t, "c", script), startWorker(t, "d", script)
	n, back := startWhileDiscoveryFails(t, a, b, c, d)
	serve := func(what string) {
		t.Helper()
		for i := range 10 {
			if status, _, _ := n.send(newRequest(n.http1URL, fmt.Sprint(what, "-", i))); status != 200 {
				t.Errorf("%s, job %d: %d", what, i, status)
			}
		}
	}
	back(50)
	n.waitFor("the doubt", func() bool { return n.metric("list_doubted") == 1 })
	serve("nothing listed")
	if n.metric("targets") != 4 {
		t.Errorf("%d targets", n.metric("targets"))
	}
	back(3, a) // below half of four, and older
	serve("a quarter listed")
	back(60, a, b, c, d)
	n.waitFor("discovery's list", func() bool { return n.metricText("list_source") == "discovery" && n.metric("targets") == 4 })
	serve("all listed")
	if lines := strings.Count(n.log(), "much shorter than cached list"); lines < 1 {
		t.Errorf("%d lines of doubt", lines)
	}
}

// A short list that is told twice counts.
func TestEndpointCache_shortListConfirmed(t *testing.T) {
	t.Parallel()
	script := completeAfter(20 * time.Millisecond)
	a, b, c := startWorker(t, "a", script), startWorker(t, "b", script), startWorker(t, "c", script)
	n, back := startWhileDiscoveryFails(t, a, b, c)
	back(50, a)
	n.waitFor("the doubt", func() bool { return n.metric("list_doubted") == 1 })
	n.waitFor("discovery's list", func() bool { return n.metricText("list_source") == "discovery" && n.metric("targets") == 1 })
	n.waitUntilServed("k")
}

// A worker that is named with a later start is new, and cold; one whose id and address are new too.
func TestEndpointCache_restartedWorkers(t *testing.T) {
	t.Parallel()
	script := completeAfter(20 * time.Millisecond)
	a, b := startWorker(t, "a", script), startWorker(t, "b", script)
	n, back := startWhileDiscoveryFails(t, a, b)
	a.startedAtMS, b.id = time.Now().UnixMilli(), "b2"
	back(50, a, b)
	n.waitFor("discovery's list", func() bool { return n.metricText("list_source") == "discovery" })
	n.waitFor("nothing taken for what it was", func() bool { return strings.Contains(n.log(), "in force\" known=2 same_incarnation=0") })
	n.waitUntilServed("k")
}

// While one process replaces another that still trusts its saved list, the successor begins from that too, and neither
// tears the other's files.
func TestEndpointCache_handover(t *testing.T) {
	t.Parallel()
	a := startWorker(t, "a", completeAfter(20*time.Millisecond))
	dir := t.TempDir()
	writeCachedList(t, dir, time.Hour, nil, a)
	n := startFromCache(t, dir, nil)
	n.waitUntilServed("first")
	m := n.startSuccessor(savedListBlock(dir))
	if m.metricText("list_source") != "saved" {
		t.Errorf("source %q", m.metricText("list_source"))
	}
	n.waitForHandovers(1)
	n.command.Process.Signal(syscall.SIGTERM)
	n.waitForExit(time.Now().Add(5 * time.Second))
	m.waitUntilServed("second")
	if code, out, _ := runCommand(t, "saved", "verify", dir); code != 0 {
		t.Errorf("saved verify: %s", out)
	}
}
