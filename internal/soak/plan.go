// Package soak runs real dispatcher processes on loopback against stand-ins for clients, workers and discovery, injects faults drawn
// from a seed, and checks the rules of the protocol on what these peers recorded. It assumes nothing about how a dispatcher decides.
//
// The stand-ins of package emulator model the time that workers need and answer each call as the protocol says. The stand-ins of this package
// break connections and answers on purpose, byte by byte: half answers, resets, replicas with old lists, answers that overtake each other.
// They also record when the bytes of each request were written and read, for the audit. The tests of cmd/brassdale have a third kind of
// stand-in, with which a test chooses each answer.
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// EventKind is the kind of an event, as scenario files name it.
type EventKind string

// The kinds of events. To add one:
//   - Append it to ShutdownEventKinds, HTTP2EventKinds, MisuseEventKinds or EventKinds. A file without events draws from all of EventKinds, so an entry added there changes
//     the events of each of its seeds.
//   - drawEvent: which parameters are drawn for it. Without a case, a dispatcher is drawn as its target.
//   - needsPolledLists: whether it makes sense only where lists are polled.
//   - runEvent, and runWorkerEvent, runDiscoveryEvent or runDispatcherEvent in run.go: what the event does. Without a case it does nothing,
//     and no error reports that.
//   - Audit, if it changes what the rules allow.
const (
	Drain                EventKind = "drain"          // a worker starts draining and stays up
	Join                 EventKind = "join"           // a worker joins and warms up
	Restart              EventKind = "restart"        // a worker ends, comes back and warms up
	WorkerHangs          EventKind = "worker-hangs"   // a worker takes jobs and sends nothing
	WorkerResets         EventKind = "worker-resets"  // a worker resets connections that carry jobs
	WorkerReadsLate      EventKind = "worker-late"    // a worker reads late from new connections
	FaultyCalls          EventKind = "faulty-calls"   // the next three calls of each dispatcher to discovery fail, each with a fault of its own
	SilentWatches        EventKind = "silent-watches" // open watches fall silent
	DiscoveryDown        EventKind = "discovery-down" // discovery rejects all calls
	DiscoveryMove        EventKind = "move"           // a new configuration names another address of discovery
	Reload               EventKind = "reload"         // a new configuration changes nothing
	ProcessPauses        EventKind = "hold-ups"       // a dispatcher is stopped for 0.15 s, repeatedly
	Terminate            EventKind = "term"           // a dispatcher gets SIGTERM, then SIGKILL as early as the platform may send it, and is restarted
	Kill                 EventKind = "kill"           // a dispatcher gets SIGKILL and is restarted
	IdleClients          EventKind = "crowd"          // many connections that send nothing
	ClientsLeave         EventKind = "clients-leave"  // clients close their connections soon after their requests
	ClockStep            EventKind = "clock-step"     // discovery's clock, by which starts of workers are stamped, is set forward or back
	ReplicaLag           EventKind = "lag"            // a replica of discovery shows an old list, at each call or at every other
	MoveToLaggingReplica EventKind = "lagging-move"   // a worker starts draining, and a new configuration names a replica that lags
	DelayedAnswers       EventKind = "slow-answers"   // answers of discovery are delayed by different times, so that they may overtake each other
	DiscoveryMoveSeries  EventKind = "moves"          // several new configurations in a row, and a worker starts draining between them
)

// EventKinds lists the kinds that a file without events draws from.
var EventKinds = []EventKind{Drain, Join, Restart, WorkerHangs, WorkerResets, WorkerReadsLate, FaultyCalls, SilentWatches, DiscoveryDown, DiscoveryMove, Reload,
	ProcessPauses, Terminate, Kill, IdleClients, ClientsLeave, ClockStep, ReplicaLag, MoveToLaggingReplica, DelayedAnswers, DiscoveryMoveSeries}

// Kinds that are drawn only for files that name them. If a kind other than TermAtStart ends a process, clients use the process's open
// connections until the process has ended.
const (
	UseUntilKill        EventKind = "use-until-kill"   // SIGTERM, then SIGKILL as early as the platform may send it
	ReloadsThenTerm     EventKind = "hup-hup-term"     // SIGHUP, SIGHUP and SIGTERM within 50 ms
	TermTwice           EventKind = "term-term"        // SIGTERM twice
	BadReload           EventKind = "bad-hup"          // SIGHUP with an invalid configuration, then with a valid one
	TermAtStart         EventKind = "term-at-start"    // SIGTERM in the first 100 ms of a process
	TermAtHandover      EventKind = "term-at-handover" // SIGTERM while a successor takes over
	IdleClientsAtDrain  EventKind = "crowd-drain"      // many connections that send nothing, and a worker starts draining
	IdleClientsAtOutage EventKind = "crowd-down"       // many connections that send nothing, while discovery rejects all calls
	MoveAfterReturn     EventKind = "returned-move"    // a worker drains, returns and drains, then discovery moves to a replica with an older list
	MoveAfterRestart    EventKind = "restarted-move"   // a worker restarts, then discovery moves to a replica with an older list
	MoveAfterSecondEnd  EventKind = "ended-move"       // a worker leaves, restarts and leaves, then discovery moves to a replica with an older list
	HTTP2Crowd          EventKind = "http2-crowd"      // more HTTP/2 clients than the frontend takes connect at once, repeatedly, each with one request
)

