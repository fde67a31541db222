// Package soak runs real dispatcher processes on loopback against stand-ins for clients, workers and discovery, injects faults drawn
// from a seed, and checks the rules of the protocol on what these peers recorded. It knows nothing of how a dispatcher decides.
//
// Its stand-ins are not those of package emulator, which model the time that workers need and answer each call as the protocol says. These
// break the protocol's connections and answers on purpose, byte by byte: halves of answers, resets, replicas with old lists, calls that
// overtake each other. They also record each request by its bytes, for the audit. The tests of cmd/brassdale have a third kind, by which a
// test decides each answer.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// EventKind is the kind of an event, as scenario files name it.
type EventKind string

// The kinds of events. To add one:
//   - Append it to ShutdownEventKinds, or to EventKinds: a file without events draws from all of the latter, so that each of its seeds then
//     has other events.
//   - drawEvent: what is drawn for it. Without a case it gets a dispatcher as its target.
//   - needsPolledLists: whether it makes sense only where lists are polled.
//   - playEvent, and playWorkerEvent, playDiscoveryEvent or playDispatcherEvent in run.go: what happens. Without a case nothing does, and
//     nothing reports that.
//   - Audit, if it changes what the rules allow.
const (
	Drain                EventKind = "drain"          // a worker starts draining and stays up
	Join                 EventKind = "join"           // a worker joins and warms up
	Restart              EventKind = "restart"        // a worker ends, comes back and warms up
	WorkerHangs          EventKind = "worker-hangs"   // a worker takes jobs and sends nothing
	WorkerResets         EventKind = "worker-resets"  // a worker resets connections that carry jobs
	WorkerReadsLate      EventKind = "worker-late"    // a worker reads late from new connections
	FaultyCalls          EventKind = "faulty-calls"   // the next three calls of each dispatcher to discovery fail, each in its own way
	SilentWatches        EventKind = "silent-watches" // open watches fall silent
	DiscoveryDown        EventKind = "discovery-down" // discovery rejects all calls
	DiscoveryMove        EventKind = "move"           // a new configuration names another address of discovery
	Reload               EventKind = "reload"         // a new configuration changes nothing
	ProcessPauses        EventKind = "hold-ups"       // a dispatcher is stopped for 0.15 s, repeatedly
	Terminate            EventKind = "term"           // a dispatcher gets SIGTERM, SIGKILL as early as is allowed, and is restarted
	Kill                 EventKind = "kill"           // a dispatcher gets SIGKILL and is restarted
	IdleClients          EventKind = "crowd"          // many connections that send nothing
	ClientsLeave         EventKind = "clients-leave"  // clients close their connections soon after their requests
	ClockStep            EventKind = "clock-step"     // discovery's clock, which stamps starts, is set forward or back
	ReplicaLag           EventKind = "lag"            // a replica of discovery shows an old list, at each call or at every other
	MoveToLaggingReplica EventKind = "lagging-move"   // a worker starts draining, and a new configuration names a replica that lags
	DelayedAnswers       EventKind = "slow-answers"   // answers of discovery are delayed, each by another time, so that they overtake each other
	DiscoveryMoveSeries  EventKind = "moves"          // several new configurations in a row, and a worker starts draining between them
)

// EventKinds lists the kinds that a file without events draws from.
var EventKinds = []EventKind{Drain, Join, Restart, WorkerHangs, WorkerResets, WorkerReadsLate, FaultyCalls, SilentWatches, DiscoveryDown, DiscoveryMove, Reload,
	ProcessPauses, Terminate, Kill, IdleClients, ClientsLeave, ClockStep, ReplicaLag, MoveToLaggingReplica, DelayedAnswers, DiscoveryMoveSeries}

// Kinds for files that name them. In those that end a process clients use its open connections until it is gone.
const (
	UseUntilKill        EventKind = "use-until-kill"   // SIGTERM, and SIGKILL as early as is allowed
	ReloadsThenTerm     EventKind = "hup-hup-term"     // SIGHUP, SIGHUP and SIGTERM within 50 ms
	TermTwice           EventKind = "term-term"        // SIGTERM, and once more
	BadReload           EventKind = "bad-hup"          // SIGHUP with a configuration that is none, then with a good one
	TermAtStart         EventKind = "term-at-start"    // SIGTERM in the first 100 ms of a process
	TermAtHandover      EventKind = "term-at-handover" // SIGTERM while a successor takes over
	IdleClientsAtDrain  EventKind = "crowd-drain"      // many connections that send nothing, and a worker starts draining
	IdleClientsAtOutage EventKind = "crowd-down"       // the same, and discovery rejects all calls
	MoveAfterReturn     EventKind = "returned-move"    // a worker drains, returns and drains; a move to a replica that is still before that
	MoveAfterRestart    EventKind = "restarted-move"   // a worker restarts; a move to a replica that is still before that
	MoveAfterSecondEnd  EventKind = "ended-move"       // a worker ends, starts and ends; a move to a replica that is still before that
)

