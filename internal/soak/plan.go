// Package soak plays real dispatchers on loopback against stand-ins for clients, workers and discovery, with faults drawn from a
// seed, and holds the rules of the protocol over what these peers recorded. It knows nothing of how a dispatcher decides.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what happens in an event.
type Kind string

// The kinds of events.
const (
	Drain                Kind = "drain"          // a worker drains and stays up
	Join                 Kind = "join"           // a worker joins, cold
	Restart              Kind = "restart"        // a worker ends and comes back cold
	WorkerHangs          Kind = "worker-hangs"   // it takes jobs and says nothing
	WorkerResets         Kind = "worker-resets"  // it breaks connections under jobs
	WorkerReadsLate      Kind = "worker-late"    // it takes a while to read from new connections
	FaultyCalls          Kind = "faulty-calls"   // the next three calls of each dispatcher to discovery fail, each in its own way
	SilentWatches        Kind = "silent-watches" // open watches fall silent
	DiscoveryDown        Kind = "discovery-down" // discovery refuses all calls
	DiscoveryMove        Kind = "move"           // a new configuration moves discovery
	Reload               Kind = "reload"         // a new configuration changes nothing
	ProcessPauses        Kind = "hold-ups"       // a dispatcher is stopped for 0.15 s again and again
	Terminate            Kind = "term"           // a dispatcher is told to end, killed as early as may be, and started again
	Kill                 Kind = "kill"           // a dispatcher is killed and started again
	IdleClients          Kind = "crowd"          // connections that say nothing or stop half way
	ClientsLeave         Kind = "clients-leave"  // clients close their connections soon behind their requests
	ClockStep            Kind = "clock-step"     // the clock that stamps starts is set forward or back
	ReplicaLag           Kind = "lag"            // a replica of discovery shows the list late, at each call or at every other
	MoveToLaggingReplica Kind = "lagging-move"   // a worker drains, and a new configuration moves discovery to a replica that lags
	DelayedAnswers       Kind = "slow-answers"   // answers of discovery are held back, each for another time: they overtake each other
	DiscoveryMoves       Kind = "moves"          // several new configurations in a row, with a drain between them
)

// Kinds lists all kinds.
var Kinds = []Kind{Drain, Join, Restart, WorkerHangs, WorkerResets, WorkerReadsLate, FaultyCalls, SilentWatches, DiscoveryDown, DiscoveryMove, Reload,
	ProcessPauses, Terminate, Kill, IdleClients, ClientsLeave, ClockStep, ReplicaLag, MoveToLaggingReplica, DelayedAnswers, DiscoveryMoves}

// CallFault is what discovery does with a call.
type CallFault string

// The faults of a call.
const (
	CallHangs     CallFault = "hangs"
	CallBreaksOff CallFault = "breaks-off" // half an answer, then nothing
	CallReset     CallFault = "refused"    // the connection is reset
	CallRejected  CallFault = "503"
	CallLate      CallFault = "late" // 1.95 s later
)

var callFaults = []CallFault{CallHangs, CallBreaksOff, CallReset, CallRejected, CallLate}

// Event is something that happens in a run.
type Event struct {
	At       time.Duration
	Duration time.Duration
	Kind     Kind
	Target   int           // a worker or a dispatcher, by its number
	Calls    []CallFault   // of FaultyCalls
	Step     time.Duration // of ClockStep; of Lag and LaggingMove how late the list is, of SlowAnswers how late at the most
	Flaps    bool          // of Lag: at every other call only
	Worker   int           // that drains, of LaggingMove and Moves
}

// String words an event for a timeline.
func (e Event) String() string {
	return fmt.Sprintf("%s of %d for %v %v", e.Kind, e.Target, e.Duration, e.Calls)
}

// Effects of a class, as the settings have them.
const (
	Idempotent        = "safe"
	IdempotentWithKey = "keyed"
	NonIdempotent     = "unsafe"
)

