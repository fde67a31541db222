package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Nothing new goes to an endpoint that the watch told to be leaving; a failing discovery changes nothing.
func TestDiscovery_drainAndFailedCalls(t *testing.T) {
	t.Parallel()
	workerA, workerB := startWorker(t, "a", completeJob), startWorker(t, "b", completeJob)
	dispatcher := startDispatcher(t, "", workerA, workerB)
	discovery := dispatcher.discovery
	asked := func(revision int) func() bool {
		return func() bool {
			discovery.mu.Lock()
			defer discovery.mu.Unlock()
			return len(discovery.polledRevisions) > 0 && discovery.polledRevisions[len(discovery.polledRevisions)-1] == revision
		}
	}
	dispatcher.waitFor("a watch", asked(1))
	discovery.update(func() { workerA.phase = "leaving" })
	dispatcher.waitFor("the next watch", asked(2))
	_, before := workerA.count()
	for i := range 6 {
		if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, fmt.Sprint(i))); status != 200 {
			t.Errorf("job %d: %d", i, status)
		}
	}
	if _, jobs := workerA.count(); jobs != before {
		t.Errorf("%d jobs went to an endpoint that leaves", jobs-before)
	}
	discovery.update(func() { discovery.failing, workerA.phase = true, "active" })
	dispatcher.waitFor("a failed call", func() bool { return strings.Contains(dispatcher.log(), "discovery call failed") })
	if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, "x")); status != 200 {
		t.Errorf("while discovery is down: %d", status)
	}
	discovery.update(func() { discovery.failing = false })
	dispatcher.waitFor("the list after the failure", func() bool { return strings.Contains(dispatcher.log(), "revision=4") })
}

// A watch that hangs is given up soon enough: what discovery has to tell counts as told 2 s after the wait that was
// asked for, and nothing may go to an endpoint that leaves 500 ms after that. It once took 2.6 s and longer.
func TestDiscovery_hangingWatch(t *testing.T) {
	t.Parallel()
	workerA, workerB := startWorker(t, "a", completeJob), startWorker(t, "b", completeJob)
	dispatcher := startDispatcher(t, "", workerA, workerB)
	discovery := dispatcher.discovery
	asked := func() int { discovery.mu.Lock(); defer discovery.mu.Unlock(); return len(discovery.polledRevisions) }
	dispatcher.waitFor("a watch", func() bool { return asked() > 0 })
	discovery.update(func() { discovery.hanging = true })
	calls := asked()
	begin := time.Now() // the call that hangs was made before
	discovery.update(func() { workerA.phase = "leaving" })
	dispatcher.waitFor("a further call", func() bool { return asked() > calls })
	discovery.update(func() { discovery.hanging = false })
	dispatcher.waitFor("the list", func() bool { return strings.Contains(dispatcher.log(), "revision=4") })
	if took := time.Since(begin); took > 4500*time.Millisecond {
		t.Errorf("the list came after %v", took)
	}
}

// A watch that has fallen silent from the first second on, as one of three hundred dispatchers sees it: what drains right
// after it began is told within six seconds, whatever the chance drawn, and gets nothing later.
func TestDiscovery_watchSilentFromStart(t *testing.T) {
	t.Parallel()
	workerA, workerB := startWorker(t, "a", completeJob), startWorker(t, "b", completeJob)
	dispatcher := startDispatcherWith(t, "", func(config string) string {
		return strings.Replace(config, `"replicasOfMe":1`, `"replicasOfMe":300`, 1)
	}, workerA, workerB)
	discovery := dispatcher.discovery
	dispatcher.waitFor("a watch", func() bool {
		discovery.mu.Lock()
		defer discovery.mu.Unlock()
		return len(discovery.pollWaits) > 0 && discovery.pollWaits[len(discovery.pollWaits)-1] > 0
	})
	discovery.mu.Lock()
	discovery.silentCalls = len(discovery.polledRevisions) // all that are open hang for ever
	discovery.mu.Unlock()
	begin := time.Now()
	discovery.update(func() { workerA.phase = "leaving" })
	dispatcher.waitFor("the drain told", func() bool { return strings.Contains(dispatcher.log(), "revision=2") })
	if took := time.Since(begin); took > 6*time.Second {
		t.Errorf("told after %v", took)
	}
}

