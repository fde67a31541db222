package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// A connection rests behind an answer: a worker's second answer, some milliseconds late, is not taken for the next job's.
// Here the worker says it in the very moment in which a job would come too early on the same connection.
func TestWorkerConnection_secondAnswerDiscarded(t *testing.T) {
	t.Parallel()
	const rest = 20 * time.Millisecond
	var mu sync.Mutex
	answered := map[string]time.Time{} // by the connection's other end
	worker := startWorker(t, "a", func(worker *testWorker, conn net.Conn, r *http.Request) {
		mu.Lock()
		last, again := answered[conn.RemoteAddr().String()]
		mu.Unlock()
		if again && time.Since(last) < rest { // the second answer of the job before
			io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
			return
		}
		mu.Lock()
		answered[conn.RemoteAddr().String()] = time.Now()
		mu.Unlock()
		completeJob(worker, conn, r)
	})
	dispatcher := startDispatcher(t, "", worker)
	for i := range 20 {
		if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, fmt.Sprint(i))); status != 200 {
			t.Fatalf("job %d, right behind another's answer: %d", i, status)
		}
	}
}

// Connections are used again once they have rested; one that its endpoint closed while it was idle carries nothing.
func TestWorkerConnection_reuse(t *testing.T) {
	t.Parallel()
	kept := startWorker(t, "a", completeJob)
	dispatcher := startDispatcher(t, "", kept)
	dispatcher.send(newRequest(dispatcher.http1URL, "first"))
	for i := range 5 {
		time.Sleep(40 * time.Millisecond) // the rest, which is part of what is tested
		dispatcher.send(newRequest(dispatcher.http1URL, fmt.Sprint(i)))
	}
	if conns, _ := kept.count(); conns > 2 { // one for jobs, perhaps one more for a probe at that moment
		t.Errorf("%d connections for 6 jobs in turn", conns)
	}
	closing := startWorker(t, "b", func(worker *testWorker, conn net.Conn, r *http.Request) {
		completeJob(worker, conn, r)
		conn.Close()
		worker.abandoned <- ""
	})
	dispatcher = startDispatcher(t, "", closing)
	for i := range 5 {
		if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, fmt.Sprint(i))); status != 200 {
			t.Errorf("job %d behind a closed connection: %d", i, status)
		}
		<-closing.abandoned
	}
	if _, jobs := closing.count(); jobs != 5 {
		t.Errorf("%d jobs came, want 5", jobs)
	}
}
