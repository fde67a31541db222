package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestConnectionLimit_waitingIsNotWorkersSilence guards against ejecting a worker as silent while its attempts wait in this process for a
// connection. This happens at the connection limit: the worker has not received these attempts, so it cannot answer them.
func TestConnectionLimit_waitingIsNotWorkersSilence(t *testing.T) {
	t.Parallel()
	const (
		workerConns = 12                     // connections to workers that a process with 64 descriptors may have
		jobTime     = 5 * time.Second        // longer than the settings allow a worker to be silent: 3.3 s
		progress    = 500 * time.Millisecond // interval of progress messages of a running job
	)
	runsLong := func(_ *testWorker, conn net.Conn, r *http.Request) {
		id := r.Header.Get("Req-Id")
		writeHead(conn, "application/json")
		writeChunk(conn, jobMessage(id, `"state":"started"`))
		for range jobTime / progress {
			time.Sleep(progress)
			writeChunk(conn, jobMessage(id, `"state":"running","share":0.5`))
		}
		writeChunk(conn, jobMessage(id, `"state":"done","result":"x"`))
		writeLastChunk(conn)
	}
	busy, unasked := startWorker(t, "busy", runsLong), startWorker(t, "unasked", completeJob)
	dispatcher := startDispatcherWith(t, http2Frontend, func(config string) string {
		return withLongDeadline(withSetting(`"sockets":1024`, `"sockets":64`)(config))
	}, busy)
	client := newHTTP2Client(t)
	var running sync.WaitGroup
	send := func(key string) {
		running.Go(func() {
			if status, _, _ := trySend(client, newRequest(dispatcher.http2URL, key, "Req-Deadline-Ms", "30000")); status != http.StatusOK {
				t.Errorf("request %s: status %d, want 200", key, status)
			}
		})
	}
	send("first") // opens the client's only connection
	dispatcher.waitForRun(busy, "first")
	for i := range workerConns {
		send(fmt.Sprint("long-", i))
	}
	dispatcher.waitForLog("connection limit reached, attempts wait")
	dispatcher.discovery.update(func() { dispatcher.discovery.workers = append(dispatcher.discovery.workers, unasked) })
	dispatcher.waitForLog("endpoints=2")
	for i := range 4 {
		send(fmt.Sprint("waiting-", i))
	}
	running.Wait()
	for line := range strings.Lines(dispatcher.log()) {
		if strings.Contains(line, "worker ejected") {
			t.Errorf("a worker was ejected although no worker was silent: %s", line)
		}
	}
}
