package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"brassdale/scheduler"
)

// maxPollInterval is the maximum age of a dispatcher's endpoint list while it has no watch open: the dispatcher counts as notified of
// an older change. It is the value of askWithin in the configuration that the emulator writes. The platform counts a dispatcher as
// notified after 6 s (polling.NotificationDeadline), which package soak audits; the emulator's audit allows 4 s more.
const maxPollInterval = 10 * time.Second

// PollLimits limits the polls of all dispatchers together, on sockets.
type PollLimits struct {
	Rate          float64       // polls that discovery handles per second, in order of arrival; 0 for no limit
	ClientTimeout time.Duration // a poll that would wait longer than this is rejected after this time
}

// pollQueue orders the polls of all dispatchers and spaces them by the limits.
type pollQueue struct {
	mu       sync.Mutex
	nextAt   time.Time // of the next free turn
	polledAt []time.Time
	rejected int
}

// wait waits for a poll's turn. It returns false if the poll is rejected or the context ends.
func (q *pollQueue) wait(ctx context.Context, limits *PollLimits) bool {
	delay, rejected := q.takeTurn(time.Now(), limits)
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
	return !rejected && ctx.Err() == nil
}

// takeTurn counts a poll and returns the time until its turn, or until it is rejected.
func (q *pollQueue) takeTurn(now time.Time, limits *PollLimits) (delay time.Duration, rejected bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.polledAt = append(q.polledAt, now)
	if q.nextAt.Before(now) {
		q.nextAt = now
	}
	delay = q.nextAt.Sub(now)
	switch {
	case limits.Rate <= 0:
	case delay > limits.ClientTimeout:
		q.rejected++
		return limits.ClientTimeout, true
	default:
		q.nextAt = q.nextAt.Add(time.Duration(float64(time.Second) / limits.Rate))
	}
	return delay, false
}

// PollCounts is how often all dispatchers polled discovery.
type PollCounts struct {
	Polls, Rejected int
	MaxPerSecond    int           // most polls in any second
	LongestGap      time.Duration // longest time in which a dispatcher had no poll open
}

// PollCounts returns the counts until now.
func (c *Cluster) PollCounts() (counts PollCounts) {
	c.pollQueue.mu.Lock()
	counts.Polls, counts.Rejected = len(c.pollQueue.polledAt), c.pollQueue.rejected
	oldest := 0
	for i, at := range c.pollQueue.polledAt {
		for at.Sub(c.pollQueue.polledAt[oldest]) >= time.Second {
			oldest++
		}
		counts.MaxPerSecond = max(counts.MaxPerSecond, i-oldest+1)
	}
	c.pollQueue.mu.Unlock()
	for _, server := range c.discoveryServers {
		server.mu.Lock()
		counts.LongestGap = max(counts.LongestGap, server.longestIdle)
		server.mu.Unlock()
	}
	return counts
}

// DiscoveryServer serves discovery to one dispatcher.
type DiscoveryServer struct {
	cluster       *Cluster
	dispatcher    int
	zone          int
	workerServers map[scheduler.WorkerID]*workerServer

	// Owned by the engine.
	knownStarts map[scheduler.WorkerID]time.Duration // latest start of each worker of which the dispatcher was notified
	random      *rand.Rand

	mu          sync.Mutex
	listener    net.Listener
	server      *http.Server
	revision    int
	down        bool // polls are rejected
	hung        bool // polls are not answered
	entries     map[scheduler.WorkerID]entry
	workerIDs   []scheduler.WorkerID
	changed     chan struct{} // closed by the next change
	incarnation int           // of the dispatcher: counts its starts and ends
	absent      bool          // the dispatcher is ending or gone
	openPolls   int           // of this incarnation
	idleSince   time.Time     // when the last open poll ended; zero while a poll is open, and before the first poll
	longestIdle time.Duration // longest time without an open poll
}

// entry is a worker's entry in the list and the revision of its last change.
type entry struct {
	info     scheduler.WorkerInfo
	revision int
}

// newDiscoveryServer starts discovery and all workers for one dispatcher.
func (c *Cluster) newDiscoveryServer(dispatcher int) (*DiscoveryServer, error) {
	discovery := &DiscoveryServer{
		cluster:       c,
		dispatcher:    dispatcher,
		zone:          dispatcher % max(c.sim.scenario.Network.Zones, 1),
		workerServers: map[scheduler.WorkerID]*workerServer{},
		knownStarts:   map[scheduler.WorkerID]time.Duration{},
		random:        c.sim.randomSource(uint64(firstDispatcherSource + dispatcher)),
		entries:       map[scheduler.WorkerID]entry{},
		changed:       make(chan struct{}),
	}
	if err := discovery.startListening(); err != nil {
		return nil, err
	}
	for _, worker := range c.sim.workers {
		server := &workerServer{discovery: discovery, worker: worker}
		if err := server.startListening("127.0.0.1:0"); err != nil {
			return nil, err
		}
		discovery.workerServers[worker.id] = server
		discovery.entries[worker.id] = entry{info: worker.endpoint()}
		discovery.workerIDs = append(discovery.workerIDs, worker.id)
	}
	return discovery, nil
}

// SetPresent records that a dispatcher, by index, is being started or is ending. Polls of its earlier incarnations no longer count
// towards the time without an open poll.
func (c *Cluster) SetPresent(dispatcher int, present bool) {
	server := c.discoveryServers[dispatcher]
	server.mu.Lock()
	defer server.mu.Unlock()
	server.incarnation++
	server.absent, server.openPolls, server.idleSince = !present, 0, time.Time{}
}

// Move makes discovery listen at new addresses. The old addresses then refuse connections.
func (c *Cluster) Move() error {
	for _, server := range c.discoveryServers {
		old := server.server
		if err := server.startListening(); err != nil {
			return err
		}
		_ = old.Close()
	}
	return nil
}

