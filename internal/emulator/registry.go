package emulator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"brassdale/scheduler"
)

// maxPollInterval is how old a dispatcher's list may be that has no watch open: what changed before binds it.
const maxPollInterval = 10 * time.Second

// Calls is how discovery takes the calls of all dispatchers together, on sockets.
type Calls struct {
	Rate          float64       // that it works through a second, in turn; 0 for any number
	ClientTimeout time.Duration // one that would wait longer is turned away then
}

// roundRobin are the calls of all doors.
type roundRobin struct {
	mu      sync.Mutex
	next    time.Time
	calls   []time.Time
	refused int
}

// take waits for a call's turn, and tells whether it came.
func (t *roundRobin) take(ctx context.Context, c *Calls) bool {
	now := time.Now()
	t.mu.Lock()
	t.calls = append(t.calls, now)
	if t.next.Before(now) {
		t.next = now
	}
	wait := t.next.Sub(now)
	late := c.Rate > 0 && wait > c.ClientTimeout
	if late {
		t.refused++
		wait = c.ClientTimeout
	} else if c.Rate > 0 {
		t.next = t.next.Add(time.Duration(float64(time.Second) / c.Rate))
	}
	t.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return !late && ctx.Err() == nil
}

// DiscoveryCalls is how discovery was asked.
type DiscoveryCalls struct {
	Calls, Refused int
	Max            int           // calls in any second
	Longest        time.Duration // that any dispatcher had no call open
}

// DiscoveryCalls gives it.
func (k *Cluster) DiscoveryCalls() (a DiscoveryCalls) {
	k.nextTurns.mu.Lock()
	a.Calls, a.Refused = len(k.nextTurns.calls), k.nextTurns.refused
	from := 0
	for i, at := range k.nextTurns.calls {
		for at.Sub(k.nextTurns.calls[from]) >= time.Second {
			from++
		}
		a.Max = max(a.Max, i-from+1)
	}
	k.nextTurns.mu.Unlock()
	for _, d := range k.doors {
		d.mu.Lock()
		a.Longest = max(a.Longest, d.longest)
		d.mu.Unlock()
	}
	return a
}

// Present tells that the n-th dispatcher is being started, or that it is ending: what it asks then, or does not, is no
// part of a watch.
func (k *Cluster) Present(n int, is bool) {
	d := k.doors[n]
	d.mu.Lock()
	defer d.mu.Unlock()
	d.life++
	d.absent, d.open, d.quiet = !is, 0, time.Time{}
}

// Move puts discovery at another address. At the old one nobody is any more.
func (k *Cluster) Move() error {
	for _, d := range k.doors {
		old := d.server
		if err := d.listens(); err != nil {
			return err
		}
		_ = old.Close()
	}
	return nil
}

// listens opens an address for the door's discovery.
func (d *DiscoveryServer) listens() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: d}
	d.mu.Lock()
	d.listen, d.server = l, server
	d.mu.Unlock()
	go server.Serve(l)
	return nil
}

// begin counts a call, of the life that it gives.
func (d *DiscoveryServer) begin() (life int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.absent {
		return -1
	}
	if d.open++; d.open == 1 && !d.quiet.IsZero() {
		d.longest = max(d.longest, time.Since(d.quiet))
		d.quiet = time.Time{}
	}
	return d.life
}

// end is its end.
func (d *DiscoveryServer) end(life int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if life != d.life {
		return
	}
	if d.open--; d.open == 0 {
		d.quiet = time.Now()
	}
}

// change takes a change of the list.
func (d *DiscoveryServer) change(info scheduler.WorkerInfo) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.entries[info.ID] = entry{info, d.revision}
	d.wake()
	// Told or not, so long after it was made it binds.
	revision := d.revision
	d.cluster.w.after(maxPollInterval, func() {
		d.mu.Lock()
		newest := d.entries[info.ID].at == revision
		d.mu.Unlock()
		if newest {
			d.cluster.w.audit.notified(d.cluster.w.now, d.n, info.ID, info.State)
		}
	})
}

// fail begins or ends a fault of discovery: who watches hears of it.
func (d *DiscoveryServer) fail(down, hung bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down, d.hung = down, hung
	d.wake()
}

// wake has all who watch look again. d.mu is held.
func (d *DiscoveryServer) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

var phaseNames = map[scheduler.WorkerState]string{scheduler.Ready: "active", scheduler.Draining: "leaving", scheduler.Gone: "left"}

// member and list are written by the protocol's page, beside the program's own types for reading them: a mistake that both
// shared would not show.
type member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

type list struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// list gives the lines that changed since a revision; all that are not gone for a negative one. d.mu is held.
func (d *DiscoveryServer) list(since int) (l list, notified []scheduler.WorkerInfo) {
	l = list{Revision: d.revision, Complete: since < 0, Members: []member{}}
	for _, id := range d.order {
		e := d.entries[id]
		if since >= 0 && e.at <= since || since < 0 && e.info.State == scheduler.Gone {
			continue
		}
		m := member{ID: string(id), HostPort: d.gates[id].address, Locality: d.cluster.zones()[e.info.Zone], Flavor: d.cluster.w.s.Kinds[e.info.MachineKind].Name,
			Cell: e.info.Cell, Phase: phaseNames[e.info.State], Size: e.info.Weight}
		if e.info.StartedAt > 0 {
			m.UpSinceMS = d.cluster.begin.Add(e.info.StartedAt - epoch).UnixMilli()
		}
		l.Members = append(l.Members, m)
		notified = append(notified, e.info)
	}
	return l, notified
}

// ServeHTTP is discovery: the whole list, or a watch.
func (d *DiscoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	since := -1
	if text := r.URL.Query().Get("index"); text != "" {
		var err error
		if since, err = strconv.Atoi(text); err != nil || since < 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	defer d.end(d.begin())
	if !d.cluster.nextTurns.take(r.Context(), &d.cluster.w.s.Calls) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	over := time.NewTimer(time.Duration(min(max(wait, 0), 60_000)) * time.Millisecond)
	defer over.Stop()
	d.mu.Lock()
	for waiting := true; d.hung || !d.down && waiting && since >= d.revision; {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-over.C: // once; one that hangs waits on
			waiting = false
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	if d.down {
		d.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l, notified := d.list(since)
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if json.NewEncoder(w).Encode(l) != nil {
		return
	}
	d.cluster.w.post(func() {
		for _, info := range notified {
			d.cluster.w.audit.notified(d.cluster.w.now, d.n, info.ID, info.State)
			d.notifiedAt[info.ID] = max(d.notifiedAt[info.ID], info.StartedAt)
		}
	})
}
