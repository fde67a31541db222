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

// TestWorkerConnection_secondAnswerDiscarded checks that a connection is not reused immediately after an answer. The worker sends a second
// answer to a job if the next job comes within 20 ms. On a reused connection the second answer would be read as the answer to the next job.
func TestWorkerConnection_secondAnswerDiscarded(t *testing.T) {
	t.Parallel()
	const quietPeriod = 20 * time.Millisecond
	var mu sync.Mutex
	answered := map[string]time.Time{} // by the connection's remote address
	worker := startWorker(t, "a", func(worker *testWorker, conn net.Conn, r *http.Request) {
		mu.Lock()
		last, again := answered[conn.RemoteAddr().String()]
		mu.Unlock()
		if again && time.Since(last) < quietPeriod { // the second answer to the previous job
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
		if status, _, _ := dispatcher.sendKey(fmt.Sprint(i)); status != 200 {
			t.Fatalf("request %d, right after another's answer: status %d, want 200", i, status)
		}
	}
}

// TestWorkerConnection_reuse checks that idle connections to a worker are reused, except a connection that the worker has closed.
func TestWorkerConnection_reuse(t *testing.T) {
	t.Parallel()
	keeping := startWorker(t, "a", completeJob)
	dispatcher := startDispatcher(t, "", keeping)
	dispatcher.sendKey("first")
	for i := range 5 {
		time.Sleep(40 * time.Millisecond) // longer than a connection must be idle after an answer before it is reused
		dispatcher.sendKey(fmt.Sprint(i))
	}
	if connections := keeping.connectionCount(); connections > 2 { // one for requests, perhaps one more for a probe
		t.Errorf("%d connections for 6 sequential requests, more than 2", connections)
	}
	closing := startWorker(t, "b", func(worker *testWorker, conn net.Conn, r *http.Request) {
		completeJob(worker, conn, r)
		conn.Close()
		worker.abandoned <- ""
	})
	dispatcher = startDispatcher(t, "", closing)
	for i := range 5 {
		if status, _, _ := dispatcher.sendKey(fmt.Sprint(i)); status != 200 {
			t.Errorf("request %d, after a closed connection: status %d, want 200", i, status)
		}
		<-closing.abandoned
	}
	if jobs := closing.jobCount(); jobs != 5 {
		t.Errorf("%d jobs at the worker, want 5", jobs)
	}
}
