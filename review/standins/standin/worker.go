package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Run is one run of a job at a worker.
type Run struct {
	Key, ID, Worker string
	Bay             int
	Began, Ended    time.Time // Ended is zero while it runs, or if it was killed
}

// bayJob is a key that a bay remembers, with its result once its run has ended.
type bayJob struct {
	began time.Time
	done  chan struct{}
}

// Bays are the workers' memory of keys: a repeat of a key within the window does not run again in the same bay.
type Bays struct {
	record *Record
	window time.Duration
	mu     sync.Mutex
	known  map[string]*bayJob // by bay and key
	runs   []*Run
}

// NewBays returns bays that have seen no key.
func NewBays(record *Record, window time.Duration) *Bays {
	return &Bays{record: record, window: window, known: map[string]*bayJob{}}
}

// Runs returns all runs so far, by key.
func (b *Bays) Runs() map[string][]Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	byKey := map[string][]Run{}
	for _, run := range b.runs {
		byKey[run.Key] = append(byKey[run.Key], *run)
	}
	return byKey
}

// Began reports whether a run of the key has begun.
func (b *Bays) Began(key string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, run := range b.runs {
		if run.Key == key {
			return true
		}
	}
	return false
}

// begin starts a run, or returns the job of an earlier run in the same bay, whose result answers the repeat too.
func (b *Bays) begin(worker *Worker, id, key string) (*Run, *bayJob) {
	b.mu.Lock()
	defer b.mu.Unlock()
	name := fmt.Sprint(worker.Bay, " ", key)
	if known := b.known[name]; known != nil && time.Since(known.began) < b.window {
		b.record.Log("repeat dropped by bay %d: key=%s id=%s worker=%s", worker.Bay, key, id, worker.ID)
		return nil, known
	}
	run := &Run{Key: key, ID: id, Worker: worker.ID, Bay: worker.Bay, Began: time.Now()}
	job := &bayJob{began: run.Began, done: make(chan struct{})}
	b.known[name] = job
	b.runs = append(b.runs, run)
	b.record.Log("run began: key=%s id=%s worker=%s bay=%d", key, id, worker.ID, worker.Bay)
	return run, job
}

// end records the end of a run.
func (b *Bays) end(run *Run, job *bayJob) {
	b.mu.Lock()
	defer b.mu.Unlock()
	run.Ended = time.Now()
	close(job.done)
	b.record.Log("run ended: key=%s id=%s worker=%s bay=%d", run.Key, run.ID, run.Worker, run.Bay)
}

// Worker is a stand-in for a worker. Running work goes on when its dispatcher closes the connection.
type Worker struct {
	ID       string
	Bay      int
	Runtime  func(key string) time.Duration // of a job
	Reports  bool                           // it tells when a job starts
	listener net.Listener
	bays     *Bays
}

// StartWorker starts a worker on a free port.
func StartWorker(id string, bay int, reports bool, bays *Bays, runtime func(key string) time.Duration) (*Worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	worker := &Worker{ID: id, Bay: bay, Runtime: runtime, Reports: reports, listener: listener, bays: bays}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go worker.serve(conn)
		}
	}()
	return worker, nil
}

// Address returns where the worker listens.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// serve serves the requests on a connection, one at a time.
func (w *Worker) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		switch r.URL.Path {
		case "/health/live":
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		case "/stats":
			text := "util=0.10,queue=0,x0=5,x1=5"
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		default:
			w.serveJob(conn, r)
		}
	}
}

// serveJob runs a job, unless the bay has seen its key, and answers it.
func (w *Worker) serveJob(conn net.Conn, r *http.Request) {
	id, key := r.Header.Get("Req-Id"), r.Header.Get("Idempotency-Key")
	if id == "" {
		fmt.Fprint(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return
	}
	line := func(members string) {
		text := fmt.Sprintf("{\"id\":%q,\"from\":%q,%s}\n", id, w.ID, members)
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
	}
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	run, job := w.bays.begin(w, id, key)
	if w.Reports {
		line(`"state":"started"`)
	}
	if run != nil {
		time.Sleep(w.Runtime(key))
		w.bays.end(run, job)
	} else {
		<-job.done
	}
	line(fmt.Sprintf(`"state":"done","result":"priced %s"`, key))
	fmt.Fprint(conn, "0\r\n\r\n")
}
