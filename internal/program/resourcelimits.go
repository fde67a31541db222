package program

import (
	"math"
	"runtime"
	"runtime/debug"

	"brassdale/internal/protocol"
	"brassdale/internal/transport"
)

// resourceLimits is how much of each resource the process may use under the limits that the platform states.
//
// Some file descriptors are reserved for the process itself (its log, its listeners, discovery, files, the socket for a successor,
// the admin API). Of the rest, outboundPercent are for connections to endpoints: a job occupies one for as long as it occupies a
// client's connection, and hedged attempts need more. The others are for connections of clients, and for a reserve of a tenth as
// many connections, on which further clients are rejected.
//
// Of the memory, a part is for the program's file, which processes of one program share, and a part for each process. The rest is for
// requests: their connections, bodies and streams.
type resourceLimits struct {
	inbound         int   // connections of each frontend
	inboundByMemory int   // connections of each frontend that the memory allows; inbound is not above it
	outbound        int   // connections to endpoints
	bodies          int64 // bytes of request bodies at each frontend
	streams         int   // jobs that are open at a multiplexed frontend
	heap            int64 // bytes; the runtime's soft memory limit
	threads         int   // 0 for the runtime's default
}

const (
	ownDescriptors      = 24
	reservedDescriptors = ownDescriptors + transport.MaxAdminConnections*11/10 // for each process
	defaultDescriptors  = 1024                                                 // if the platform states no limit

	outboundPercent = 45
	bodiesDivisor   = 10       // 1/bodiesDivisor of the memory is for request bodies at each frontend
	streamsDivisor  = 6        // 1/streamsDivisor of the memory is for streams, in addition to their bodies
	streamBytes     = 24 << 10 // memory for each stream
	defaultStreams  = 8192     // if the platform states no limit

	maxConnBytes = 48 << 10 // what a connection costs at most, with a head of the largest size

	// residentFileBytes is the part of the program's own file that is resident. The platform counts it; the runtime's limit does not.
	residentFileBytes = 16 << 20

	// processBytes is what the runtime has in a process without requests.
	processBytes = 4 << 20

	// The heap is at most heapPercent of the memory, and of what residentFileBytes leave over.
	heapPercent         = 60
	heapPercentOfRemain = 85
	minShareDivisor     = 4 // of a memory that is hardly above what is needed without requests, so much is assumed to remain

	// The parts of the heap for connections and bodies. What remains is for streams, for everything else, and for garbage.
	connsHeapPercent  = 35
	bodiesHeapPercent = 20
)

// newResourceLimits divides the platform's limits among the uses. The memory is divided evenly among the processes that run at the same time,
// where each needs processBytes besides its requests; descriptors are those of all processes together.
func newResourceLimits(stated protocol.Limits, frontends, processes int) resourceLimits {
	descriptors := stated.Sockets
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	available := descriptors - reservedDescriptors
	outbound := available * outboundPercent / 100
	limits := resourceLimits{
		inbound:         (available - outbound) * 10 / 11 / frontends,
		inboundByMemory: math.MaxInt,
		outbound:        outbound,
		bodies:          math.MaxInt64,
		streams:         defaultStreams,
		heap:            math.MaxInt64,
	}
	if stated.MemoryMB > 0 {
		limits.divideMemory(int64(stated.MemoryMB)<<20, int64(frontends), int64(processes))
	}
	if stated.Cores > 0 {
		limits.threads = max(int(math.Ceil(stated.Cores)), 1)
	}
	return limits
}

// divideMemory sets the limits that follow from the memory, in bytes.
func (l *resourceLimits) divideMemory(memory, frontends, processes int64) {
	alone := heapLimit(memory, 1)
	l.heap = heapLimit(memory, processes)
	ofRequests := func(bytes int64) int64 { return bytes * requestBytes(l.heap) / requestBytes(alone) } // this process's part
	l.bodies = ofRequests(min(memory/bodiesDivisor, alone*bodiesHeapPercent/100/frontends))
	l.streams = int(ofRequests(memory/streamsDivisor) / streamBytes)
	l.inboundByMemory = int(ofRequests(alone*connsHeapPercent/100) / maxConnBytes / frontends)
	l.inbound = min(l.inbound, l.inboundByMemory)
}

// heapLimit returns the soft memory limit of the runtime of each process, for the memory that the platform states. A process that runs alone
// leaves room for a successor, which starts before this process has freed anything.
func heapLimit(memory, processes int64) int64 {
	remaining := memory - residentFileBytes
	if processes == 1 {
		remaining -= processBytes
	}
	remaining = max(remaining, memory/minShareDivisor)
	return min(memory*heapPercent/100, remaining*heapPercentOfRemain/100) / processes
}

// requestBytes returns how much of a process's heap is for requests.
func requestBytes(heap int64) int64 { return max(heap-processBytes, heap/minShareDivisor) }

// inboundWithPeer returns how many connections two processes together may have at each frontend. The number is smaller than for one
// process: the second process needs descriptors of its own.
func (l *resourceLimits) inboundWithPeer(frontends int) int {
	return max(l.inbound-reservedDescriptors/frontends, 0)
}

// inboundBeside returns how many connections a frontend may have beside those of a peer process, which are taken to be half of all until it
// reports them. The parameter both is what the processes may have together.
func (l *resourceLimits) inboundBeside(usage *protocol.HandoverUsage, frontend, both int) int {
	used := both / 2
	if frontend < len(usage.Inbound) {
		used = usage.Inbound[frontend]
	}
	return min(l.inbound, max(both-used, 0))
}

// setResourceLimits computes the limits from those that the platform states. applyResourceLimits must be called after it.
func (d *dispatcher) setResourceLimits(stated protocol.Limits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits = newResourceLimits(stated, len(d.frontends), 1)
	d.limitsBesidePeer = newResourceLimits(stated, len(d.frontends), 2)
}

// applyResourceLimits applies the limits, less what a peer process uses: from the beginning of a handover on, the processes share the memory,
// and connections beyond this process's part are closed at once. It may be called from any goroutine.
func (d *dispatcher) applyResourceLimits() {
	d.mu.Lock()
	defer d.mu.Unlock()
	limits, usage, openJobs := d.limits, d.peerUsage, 0
	sharesMemory := usage != nil || d.sharesMemory.Load()
	if sharesMemory {
		limits = d.limitsBesidePeer
	}
	if usage != nil {
		limits.outbound = max(limits.outbound-usage.Outbound, 0)
		openJobs = usage.OpenJobs
	}
	for i, f := range d.frontends {
		inbound := limits.inbound
		if usage != nil {
			inbound = limits.inboundBeside(usage, i, d.limits.inboundWithPeer(len(d.frontends)))
		}
		f.listener.SetLimits(inbound, limits.bodies)
		f.listener.SetStreamLimit(limits.streams)
		if sharesMemory {
			f.listener.EvictBeyond(limits.inboundByMemory)
		}
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

// evictForSuccessor closes connections of this process while a successor serves: those that have sent no request while a frontend has more
// than half of the connections that both processes may have, because many of them would leave the successor no capacity, and all without a
// request that is taken beyond this process's part of the memory.
func (d *dispatcher) evictForSuccessor() {
	d.mu.Lock()
	both, own := d.limits.inboundWithPeer(len(d.frontends)), d.limitsBesidePeer.inboundByMemory
	d.mu.Unlock()
	for _, f := range d.frontends {
		f.listener.EvictSilent(both / 2)
		f.listener.EvictBeyond(own)
	}
}