// ShutdownEventKinds lists the kinds that are drawn only for files that name them.
var ShutdownEventKinds = []EventKind{UseUntilKill, ReloadsThenTerm, TermTwice, BadReload, TermAtStart, TermAtHandover, IdleClientsAtDrain, IdleClientsAtOutage,
	MoveAfterReturn, MoveAfterRestart, MoveAfterSecondEnd}

// HTTP2EventKinds lists the kinds that need File.HTTP2; they are drawn only for files that name them.
var HTTP2EventKinds = []EventKind{HTTP2Crowd}

// Kinds that need File.HTTP2 and are drawn only for files that name them: clients that misuse the ports, and silence during a handover.
const (
	SlowCrowd         EventKind = "slow-crowd"         // many clients write parts of requests, and connect again when they are disconnected
	Flood             EventKind = "flood"              // a client writes requests without waiting for answers
	KeysReturn        EventKind = "keys-return"        // clients leave and send their idempotency keys again
	SilentPredecessor EventKind = "silent-predecessor" // a process is replaced, and stopped for a while when its successor serves
)

// MisuseEventKinds lists these kinds.
var MisuseEventKinds = []EventKind{SlowCrowd, Flood, KeysReturn, SilentPredecessor}

// CallFault is what discovery does with a call instead of answering it at once.
type CallFault string

// The faults of a call.
const (
	CallHangs     CallFault = "hangs"
	CallBreaksOff CallFault = "breaks-off" // half an answer, then nothing
	CallReset     CallFault = "refused"    // the connection is reset
	CallRejected  CallFault = "503"
	CallLate      CallFault = "late" // the answer comes 1.95 s later
)

var callFaults = []CallFault{CallHangs, CallBreaksOff, CallReset, CallRejected, CallLate}

// Event is a fault or a change in a run.
type Event struct {
	At       time.Duration // since the run started
	Duration time.Duration // of the fault
	Kind     EventKind
	Target   int           // the worker or dispatcher concerned, by its number
	Calls    []CallFault   // for FaultyCalls: the faults of the next three calls
	Step     time.Duration // of the clock for ClockStep; age of the list for ReplicaLag and moves; longest delay for DelayedAnswers; pause between signals
	Flaps    bool          // for ReplicaLag: only every other call shows the old list
	Worker   int           // the worker that changes, for moves and IdleClientsAtDrain
}

// String returns the event as a timeline shows it.
func (e Event) String() string {
	return fmt.Sprintf("%s of %d for %v %v", e.Kind, e.Target, e.Duration, e.Calls)
}

// The values of a class's effect in the settings. The effect determines whether a request may be repeated.
const (
	Idempotent        = "safe"
	IdempotentWithKey = "keyed"
	NonIdempotent     = "unsafe"
)

// Plan is all that a run does. The same scenario and seed give the same plan.
type Plan struct {
	Scenario             string
	Seed                 uint64
	Dispatchers          int
	Workers              int
	Span                 time.Duration
	Rate                 float64 // requests a second at each dispatcher
	Idempotency          string
	Deadline             time.Duration
	DeduplicationWindow  time.Duration // in which workers drop repeats of a request with an idempotency key
	MayHedge             bool          // a request may have two attempts in flight
	ListsPushed          bool          // lists are pushed to an agent; a dispatcher counts as notified of a list once the agent has it
	DiscoveryOverloaded  bool          // discovery serves calls one after the other, and needs some seconds for one call of each dispatcher
	DiscoveryClockOffset time.Duration // how far discovery's clock, by which starts of workers are stamped, is ahead
	LateWeight           float64       // of the class: weight of a late answer
	HTTP2                bool          // dispatchers have an HTTP/2 frontend, and clients use it too
	Sockets              int           // descriptors that a dispatcher may have
	SystemCallFaults     string        // rules for internal/inject; empty for a run without these faults
	Events               []Event
}

const (
	quietStart        = 3 * time.Second // before the first event, so that watches are open
	quietEnd          = 8 * time.Second // after the last event, so that the effects of a late notification are recorded
	maxReplicaLagMS   = 2500            // milliseconds
	firstJoinedWorker = 90              // number of the first worker that joins
)

