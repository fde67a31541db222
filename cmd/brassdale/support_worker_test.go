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

// worker is an endpoint that does with each job what its script says.
type testWorker struct {
	id, cell, phase   string
	listener          net.Listener
	handler           func(b *testWorker, c net.Conn, r *http.Request)
	mu                sync.Mutex
	connections, jobs int
	runs              map[string]int // by key
	startedAtMS       int64          // when it started, in Unix time; 0 for long ago
	abandoned         chan string    // Req-Id of each job whose connection the dispatcher closed
	failsProbes       atomic.Bool    // it answers probes with 503, as a worker does that drains
}

func startWorker(t testing.TB, id string, script func(*testWorker, net.Conn, *http.Request)) *testWorker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	worker := &testWorker{id: id, cell: "1", phase: "active", listener: listener, handler: script, runs: map[string]int{}, abandoned: make(chan string, 64)}
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

// runs counts the runs of a key at an endpoint.
func (w *testWorker) runsOf(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[key]
}

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

func (w *testWorker) count() (conns, jobs int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.connections, w.jobs
}

// keys gives how often each job came, by its key.
func (w *testWorker) runsPerKey() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.runs)
}

// manyBoxes are enough that all jobs are taken at once.
func startWorkers(t *testing.T, many int, script func(*testWorker, net.Conn, *http.Request)) (workers []*testWorker) {
	for i := range many {
		workers = append(workers, startWorker(t, fmt.Sprint("worker-", i), script))
	}
	return workers
}

// jobsAt is how many jobs came to some workers together.
func totalJobs(workers ...*testWorker) (sum int) {
	for _, worker := range workers {
		_, jobs := worker.count()
		sum += jobs
	}
	return sum
}

// line is a message of an endpoint about a job.
func jobMessage(id, rest string) string {
	return fmt.Sprintf("{\"id\":%q,\"from\":\"s\",%s}\n", id, rest)
}

// head starts a chunked answer, chunk goes on with it, last ends it.
func writeHead(conn net.Conn, kind string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n", kind)
}

func writeChunk(conn net.Conn, text string) { fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text) }

func writeLastChunk(conn net.Conn) { io.WriteString(conn, "0\r\n\r\n") }

// says answers a job with these messages.
func respondWith(messages ...string) func(*testWorker, net.Conn, *http.Request) {
	return func(worker *testWorker, conn net.Conn, r *http.Request) {
		writeHead(conn, "application/json")
		for _, m := range messages {
			writeChunk(conn, jobMessage(r.Header.Get("Req-Id"), m))
		}
		writeLastChunk(conn)
	}
}

// raw answers a job with this text, whatever it is, and ends the connection.
func respondRaw(text string) func(*testWorker, net.Conn, *http.Request) {
	return func(worker *testWorker, conn net.Conn, _ *http.Request) {
		io.WriteString(conn, text)
		conn.Close()
	}
}

// freezes says these messages and then nothing until the dispatcher gives up.
func respondThenStall(messages ...string) func(*testWorker, net.Conn, *http.Request) {
	return func(worker *testWorker, conn net.Conn, r *http.Request) {
		writeHead(conn, "application/json")
		for _, m := range messages {
			writeChunk(conn, jobMessage(r.Header.Get("Req-Id"), m))
		}
		io.Copy(io.Discard, conn)
		worker.abandoned <- r.Header.Get("Req-Id")
	}
}

// sticks freezes in jobs whose key begins with "stuck", once they have started, and works on all others.
func stallOnStuckKeys(worker *testWorker, conn net.Conn, r *http.Request) {
	if strings.HasPrefix(r.Header.Get("Idempotency-Key"), "stuck") {
		respondThenStall(`"state":"started"`)(worker, conn, r)
	}
	completeJob(worker, conn, r)
}

var completeJob = respondWith(`"state":"started"`, `"state":"running","share":0.5`, `"state":"done","result":"priced"`)

// takes is an endpoint whose jobs take so long.
func completeAfter(d time.Duration) func(*testWorker, net.Conn, *http.Request) {
	return func(worker *testWorker, conn net.Conn, r *http.Request) {
		writeHead(conn, "application/json")
		writeChunk(conn, jobMessage(r.Header.Get("Req-Id"), `"state":"started"`))
		time.Sleep(d)
		writeChunk(conn, jobMessage(r.Header.Get("Req-Id"), `"state":"done","result":"priced"`))
		writeLastChunk(conn)
	}
}

// quick answers a job in one piece.
func completeAtOnce(worker *testWorker, conn net.Conn, r *http.Request) {
	body := jobMessage(r.Header.Get("Req-Id"), `"state":"done","result":"priced"`)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// arrivals records when jobs came to a worker.
type arrivals struct {
	mu   sync.Mutex
	last time.Time
}

// recorded has a worker note each job before it works on it.
func (a *arrivals) recording(script func(*testWorker, net.Conn, *http.Request)) func(*testWorker, net.Conn, *http.Request) {
	return func(worker *testWorker, conn net.Conn, r *http.Request) {
		a.mu.Lock()
		a.last = time.Now()
		a.mu.Unlock()
		script(worker, conn, r)
	}
}

func (a *arrivals) lastSince(t time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last.Sub(t)
}
