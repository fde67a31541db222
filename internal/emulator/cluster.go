package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"brassdale/scheduler"
)

// Cluster is a scenario's boxes and discovery on loopback sockets: the model of Run, by a real clock, for real dispatchers.
// Each dispatcher reaches discovery and every box at addresses of its own, so that who sent what is known.
type Cluster struct {
	sim              *simulation
	startedAt        time.Time
	discoveryServers []*DiscoveryServer
	pollQueue        pollQueue
	stop             context.CancelFunc
	engineDone       chan struct{}

	// Owned by the engine.
	requests                                 map[string]*socketRequest
	firstAttempts, furtherAttempts, probedAt []time.Duration // when first calls, further ones and probes came
}

// socketRequest is what was sent of one client's try.
type socketRequest struct {
	id       uint64
	attempts int
}

// DiscoveryServer is what one dispatcher reaches.
type DiscoveryServer struct {
	cluster       *Cluster
	dispatcher    int
	zone          int
	listener      net.Listener // of discovery
	server        *http.Server
	workerServers map[scheduler.WorkerID]*workerServer

	// Owned by the engine.
	notifiedAt map[scheduler.WorkerID]time.Duration
	random     *rand.Rand

	mu          sync.Mutex
	revision    int
	down        bool // calls are turned away
	hung        bool // or not answered
	entries     map[scheduler.WorkerID]entry
	workerIDs   []scheduler.WorkerID
	changed     chan struct{} // closed by the next change
	incarnation int           // of the dispatcher, counted by its starts and ends
	absent      bool          // it is ending or gone
	openPolls   int           // calls of this life that are being served
	idleSince   time.Time     // none has been since; zero while there is one, or before the first
	longestIdle time.Duration // that there was none
}

// entry is a line of the list, and the revision of its last change.
type entry struct {
	info     scheduler.WorkerInfo
	revision int
}

// Open puts a scenario's works on loopback ports of the system's choice. Close ends it.
func Open(s Scenario) (*Cluster, error) {
	sim, err := newSimulation(&s)
	if err == nil && s.needsVirtualTime() {
		err = errors.New("classes, memory, connections, live weights, bounded queues, pushed lists, reports in answers, bursts and heavy tails are played in virtual time only")
	}
	if err != nil {
		return nil, err
	}
	sim.wake = make(chan struct{}, 1)
	audited := s
	audited.Rules.DrainGrace += socketSlack
	audited.Traffic.Window += socketSlack
	sim.audit.scenario = &audited
	ctx, stop := context.WithCancel(context.Background())
	cluster := &Cluster{sim: sim, startedAt: time.Now(), stop: stop, engineDone: make(chan struct{}), requests: map[string]*socketRequest{}}
	for n := range s.Dispatchers {
		server, err := cluster.newDiscoveryServer(n)
		if err != nil {
			stop()
			cluster.closeAll()
			return nil, err
		}
		cluster.discoveryServers = append(cluster.discoveryServers, server)
	}
	sim.workerListeners = append(sim.workerListeners, func(info scheduler.WorkerInfo) {
		for _, d := range cluster.discoveryServers {
			sim.after(sim.updateDelay(d.random), func() { d.updateEndpoint(info) })
		}
	})
	sim.outageListeners = append(sim.outageListeners, func() {
		for _, d := range cluster.discoveryServers {
			d.setFaults(sim.discoveryDown > 0, sim.discoveryHung > 0)
		}
	})
	sim.after(0, sim.sampleZones)
	go func() {
		defer close(cluster.engineDone)
		sim.live(ctx, clockStart, cluster.startedAt, cluster.syncListeners)
	}()
	return cluster, nil
}

// Close ends all that listens.
func (k *Cluster) Close() {
	k.stop()
	<-k.engineDone
	k.closeAll()
}

func (k *Cluster) closeAll() {
	for _, server := range k.discoveryServers {
		_ = server.server.Close()
		for _, worker := range server.workerServers {
			worker.stopListening()
		}
	}
}

// StartFaults has the scenario's faults begin to count now.
func (k *Cluster) StartFaults() { k.sim.post(k.sim.scheduleFaults) }

func (k *Cluster) newDiscoveryServer(dispatcher int) (*DiscoveryServer, error) {
	server := &DiscoveryServer{cluster: k, dispatcher: dispatcher, zone: dispatcher % max(k.sim.scenario.Network.Zones, 1), workerServers: map[scheduler.WorkerID]*workerServer{}, notifiedAt: map[scheduler.WorkerID]time.Duration{}, random: k.sim.randomSource(uint64(100 + dispatcher)),
		entries: map[scheduler.WorkerID]entry{}, changed: make(chan struct{})}
	var err error
	if err = server.startListening(); err != nil {
		return nil, err
	}
	for _, worker := range k.sim.workers {
		workerListener := &workerServer{discoveryServer: server, worker: worker}
		if err := workerListener.startListening("127.0.0.1:0"); err != nil {
			return nil, err
		}
		server.workerServers[worker.id] = workerListener
		server.entries[worker.id] = entry{info: worker.endpoint()}
		server.workerIDs = append(server.workerIDs, worker.id)
	}
	return server, nil
}

