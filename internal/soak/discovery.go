package soak

import (
	"fmt"
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
	since  int64 // the stamp of its start, in Unix milliseconds; 0 for long ago
}

// discovery is the stand-in for discovery: one service, which each dispatcher reaches at addresses of its own.
type discovery struct {
	record      *Record
	clockOffset time.Duration // how far its clock is ahead

	mu           sync.Mutex
	revision     int
	members      []*member
	history      []snapshot
	replicaViews map[int]*replicaView // by dispatcher: of the address that it asks now
	queue        *serviceQueue        // nil for no bound
	changed      chan struct{}
	down         bool
	faults       map[int][]CallFault // by dispatcher: of the next calls
	silenced     chan struct{}       // closed when all watches that are open fall silent
	servers      []*http.Server
}

const lateAnswerDelay = 1950 * time.Millisecond

func newDiscovery(r *Record, p Plan) *discovery {
	d := &discovery{record: r, clockOffset: p.DiscoveryClockOffset, changed: make(chan struct{}), silenced: make(chan struct{}), faults: map[int][]CallFault{}, replicaViews: map[int]*replicaView{}}
	if p.DiscoveryCrowded {
		d.queue = &serviceQueue{timePerCall: crowdedRoundTime / time.Duration(p.Dispatchers), maxWait: crowdedMaxWait, maxBacklog: crowdedMaxBacklog}
	}
	d.recordSnapshot()
	return d
}

// What a crowded discovery needs to serve one call of each dispatcher, how long it lets a call wait, and how much work may wait.
const (
	crowdedRoundTime  = 2500 * time.Millisecond
	crowdedMaxWait    = 2 * time.Second
	crowdedMaxBacklog = 3800 * time.Millisecond
)

// replicaView gives how a dispatcher sees the list at the address that it asks now.
func (d *discovery) replicaView(dispatcher int) *replicaView {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.replicaViews[dispatcher]
}

// newAddress opens one more newAddress for a dispatcher.
func (d *discovery) newAddress(dispatcher int) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	v := &replicaView{}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(dispatcher, v, w, r) })}
	d.mu.Lock()
	d.replicaViews[dispatcher] = v
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

func (d *discovery) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		s.Close()
	}
}

// setPhase changes the list and notes what changed of a worker.
func (d *discovery) setPhase(w *worker, phase string, cold bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var m *member
	for _, o := range d.members {
		if o.worker == w {
			m = o
		}
	}
	if m == nil {
		m = &member{worker: w}
		d.members = append(d.members, m)
	}
	if m.phase == phase && !cold {
		return
	}
	m.phase = phase
	if cold {
		m.since = time.Now().Add(d.clockOffset).UnixMilli()
	}
	d.revision++
	w.unready.Store(phase != phaseActive)
	d.recordSnapshot()
	d.record.addChange(EndpointChange{Revision: d.revision, At: time.Now(), Worker: w.number, Phase: phase, Restarted: cold})
	close(d.changed)
	d.changed = make(chan struct{})
}

// initialList gives the list as a dispatcher is started with it.
func (d *discovery) initialList(dispatcher int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.asOf(time.Now()).encode(dispatcher)
}

// stepClock sets the clock forward or back that stamps starts.
func (d *discovery) stepClock(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.clockOffset += by
}

// failCalls has the next calls of each dispatcher fail.
func (d *discovery) failCalls(dispatchers int, faults []CallFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range dispatchers {
		d.faults[i] = append([]CallFault(nil), faults...)
	}
}

// silenceWatches has all open watches say nothing more.
func (d *discovery) silenceWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.silenced)
	d.silenced = make(chan struct{})
}

// setDown has it refuse all calls, or answer again.
func (d *discovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	if down {
		close(d.changed)
		d.changed = make(chan struct{})
	}
}

func (d *discovery) serve(dispatcher int, v *replicaView, w http.ResponseWriter, r *http.Request) {
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
	lag, delay := v.nextCall(time.Now())
	if !d.awaitChange(r, index, time.Duration(wait)*time.Millisecond, lag, silenced) {
		return
	}
	if fault == CallLate {
		delay = lateAnswerDelay
	}
	d.writeList(dispatcher, w, r, index, lag, delay, fault == CallBreaksOff)
}

// watchGap is how soon behind its last answer a watch goes on, and needs no turn.
const watchGap = 200 * time.Millisecond

// continuesWatch tells whether a call goes on with a watch.
func (d *discovery) continuesWatch(dispatcher int, wait int) bool {
	last := d.record.lastAnswerAt(dispatcher)
	return wait > 0 && time.Since(last) < watchGap
}

// replicaPollInterval is how often a replica that lags looks whether it has news by now.
const replicaPollInterval = 20 * time.Millisecond

// awaitChange waits for news, and tells whether the call is to be answered.
func (d *discovery) awaitChange(r *http.Request, index int, wait, lag time.Duration, silenced <-chan struct{}) bool {
	over := time.After(wait)
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
		case <-over:
			return true
		case <-silenced:
			<-r.Context().Done()
			return false
		case <-r.Context().Done():
			return false
		}
	}
}

// writeList writes the list, or half of it. It was composed before the delay.
func (d *discovery) writeList(dispatcher int, w http.ResponseWriter, r *http.Request, index int, lag, delay time.Duration, half bool) {
	d.mu.Lock()
	down, shown := d.down, d.asOf(time.Now().Add(-lag))
	d.mu.Unlock()
	time.Sleep(delay)
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	revision, text := shown.revision, shown.encode(dispatcher)
	if index == revision {
		text = fmt.Sprintf(`{"revision":%d,"complete":false,"members":[]}`, revision)
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

// resetCall breaks the connection of a call.
func resetCall(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}
