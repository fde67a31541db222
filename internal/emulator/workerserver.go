package emulator

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"brassdale/scheduler"
)

// workerServer serves a worker to one dispatcher.
type workerServer struct {
	discovery *DiscoveryServer // of the same dispatcher
	worker    *worker
	down      bool // owned by the engine
	address   string
	server    *http.Server
}

// startListening listens at an address. The first call sets the address for later calls.
func (s *workerServer) startListening(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s}
	s.server = server
	if s.address == "" {
		s.address = listener.Addr().String()
	}
	go serve(server, listener)
	return nil
}

// serve serves until the server is closed.
func serve(server *http.Server, listener net.Listener) {
	_ = server.Serve(listener) // always an error: http.ErrServerClosed
}

// stopListening breaks all connections and refuses new ones.
func (s *workerServer) stopListening() {
	if s.server != nil {
		_ = s.server.Close() // connections are broken on purpose
	}
}

// ServeHTTP answers probes and runs jobs.
func (s *workerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/stats", "/health/live":
		s.serveProbe(w, r)
	default:
		s.serveJob(w, r)
	}
}

// serveProbe answers a probe with the worker's report. If the worker does not answer, the dispatcher ends the connection.
func (s *workerServer) serveProbe(w http.ResponseWriter, r *http.Request) {
	cluster, sim := s.discovery.cluster, s.discovery.cluster.sim
	answer := make(chan *scheduler.Report, 1)
	sim.post(func() {
		sim.probesSent++
		cluster.probedAt = append(cluster.probedAt, sim.now)
		s.worker.answerProbe(func(outcome scheduler.Outcome, report *scheduler.Report) {
			if outcome == scheduler.Served && !s.partitioned() {
				roundTrip := 2 * sim.oneWayDelay(s.discovery.zone, s.worker, s.discovery.random)
				sim.after(roundTrip, func() { answer <- report })
			}
		})
	})
	select {
	case report := <-answer:
		fmt.Fprintf(w, "util=%.4f,queue=%.0f,x0=%.2f,x1=%.2f", report.Busy, report.Queue, report.FreeSlots, report.FreeSlots)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// socketAttempt is an attempt on a socket; it implements attemptSource. The channel lines carries the JSON fields of each line of the
// response; an empty string breaks the connection. The channel's capacity exceeds the lines of one attempt, so that the engine never blocks
// on it.
type socketAttempt struct {
	server *workerServer
	lines  chan string
}

// socketAttemptLines is the capacity of socketAttempt.lines.
const socketAttemptLines = 4

// attemptStarted implements attemptSource.
func (a *socketAttempt) attemptStarted(*attemptRun) {
	if !a.server.partitioned() {
		a.lines <- `"state":"started"`
	}
}

// attemptOver implements attemptSource. During a partition the dispatcher is not notified.
func (a *socketAttempt) attemptOver(attempt *attemptRun, outcome scheduler.Outcome) {
	if a.server.partitioned() {
		return
	}
	a.server.discovery.cluster.sim.audit.attemptEnded(uint64(attempt.id), attempt.index, outcome)
	if outcome == scheduler.Served {
		a.lines <- fmt.Sprintf(`"state":"done","result":"%.3f"`, attempt.work)
		return
	}
	a.lines <- ""
}

// knownStart implements attemptSource.
func (a *socketAttempt) knownStart(id scheduler.WorkerID) time.Duration {
	return a.server.discovery.knownStarts[id]
}

// delayRandom implements attemptSource.
func (a *socketAttempt) delayRandom() *rand.Rand { return a.server.discovery.random }

// serveJob runs a job and streams its states, a JSON object a line.
func (s *workerServer) serveJob(w http.ResponseWriter, r *http.Request) {
	sim, id := s.discovery.cluster.sim, r.Header.Get("Req-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil || id == "" || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	source := &socketAttempt{s, make(chan string, socketAttemptLines)}
	job := sim.scenario.jobOf(r.Header.Get("Idempotency-Key"))
	attempt := &attemptRun{job: job, worker: s.worker.id, source: source, work: job.work, zone: s.discovery.zone}
	sim.post(func() { s.discovery.cluster.receiveAttempt(attempt, id, s) })
	controller := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	_ = controller.Flush() // a dispatcher that has gone ends the request's context
	for {
		select {
		case line := <-source.lines:
			if line == "" {
				panic(http.ErrAbortHandler) // breaks the connection
			}
			fmt.Fprintf(w, "{\"id\":%q,\"from\":%q,%s}\n", id, s.worker.id, line)
			if _ = controller.Flush(); strings.Contains(line, `"done"`) {
				return
			}
		case <-r.Context().Done(): // the dispatcher cancelled the attempt
			sim.post(func() {
				s.worker.cancel(attempt)
				sim.audit.attemptEnded(uint64(attempt.id), attempt.index, scheduler.Cancelled)
			})
			panic(http.ErrAbortHandler)
		}
	}
}

// partitioned reports whether a fault separates the dispatcher's zone from the worker's.
func (s *workerServer) partitioned() bool {
	return s.discovery.cluster.sim.partitions[[2]int{s.discovery.zone, s.worker.zone}] > 0
}
