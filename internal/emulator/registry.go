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

// pollQueue are the calls of all doors.
type pollQueue struct {
	mu       sync.Mutex
	nextAt   time.Time
	polledAt []time.Time
	rejected int
}

// delay waits for a call's turn, and tells whether it came.
func (t *pollQueue) delay(ctx context.Context, limits *Calls) bool {
	now := time.Now()
	t.mu.Lock()
	t.polledAt = append(t.polledAt, now)
	if t.nextAt.Before(now) {
		t.nextAt = now
	}
	wait := t.nextAt.Sub(now)
	rejected := limits.Rate > 0 && wait > limits.ClientTimeout
	if rejected {
		t.rejected++
		wait = limits.ClientTimeout
	} else if limits.Rate > 0 {
		t.nextAt = t.nextAt.Add(time.Duration(float64(time.Second) / limits.Rate))
	}
	t.mu.Unlock()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return !rejected && ctx.Err() == nil
}

// DiscoveryCalls is how discovery was asked.
type DiscoveryCalls struct {
	Calls, Refused int
	Max            int           // calls in any second
	Longest        time.Duration // that any dispatcher had no call open
}

// DiscoveryCalls gives it.
func (k *Cluster) DiscoveryCalls() (calls DiscoveryCalls) {
	k.pollQueue.mu.Lock()
	calls.Calls, calls.Refused = len(k.pollQueue.polledAt), k.pollQueue.rejected
	oldest := 0
	for i, at := range k.pollQueue.polledAt {
		for at.Sub(k.pollQueue.polledAt[oldest]) >= time.Second {
			oldest++
		}
		calls.Max = max(calls.Max, i-oldest+1)
	}
	k.pollQueue.mu.Unlock()
	for _, server := range k.discoveryServers {
		server.mu.Lock()
		calls.Longest = max(calls.Longest, server.longestIdle)
		server.mu.Unlock()
	}
	return calls
}

// Present tells that the n-th dispatcher is being started, or that it is ending: what it asks then, or does not, is no
// part of a watch.
func (k *Cluster) Present(dispatcher int, present bool) {
	server := k.discoveryServers[dispatcher]
	server.mu.Lock()
	defer server.mu.Unlock()
	server.incarnation++
	server.absent, server.openPolls, server.idleSince = !present, 0, time.Time{}
}

// Move puts discovery at another address. At the old one nobody is any more.
func (k *Cluster) Move() error {
	for _, server := range k.discoveryServers {
		old := server.server
		if err := server.startListening(); err != nil {
			return err
		}
		_ = old.Close()
	}
	return nil
}

// startListening opens an address for the door's discovery.
func (d *DiscoveryServer) startListening() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: d}
	d.mu.Lock()
	d.listener, d.server = listener, server
	d.mu.Unlock()
	go server.Serve(listener)
	return nil
}

// beginPoll counts a call, of the life that it gives.
func (d *DiscoveryServer) beginPoll() (incarnation int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.absent {
		return -1
	}
	if d.openPolls++; d.openPolls == 1 && !d.idleSince.IsZero() {
		d.longestIdle = max(d.longestIdle, time.Since(d.idleSince))
		d.idleSince = time.Time{}
	}
	return d.incarnation
}

// endPoll is its endPoll.
func (d *DiscoveryServer) endPoll(incarnation int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if incarnation != d.incarnation {
		return
	}
	if d.openPolls--; d.openPolls == 0 {
		d.idleSince = time.Now()
	}
}

// updateEndpoint takes a updateEndpoint of the list.
func (d *DiscoveryServer) updateEndpoint(info scheduler.WorkerInfo) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.entries[info.ID] = entry{info, d.revision}
	d.wakeWatchers()
	// Told or not, so long after it was made it binds.
	revision := d.revision
	d.cluster.sim.after(maxPollInterval, func() {
		d.mu.Lock()
		newest := d.entries[info.ID].revision == revision
		d.mu.Unlock()
		if newest {
			d.cluster.sim.audit.endpointNotified(d.cluster.sim.now, d.dispatcher, info.ID, info.State)
		}
	})
}

// setFaults begins or ends a fault of discovery: who watches hears of it.
func (d *DiscoveryServer) setFaults(down, hung bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down, d.hung = down, hung
	d.wakeWatchers()
}

// wakeWatchers has all who watch look again. d.mu is held.
func (d *DiscoveryServer) wakeWatchers() {
	close(d.changed)
	d.changed = make(chan struct{})
}

var phaseNames = map[scheduler.WorkerState]string{scheduler.Ready: "active", scheduler.Draining: "leaving", scheduler.Gone: "left"}

// wireMember and list are written by the protocol's page, beside the program's own types for reading them: a mistake that both
// shared would not show.
type wireMember struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

type wireList struct {
	Revision int          `json:"revision"`
	Complete bool         `json:"complete"`
	Members  []wireMember `json:"members"`
}

// endpointsSince gives the lines that changed since a revision; all that are not gone for a negative one. d.mu is held.
func (d *DiscoveryServer) endpointsSince(since int) (answer wireList, endpoints []scheduler.WorkerInfo) {
	answer = wireList{Revision: d.revision, Complete: since < 0, Members: []wireMember{}}
	for _, id := range d.workerIDs {
		entry := d.entries[id]
		if since >= 0 && entry.revision <= since || since < 0 && entry.info.State == scheduler.Gone {
			continue
		}
		entryOnWire := wireMember{ID: string(id), HostPort: d.workerServers[id].address, Locality: d.cluster.zoneNames()[entry.info.Zone], Flavor: d.cluster.sim.scenario.Kinds[entry.info.MachineKind].Name,
			Cell: entry.info.Cell, Phase: phaseNames[entry.info.State], Size: entry.info.Weight}
		if entry.info.StartedAt > 0 {
			entryOnWire.UpSinceMS = d.cluster.startedAt.Add(entry.info.StartedAt - clockStart).UnixMilli()
		}
		answer.Members = append(answer.Members, entryOnWire)
		endpoints = append(endpoints, entry.info)
	}
	return answer, endpoints
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
	defer d.endPoll(d.beginPoll())
	if !d.cluster.pollQueue.delay(r.Context(), &d.cluster.sim.scenario.Calls) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	timeout := time.NewTimer(time.Duration(min(max(wait, 0), 60_000)) * time.Millisecond)
	defer timeout.Stop()
	d.mu.Lock()
	for waiting := true; d.hung || !d.down && waiting && since >= d.revision; {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C: // once; one that hangs waits on
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
	answer, endpoints := d.endpointsSince(since)
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if json.NewEncoder(w).Encode(answer) != nil {
		return
	}
	d.cluster.sim.post(func() {
		for _, info := range endpoints {
			d.cluster.sim.audit.endpointNotified(d.cluster.sim.now, d.dispatcher, info.ID, info.State)
			d.notifiedAt[info.ID] = max(d.notifiedAt[info.ID], info.StartedAt)
		}
	})
}
