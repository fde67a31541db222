package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// asOneOfEighty is a change of the platform's file to the file of one of 80 dispatchers.
var asOneOfEighty = withSetting(`"replicasOfMe":1`, `"replicasOfMe":80,"ordinal":7`)

// TestWorkers_mostReplaced checks that all requests are served while six of ten workers are replaced. The new workers have new IDs; the old
// ones keep their connections open but no longer answer. Once the new list is known, the old workers get no requests.
func TestWorkers_mostReplaced(t *testing.T) {
	t.Parallel()
	var silent atomic.Bool
	workers := make([]*testWorker, 10)
	for i := range workers {
		workers[i] = startWorker(t, fmt.Sprint("old-", i), func(worker *testWorker, conn net.Conn, r *http.Request) {
			if i < 6 && silent.Load() {
				respondThenStall()(worker, conn, r)
				return
			}
			completeJob(worker, conn, r)
		})
		workers[i].abandoned = make(chan string, 1000)
	}
	dispatcher := startDispatcherWith(t, "", asOneOfEighty, workers...)
	if served := dispatcher.sendMany("before", 100); served != 100 {
		t.Errorf("%d of 100 requests served before the replacement, want all", served)
	}
	silent.Store(true) // the old workers no longer answer, but are still listed
	if served := dispatcher.sendMany("unlisted", 100); served != 100 {
		t.Errorf("%d of 100 requests served before the new list, want all", served)
	}
	startedAtMS := time.Now().UnixMilli()
	replaced := slices.Clone(workers[6:])
	for i := range 6 {
		worker := startWorker(t, fmt.Sprint("new-", i), completeJob)
		worker.startedAtMS = startedAtMS
		replaced = append(replaced, worker)
	}
	dispatcher.discovery.update(func() { dispatcher.discovery.workers = replaced })
	dispatcher.waitForLog("revision=2")
	dispatcher.sendMany("listed", 1) // once it is answered, the scheduler has the list
	before := totalJobs(workers[:6]...)
	if served := dispatcher.sendMany("after", 100); served != 100 {
		t.Errorf("%d of 100 requests served after the new list, want all", served)
	}
	if after := totalJobs(workers[:6]...); after != before {
		t.Errorf("%d requests at workers that are no longer listed, want 0", after-before)
	}
}

// TestWorkers_connectionsRefused checks that no request fails if two of six workers refuse connections, and that the dispatcher tries to
// connect to these two at most 20 times during 200 requests.
func TestWorkers_connectionsRefused(t *testing.T) {
	t.Parallel()
	workers := startWorkers(t, 6, completeJob)
	workers[0].listener.Close()
	workers[1].listener.Close()
	dispatcher := startDispatcherWith(t, "", asOneOfEighty, workers...)
	if served := dispatcher.sendMany("k", 200); served != 200 {
		t.Errorf("%d of 200 requests served, want all", served)
	}
	if times := strings.Count(dispatcher.log(), "unreachable"); times == 0 || times > 20 {
		t.Errorf("workers were logged as unreachable %d times, want 1 to 20", times)
	}
}

// TestWorkers_noneListens checks that a request which reached no worker is rejected with advice to retry after 2 s.
func TestWorkers_noneListens(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", completeJob)
	worker.listener.Close()
	dispatcher := startDispatcher(t, "", worker)
	if status, _, after := dispatcher.sendKey("k"); status != 503 || after != "2" {
		t.Errorf("status %d, Retry-After %q, want 503 and 2", status, after)
	}
}

// TestWorkerAnswers_mappedToStatus checks the status and the advice to retry for each kind of answer of the only worker: 200 only for a
// result, and 503 with advice to retry only for a job that never ran.
func TestWorkerAnswers_mappedToStatus(t *testing.T) {
	t.Parallel()
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct {
		handler jobHandler
		status  int
	}{
		"failed":            {respondWith(`"state":"failed"`), 502},
		"500":               {respondRaw("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), 502},
		"404":               {respondRaw("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"), 502},
		"lost":              {respondWith(`"state":"started"`, `"state":"lost"`), 502},
		"cut at once":       {respondRaw(""), 502},
		"cut in a line":     {respondRaw(chunked + "5\r\n{\"id\"\r\n"), 502},
		"no last line":      {respondWith(`"state":"started"`), 502},
		"no JSON":           {respondRaw(chunked + "4\r\nno!\n\r\n0\r\n\r\n"), 502},
		"no HTTP":           {respondRaw("hello\r\n\r\n"), 502},
		"unknown state":     {respondWith(`"state":"melted"`), 502},
		"done, no result":   {respondWith(`"state":"done"`), 502},
		"other job's":       {respondRaw(chunked + "29\r\n{\"id\":\"x\",\"state\":\"done\",\"result\":\"priced\"}\r\n0\r\n\r\n"), 502},
		"returned":          {respondWith(`"state":"returned"`), 503},
		"declined":          {respondRaw("HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"), 503},
		"503, not declined": {respondRaw("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"), 502},
		"result and load":   {respondWith(`"state":"done","result":"priced","load":{"util":0.2,"new":"x"}`), 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dispatcher := startDispatcher(t, "", startWorker(t, "a", test.handler))
			status, body, after := dispatcher.sendKey("k")
			if status != test.status || (status == 503) != (after != "") {
				t.Errorf("status %d %q, Retry-After %q, want status %d, and Retry-After with 503 only", status, body, after, test.status)
			}
		})
	}
}

// TestAffinity_sameUserSameWorker checks that one worker gets all three requests of a user, because it has the user's data after the first
// request.
func TestAffinity_sameUserSameWorker(t *testing.T) {
	t.Parallel()
	workers := startNamedWorkers(t, completeJob, "a", "b", "c", "d")
	dispatcher := startDispatcher(t, "", workers...)
	for i := range 3 {
		dispatcher.sendKey(fmt.Sprint(i), "Cookie", "theme=dark; user=7f3a9c21e0b4d655")
	}
	for _, worker := range workers {
		if jobs := worker.jobCount(); jobs != 0 && jobs != 3 {
			t.Errorf("%d of 3 requests of one user at worker %s, want none or all", jobs, worker.id)
		}
	}
}
