package program

import (
	"math"
	"runtime"
	"runtime/debug"

	"brassdale/internal/protocol"
	"brassdale/internal/transport"
)

// shares deals out what the platform gives. Descriptors: those of the process itself first (its log, its listeners,
// discovery, files, the socket for a successor), the admin endpoint's; of the rest 45% for endpoints, since a job holds one there
// as long as one of its client's, and copies hold more, and 55% for clients, of which a tenth is there to refuse on.
type shares struct {
	inbound  int   // connections of each front
	outbound int   // connections to endpoints
	bodies   int64 // bytes of requests' bodies at each front
	streams  int   // jobs open at a front whose connections carry many
	heap     int64 // bytes that the collector works towards
	threads  int   // 0 for as many as there are
}

const (
	ownSockets   = 24
	fixedSockets = ownSockets + transport.MostCallers*11/10 // of each process
	usualSockets = 1024                                     // where the platform tells no limit
	bodiesPart   = 10                                       // of the memory, so much for requests' bodies at each front
	streamsPart  = 6                                        // and so much for streams, beside their bodies, ...
	streamCosts  = 24 << 10                                 // ... of which one costs so many bytes
	usualStreams = 8192                                     // where the platform tells no limit
)

func sharesOf(l protocol.Limits, fronts int) shares {
	sockets := l.Sockets
	if sockets == 0 {
		sockets = usualSockets
	}
	left := sockets - fixedSockets
	s := shares{outbound: left * 45 / 100, bodies: math.MaxInt64, heap: math.MaxInt64, streams: usualStreams}
	s.inbound = (left - s.outbound) * 10 / 11 / fronts
	if l.MemoryMB > 0 {
		s.bodies, s.heap = int64(l.MemoryMB)<<20/bodiesPart, int64(l.MemoryMB)<<20*6/10
		s.streams = l.MemoryMB << 20 / streamsPart / streamCosts
	}
	if l.Cores > 0 {
		s.threads = max(int(math.Ceil(l.Cores)), 1)
	}
	return s
}

// deal puts the shares in force, less what another process holds that acts as the same dispatcher; nil for none.
func (d *dispatcher) deal() {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.shares
	if d.others != nil {
		s.bodies, s.heap, s.streams = s.bodies/2, s.heap/2, s.streams/2
	}
	for i, f := range d.fronts {
		most := s.inbound
		if d.others != nil && i < len(d.others.Inbound) {
			most = max(most-d.others.Inbound[i]-fixedSockets/len(d.fronts), 0)
		}
		f.gate.SetLimits(most, s.bodies)
		f.gate.SetStreamLimit(s.streams)
	}
	if d.others != nil {
		s.outbound = max(s.outbound-d.others.Outbound, 0)
	}
	d.fleet.SetConnectionLimit(s.outbound)
	if d.accounts != nil {
		open := 0
		if d.others != nil {
			open = d.others.OpenJobs
		}
		d.accounts.ReserveFor(open)
	}
	debug.SetMemoryLimit(s.heap) // well before the limit at which the platform kills
	if s.threads > 0 {
		runtime.GOMAXPROCS(s.threads)
	}
}