// While discovery is down idle clients open more connections than there are descriptors. Room that is kept for discovery,
// workers and the operators' door stays free: the door answers, a job that is out is not lost, further ones are served, and
// when discovery is back its list is read.
func TestDiscovery_downWhileDescriptorsAreExhausted(t *testing.T) {
	t.Parallel()
	const sockets = 128
	release := make(chan struct{})
	worker := startWorker(t, "a", func(worker *testWorker, conn net.Conn, r *http.Request) {
		if r.Header.Get("Idempotency-Key") == "out" {
			<-release
		}
		completeJob(worker, conn, r)
	})
	dispatcher := &testDispatcher{t: t, discovery: &testDiscovery{revision: 1, workers: []*testWorker{worker}, changed: make(chan struct{})}, exited: make(chan struct{}), descriptorLimit: sockets}
	dispatcher.start("", func(config string) string {
		return strings.Replace(config, `"sockets":1024`, fmt.Sprint(`"sockets":`, sockets), 1)
	})
	out := dispatcher.sendInBackground(worker, "out")
	dispatcher.discovery.update(func() { dispatcher.discovery.failing = true })
	dispatcher.waitFor("a failed call", func() bool { return strings.Contains(dispatcher.log(), "discovery call failed") })
	for range 3 * sockets {
		dispatcher.dial()
	}
	dispatcher.waitFor("evicted client connections", func() bool { return strings.Contains(dispatcher.log(), "client connections evicted") })
	if got := dispatcher.metric("concurrent"); got != 1 {
		t.Errorf("at the door: %d jobs open", got)
	}
	if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, "further")); status != 200 {
		t.Errorf("a further job: %d", status)
	}
	dispatcher.discovery.update(func() { dispatcher.discovery.failing = false })
	begin := time.Now()
	dispatcher.waitFor("the list", func() bool { return strings.Contains(dispatcher.log(), "discovery recovered") })
	if took := time.Since(begin); took > 2*time.Second {
		t.Errorf("the list was read %v behind discovery's return", took)
	}
	close(release)
	if status := <-out; status != 200 {
		t.Errorf("the job that was out: %d", status)
	}
	if strings.Contains(dispatcher.log(), "too many open files") {
		t.Error("out of descriptors")
	}
}

// A list with a fault is refused as a whole: the old one holds, at 60 lines and at 5,000, jobs go on, and the fault is
// logged once however often it comes. A good list then is in force at once.
func TestDiscovery_invalidLists(t *testing.T) {
	t.Parallel()
	line := func(i int, rest string) string {
		return fmt.Sprintf(`{"id":"ghost-%d","host_port":"127.0.0.1:1","locality":"llanelli","flavor":"new-worker","cell":1,"size":1.0,"up_since_ms":0,%s}`, i, rest)
	}
	list := func(n int, last string) string {
		var lines []string
		for i := range n - 1 {
			lines = append(lines, line(i, `"phase":"active"`))
		}
		return fmt.Sprintf(`{"revision":99,"complete":true,"members":[%s]}`, strings.Join(append(lines, last), ","))
	}
	for name, broken := range map[string]func(string) string{
		"a phase that is none": func(string) string { return list(60, line(59, `"phase":"resting"`)) },
		"no address":           func(string) string { return list(60, `{"id":"x","phase":"active"}`) },
		"a member twice":       func(string) string { return list(60, line(7, `"phase":"active"`)) },
		"twice in 5,000":       func(string) string { return list(5000, line(7, `"phase":"leaving"`)) },
		"no number":            func(string) string { return list(5000, `{"id":"x","host_port":"h:1","phase":"active","size":"big"}`) },
		"half a list":          func(good string) string { return good[:len(good)/2] },
		"nothing":              func(string) string { return "" },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			workerA, workerB := startWorker(t, "a", completeJob), startWorker(t, "b", completeJob)
			dispatcher := startDispatcher(t, "", workerA)
			dispatcher.discovery.update(func() { dispatcher.discovery.workers, dispatcher.discovery.corrupt = []*testWorker{workerB}, broken })
			asked := func() int {
				dispatcher.discovery.mu.Lock()
				defer dispatcher.discovery.mu.Unlock()
				return len(dispatcher.discovery.polledRevisions)
			}
			for i, before := 0, asked(); asked() < before+3; i++ {
				if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, fmt.Sprint("k-", i))); status != 200 {
					t.Fatalf("job %d: %d", i, status)
				}
			}
			dispatcher.waitFor("the fault", func() bool { return strings.Contains(dispatcher.log(), "discovery call failed") })
			if times := strings.Count(dispatcher.log(), "discovery call failed"); times != 1 {
				t.Errorf("logged %d times", times)
			}
			if _, jobs := workerB.count(); jobs > 0 {
				t.Error("a job went to a member of the faulty list")
			}
			dispatcher.discovery.update(func() { dispatcher.discovery.corrupt = nil })
			dispatcher.waitFor("the good list", func() bool { return strings.Contains(dispatcher.log(), "discovery recovered") })
			if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, "after")); status != 200 {
				t.Errorf("after the good list: %d", status)
			}
			if _, jobs := workerB.count(); jobs != 1 {
				t.Errorf("%d jobs at the member of the good list", jobs)
			}
		})
	}
}
