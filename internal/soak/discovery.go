package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is a worker as discovery lists it.
type member struct {
	worker *worker
	phase  string
	since  int64 // start time by discovery's clock, in Unix milliseconds; 0 if it started long ago
}

// discovery is the stand-in for the discovery service. Each dispatcher reaches it at addresses of its own.
type discovery struct {
	record      *Record
	seed        uint64
	clockOffset time.Duration // how far its clock is ahead

	mu           sync.Mutex
	revision     int
	members      []*member
	history      []snapshot
	replicaViews map[int]*replicaView // by dispatcher: the view of the address in its configuration
	queue        *serviceQueue        // nil if calls are served at once
	changed      chan struct{}
	down         bool
	faults       map[int][]CallFault // by dispatcher: faults of its next calls
	silenced     chan struct{}       // closed to make all open watches fall silent
	servers      []*http.Server
}

// lateAnswerDelay is the delay of the answer to a call with the fault CallLate.
const lateAnswerDelay = 1950 * time.Millisecond

// newDiscovery makes a service with an empty list.
func newDiscovery(record *Record, plan Plan) *discovery {
	service := &discovery{record: record, seed: plan.Seed, clockOffset: plan.DiscoveryClockOffset, changed: make(chan struct{}), silenced: make(chan struct{}), faults: map[int][]CallFault{}, replicaViews: map[int]*replicaView{}}
	if plan.DiscoveryOverloaded {
		service.queue = &serviceQueue{timePerCall: overloadRoundTime / time.Duration(plan.Dispatchers), maxWait: overloadMaxWait, maxBacklog: overloadMaxBacklog}
	}
	service.recordSnapshot()
	return service
}

// The queue of an overloaded discovery.
const (
	overloadRoundTime  = 2500 * time.Millisecond // for one call of each dispatcher
	overloadMaxWait    = 2 * time.Second         // of a call
	overloadMaxBacklog = 3800 * time.Millisecond // of all waiting calls
)

// replicaView returns the view of the address that a dispatcher is configured with.
func (d *discovery) replicaView(dispatcher int) *replicaView {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.replicaViews[dispatcher]
}

// newAddress opens another address for a dispatcher and returns it. A revision there is the list's revision plus revisionOffset.
func (d *discovery) newAddress(dispatcher, revisionOffset int) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	view := &replicaView{revisionOffset: revisionOffset, random: rand.New(rand.NewPCG(d.seed, uint64(dispatcher)))}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(dispatcher, view, w, r) })}
	d.mu.Lock()
	d.replicaViews[dispatcher] = view
	d.servers = append(d.servers, server)
	d.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// close closes the servers of all addresses.
func (d *discovery) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, server := range d.servers {
		_ = server.Close() // the run is over
	}
}

// setPhase lists a worker in a phase, and records the change if there is one. If justStarted is set, the worker's start is set to now, so that
// it warms up.
func (d *discovery) setPhase(worker *worker, phase string, justStarted bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var entry *member
	for _, listed := range d.members {
		if listed.worker == worker {
			entry = listed
		}
	}
	if entry == nil {
		entry = &member{worker: worker}
		d.members = append(d.members, entry)
	}
	if entry.phase == phase && !justStarted {
		return
	}
	entry.phase = phase
	if justStarted {
		entry.since = time.Now().Add(d.clockOffset).UnixMilli()
	}
	d.revision++
	worker.unready.Store(phase != phaseActive)
	d.recordSnapshot()
	d.record.addChange(EndpointChange{Revision: d.revision, At: time.Now(), Worker: worker.number, Phase: phase, JustStarted: justStarted})
	close(d.changed)
	d.changed = make(chan struct{})
}

// initialList returns the list that a dispatcher is started with.
func (d *discovery) initialList(dispatcher int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.asOf(time.Now()).encode(dispatcher, 0)
}

// stepClock sets the clock forward, or back if the parameter by is negative.
func (d *discovery) stepClock(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.clockOffset += by
}

// failCalls makes the next calls of each dispatcher fail, each by one of the faults, in their order.
func (d *discovery) failCalls(dispatchers int, faults []CallFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range dispatchers {
		d.faults[i] = append([]CallFault(nil), faults...)
	}
}