// ShutdownEventKinds lists the kinds that only files which name them draw.
var ShutdownEventKinds = []EventKind{UseUntilKill, ReloadsThenTerm, TermTwice, BadReload, TermAtStart, TermAtHandover, IdleClientsAtDrain, IdleClientsAtOutage,
	MoveAfterReturn, MoveAfterRestart, MoveAfterSecondEnd}

// CallFault is what discovery does with a call in place of answering it.
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
	Calls    []CallFault   // for FaultyCalls: the next three
	Step     time.Duration // for ClockStep; how old the list is for ReplicaLag and the moves; the longest delay for DelayedAnswers; the pause between signals
	Flaps    bool          // for ReplicaLag: only every other call shows the old list
	Worker   int           // that changes, for the moves and IdleClientsAtDrain
}

// String returns the event as a timeline shows it.
func (e Event) String() string {
	return fmt.Sprintf("%s of %d for %v %v", e.Kind, e.Target, e.Duration, e.Calls)
}

// The effects that a class may have in the settings: what a repeated request may do.
const (
	Idempotent        = "safe"
	IdempotentWithKey = "keyed"
	NonIdempotent     = "unsafe"
)

// Plan is everything that a run does. The same scenario and seed give the same plan.
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
	ListsPushed          bool          // lists are pushed to an agent; a dispatcher counts as notified of what the agent has
	DiscoveryOverloaded  bool          // discovery serves calls one after the other, and needs some seconds for one call of each dispatcher
	DiscoveryClockOffset time.Duration // how far discovery's clock, which stamps starts, is ahead
	LateWeight           float64       // of the class: what a late answer is worth
	SystemCallFaults     string        // rules for internal/inject; empty for none
	Events               []Event
}

const (
	quietStart        = 3 * time.Second // before the first event, so that watches are open
	quietEnd          = 8 * time.Second // after the last event, so that a late notification still shows
	maxReplicaLagMS   = 2500            // milliseconds
	firstJoinedWorker = 90              // number of the first worker that joins
)

// Draw returns the plan of a seed.
func (f *File) Draw(seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, 36))
	between := func(limits []int) int { return limits[0] + rng.IntN(limits[1]-limits[0]+1) }
	plan := Plan{Scenario: f.Title, Seed: seed, Dispatchers: between(f.Dispatchers), Workers: between(f.Workers), Span: f.span(), Rate: f.Rate,
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

// drawLateWeight draws one of the file's late weights, apart from all other draws.
func (f *File) drawLateWeight(seed uint64) float64 {
	if len(f.LateWeights) == 0 {
		return defaultLateWeight
	}
	return f.LateWeights[rand.New(rand.NewPCG(seed, 37)).IntN(len(f.LateWeights))]
}

// drawEvent draws what an event of a kind needs, and adds the event to the plan.
func (p *Plan) drawEvent(rng *rand.Rand, event Event) {
	kind := event.Kind
	if p.ListsPushed && needsPolledLists(kind) {
		event.Kind = Reload // what its kind needs is drawn all the same, so that later draws do not depend on ListsPushed
	}
	switch kind {
	case Join:
	case Drain, Restart, WorkerHangs, WorkerResets, WorkerReadsLate:
		event.Target = rng.IntN(p.Workers)
	case FaultyCalls:
		for range 3 {
			event.Calls = append(event.Calls, callFaults[rng.IntN(len(callFaults))])
		}
		// Failing calls delay the notification of a change, so one follows.
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

// needsPolledLists reports whether a kind of event makes sense only where lists are polled. After a move to another agent the
// platform counts its list later, which the audit does not know.
func needsPolledLists(kind EventKind) bool {
	switch kind {
	case ReplicaLag, MoveToLaggingReplica, DiscoveryMoveSeries, DelayedAnswers, DiscoveryMove, MoveAfterReturn, MoveAfterRestart, MoveAfterSecondEnd:
		return true
	}
	return false
}