// syncListeners has each box's listeners be open while it is up: connections to one that is down are refused, and those that it
// had are broken.
func (k *Cluster) syncListeners() {
	for _, server := range k.discoveryServers {
		for _, worker := range server.workerServers {
			if down := worker.worker.down; down != worker.down {
				if worker.down = down; down {
					worker.stopListening()
				} else if err := worker.startListening(worker.address); err != nil {
					k.sim.addNote("box %s cannot listen again: %v", worker.worker.id, err)
				}
			}
		}
	}
}

// workerServer is a box as one dispatcher reaches it.
type workerServer struct {
	discoveryServer *DiscoveryServer
	worker          *worker
	down            bool // owned by the engine
	address         string
	server          *http.Server
}

// startListening listens, at an address that it had before or at any.
func (g *workerServer) startListening(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if g.server = (&http.Server{Handler: g}); g.address == "" { // else it is the same
		g.address = listener.Addr().String()
	}
	go g.server.Serve(listener)
	return nil
}

// stopListening breaks all connections and refuses new ones.
func (g *workerServer) stopListening() {
	if g.server != nil {
		_ = g.server.Close()
	}
}

// ServeHTTP is a box: probes and jobs.
func (g *workerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/stats", "/health/live":
		g.serveProbe(w, r)
	default:
		g.serveJob(w, r)
	}
}

