package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestDiscovery_drainAndFailedCalls checks that a worker that is listed as draining gets no new requests, and that requests are served
// while discovery fails.
func TestDiscovery_drainAndFailedCalls(t *testing.T) {
	t.Parallel()
	workerA, workerB := startWorker(t, "a", completeJob), startWorker(t, "b", completeJob)
	dispatcher := startDispatcher(t, "", workerA, workerB)
	discovery := dispatcher.discovery
	polledAfter := func(revision int) func() bool {
		return func() bool {
			discovery.mu.Lock()
			defer discovery.mu.Unlock()
			return len(discovery.calls) > 0 && discovery.calls[len(discovery.calls)-1].index == revision
		}
	}
	dispatcher.waitFor("a call after revision 1", polledAfter(1))
	discovery.update(func() { workerA.phase = "leaving" })
	dispatcher.waitFor("a call after revision 2", polledAfter(2))
	before := workerA.jobCount()
	dispatcher.checkServed("", 6)
	if jobs := workerA.jobCount(); jobs != before {
		t.Errorf("%d requests at a draining worker, want 0", jobs-before)
	}
	discovery.update(func() { discovery.failing, workerA.phase = true, "active" })
	dispatcher.waitForLog("discovery call failed")
	if status, _, _ := dispatcher.sendKey("x"); status != 200 {
		t.Errorf("while discovery fails: status %d, want 200", status)
	}
	discovery.update(func() { discovery.failing = false })
	dispatcher.waitForLog("revision=4")
}

// TestDiscovery_hangingWatch checks that a change is known within 4.5 s if it happens while a watch hangs. The change counts as notified
// 2 s after the wait time of the watch, and the drain grace period is 500 ms.
func TestDiscovery_hangingWatch(t *testing.T) {
	t.Parallel()
	workerA, workerB := startWorker(t, "a", completeJob), startWorker(t, "b", completeJob)
	dispatcher := startDispatcher(t, "", workerA, workerB)
	discovery := dispatcher.discovery
	dispatcher.waitFor("a call", func() bool { return discovery.callCount() > 0 })
	discovery.update(func() { discovery.hanging = true })
	calls := discovery.callCount()
	changedAt := time.Now() // the hanging call began before this
	discovery.update(func() { workerA.phase = "leaving" })
	dispatcher.waitFor("a further call", func() bool { return discovery.callCount() > calls })
	discovery.update(func() { discovery.hanging = false })
	dispatcher.waitForLog("revision=4")
	if took := time.Since(changedAt); took > 4500*time.Millisecond {
		t.Errorf("the list was read %v after the change, more than 4.5 s", took)
	}
}

// TestDiscovery_watchSilentFromStart checks that one of 300 dispatchers knows of a change within 6 s even if its first watch is never
// answered, regardless of its random delays.
func TestDiscovery_watchSilentFromStart(t *testing.T) {
	t.Parallel()
	workerA, workerB := startWorker(t, "a", completeJob), startWorker(t, "b", completeJob)
	dispatcher := startDispatcherWith(t, "", withSetting(`"replicasOfMe":1`, `"replicasOfMe":300`), workerA, workerB)
	discovery := dispatcher.discovery
	dispatcher.waitForWatch()
	discovery.mu.Lock()
	discovery.silentCalls = len(discovery.calls) // no open call is answered
	discovery.mu.Unlock()
	changedAt := time.Now()
	discovery.update(func() { workerA.phase = "leaving" })
	dispatcher.waitForLog("revision=2")
	if took := time.Since(changedAt); took > 6*time.Second {
		t.Errorf("the change was known after %v, more than 6 s", took)
	}
}