// silenceWatches makes all open watches fall silent.
func (d *discovery) silenceWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.silenced)
	d.silenced = make(chan struct{})
}

// setDown makes the service reject all calls, or serve calls again.
func (d *discovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	if down {
		close(d.changed)
		d.changed = make(chan struct{})
	}
}

// serve serves one call of a dispatcher at an address.
func (d *discovery) serve(dispatcher int, view *replicaView, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	index, err := strconv.Atoi(query.Get("index"))
	if err != nil {
		index = -1
	}
	wait, _ := strconv.Atoi(query.Get("wait"))
	d.mu.Lock()
	fault := CallFault("")
	if queue := d.faults[dispatcher]; len(queue) > 0 {
		fault, d.faults[dispatcher] = queue[0], queue[1:]
	}
	down, silenced := d.down, d.silenced
	d.mu.Unlock()
	switch {
	case down || fault == CallRejected:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case fault == CallReset:
		resetCall(w)
		return
	case fault == CallHangs:
		<-r.Context().Done()
		return
	}
	if d.queue != nil && !d.continuesWatch(dispatcher, wait) {
		pause, served := d.queue.enqueue(time.Now())
		time.Sleep(pause)
		if !served {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	lag, delay := view.nextCall(time.Now())
	if index >= 0 {
		index -= view.revisionOffset
	}
	if !d.awaitChange(r, index, time.Duration(wait)*time.Millisecond, lag, silenced) {
		return
	}
	if fault == CallLate {
		delay = lateAnswerDelay
	}
	d.writeList(dispatcher, view, w, r, index, lag, delay, fault == CallBreaksOff)
}

// watchGap is the longest time from an answer to the next call of the same watch. A call that continues a watch does not queue.
const watchGap = 200 * time.Millisecond

// continuesWatch reports whether a call continues a watch.
func (d *discovery) continuesWatch(dispatcher int, wait int) bool {
	last := d.record.lastAnswerAt(dispatcher)
	return wait > 0 && time.Since(last) < watchGap
}

// replicaPollInterval is how often a lagging replica checks whether it shows a change yet.
const replicaPollInterval = 20 * time.Millisecond

// awaitChange waits until the list's revision differs from the parameter index, or until the duration wait is over, and reports whether to
// answer the call.
func (d *discovery) awaitChange(r *http.Request, index int, wait, lag time.Duration, silenced <-chan struct{}) bool {
	waitOver := time.After(wait)
	for {
		d.mu.Lock()
		newer, changed := d.asOf(time.Now().Add(-lag)).revision != index || d.down, d.changed
		d.mu.Unlock()
		if newer {
			return true
		}
		var later <-chan time.Time
		if lag > 0 {
			later = time.After(replicaPollInterval)
		}
		select {
		case <-changed:
		case <-later:
		case <-waitOver:
			return true
		case <-silenced:
			<-r.Context().Done()
			return false
		case <-r.Context().Done():
			return false
		}
	}
}

// writeList waits for the delay, and then writes the list as it was before the delay. If the parameter half is set, it writes only half of
// the list.
func (d *discovery) writeList(dispatcher int, view *replicaView, w http.ResponseWriter, r *http.Request, index int, lag, delay time.Duration, half bool) {
	d.mu.Lock()
	down, shown := d.down, d.asOf(time.Now().Add(-lag))
	d.mu.Unlock()
	time.Sleep(delay)
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	revision, text := shown.revision, shown.encode(dispatcher, view.revisionOffset)
	if index == revision {
		text = fmt.Sprintf(`{"revision":%d,"complete":false,"members":[]}`, revision+view.revisionOffset)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if half {
		fmt.Fprint(w, text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		return
	}
	if _, err := fmt.Fprint(w, text); err != nil || http.NewResponseController(w).Flush() != nil || r.Context().Err() != nil {
		return
	}
	d.record.addAnswer(DiscoveryAnswer{Dispatcher: dispatcher, At: time.Now(), Revision: revision})
}

// resetCall resets the connection of a call.
func resetCall(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close() // the reset is intended
}
