package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// replicatedDiscovery is a discovery service whose list changes at once at some replicas and later at others.
type replicatedDiscovery struct {
	mu    sync.Mutex
	lists []publishedList // by revision
	calls atomic.Int64
}

type publishedList struct {
	publishedAt time.Time
	members     string
}

func (d *replicatedDiscovery) publish(members string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.lists = append(d.lists, publishedList{now, members})
	return now
}

// seen gives the newest revision that a replica has which lags by so much.
func (d *replicatedDiscovery) listAt(lag time.Duration) (revision int, members string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, l := range d.lists {
		if i == 0 || time.Since(l.publishedAt) >= lag {
			revision, members = i+1, l.members
		}
	}
	return revision, members
}

// replica serves the list as it was a while ago; how long, it is asked at each call.
func (d *replicatedDiscovery) startReplica(t *testing.T, lag func() time.Duration) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.calls.Add(1)
		behind := lag()
		index, err := strconv.Atoi(r.URL.Query().Get("index"))
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
		over := time.Now().Add(time.Duration(wait) * time.Millisecond)
		revision, members := d.listAt(behind)
		for err == nil && revision == index && time.Now().Before(over) && r.Context().Err() == nil {
			time.Sleep(5 * time.Millisecond)
			revision, members = d.listAt(behind)
		}
		if err == nil && revision == index {
			fmt.Fprintf(w, `{"revision":%d,"complete":false,"members":[]}`, revision)
			return
		}
		io.WriteString(w, fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, revision, members))
	}))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

func constantLag(lag time.Duration) func() time.Duration { return func() time.Duration { return lag } }

// A worker had begun to drain, or had left, and the dispatcher knew it. A new configuration moved discovery to a replica that
// was behind. Its first list had the worker as active, and was believed: 1,017 to 1,703 requests went to the worker behind
// the grace, the last 2.5 s behind the drain. A list says nothing of when it was composed, and revisions of two services cannot
// be compared. So a drain or an end that is known is taken back only by what must be newer.
func TestDrain_moveToLaggingReplica(t *testing.T) {
	t.Parallel()
	for _, last := range []string{"leaving", "left"} {
		t.Run(last, func(t *testing.T) {
			t.Parallel()
			var arrived arrivals
			workerA, workerB := startWorker(t, "a", arrived.recording(completeJob)), startWorker(t, "b", completeJob)
			before, after := memberJSON(workerA, "active")+","+memberJSON(workerB, "active"), memberJSON(workerA, "leaving")+","+memberJSON(workerB, "active")
			if last == "left" {
				after = memberJSON(workerB, "active")
			}
			var discovery replicatedDiscovery
			discovery.publish(before)
			dispatcher := &testDispatcher{t: t, exited: make(chan struct{})}
			dispatcher.startProcess(dispatcherConfig(0, 1, discovery.startReplica(t, constantLag(0)), before), "")
			dispatcher.waitUntilReady("")
			stop, wait := make(chan struct{}), sync.WaitGroup{}
			dispatcher.sendSteadily("job", 5*time.Millisecond, stop, &wait)
			time.Sleep(time.Second)
			drained := discovery.publish(after)
			time.Sleep(time.Second)
			dispatcher.reload(withDiscoveryAddress(dispatcher.config, discovery.startReplica(t, constantLag(4*time.Second))))
			time.Sleep(3 * time.Second)
			close(stop)
			wait.Wait()
			if !strings.Contains(dispatcher.log(), "msg=\"settings reloaded\"") {
				t.Error("discovery was not moved")
			}
			if last := arrived.lastSince(drained); last > time.Second+drainGraceAndSlack {
				t.Errorf("a job came to the worker %v behind its end, %v behind the move", last, last-time.Second)
			}
		})
	}
}

// Every other answer of discovery was of a replica that lagged. Each answer with a lower revision had the whole list asked for
// 0.1 s later, and an answer that told nothing new counted like a fresh one: 223 calls in 16 s, 20 a second at the end, where 8
// to 12 do. With 300 dispatchers such a discovery is down, and stays so.
func TestDiscovery_callRateAtLaggingReplicas(t *testing.T) {
	t.Parallel()
	for name, lag := range map[string]func() func() time.Duration{
		"every other answer": func() func() time.Duration {
			var calls atomic.Int64
			return func() time.Duration { return time.Duration(calls.Add(1)%2) * time.Hour }
		},
		"behind the first answer": func() func() time.Duration {
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
			dispatcher := &testDispatcher{t: t, exited: make(chan struct{})}
			dispatcher.startProcess(dispatcherConfig(0, 1, discovery.startReplica(t, lag()), before), "")
			dispatcher.waitUntilReady("")
			time.Sleep(12 * time.Second)
			if calls := discovery.calls.Load(); calls > 30 {
				t.Errorf("%d calls in 12 s", calls)
			}
		})
	}
}
