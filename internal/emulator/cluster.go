package emulator

import (
	"context"
	"errors"
	"time"

	"brassdale/scheduler"
)

// Cluster runs a scenario's workers and discovery on loopback sockets: the same model as in Run, by the real clock, for real
// dispatchers. Discovery and every worker have a separate address for each dispatcher, so that the sender of each message is
// known. Cluster is safe for use by several goroutines.
type Cluster struct {
	sim              *simulation
	startedAt        time.Time
	discoveryServers []*DiscoveryServer // by dispatcher
	pollQueue        pollQueue
	stop             context.CancelFunc
	engineDone       chan struct{}

	// Owned by the engine.
	requests        map[string]*socketRequest // by request id
	firstAttempts   []time.Duration           // when requests' first attempts were received
	furtherAttempts []time.Duration
	probedAt        []time.Duration
}

// socketRequest is a request of which at least one attempt was received. Its id header identifies it.
type socketRequest struct {
	id       uint64
	attempts int
}

// errVirtualTimeOnly is the error for scenarios that use features not modelled on sockets.
var errVirtualTimeOnly = errors.New("classes, memory, connections, live weights, bounded queues, pushed lists, reports in answers, bursts and heavy tails are modelled in virtual time only")

// Open starts a scenario's workers and discovery on loopback ports that the system chooses. Its faults begin with StartFaults.
// The caller must close the cluster.
func Open(scenario Scenario) (*Cluster, error) { return open(context.Background(), scenario) }

// open is Open with a context that ends the cluster's engine.
func open(ctx context.Context, scenario Scenario) (*Cluster, error) {
	sim, err := newSimulation(&scenario)
	if err != nil {
		return nil, err
	}
	if scenario.needsVirtualTime() {
		return nil, errVirtualTimeOnly
	}
	sim.wake = make(chan struct{}, 1)
	audited := scenario
	audited.Rules.DrainGrace += socketSlack
	audited.Traffic.DeduplicationWindow += socketSlack
	sim.audit.scenario = &audited
	ctx, stop := context.WithCancel(ctx)
	cluster := &Cluster{sim: sim, startedAt: time.Now(), stop: stop, engineDone: make(chan struct{}), requests: map[string]*socketRequest{}}
	for dispatcher := range scenario.Dispatchers {
		server, err := cluster.newDiscoveryServer(dispatcher)
		if err != nil {
			stop()
			cluster.closeServers()
			return nil, err
		}
		cluster.discoveryServers = append(cluster.discoveryServers, server)
	}
	cluster.watchSimulation()
	sim.after(0, sim.sampleZones)
	go func() {
		defer close(cluster.engineDone)
		sim.runInRealTime(ctx, clockStart, cluster.startedAt, cluster.syncListeners)
	}()
	return cluster, nil
}

// watchSimulation passes the simulation's endpoint updates and faults of discovery on to the discovery servers.
func (c *Cluster) watchSimulation() {
	c.sim.workerListeners = append(c.sim.workerListeners, func(endpoint scheduler.WorkerInfo) {
		for _, server := range c.discoveryServers {
			c.sim.after(c.sim.updateDelay(server.random), func() { server.updateEndpoint(endpoint) })
		}
	})
	c.sim.outageListeners = append(c.sim.outageListeners, func() {
		for _, server := range c.discoveryServers {
			server.setFaults(c.sim.discoveryDown > 0, c.sim.discoveryHung > 0)
		}
	})
}

// Close stops the engine and closes all listeners and connections.
func (c *Cluster) Close() {
	c.stop()
	<-c.engineDone
	c.closeServers()
}

// closeServers closes all listeners and connections.
func (c *Cluster) closeServers() {
	for _, discovery := range c.discoveryServers {
		_ = discovery.server.Close() // connections are broken on purpose
		for _, server := range discovery.workerServers {
			server.stopListening()
		}
	}
}

// StartFaults schedules the scenario's faults, from now. A second call schedules them once more.
func (c *Cluster) StartFaults() { c.sim.post(c.sim.scheduleFaults) }

// syncListeners opens the listeners of workers that came up. It closes the listeners of workers that went down, so that connections
// to them are refused.
func (c *Cluster) syncListeners() {
	for _, discovery := range c.discoveryServers {
		for _, server := range discovery.workerServers {
			down := server.worker.down
			if down == server.down {
				continue
			}
			server.down = down
			if down {
				server.stopListening()
			} else if err := server.startListening(server.address); err != nil {
				c.sim.addNote("worker %s: listening again failed: %v", server.worker.id, err)
			}
		}
	}
}

// receiveAttempt takes an attempt that was received on a socket. The time at which its first byte was sent is not known, so the
// attempt counts as sent now.
func (c *Cluster) receiveAttempt(attempt *attemptRun, id string, server *workerServer) {
	request := c.requests[id]
	if request == nil {
		request = &socketRequest{id: uint64(len(c.requests) + 1)}
		c.requests[id] = request
	}
	attempt.id, attempt.index = scheduler.RequestID(request.id), request.attempts
	if request.attempts == 0 {
		c.firstAttempts = append(c.firstAttempts, c.sim.now)
	} else {
		c.furtherAttempts = append(c.furtherAttempts, c.sim.now)
	}
	request.attempts++
	c.sim.attemptsSent++
	if server.worker.zone != server.discovery.zone {
		c.sim.crossings++
	}
	c.sim.audit.attemptSent(c.sim.now, server.discovery.dispatcher, request.id, server.worker.id, server.worker.cell, server.worker.zone)
	c.sim.after(c.sim.oneWayDelay(server.discovery.zone, server.worker, server.discovery.random), func() {
		if !attempt.over && !server.partitioned() {
			if server.worker.partitioned == 0 && !server.worker.down {
				c.sim.recordZoneWork(server.worker, attempt.work)
			}
			server.worker.receive(attempt)
		}
	})
}

// socketSlack is added to the rules' time limits on sockets, as the protocol says.
const socketSlack = 50 * time.Millisecond
