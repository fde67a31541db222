package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// ofMany has the program be one of 80 dispatchers.
func asOneOfEighty(config string) string {
	return strings.Replace(config, `"replicasOfMe":1`, `"replicasOfMe":80,"ordinal":7`, 1)
}

// Six in ten workers are replaced: new ids, and the old machines say nothing more on the connections that stay open.
// Every job is served all the same, also those that the old ones hold, and once the list is told the old get none.
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
		t.Errorf("%d of 100 served before", served)
	}
	silent.Store(true) // the machines are cut off; nobody is told yet
	if served := dispatcher.sendMany("untold", 100); served != 100 {
		t.Errorf("%d of 100 served while nobody was told", served)
	}
	now := time.Now().UnixMilli()
	replaced := append([]*testWorker(nil), workers[6:]...)
	for i := range 6 {
		worker := startWorker(t, fmt.Sprint("new-", i), completeJob)
		worker.startedAtMS = now
		replaced = append(replaced, worker)
	}
	dispatcher.discovery.update(func() { dispatcher.discovery.workers = replaced })
	dispatcher.waitFor("the new list", func() bool { return strings.Contains(dispatcher.log(), "revision=2") })
	dispatcher.sendMany("told", 1) // behind it the module knows
	before := totalJobs(workers[:6]...)
	if served := dispatcher.sendMany("after", 100); served != 100 {
		t.Errorf("%d of 100 served after", served)
	}
	if after := totalJobs(workers[:6]...); after != before {
		t.Errorf("%d jobs at workers that are gone", after-before)
	}
}

// A worker at which connections are refused, as one has only so many, costs no job, and is met less and less.
func TestWorkers_connectionsRefused(t *testing.T) {
	t.Parallel()
	workers := make([]*testWorker, 6)
	for i := range workers {
		workers[i] = startWorker(t, fmt.Sprint("worker-", i), completeJob)
	}
	workers[0].listener.Close()
	workers[1].listener.Close()
	dispatcher := startDispatcherWith(t, "", asOneOfEighty, workers...)
	if served := dispatcher.sendMany("k", 200); served != 200 {
		t.Errorf("%d of 200 served", served)
	}
	if n := strings.Count(dispatcher.log(), "unreachable"); n == 0 || n > 20 {
		t.Errorf("shunned %d times", n)
	}
}

// What reached no endpoint never ran: it is refused, and its client told when to come back.
func TestWorkers_noneListens(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", completeJob)
	worker.listener.Close()
	dispatcher := startDispatcher(t, "", worker)
	if status, _, after := dispatcher.send(newRequest(dispatcher.http1URL, "k")); status != 503 || after != "2" {
		t.Errorf("answered %d, Retry-After %q", status, after)
	}
}

// Only a worker's result makes a 200, only what never ran makes a refusal.
func TestWorkerAnswers_mappedToStatus(t *testing.T) {
	t.Parallel()
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct {
		script func(*testWorker, net.Conn, *http.Request)
		status int
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
			dispatcher := startDispatcher(t, "", startWorker(t, "a", test.script))
			status, body, after := dispatcher.send(newRequest(dispatcher.http1URL, "k"))
			if status != test.status || (status == 503) != (after != "") {
				t.Errorf("answered %d %q, Retry-After %q, want %d", status, body, after, test.status)
			}
		})
	}
}

// Jobs about one thing go to one endpoint: it has fetched what they need.
func TestAffinity_sameUserSameWorker(t *testing.T) {
	t.Parallel()
	workers := []*testWorker{startWorker(t, "a", completeJob), startWorker(t, "b", completeJob), startWorker(t, "c", completeJob), startWorker(t, "d", completeJob)}
	dispatcher := startDispatcher(t, "", workers...)
	for i := range 3 {
		dispatcher.send(newRequest(dispatcher.http1URL, fmt.Sprint(i), "Cookie", "theme=dark; user=7f3a9c21e0b4d655"))
	}
	for _, worker := range workers {
		if _, jobs := worker.count(); jobs != 0 && jobs != 3 {
			t.Errorf("%d of 3 jobs of one user went to %s", jobs, worker.id)
		}
	}
}
