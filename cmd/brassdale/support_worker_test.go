package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// jobHandler answers a job that has been read from the connection; the header "Body" has the body. It may close the connection.
type jobHandler func(worker *testWorker, conn net.Conn, r *http.Request)

// testWorker is a worker that answers jobs by its handler. It answers probes by itself.
type testWorker struct {
	id, cell, phase string // as in its line of the endpoint list
	startedAtMS     int64  // Unix time in milliseconds; 0 for a start long ago
	listener        net.Listener
	handler         jobHandler
	abandoned       chan string // Req-Id of each job of respondThenStall for which the dispatcher has closed the connection
	failsProbes     atomic.Bool // probes are answered 503, as a draining worker answers them

	mu                sync.Mutex
	connections, jobs int
	runs              map[string]int // number of received jobs by key
}

// startWorker starts an active worker in cell 1.
func startWorker(t testing.TB, id string, handler jobHandler) *testWorker {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	worker := &testWorker{id: id, cell: "1", phase: "active", listener: listener, handler: handler, runs: map[string]int{}, abandoned: make(chan string, 64)}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			worker.mu.Lock()
			worker.connections++
			worker.mu.Unlock()
			go worker.serve(conn)
		}
	}()
	return worker
}

// runsOf returns how often the worker has received a key.
func (w *testWorker) runsOf(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[key]
}

// serve answers the requests on a connection until it ends.
func (w *testWorker) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/stats" && w.failsProbes.Load() {
			fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if r.URL.Path == "/stats" {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\nutil=0.1,queue=0,x0=5,x1=5")
			continue
		}
		r.Header.Set("Body", string(body))
		w.mu.Lock()
		w.jobs++
		w.runs[r.Header.Get("Idempotency-Key")]++
		w.mu.Unlock()
		w.handler(w, conn, r)
	}
}

// connectionCount returns how many connections the worker has accepted.
func (w *testWorker) connectionCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.connections
}

// jobCount returns how many jobs the worker has received.
func (w *testWorker) jobCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs
}

// runsPerKey returns how often the worker has received each key.
func (w *testWorker) runsPerKey() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.runs)
}

// listedWorker returns a worker for endpoint lists with the address of this listener. It does not serve the listener.
func listedWorker(id string, listener net.Listener) *testWorker {
	return &testWorker{id: id, cell: "1", phase: "active", listener: listener}
}

// startWorkers starts this number of workers, all with the same handler.
func startWorkers(t testing.TB, count int, handler jobHandler) (workers []*testWorker) {
	t.Helper()
	for i := range count {
		workers = append(workers, startWorker(t, fmt.Sprint("worker-", i), handler))
	}
	return workers
}

// startNamedWorkers starts a worker for each ID, all with the same handler.
func startNamedWorkers(t testing.TB, handler jobHandler, ids ...string) (workers []*testWorker) {
	t.Helper()
	for _, id := range ids {
		workers = append(workers, startWorker(t, id, handler))
	}
	return workers
}

// totalJobs returns the total number of jobs that these workers have received.
func totalJobs(workers ...*testWorker) (sum int) {
	for _, worker := range workers {
		sum += worker.jobCount()
	}
	return sum
}

// jobMessage returns a line of a worker's answer, with further JSON members.
func jobMessage(id, members string) string {
	return fmt.Sprintf("{\"id\":%q,\"from\":\"s\",%s}\n", id, members)
}

// writeHead starts a chunked answer.
func writeHead(conn net.Conn, contentType string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n", contentType)
}

// writeChunk writes a chunk of a chunked answer.
func writeChunk(conn net.Conn, text string) { fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text) }

// writeLastChunk ends a chunked answer.
func writeLastChunk(conn net.Conn) { io.WriteString(conn, "0\r\n\r\n") }

// respondWith answers a job with these messages.
func respondWith(messages ...string) jobHandler {
	return func(_ *testWorker, conn net.Conn, r *http.Request) {
		writeMessages(conn, r, messages)
		writeLastChunk(conn)
	}
}

// respondRaw answers a job with this text, which need not be HTTP, and closes the connection.
func respondRaw(text string) jobHandler {
	return func(_ *testWorker, conn net.Conn, _ *http.Request) {
		io.WriteString(conn, text)
		conn.Close()
	}
}

// respondThenStall answers a job with these messages and writes no more until the dispatcher closes the connection.
func respondThenStall(messages ...string) jobHandler {
	return func(worker *testWorker, conn net.Conn, r *http.Request) {
		writeMessages(conn, r, messages)
		io.Copy(io.Discard, conn)
		worker.abandoned <- r.Header.Get("Req-Id")
	}
}

// writeMessages starts a chunked answer and writes these messages.
func writeMessages(conn net.Conn, r *http.Request, messages []string) {
	writeHead(conn, "application/json")
	for _, message := range messages {
		writeChunk(conn, jobMessage(r.Header.Get("Req-Id"), message))
	}
}

// stallOnStuckKeys starts jobs whose key begins with "stuck" but never finishes them; it completes all others.
func stallOnStuckKeys(worker *testWorker, conn net.Conn, r *http.Request) {
	if strings.HasPrefix(r.Header.Get("Idempotency-Key"), "stuck") {
		respondThenStall(`"state":"started"`)(worker, conn, r)
	}
	completeJob(worker, conn, r)
}

// completeJob answers a job with a start, progress and a result.
var completeJob = respondWith(`"state":"started"`, `"state":"running","share":0.5`, `"state":"done","result":"priced"`)

// completeWhenReleased completes a job once the channel is closed.
func completeWhenReleased(release <-chan struct{}) jobHandler {
	return func(worker *testWorker, conn net.Conn, r *http.Request) {
		<-release
		completeJob(worker, conn, r)
	}
}

// completeAfter reports the start of a job at once, and its result after the runtime.
func completeAfter(runtime time.Duration) jobHandler {
	return func(_ *testWorker, conn net.Conn, r *http.Request) {
		writeHead(conn, "application/json")
		writeChunk(conn, jobMessage(r.Header.Get("Req-Id"), `"state":"started"`))
		time.Sleep(runtime)
		writeChunk(conn, jobMessage(r.Header.Get("Req-Id"), `"state":"done","result":"priced"`))
		writeLastChunk(conn)
	}
}

// completeAtOnce answers a job with only the result, not chunked.
func completeAtOnce(_ *testWorker, conn net.Conn, r *http.Request) {
	body := jobMessage(r.Header.Get("Req-Id"), `"state":"done","result":"priced"`)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// arrivals records when a worker received its last job.
type arrivals struct {
	mu   sync.Mutex
	last time.Time
}

// recording returns a handler that records the arrival of a job before it calls the given handler.
func (a *arrivals) recording(handler jobHandler) jobHandler {
	return func(worker *testWorker, conn net.Conn, r *http.Request) {
		a.mu.Lock()
		a.last = time.Now()
		a.mu.Unlock()
		handler(worker, conn, r)
	}
}

// lastSince returns the time from a moment to the last job that the worker received.
func (a *arrivals) lastSince(moment time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last.Sub(moment)
}

// checkNoneAfter checks that the drained worker received no job later than the limit after the drain.
func (a *arrivals) checkNoneAfter(t *testing.T, drainedAt time.Time, limit time.Duration) {
	t.Helper()
	if last := a.lastSince(drainedAt); last > limit {
		t.Errorf("the drained worker received a job %v after the drain, more than %v", last, limit)
	}
}
