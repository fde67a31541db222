package program

import (
	"math"
	"runtime"
	"runtime/debug"

	"brassdale/internal/protocol"
	"brassdale/internal/transport"
)

// resourceLimits is what the process may use of each resource, by the limits that the platform states.
//
// Of the file descriptors those of the process itself come first (its log, its listeners, discovery, files, the socket for a
// successor, the admin API). Of the rest outboundPercent are for endpoints, as a job has a connection there for as long as one
// of its client's, and hedges have more; of what is for clients a tenth is left to reject others on.
type resourceLimits struct {
	inbound  int   // connections of each frontend
	outbound int   // connections to endpoints
	bodies   int64 // bytes of request bodies at each frontend
	streams  int   // jobs that are open at a multiplexed frontend
	heap     int64 // bytes that the garbage collector aims at
	threads  int   // 0 for the runtime's default
}

const (
	ownDescriptors      = 24
	reservedDescriptors = ownDescriptors + transport.MaxAdminConnections*11/10 // of each process
	defaultDescriptors  = 1024                                                 // where the platform states no limit

	outboundPercent = 45
	bodiesPart      = 10       // 1/bodiesPart of the memory is for request bodies at each frontend
	streamsPart     = 6        // 1/streamsPart of the memory is for streams, in addition to their bodies
	streamBytes     = 24 << 10 // of memory for a stream
	defaultStreams  = 8192     // where the platform states no limit
)

// newResourceLimits divides what the platform states among the uses.
func newResourceLimits(stated protocol.Limits, frontends int) resourceLimits {
	descriptors := stated.Sockets
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	available := descriptors - reservedDescriptors
	outbound := available * outboundPercent / 100
	limits := resourceLimits{
		inbound:  (available - outbound) * 10 / 11 / frontends,
		outbound: outbound,
		bodies:   math.MaxInt64,
		streams:  defaultStreams,
		heap:     math.MaxInt64,
	}
	if stated.MemoryMB > 0 {
		memory := int64(stated.MemoryMB) << 20
		limits.bodies = memory / bodiesPart
		limits.heap = memory * 6 / 10
		limits.streams = stated.MemoryMB << 20 / streamsPart / streamBytes
	}
	if stated.Cores > 0 {
		limits.threads = max(int(math.Ceil(stated.Cores)), 1)
	}
	return limits
}

// inboundBesidePeer returns how many connections of each frontend two processes may have together: the second needs descriptors of its own.
func (l *resourceLimits) inboundBesidePeer(frontends int) int {
	return max(l.inbound-reservedDescriptors/frontends, 0)
}

// applyResourceLimits applies the limits, less what a peer process uses. It may be called from any goroutine.
func (d *dispatcher) applyResourceLimits() {
	d.mu.Lock()
	defer d.mu.Unlock()
	limits, usage := d.limits, d.peerUsage
	openJobs := 0
	if usage != nil {
		limits.bodies /= 2
		limits.heap /= 2
		limits.streams /= 2
		limits.outbound = max(limits.outbound-usage.Outbound, 0)
		openJobs = usage.OpenJobs
	}
	for i, f := range d.frontends {
		inbound := limits.inbound
		if usage != nil && i < len(usage.Inbound) {
			inbound = max(limits.inboundBesidePeer(len(d.frontends))-usage.Inbound[i], 0)
		}
		f.listener.SetLimits(inbound, limits.bodies)
		f.listener.SetStreamLimit(limits.streams)
	}
	d.endpoints.SetWorkerConnLimit(limits.outbound)
	if d.quotas != nil {
		d.quotas.ReserveForPeer(openJobs)
	}
	debug.SetMemoryLimit(limits.heap) // well below the memory at which the platform kills the process
	if limits.threads > 0 {
		runtime.GOMAXPROCS(limits.threads)
	}
}
