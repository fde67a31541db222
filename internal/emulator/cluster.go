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
	w         *world
	begin     time.Time
	doors     []*DiscoveryServer
	nextTurns roundRobin
	stop      context.CancelFunc
	ended     chan struct{}

	// Owned by the engine.
	requests                      map[string]*request
	firsts, furthers, requestedAt []time.Duration // when first calls, further ones and probes came
}

// request is what was sent of one client's try.
type request struct {
	id    uint64
	sends int
}

// DiscoveryServer is what one dispatcher reaches.
type DiscoveryServer struct {
	cluster *Cluster
	n       int
	zone    int
	listen  net.Listener // of discovery
	server  *http.Server
	gates   map[scheduler.WorkerID]*gate

	// Owned by the engine.
	notifiedAt map[scheduler.WorkerID]time.Duration
	chance     *rand.Rand

	mu       sync.Mutex
	revision int
	down     bool // calls are turned away
	hung     bool // or not answered
	entries  map[scheduler.WorkerID]entry
	order    []scheduler.WorkerID
	changed  chan struct{} // closed by the next change
	life     int           // of the dispatcher, counted by its starts and ends
	absent   bool          // it is ending or gone
	open     int           // calls of this life that are being served
	quiet    time.Time     // none has been since; zero while there is one, or before the first
	longest  time.Duration // that there was none
}

// entry is a line of the list, and the revision of its last change.
type entry struct {
	info scheduler.WorkerInfo
	at   int
}

// Open puts a scenario's works on loopback ports of the system's choice. Close ends it.
func Open(s Scenario) (*Cluster, error) {
	w, err := newWorld(&s)
	if err == nil && s.virtual() {
		err = errors.New("classes, memory, connections, live weights, bounded queues, pushed lists, reports in answers, bursts and heavy tails are played in virtual time only")
	}
	if err != nil {
		return nil, err
	}
	w.wake = make(chan struct{}, 1)
	audited := s
	audited.Rules.DrainGrace += socketSlack
	audited.Traffic.Window += socketSlack
	w.audit.s = &audited
	ctx, stop := context.WithCancel(context.Background())
	k := &Cluster{w: w, begin: time.Now(), stop: stop, ended: make(chan struct{}), requests: map[string]*request{}}
	for n := range s.Dispatchers {
		d, err := k.discoveryServer(n)
		if err != nil {
			stop()
			k.closeAll()
			return nil, err
		}
		k.doors = append(k.doors, d)
	}
	w.listeners = append(w.listeners, func(info scheduler.WorkerInfo) {
		for _, d := range k.doors {
			w.after(w.late(d.chance), func() { d.change(info) })
		}
	})
	w.outages = append(w.outages, func() {
		for _, d := range k.doors {
			d.fail(w.down > 0, w.hung > 0)
		}
	})
	w.after(0, w.able)
	go func() {
		defer close(k.ended)
		w.live(ctx, epoch, k.begin, k.sync)
	}()
	return k, nil
}

// Close ends all that listens.
func (k *Cluster) Close() {
	k.stop()
	<-k.ended
	k.closeAll()
}

func (k *Cluster) closeAll() {
	for _, d := range k.doors {
		_ = d.server.Close()
		for _, g := range d.gates {
			g.shut()
		}
	}
}

// StartFaults has the scenario's faults begin to count now.
func (k *Cluster) StartFaults() { k.w.post(k.w.faults) }

func (k *Cluster) discoveryServer(n int) (*DiscoveryServer, error) {
	d := &DiscoveryServer{cluster: k, n: n, zone: n % max(k.w.s.Network.Zones, 1), gates: map[scheduler.WorkerID]*gate{}, notifiedAt: map[scheduler.WorkerID]time.Duration{}, chance: k.w.source(uint64(100 + n)),
		entries: map[scheduler.WorkerID]entry{}, changed: make(chan struct{})}
	var err error
	if err = d.listens(); err != nil {
		return nil, err
	}
	for _, b := range k.w.workers {
		g := &gate{discoveryServer: d, b: b}
		if err := g.open("127.0.0.1:0"); err != nil {
			return nil, err
		}
		d.gates[b.id] = g
		d.entries[b.id] = entry{info: b.info()}
		d.order = append(d.order, b.id)
	}
	return d, nil
}