// startListening listens at a new address.
func (d *DiscoveryServer) startListening() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: d}
	d.mu.Lock()
	d.listener, d.server = listener, server
	d.mu.Unlock()
	go serve(server, listener)
	return nil
}

// beginPoll counts a poll that begins. It returns the dispatcher's incarnation, which the caller passes to endPoll.
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

// endPoll counts the end of a poll of an incarnation.
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

// updateEndpoint changes a worker's entry. After maxPollInterval the change counts as notified even if no poll has seen it.
func (d *DiscoveryServer) updateEndpoint(endpoint scheduler.WorkerInfo) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	revision := d.revision
	d.entries[endpoint.ID] = entry{endpoint, revision}
	d.wakeWatchers()
	sim := d.cluster.sim
	sim.after(maxPollInterval, func() {
		d.mu.Lock()
		newest := d.entries[endpoint.ID].revision == revision
		d.mu.Unlock()
		if newest {
			sim.audit.endpointNotified(sim.now, d.dispatcher, endpoint.ID, endpoint.State)
		}
	})
}

// setFaults sets the faults of discovery in force.
func (d *DiscoveryServer) setFaults(down, hung bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down, d.hung = down, hung
	d.wakeWatchers()
}

// wakeWatchers makes all open watches check the list again. The caller holds d.mu.
func (d *DiscoveryServer) wakeWatchers() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// phaseNames are the worker states on the wire.
var phaseNames = map[scheduler.WorkerState]string{scheduler.Ready: "active", scheduler.Draining: "leaving", scheduler.Gone: "left"}

// wireMember is a worker on the wire. Like wireList it follows the protocol's documentation and shares no type with the
// program that reads it, so that a mistake in either shows.
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

// wireList is an endpoint list on the wire.
type wireList struct {
	Revision int          `json:"revision"`
	Complete bool         `json:"complete"`
	Members  []wireMember `json:"members"`
}

// fullList, in place of a revision, requests the full list.
const fullList = -1

// endpointsSince returns the entries that changed after a revision. If the revision is fullList, it returns the entries of all workers that
// are not gone. The caller holds d.mu.
func (d *DiscoveryServer) endpointsSince(revision int) (answer wireList, endpoints []scheduler.WorkerInfo) {
	answer = wireList{Revision: d.revision, Complete: revision < 0, Members: []wireMember{}}
	for _, id := range d.workerIDs {
		entry := d.entries[id]
		if revision >= 0 && entry.revision <= revision || revision < 0 && entry.info.State == scheduler.Gone {
			continue
		}
		answer.Members = append(answer.Members, d.wireMember(&entry.info))
		endpoints = append(endpoints, entry.info)
	}
	return answer, endpoints
}

// wireMember returns a worker as it is on the wire.
func (d *DiscoveryServer) wireMember(endpoint *scheduler.WorkerInfo) wireMember {
	member := wireMember{
		ID:       string(endpoint.ID),
		HostPort: d.workerServers[endpoint.ID].address,
		Locality: d.cluster.zoneNames()[endpoint.Zone],
		Flavor:   d.cluster.sim.scenario.Kinds[endpoint.MachineKind].Name,
		Cell:     endpoint.Cell,
		Phase:    phaseNames[endpoint.State],
		Size:     endpoint.Weight,
	}
	if endpoint.StartedAt > 0 {
		member.UpSinceMS = d.cluster.startedAt.Add(endpoint.StartedAt - clockStart).UnixMilli()
	}
	return member
}

// ServeHTTP answers a poll. A poll without a revision gets the full list. A poll with a revision is a watch: it gets the changes after the
// revision once there are any.
func (d *DiscoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	since := fullList
	if text := r.URL.Query().Get("index"); text != "" {
		var err error
		if since, err = strconv.Atoi(text); err != nil || since < 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	defer d.endPoll(d.beginPoll())
	if !d.cluster.pollQueue.wait(r.Context(), &d.cluster.sim.scenario.PollLimits) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait")) // an invalid number counts as 0
	wait := time.Duration(min(max(waitMS, 0), maxWatchMS)) * time.Millisecond
	answer, endpoints, err := d.watch(r.Context(), since, wait)
	switch {
	case errors.Is(err, errDiscoveryDown):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case err != nil:
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if json.NewEncoder(w).Encode(answer) != nil {
		return
	}
	sim := d.cluster.sim
	sim.post(func() {
		for _, endpoint := range endpoints {
			sim.audit.endpointNotified(sim.now, d.dispatcher, endpoint.ID, endpoint.State)
			d.knownStarts[endpoint.ID] = max(d.knownStarts[endpoint.ID], endpoint.StartedAt)
		}
	})
}

// maxWatchMS is the longest watch, in milliseconds.
const maxWatchMS = 60_000

// errDiscoveryDown ends a watch while discovery is down.
var errDiscoveryDown = errors.New("discovery is down")

// watch returns the list's changes after a revision as soon as there are any, or after wait. While discovery hangs it returns
// only when the context ends, with the context's error.
func (d *DiscoveryServer) watch(ctx context.Context, since int, wait time.Duration) (wireList, []scheduler.WorkerInfo, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	d.mu.Lock()
	defer d.mu.Unlock()
	for waiting := true; d.hung || !d.down && waiting && since >= d.revision; {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C: // fires once; a poll that hangs continues to wait
			waiting = false
		case <-ctx.Done():
			d.mu.Lock() // for the deferred unlock
			return wireList{}, nil, ctx.Err()
		}
		d.mu.Lock()
	}
	if d.down {
		return wireList{}, nil, errDiscoveryDown
	}
	answer, endpoints := d.endpointsSince(since)
	return answer, endpoints, nil
}