func (g *workerServer) serveProbe(w http.ResponseWriter, r *http.Request) {
	cluster := g.discoveryServer.cluster
	answer := make(chan *scheduler.Report, 1)
	cluster.sim.post(func() {
		cluster.sim.probesSent++
		cluster.probedAt = append(cluster.probedAt, cluster.sim.now)
		g.worker.answerProbe(func(outcome scheduler.Outcome, report *scheduler.Report) {
			if outcome == scheduler.Served && !g.partitioned() {
				cluster.sim.after(2*cluster.sim.oneWayDelay(g.discoveryServer.zone, g.worker, g.discoveryServer.random), func() { answer <- report })
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

// socketAttempt is one attempt on a socket. It is an origin.
type socketAttempt struct {
	server *workerServer
	lines  chan string // lines, with room for all of a run's; empty for the end of the connection
}

func (x *socketAttempt) attemptStarted(*attemptRun) {
	if !x.server.partitioned() {
		x.lines <- `"state":"started"`
	}
}
func (x *socketAttempt) attemptOver(attempt *attemptRun, outcome scheduler.Outcome) {
	cluster := x.server.discoveryServer.cluster
	if x.server.partitioned() { // nothing of it is heard
		return
	}
	cluster.sim.audit.attemptEnded(uint64(attempt.id), attempt.index, outcome)
	if outcome == scheduler.Served {
		x.lines <- fmt.Sprintf(`"state":"done","result":"%.3f"`, attempt.work)
		return
	}
	x.lines <- ""
}
func (x *socketAttempt) knownStart(id scheduler.WorkerID) time.Duration {
	return x.server.discoveryServer.notifiedAt[id]
}
func (x *socketAttempt) delayRandom() *rand.Rand { return x.server.discoveryServer.random }

func (g *workerServer) serveJob(w http.ResponseWriter, r *http.Request) {
	cluster, id := g.discoveryServer.cluster, r.Header.Get("Req-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil || id == "" || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	exchange := &socketAttempt{g, make(chan string, 4)}
	job := cluster.sim.scenario.jobOf(r.Header.Get("Idempotency-Key"))
	attempt := &attemptRun{job: job, worker: g.worker.id, source: exchange, work: job.work, zone: g.discoveryServer.zone}
	cluster.sim.post(func() { cluster.receiveAttempt(attempt, id, g) })
	controller := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	_ = controller.Flush()
	for {
		select {
		case text := <-exchange.lines:
			if text == "" {
				panic(http.ErrAbortHandler) // breaks the connection
			}
			fmt.Fprintf(w, "{\"id\":%q,\"from\":%q,%s}\n", id, g.worker.id, text)
			if _ = controller.Flush(); strings.Contains(text, `"done"`) {
				return
			}
		case <-r.Context().Done(): // the dispatcher gave up
			cluster.sim.post(func() {
				g.worker.cancel(attempt)
				cluster.sim.audit.attemptEnded(uint64(attempt.id), attempt.index, scheduler.Cancelled)
			})
			panic(http.ErrAbortHandler)
		}
	}
}

// receiveAttempt takes an attempt that came over a socket. When its first byte left is not known here: it counts as now.
func (k *Cluster) receiveAttempt(attempt *attemptRun, id string, server *workerServer) {
	request := k.requests[id]
	if request == nil {
		request = &socketRequest{id: uint64(len(k.requests) + 1)}
		k.requests[id] = request
	}
	attempt.id, attempt.index = scheduler.RequestID(request.id), request.attempts
	if request.attempts == 0 {
		k.firstAttempts = append(k.firstAttempts, k.sim.now)
	} else {
		k.furtherAttempts = append(k.furtherAttempts, k.sim.now)
	}
	request.attempts++
	k.sim.attemptsSent++
	if server.worker.zone != server.discoveryServer.zone {
		k.sim.crossings++
	}
	k.sim.audit.attemptSent(k.sim.now, server.discoveryServer.dispatcher, request.id, server.worker.id, server.worker.cell, server.worker.zone)
	k.sim.after(k.sim.oneWayDelay(server.discoveryServer.zone, server.worker, server.discoveryServer.random), func() {
		if !attempt.over && !server.partitioned() {
			if server.worker.partitioned == 0 && !server.worker.down {
				k.sim.recordZoneWork(server.worker, attempt.work)
			}
			server.worker.receive(attempt)
		}
	})
}

// jobKey names a scenario's n-th job so that boxes know its work from the key alone: nothing else passes unchanged.
func (s *Scenario) jobKey(n int) string { return fmt.Sprintf("%016x%016x", s.Seed, n) }

// jobOf gives the job of a key. A key of another form is some job, always the same.
func (s *Scenario) jobOf(key string) *job {
	hash := fnv.New64a()
	io.WriteString(hash, key)
	random := rand.New(rand.NewPCG(s.Seed, hash.Sum64()))
	return s.Traffic.newJob(random.ExpFloat64(), random)
}

// Config gives the platform's file for the n-th dispatcher: it listens on a port of the system's choice.
func (k *Cluster) Config(dispatcher int) ([]byte, error) {
	if dispatcher < 0 || dispatcher >= len(k.discoveryServers) {
		return nil, errors.New("there is no such dispatcher")
	}
	server, scenario := k.discoveryServers[dispatcher], k.sim.scenario
	micros := func(t time.Duration) int64 { return t.Microseconds() }
	settings := k.sim.schedulerSettings(dispatcher)
	c := settings.Classes[0]
	effect := map[scheduler.Idempotency]string{scheduler.Idempotent: "safe", scheduler.IdempotentWithKey: "keyed", scheduler.NonIdempotent: "unsafe"}[c.Idempotency]
	var kinds []string
	for _, kind := range scenario.Kinds {
		kinds = append(kinds, kind.Name)
	}
	type object = map[string]any
	configSettings := object{
		"classes": []object{{"aim": micros(c.LatencyObjective), "credit": c.PriorityWeight, "deadline": micros(c.Deadline), "dedupScope": "cell", "effect": effect,
			"lateWorth": 0, "name": className, "stream": false, "window": micros(c.DeduplicationWindow)}},
		"prices": object{"crossZone": scenario.Network.CrossPrice}, "countedBy": "work", "discovery": "ask", "flavors": kinds, "zones": k.zoneNames(),
		"familyInfo": object{"classKind": []int{-1}, "classStretch": []float64{c.ObjectiveStretch}, "progress": 0, "tellsStart": true},
		"limits": object{"cancel": settings.MayCancel, "connIdle": 10_000_000, "connectTimeout": 200_000, "maxAttempts": settings.MaxAttempts,
			"maxRetryAfter": micros(settings.MaxRetryAfter), "mayDuplicate": settings.MayHedge, "probing": true, "retryAfter": true},
		"loadReport": object{"columns": []string{"cpu_share", "pending", "x0", "x1"}, "via": "pull"},
		"locality":   server.zone, "ordinal": dispatcher, "replicasOfMe": scenario.Dispatchers,
		"rules": object{"answerSlack": micros(settings.AnswerSlack), "askWithin": micros(settings.MaxPollInterval), "cold": micros(settings.SlowStartDuration), "drainGrace": micros(scenario.Rules.DrainGrace),
			"fall": micros(settings.OverloadWindow), "startCapacity": settings.SlowStartCapacity, "tipMultiple": settings.OverloadMultiple},
	}
	server.mu.Lock()
	known, _ := server.endpointsSince(-1)
	discovery := server.listener.Addr().String()
	server.mu.Unlock()
	return json.MarshalIndent(object{"name": fmt.Sprintf("n%d", dispatcher), "listen": "127.0.0.1:0", "discovery": discovery,
		"seed": fmt.Sprintf("%016x", scenario.Seed), "limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": configSettings}, "", " ")
}

// zoneNames are their names.
func (k *Cluster) zoneNames() (names []string) {
	if k.sim.scenario.Network.Zones < 2 {
		return []string{"llanelli"}
	}
	for z := range k.sim.scenario.Network.Zones {
		names = append(names, k.sim.zoneName(z))
	}
	return names
}

// partitioned tells whether nothing goes between the door's dispatcher and the box.
func (g *workerServer) partitioned() bool {
	return g.discoveryServer.cluster.sim.partitions[[2]int{g.discoveryServer.zone, g.worker.zone}] > 0
}

// className is the one class of a scenario's jobs.
const className = "price-part"
