package faults

import (
	"time"

	"brassdale/internal/faultlink"
)

// EventKind is the kind of an event. Its value is the kind's name in scenario files.
type EventKind string

// The kinds that are drawn. Each is a fault of one process. To add one:
//   - Append it to DrawnEventKinds. A file without the attribute named faults draws from all of these kinds, so a new kind changes the
//     events that its seeds draw.
//   - Implement it in runEvent in faultinjection.go, or in linkState if it only changes the state of links. Otherwise the event has no
//     effect, and no error reports that.
//   - Call beginAbsence and endAbsence if the process is stopped or ends; otherwise the audit treats it as running.
//   - Exclude voters in Draw if the fault must not hit them.
const (
	Cut         EventKind = "cut"      // its links to all others are cut in both directions
	OneWayCut   EventKind = "one-way"  // everything that it sends is lost; if reversed, everything that is sent to it
	Delay       EventKind = "delayed"  // its messages are delayed by up to 300 ms in both directions
	Reset       EventKind = "resets"   // its connections are reset repeatedly
	Freeze      EventKind = "freeze"   // it is stopped by SIGSTOP
	Kill        EventKind = "kill"     // it gets SIGKILL and is restarted
	KillAndWipe EventKind = "blank"    // as Kill, and its data is removed
	Flap        EventKind = "flapping" // its links are cut and healed ten times a second
	Reorder     EventKind = "reorder"  // new connections to and from it overtake each other
	Slow        EventKind = "slow"     // its links transfer about 3 kB a second
	ClockDrift  EventKind = "pace"     // it is killed, and restarted with a clock that is fast by half the tolerated drift; if reversed, slow
)

// The kinds that only a scenario's event blocks use. A new one must be added to scriptedKinds and runEvent.
const (
	Partition     EventKind = "split"   // a group of processes and the rest cannot reach each other
	KillForGood   EventKind = "gone"    // a process gets SIGKILL and is not restarted
	RestartAll    EventKind = "anew"    // all processes are killed and restarted; the event's process loses its data
	ProposeCanary EventKind = "propose" // not a fault: rules that detach all workers are proposed, with a canary of half the processes
	ProposeTwice  EventKind = "double"  // not a fault: two proposals at the same time
)

// scriptedKinds lists the kinds that are not drawn.
var scriptedKinds = []EventKind{Partition, KillForGood, RestartAll, ProposeCanary, ProposeTwice}

// DrawnEventKinds returns the kinds that are drawn.
func DrawnEventKinds() []EventKind {
	return []EventKind{Cut, OneWayCut, Delay, Reset, Freeze, Kill, KillAndWipe, Flap, Reorder, Slow, ClockDrift}
}

// Leader as Event.Process stands for the process that leads the raft group when the event begins.
const Leader = -1

// Event is a fault or a change in a run.
type Event struct {
	At      time.Duration // since the run began
	For     time.Duration
	Kind    EventKind
	Process int   // by index; or Leader
	Group   []int // for Partition: the processes on one side
	Reverse bool  // for OneWayCut and ClockDrift
}

const (
	minDelay        = 50 * time.Millisecond // of Delay
	delaySpread     = 250 * time.Millisecond
	maxReorderDelay = 400 * time.Millisecond // of Reorder
)

// linkState returns the state of the process's links during the event, for kinds whose link state is constant.
func (e *Event) linkState() faultlink.State {
	switch e.Kind {
	case Cut:
		return faultlink.State{CutTo: true, CutFrom: true}
	case OneWayCut:
		return faultlink.State{CutTo: !e.Reverse, CutFrom: e.Reverse}
	case Delay:
		return faultlink.State{Delay: minDelay, Spread: delaySpread}
	case Slow:
		return faultlink.State{Slow: true}
	case Reorder:
		return faultlink.State{Reorder: maxReorderDelay}
	}
	return faultlink.State{}
}