// Plan is all that a run does.
type Plan struct {
	Scenario             string
	Seed                 uint64
	Dispatchers          int
	Workers              int
	Span                 time.Duration
	Rate                 float64 // requests a second at each dispatcher
	Idempotency          string
	Deadline             time.Duration
	DeduplicationWindow  time.Duration // for a repeat of a keyed request
	MayHedge             bool          // a request may have two attempts out
	ListsPushed          bool          // lists are pushed to an agent, and what it has counts as told at once
	DiscoveryCrowded     bool          // discovery serves calls in turn, and needs some seconds for one of each dispatcher
	DiscoveryClockOffset time.Duration // how far the clock that stamps starts is ahead
	SystemCallFaults     string        // rules for system calls that fail; empty for none
	Events               []Event
}

const (
	quietStart        = 3 * time.Second // until the first event: watches are open by then
	quietEnd          = 8 * time.Second // behind the last one: what was told late shows
	maxReplicaLagMS   = 2500            // milliseconds that a replica of discovery is behind at the most
	firstJoinedWorker = 90              // numbers of workers that join begin behind this
)

// Draw makes the plan of a seed.
func (f *File) Draw(seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, 36))
	between := func(r []int) int { return r[0] + rng.IntN(r[1]-r[0]+1) }
	p := Plan{Scenario: f.Title, Seed: seed, Dispatchers: between(f.Dispatchers), Workers: between(f.Workers), Span: f.span(), Rate: f.Rate,
		Idempotency:          []string{Idempotent, IdempotentWithKey, NonIdempotent}[rng.IntN(3)],
		Deadline:             []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second}[rng.IntN(3)],
		DeduplicationWindow:  []time.Duration{500 * time.Millisecond, 2 * time.Second}[rng.IntN(2)],
		MayHedge:             rng.IntN(2) == 0,
		DiscoveryClockOffset: []time.Duration{0, time.Hour, -time.Hour, 7 * time.Second, -7 * time.Second}[rng.IntN(5)]}
	if len(f.Failures) > 0 && rng.IntN(3) == 0 {
		p.SystemCallFaults = f.Failures[rng.IntN(len(f.Failures))]
	}
	p.ListsPushed = rng.IntN(4) == 0
	p.DiscoveryCrowded = !p.ListsPushed && rng.IntN(4) == 0
	joined := firstJoinedWorker
	for at := quietStart; at < p.Span-quietEnd; at += time.Duration((0.3 + rng.Float64()) * float64(f.every())) {
		e := Event{At: at, Kind: f.kinds()[rng.IntN(len(f.kinds()))], Duration: time.Duration((0.5 + 2*rng.Float64()) * float64(time.Second))}
		switch e.Kind {
		case Drain, Restart, WorkerHangs, WorkerResets, WorkerReadsLate:
			e.Target = rng.IntN(p.Workers)
		case Join:
			e.Target = joined
			joined++
		case FaultyCalls:
			for range 3 {
				e.Calls = append(e.Calls, callFaults[rng.IntN(len(callFaults))])
			}
			// What may be held back is a change: one follows.
			p.Events = append(p.Events, Event{At: at + time.Duration(rng.IntN(1500))*time.Millisecond, Kind: Drain, Target: rng.IntN(p.Workers)})
		case ClockStep:
			e.Step = []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second}[rng.IntN(4)]
		case ReplicaLag:
			e.Target, e.Step, e.Flaps = rng.IntN(p.Dispatchers), time.Duration(1+rng.IntN(maxReplicaLagMS))*time.Millisecond, rng.IntN(2) == 0
			if p.ListsPushed { // an agent is not late
				e.Kind = Reload
			}
		case MoveToLaggingReplica, DiscoveryMoves:
			e.Target, e.Worker, e.Step = rng.IntN(p.Dispatchers), rng.IntN(p.Workers), time.Duration(1+rng.IntN(maxReplicaLagMS))*time.Millisecond
			if p.ListsPushed {
				e.Kind = Reload
			}
		case DelayedAnswers:
			e.Target, e.Step = rng.IntN(p.Dispatchers), time.Duration(200+rng.IntN(1300))*time.Millisecond
			if p.ListsPushed {
				e.Kind = Reload
			}
		default:
			if p.ListsPushed && e.Kind == DiscoveryMove { // what a new agent has counts later
				e.Kind = Reload
			}
			e.Target = rng.IntN(p.Dispatchers)
		}
		p.Events = append(p.Events, e)
	}
	slices.SortStableFunc(p.Events, func(a, b Event) int { return int(a.At - b.At) })
	return p
}