// TestDiscovery_downWhileDescriptorsAreExhausted checks that idle clients cannot use the descriptors that are reserved for discovery,
// workers and the admin API. While discovery fails, they open more connections than there are descriptors: the admin API answers, the open
// request is not lost, further requests are served, and the list is read within 2 s of discovery's return.
func TestDiscovery_downWhileDescriptorsAreExhausted(t *testing.T) {
	t.Parallel()
	const sockets = 128
	release := make(chan struct{})
	worker := startWorker(t, "a", func(worker *testWorker, conn net.Conn, r *http.Request) {
		if r.Header.Get("Idempotency-Key") == "open" {
			<-release
		}
		completeJob(worker, conn, r)
	})
	dispatcher := newTestDispatcher(t, newTestDiscovery(worker))
	dispatcher.descriptorLimit = sockets
	dispatcher.start("", withSetting(`"sockets":1024`, fmt.Sprint(`"sockets":`, sockets)))
	open := dispatcher.sendInBackground(worker, "open")
	discovery := dispatcher.discovery
	discovery.update(func() { discovery.failing = true })
	dispatcher.waitForLog("discovery call failed")
	for range 3 * sockets {
		dispatcher.dial()
	}
	dispatcher.waitForLog("client connections evicted")
	if requests := dispatcher.metric("concurrent"); requests != 1 {
		t.Errorf("%d open requests, want 1", requests)
	}
	if status, _, _ := dispatcher.sendKey("further"); status != 200 {
		t.Errorf("a further request: status %d, want 200", status)
	}
	discovery.update(func() { discovery.failing = false })
	recoveredAt := time.Now()
	dispatcher.waitForLog("discovery recovered")
	if took := time.Since(recoveredAt); took > 2*time.Second {
		t.Errorf("the list was read %v after discovery's return, more than 2 s", took)
	}
	close(release)
	if status := <-open; status != 200 {
		t.Errorf("the open request: status %d, want 200", status)
	}
	if strings.Contains(dispatcher.log(), "too many open files") {
		t.Error("the process ran out of descriptors")
	}
}

// TestDiscovery_invalidLists checks that an invalid list of 60 or 5,000 lines is rejected as a whole: requests are served by the previous
// list, and the same fault is logged once. A valid list is then applied at once.
func TestDiscovery_invalidLists(t *testing.T) {
	t.Parallel()
	line := func(index int, members string) string {
		return fmt.Sprintf(`{"id":"ghost-%d","host_port":"127.0.0.1:1","locality":"llanelli","flavor":"new-worker","cell":1,"size":1.0,"up_since_ms":0,%s}`, index, members)
	}
	list := func(length int, last string) string {
		var lines []string
		for i := range length - 1 {
			lines = append(lines, line(i, `"phase":"active"`))
		}
		return fmt.Sprintf(`{"revision":99,"complete":true,"members":[%s]}`, strings.Join(append(lines, last), ","))
	}
	for name, corrupt := range map[string]func(string) string{
		"an unknown phase": func(string) string { return list(60, line(59, `"phase":"resting"`)) },
		"no address":       func(string) string { return list(60, `{"id":"x","phase":"active"}`) },
		"a member twice":   func(string) string { return list(60, line(7, `"phase":"active"`)) },
		"twice in 5,000":   func(string) string { return list(5000, line(7, `"phase":"leaving"`)) },
		"not a number":     func(string) string { return list(5000, `{"id":"x","host_port":"h:1","phase":"active","size":"big"}`) },
		"half a list":      func(good string) string { return good[:len(good)/2] },
		"nothing":          func(string) string { return "" },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			workerA, workerB := startWorker(t, "a", completeJob), startWorker(t, "b", completeJob)
			dispatcher := startDispatcher(t, "", workerA)
			discovery := dispatcher.discovery
			discovery.update(func() { discovery.workers, discovery.corrupt = []*testWorker{workerB}, corrupt })
			for i, before := 0, discovery.callCount(); discovery.callCount() < before+3; i++ {
				if status, _, _ := dispatcher.sendKey(fmt.Sprint("k-", i)); status != 200 {
					t.Fatalf("request %d: status %d, want 200", i, status)
				}
			}
			dispatcher.waitForLog("discovery call failed")
			if times := strings.Count(dispatcher.log(), "discovery call failed"); times != 1 {
				t.Errorf("the fault was logged %d times, want once", times)
			}
			if jobs := workerB.jobCount(); jobs > 0 {
				t.Error("a worker that only the invalid list contains received a request")
			}
			discovery.update(func() { discovery.corrupt = nil })
			dispatcher.waitForLog("discovery recovered")
			if status, _, _ := dispatcher.sendKey("after"); status != 200 {
				t.Errorf("after the valid list: status %d, want 200", status)
			}
			if jobs := workerB.jobCount(); jobs != 1 {
				t.Errorf("%d requests at the worker of the valid list, want 1", jobs)
			}
		})
	}
}
