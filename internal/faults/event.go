package faults

import (
	"time"

	"brassdale/internal/faultlink"
)

// EventKind is the kind of an event, as scenario files name it.
type EventKind string

// The kinds that are drawn. Each is a fault of one process. To add one:
//   - Append it to DrawnEventKinds. A file without faults draws from all of these, so that each of its seeds then has other events.
//   - playEvent in faultinjection.go: what happens; or duringEvent, if it only changes the state of links. Without either nothing happens,
//     and nothing reports that.
//   - beginAbsence and endAbsence, if the process is stopped or ends: else the audit takes it for running.
//   - Draw, if voters are to be spared.
const (
	Cut         EventKind = "cut"      // its links to all others are cut in both directions
	OneWayCut   EventKind = "one-way"  // nothing that it sends arrives; reversed: nothing arrives at it
	Delay       EventKind = "delayed"  // what it sends and receives takes up to 300 ms longer
	Reset       EventKind = "resets"   // its connections are reset repeatedly
	Freeze      EventKind = "freeze"   // it is stopped by SIGSTOP
	Kill        EventKind = "kill"     // it gets SIGKILL and is restarted
	KillAndWipe EventKind = "blank"    // the same, and its data is lost
	Flap        EventKind = "flapping" // its links are cut and healed ten times a second
	Reorder     EventKind = "reorder"  // new connections to and from it overtake each other
	Slow        EventKind = "slow"     // its links pass some 3 kB a second
	ClockDrift  EventKind = "pace"     // it is killed, and restarted with a clock that is as fast as the fleet tolerates; reversed: as slow
)

// The kinds that are played only as a scenario's events. One more goes into scriptedKinds and playEvent.
const (
	Partition     EventKind = "split"   // a group of processes and the rest cannot reach each other
	KillForGood   EventKind = "gone"    // a process gets SIGKILL and is not restarted
	RestartAll    EventKind = "anew"    // all processes are killed and restarted, this one with its data lost
	ProposeCanary EventKind = "propose" // no fault: rules under which nothing is served are proposed, with a canary of half the processes
	ProposeTwice  EventKind = "double"  // no fault: two proposals at the same time
)

// scriptedKinds lists the kinds that are not drawn.
var scriptedKinds = []EventKind{Partition, KillForGood, RestartAll, ProposeCanary, ProposeTwice}

// DrawnEventKinds returns the kinds that are drawn.
func DrawnEventKinds() []EventKind {
	return []EventKind{Cut, OneWayCut, Delay, Reset, Freeze, Kill, KillAndWipe, Flap, Reorder, Slow, ClockDrift}
}

// Leader as an Event's process is the process that leads the raft group when the event begins.
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

// duringEvent returns the state of the links of the event's process during the event, for kinds that do not change it meanwhile.
func (e *Event) duringEvent() faultlink.State {
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
