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
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &testWorker{id: id, cell: "1", phase: "active", listener: ln, handler: script, runs: map[string]int{}, abandoned: make(chan string, 64)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.connections++
			b.mu.Unlock()
			go b.serve(c)
		}
	}()
	return b
}

// runs counts the runs of a key at an endpoint.
func (w *testWorker) runsOf(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[key]
}

func (w *testWorker) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/stats" && w.failsProbes.Load() {
			fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if r.URL.Path == "/stats" {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\nutil=0.1,queue=0,x0=5,x1=5")
			continue
		}
		r.Header.Set("Body", string(body))
		w.mu.Lock()
		w.jobs++
		w.runs[r.Header.Get("Idempotency-Key")]++
		w.mu.Unlock()
		w.handler(w, c, r)
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
	for _, b := range workers {
		_, jobs := b.count()
		sum += jobs
	}
	return sum
}

// line is a message of an endpoint about a job.
func jobMessage(id, rest string) string {
	return fmt.Sprintf("{\"id\":%q,\"from\":\"s\",%s}\n", id, rest)
}

// head starts a chunked answer, chunk goes on with it, last ends it.
func writeHead(c net.Conn, kind string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n", kind)
}

func writeChunk(c net.Conn, text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

func writeLastChunk(c net.Conn) { io.WriteString(c, "0\r\n\r\n") }

// says answers a job with these messages.
func respondWith(messages ...string) func(*testWorker, net.Conn, *http.Request) {
	return func(_ *testWorker, c net.Conn, r *http.Request) {
		writeHead(c, "application/json")
		for _, m := range messages {
			writeChunk(c, jobMessage(r.Header.Get("Req-Id"), m))
		}
		writeLastChunk(c)
	}
}

// raw answers a job with this text, whatever it is, and ends the connection.
func respondRaw(text string) func(*testWorker, net.Conn, *http.Request) {
	return func(_ *testWorker, c net.Conn, _ *http.Request) {
		io.WriteString(c, text)
		c.Close()
	}
}

// freezes says these messages and then nothing until the dispatcher gives up.
func respondThenStall(messages ...string) func(*testWorker, net.Conn, *http.Request) {
	return func(b *testWorker, c net.Conn, r *http.Request) {
		writeHead(c, "application/json")
		for _, m := range messages {
			writeChunk(c, jobMessage(r.Header.Get("Req-Id"), m))
		}
		io.Copy(io.Discard, c)
		b.abandoned <- r.Header.Get("Req-Id")
	}
}

// sticks freezes in jobs whose key begins with "stuck", once they have started, and works on all others.
func stallOnStuckKeys(b *testWorker, c net.Conn, r *http.Request) {
	if strings.HasPrefix(r.Header.Get("Idempotency-Key"), "stuck") {
		respondThenStall(`"state":"started"`)(b, c, r)
	}
	completeJob(b, c, r)
}

var completeJob = respondWith(`"state":"started"`, `"state":"running","share":0.5`, `"state":"done","result":"priced"`)

// takes is an endpoint whose jobs take so long.
func completeAfter(d time.Duration) func(*testWorker, net.Conn, *http.Request) {
	return func(b *testWorker, c net.Conn, r *http.Request) {
		writeHead(c, "application/json")
		writeChunk(c, jobMessage(r.Header.Get("Req-Id"), `"state":"started"`))
		time.Sleep(d)
		writeChunk(c, jobMessage(r.Header.Get("Req-Id"), `"state":"done","result":"priced"`))
		writeLastChunk(c)
	}
}

// quick answers a job in one piece.
func completeAtOnce(_ *testWorker, c net.Conn, r *http.Request) {
	body := jobMessage(r.Header.Get("Req-Id"), `"state":"done","result":"priced"`)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// arrivals records when jobs came to a worker.
type arrivals struct {
	mu   sync.Mutex
	last time.Time
}

// recorded has a worker note each job before it works on it.
func (a *arrivals) recording(script func(*testWorker, net.Conn, *http.Request)) func(*testWorker, net.Conn, *http.Request) {
	return func(b *testWorker, c net.Conn, r *http.Request) {
		a.mu.Lock()
		a.last = time.Now()
		a.mu.Unlock()
		script(b, c, r)
	}
}

func (a *arrivals) lastSince(t time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last.Sub(t)
}
