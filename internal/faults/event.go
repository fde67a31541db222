package faults

import "time"

// Kind is the kind of an event, as scenario files name it.
type Kind string

// The kinds that are drawn. Each is a fault of one process.
const (
	Cut     Kind = "cut"      // its links to all others are cut in both directions
	OneWay  Kind = "one-way"  // nothing that it sends arrives; reversed: nothing arrives at it
	Delayed Kind = "delayed"  // what it sends and receives takes up to 300 ms longer
	Resets  Kind = "resets"   // its connections are reset repeatedly
	Freeze  Kind = "freeze"   // it is stopped by SIGSTOP
	Kill    Kind = "kill"     // it gets SIGKILL and is restarted
	Blank   Kind = "blank"    // the same, and its data is lost
	Flap    Kind = "flapping" // its links are cut and healed ten times a second
	Reorder Kind = "reorder"  // new connections to and from it overtake each other
	Slow    Kind = "slow"     // its links pass some 3 kB a second
	Pace    Kind = "pace"     // it is killed, and restarted with a clock that is as fast as the fleet tolerates; reversed: as slow
)

// The kinds that are played only as a scenario's events.
const (
	Split  Kind = "split"   // a group of processes and the rest cannot reach each other
	Gone   Kind = "gone"    // a process gets SIGKILL and is not restarted
	Anew   Kind = "anew"    // all processes are killed and restarted, this one with its data lost
	Stage  Kind = "propose" // no fault: rules under which nothing is served are proposed, with a canary of half the processes
	Double Kind = "double"  // no fault: two proposals at the same time
)

// scriptedKinds lists the kinds that are not drawn.
var scriptedKinds = []Kind{Split, Gone, Anew, Stage, Double}

// Kinds returns the kinds that are drawn.
func Kinds() []Kind {
	return []Kind{Cut, OneWay, Delayed, Resets, Freeze, Kill, Blank, Flap, Reorder, Slow, Pace}
}

// Leader as an Event's process is the process that leads the raft group when the event begins.
const Leader = -1

// Event is a fault or a change in a run.
type Event struct {
	At      time.Duration // since the run began
	For     time.Duration
	Kind    Kind
	Process int   // by index; or Leader
	Group   []int // for Split: the processes on one side
	Reverse bool  // for OneWay and Pace
}

const (
	delayedBy     = 50 * time.Millisecond // by Delayed, at least
	delayedSpread = 250 * time.Millisecond
	reorderedBy   = 400 * time.Millisecond // by Reorder, at most
)

// linkState returns the state of the links of the event's process during the event, for kinds that do not change it meanwhile.
func (e *Event) linkState() State {
	switch e.Kind {
	case Cut:
		return State{CutTo: true, CutFrom: true}
	case OneWay:
		return State{CutTo: !e.Reverse, CutFrom: e.Reverse}
	case Delayed:
		return State{Delay: delayedBy, Spread: delayedSpread}
	case Slow:
		return State{Slow: true}
	case Reorder:
		return State{Reorder: reorderedBy}
	}
	return State{}
}
