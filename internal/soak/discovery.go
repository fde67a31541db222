package soak

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
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
	record *Record
	stamps time.Duration // how far its clock is ahead

	mu       sync.Mutex
	revision int
	members  []*member
	changed  chan struct{}
	down     bool
	faults   map[int][]CallFault // by dispatcher: of the next calls
	silenced chan struct{}       // closed when all watches that are open fall silent
	servers  []*http.Server
}

const lateBy = 1950 * time.Millisecond

func newDiscovery(r *Record, stamps time.Duration) *discovery {
	return &discovery{record: r, stamps: stamps, changed: make(chan struct{}), silenced: make(chan struct{}), faults: map[int][]CallFault{}}
}

// address opens one more address for a dispatcher.
func (d *discovery) address(dispatcher int) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(dispatcher, w, r) })}
	d.mu.Lock()
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

// set changes the list and notes what changed of a worker.
func (d *discovery) set(w *worker, phase string, cold bool) {
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
		m.since = time.Now().Add(d.stamps).UnixMilli()
	}
	d.revision++
	d.record.change(Change{Revision: d.revision, At: time.Now(), Worker: w.number, Phase: phase, Cold: cold})
	close(d.changed)
	d.changed = make(chan struct{})
}

// list words the whole list for a dispatcher; d.mu is held.
func (d *discovery) list(dispatcher int) string {
	var lines []string
	for _, m := range d.members {
		lines = append(lines, fmt.Sprintf(`{"id":"w%d","host_port":%q,"locality":"here","flavor":"new","cell":%d,"phase":%q,"size":1.0,"up_since_ms":%d}`,
			m.worker.number, m.worker.address(dispatcher), m.worker.cell(), m.phase, m.since))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, d.revision, strings.Join(lines, ","))
}

// known gives the list as a dispatcher is started with it.
func (d *discovery) known(dispatcher int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list(dispatcher)
}

// stepClock sets the clock forward or back that stamps starts.
func (d *discovery) stepClock(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stamps += by
}

// failCalls has the next calls of each dispatcher fail.
func (d *discovery) failCalls(dispatchers int, faults []CallFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range dispatchers {
		d.faults[i] = append([]CallFault(nil), faults...)
	}
}

// silence has all open watches say nothing more.
func (d *discovery) silence() {
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

func (d *discovery) serve(dispatcher int, w http.ResponseWriter, r *http.Request) {
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
	case down || fault == Answers:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case fault == Refused:
		reset(w)
		return
	case fault == Hangs:
		<-r.Context().Done()
		return
	}
	if !d.await(r, index, time.Duration(wait)*time.Millisecond, silenced) {
		return
	}
	if fault == Late {
		time.Sleep(lateBy)
	}
	d.tell(dispatcher, w, r, index, fault == BreaksOff)
}

// await waits for news, and tells whether the call is to be answered.
func (d *discovery) await(r *http.Request, index int, wait time.Duration, silenced <-chan struct{}) bool {
	over := time.After(wait)
	for {
		d.mu.Lock()
		newer, changed := d.revision > index || d.down, d.changed
		d.mu.Unlock()
		if newer {
			return true
		}
		select {
		case <-changed:
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

// tell writes the list, or half of it.
func (d *discovery) tell(dispatcher int, w http.ResponseWriter, r *http.Request, index int, half bool) {
	d.mu.Lock()
	down, revision, text := d.down, d.revision, d.list(dispatcher)
	d.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if index >= revision {
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
	d.record.answer(Answer{Dispatcher: dispatcher, At: time.Now(), Revision: revision})
}

// reset breaks the connection of a call.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}