// Draw returns the plan of a seed.
func (f *File) Draw(seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, 36))
	between := func(limits []int) int { return limits[0] + rng.IntN(limits[1]-limits[0]+1) }
	plan := Plan{Scenario: f.Title, Seed: seed, Dispatchers: between(f.Dispatchers), Workers: between(f.Workers), Span: f.span(), Rate: f.Rate, HTTP2: f.HTTP2, Sockets: cmp.Or(f.Sockets, defaultSockets),
		Idempotency:          []string{Idempotent, IdempotentWithKey, NonIdempotent}[rng.IntN(3)],
		Deadline:             []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second}[rng.IntN(3)],
		DeduplicationWindow:  []time.Duration{500 * time.Millisecond, 2 * time.Second}[rng.IntN(2)],
		MayHedge:             rng.IntN(2) == 0,
		DiscoveryClockOffset: []time.Duration{0, time.Hour, -time.Hour, 7 * time.Second, -7 * time.Second}[rng.IntN(5)]}
	if len(f.Failures) > 0 && rng.IntN(3) == 0 {
		plan.SystemCallFaults = f.Failures[rng.IntN(len(f.Failures))]
	}
	plan.LateWeight = f.drawLateWeight(seed)
	plan.ListsPushed = rng.IntN(4) == 0
	plan.DiscoveryOverloaded = !plan.ListsPushed && rng.IntN(4) == 0
	nextWorker := firstJoinedWorker
	for at := quietStart; at < plan.Span-quietEnd; at += time.Duration((0.3 + rng.Float64()) * float64(f.every())) {
		event := Event{At: at, Kind: f.kinds()[rng.IntN(len(f.kinds()))], Duration: time.Duration((0.5 + 2*rng.Float64()) * float64(time.Second))}
		if event.Kind == Join {
			event.Target = nextWorker
			nextWorker++
		}
		plan.drawEvent(rng, event)
	}
	slices.SortStableFunc(plan.Events, func(a, b Event) int { return int(a.At - b.At) })
	return plan
}

// defaultLateWeight is the late weight of files that name none.
const defaultLateWeight = 0.1

// drawLateWeight draws one of the file's late weights with a generator of its own, so that the other draws do not depend on it.
func (f *File) drawLateWeight(seed uint64) float64 {
	if len(f.LateWeights) == 0 {
		return defaultLateWeight
	}
	return f.LateWeights[rand.New(rand.NewPCG(seed, 37)).IntN(len(f.LateWeights))]
}

// drawEvent draws the parameters of an event and adds it to the plan.
func (p *Plan) drawEvent(rng *rand.Rand, event Event) {
	kind := event.Kind
	if p.ListsPushed && needsPolledLists(kind) {
		event.Kind = Reload // the parameters of its kind are drawn nevertheless, so that later draws do not depend on ListsPushed
	}
	switch kind {
	case Join:
	case Drain, Restart, WorkerHangs, WorkerResets, WorkerReadsLate:
		event.Target = rng.IntN(p.Workers)
	case FaultyCalls:
		for range 3 {
			event.Calls = append(event.Calls, callFaults[rng.IntN(len(callFaults))])
		}
		// Failing calls delay the notification of a change, so a change follows.
		drain := Event{At: event.At + time.Duration(rng.IntN(1500))*time.Millisecond, Kind: Drain, Target: rng.IntN(p.Workers)}
		p.Events = append(p.Events, drain)
	case ClockStep:
		event.Step = []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second}[rng.IntN(4)]
	case ReplicaLag:
		event.Target = rng.IntN(p.Dispatchers)
		event.Step = time.Duration(1+rng.IntN(maxReplicaLagMS)) * time.Millisecond
		event.Flaps = rng.IntN(2) == 0
	case MoveToLaggingReplica, DiscoveryMoveSeries:
		event.Target = rng.IntN(p.Dispatchers)
		event.Worker = rng.IntN(p.Workers)
		event.Step = time.Duration(1+rng.IntN(maxReplicaLagMS)) * time.Millisecond
	case MoveAfterReturn, MoveAfterRestart, MoveAfterSecondEnd, IdleClientsAtDrain:
		event.Target = rng.IntN(p.Dispatchers)
		event.Worker = rng.IntN(p.Workers)
		event.Step = minHistoryLag + time.Duration(rng.Int64N(int64(maxHistoryLag-minHistoryLag)))
	case ReloadsThenTerm, TermTwice, BadReload, TermAtStart, TermAtHandover:
		event.Target = rng.IntN(p.Dispatchers)
		event.Step = time.Duration(rng.Int64N(int64(maxSignalPause)))
	case DelayedAnswers:
		event.Target = rng.IntN(p.Dispatchers)
		event.Step = time.Duration(200+rng.IntN(1300)) * time.Millisecond
	default:
		event.Target = rng.IntN(p.Dispatchers)
	}
	p.Events = append(p.Events, event)
}

// needsPolledLists reports whether a kind of event makes sense only where lists are polled. After a move to another agent, the platform
// counts a dispatcher as notified of the agent's list only later, which the audit does not model.
func needsPolledLists(kind EventKind) bool {
	switch kind {
	case ReplicaLag, MoveToLaggingReplica, DiscoveryMoveSeries, DelayedAnswers, DiscoveryMove, MoveAfterReturn, MoveAfterRestart, MoveAfterSecondEnd:
		return true
	}
	return false
}