// sync has each box's listeners be open while it is up: connections to one that is down are refused, and those that it
// had are broken.
func (k *Cluster) sync() {
	for _, d := range k.doors {
		for _, g := range d.gates {
			if down := g.b.down; down != g.down {
				if g.down = down; down {
					g.shut()
				} else if err := g.open(g.address); err != nil {
					k.w.note("box %s cannot listen again: %v", g.b.id, err)
				}
			}
		}
	}
}

// gate is a box as one dispatcher reaches it.
type gate struct {
	discoveryServer *DiscoveryServer
	b               *worker
	down            bool // owned by the engine
	address         string
	server          *http.Server
}

// open listens, at an address that it had before or at any.
func (g *gate) open(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if g.server = (&http.Server{Handler: g}); g.address == "" { // else it is the same
		g.address = l.Addr().String()
	}
	go g.server.Serve(l)
	return nil
}

// shut breaks all connections and refuses new ones.
func (g *gate) shut() {
	if g.server != nil {
		_ = g.server.Close()
	}
}

// ServeHTTP is a box: probes and jobs.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/stats", "/health/live":
		g.probe(w, r)
	default:
		g.work(w, r)
	}
}

func (g *gate) probe(w http.ResponseWriter, r *http.Request) {
	k := g.discoveryServer.cluster
	answer := make(chan *scheduler.Report, 1)
	k.w.post(func() {
		k.w.probes++
		k.requestedAt = append(k.requestedAt, k.w.now)
		g.b.probe(func(o scheduler.Outcome, report *scheduler.Report) {
			if o == scheduler.Served && !g.cutOff() {
				k.w.after(2*k.w.between(g.discoveryServer.zone, g.b, g.discoveryServer.chance), func() { answer <- report })
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

// exchange is one attempt on a socket. It is an origin.
type exchange struct {
	g    *gate
	says chan string // lines, with room for all of a run's; empty for the end of the connection
}

func (x *exchange) started(*run) {
	if !x.g.cutOff() {
		x.says <- `"state":"started"`
	}
}
func (x *exchange) over(r *run, o scheduler.Outcome) {
	k := x.g.discoveryServer.cluster
	if x.g.cutOff() { // nothing of it is heard
		return
	}
	k.w.audit.ended(uint64(r.id), r.attempt, o)
	if o == scheduler.Served {
		x.says <- fmt.Sprintf(`"state":"done","result":"%.3f"`, r.work)
		return
	}
	x.says <- ""
}
func (x *exchange) knows(id scheduler.WorkerID) time.Duration {
	return x.g.discoveryServer.notifiedAt[id]
}
func (x *exchange) oneWayDelay() *rand.Rand { return x.g.discoveryServer.chance }

func (g *gate) work(w http.ResponseWriter, r *http.Request) {
	k, id := g.discoveryServer.cluster, r.Header.Get("Req-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil || id == "" || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	x := &exchange{g, make(chan string, 4)}
	j := k.w.s.jobOf(r.Header.Get("Idempotency-Key"))
	a := &run{job: j, worker: g.b.id, from: x, work: j.work, zone: g.discoveryServer.zone}
	k.w.post(func() { k.take(a, id, g) })
	flush := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	_ = flush.Flush()
	for {
		select {
		case text := <-x.says:
			if text == "" {
				panic(http.ErrAbortHandler) // breaks the connection
			}
			fmt.Fprintf(w, "{\"id\":%q,\"from\":%q,%s}\n", id, g.b.id, text)
			if _ = flush.Flush(); strings.Contains(text, `"done"`) {
				return
			}
		case <-r.Context().Done(): // the dispatcher gave up
			k.w.post(func() {
				g.b.cancel(a)
				k.w.audit.ended(uint64(a.id), a.attempt, scheduler.Cancelled)
			})
			panic(http.ErrAbortHandler)
		}
	}
}

// take takes an attempt that came over a socket. When its first byte left is not known here: it counts as now.
func (k *Cluster) take(a *run, id string, g *gate) {
	q := k.requests[id]
	if q == nil {
		q = &request{id: uint64(len(k.requests) + 1)}
		k.requests[id] = q
	}
	a.id, a.attempt = scheduler.RequestID(q.id), q.sends
	if q.sends == 0 {
		k.firsts = append(k.firsts, k.w.now)
	} else {
		k.furthers = append(k.furthers, k.w.now)
	}
	q.sends++
	k.w.sends++
	if g.b.zone != g.discoveryServer.zone {
		k.w.crossings++
	}
	k.w.audit.sent(k.w.now, g.discoveryServer.n, q.id, g.b.id, g.b.bay, g.b.zone)
	k.w.after(k.w.between(g.discoveryServer.zone, g.b, g.discoveryServer.chance), func() {
		if !a.over && !g.cutOff() {
			if g.b.cut == 0 && !g.b.down {
				k.w.pushedAt(g.b, a.work)
			}
			g.b.take(a)
		}
	})
}

// jobKey names a scenario's n-th job so that boxes know its work from the key alone: nothing else passes unchanged.
func (s *Scenario) jobKey(n int) string { return fmt.Sprintf("%016x%016x", s.Seed, n) }

// jobOf gives the job of a key. A key of another form is some job, always the same.
func (s *Scenario) jobOf(key string) *job {
	h := fnv.New64a()
	io.WriteString(h, key)
	chance := rand.New(rand.NewPCG(s.Seed, h.Sum64()))
	return s.Traffic.job(chance.ExpFloat64(), chance)
}

// Config gives the platform's file for the n-th dispatcher: it listens on a port of the system's choice.
func (k *Cluster) Config(n int) ([]byte, error) {
	if n < 0 || n >= len(k.doors) {
		return nil, errors.New("there is no such dispatcher")
	}
	d, s := k.doors[n], k.w.s
	micros := func(t time.Duration) int64 { return t.Microseconds() }
	m := k.w.settings(n)
	c := m.Classes[0]
	effect := map[scheduler.Idempotency]string{scheduler.Idempotent: "safe", scheduler.IdempotentWithKey: "keyed", scheduler.NonIdempotent: "unsafe"}[c.Idempotency]
	var kinds []string
	for _, kind := range s.Kinds {
		kinds = append(kinds, kind.Name)
	}
	type object = map[string]any
	settings := object{
		"classes": []object{{"aim": micros(c.LatencyObjective), "credit": c.PriorityWeight, "deadline": micros(c.Deadline), "dedupScope": "cell", "effect": effect,
			"lateWorth": 0, "name": className, "stream": false, "window": micros(c.DeduplicationWindow)}},
		"prices": object{"crossZone": s.Network.CrossPrice}, "countedBy": "work", "discovery": "ask", "flavors": kinds, "zones": k.zones(),
		"familyInfo": object{"classKind": []int{-1}, "classStretch": []float64{c.ObjectiveStretch}, "progress": 0, "tellsStart": true},
		"limits": object{"cancel": m.MayCancel, "connIdle": 10_000_000, "connectTimeout": 200_000, "maxAttempts": m.MaxAttempts,
			"maxRetryAfter": micros(m.MaxRetryAfter), "mayDuplicate": m.MayHedge, "probing": true, "retryAfter": true},
		"loadReport": object{"columns": []string{"cpu_share", "pending", "x0", "x1"}, "via": "pull"},
		"locality":   d.zone, "ordinal": n, "replicasOfMe": s.Dispatchers,
		"rules": object{"answerSlack": micros(m.AnswerSlack), "askWithin": micros(m.MaxPollInterval), "cold": micros(m.SlowStartDuration), "drainGrace": micros(s.Rules.DrainGrace),
			"fall": micros(m.OverloadWindow), "startCapacity": m.SlowStartCapacity, "tipMultiple": m.OverloadMultiple},
	}
	d.mu.Lock()
	known, _ := d.list(-1)
	discovery := d.listen.Addr().String()
	d.mu.Unlock()
	return json.MarshalIndent(object{"name": fmt.Sprintf("n%d", n), "listen": "127.0.0.1:0", "discovery": discovery,
		"seed": fmt.Sprintf("%016x", s.Seed), "limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings}, "", " ")
}

// zones are their names.
func (k *Cluster) zones() (names []string) {
	if k.w.s.Network.Zones < 2 {
		return []string{"llanelli"}
	}
	for z := range k.w.s.Network.Zones {
		names = append(names, k.w.zoneName(z))
	}
	return names
}

// cutOff tells whether nothing goes between the door's dispatcher and the box.
func (g *gate) cutOff() bool {
	return g.discoveryServer.cluster.w.apart[[2]int{g.discoveryServer.zone, g.b.zone}] > 0
}

// className is the one class of a scenario's jobs.
const className = "price-part"
