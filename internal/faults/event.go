package faults

import "time"

// Kind is the kind of an event, as scenario files name it.
type Kind string

// The kinds that are drawn. Each is a fault of one process.
const (
	Cut         Kind = "cut"      // its links to all others are cut in both directions
	OneWayCut   Kind = "one-way"  // nothing that it sends arrives; reversed: nothing arrives at it
	Delay       Kind = "delayed"  // what it sends and receives takes up to 300 ms longer
	Reset       Kind = "resets"   // its connections are reset repeatedly
	Freeze      Kind = "freeze"   // it is stopped by SIGSTOP
	Kill        Kind = "kill"     // it gets SIGKILL and is restarted
	KillAndWipe Kind = "blank"    // the same, and its data is lost
	Flap        Kind = "flapping" // its links are cut and healed ten times a second
	Reorder     Kind = "reorder"  // new connections to and from it overtake each other
	Slow        Kind = "slow"     // its links pass some 3 kB a second
	ClockDrift  Kind = "pace"     // it is killed, and restarted with a clock that is as fast as the fleet tolerates; reversed: as slow
)

// The kinds that are played only as a scenario's events.
const (
	Partition     Kind = "split"   // a group of processes and the rest cannot reach each other
	KillForGood   Kind = "gone"    // a process gets SIGKILL and is not restarted
	RestartAll    Kind = "anew"    // all processes are killed and restarted, this one with its data lost
	ProposeCanary Kind = "propose" // no fault: rules under which nothing is served are proposed, with a canary of half the processes
	ProposeTwice  Kind = "double"  // no fault: two proposals at the same time
)

// scriptedKinds lists the kinds that are not drawn.
var scriptedKinds = []Kind{Partition, KillForGood, RestartAll, ProposeCanary, ProposeTwice}

// Kinds returns the kinds that are drawn.
func Kinds() []Kind {
	return []Kind{Cut, OneWayCut, Delay, Reset, Freeze, Kill, KillAndWipe, Flap, Reorder, Slow, ClockDrift}
}

// Leader as an Event's process is the process that leads the raft group when the event begins.
const Leader = -1

// Event is a fault or a change in a run.
type Event struct {
	At      time.Duration // since the run began
	For     time.Duration
	Kind    Kind
	Process int   // by index; or Leader
	Group   []int // for Partition: the processes on one side
	Reverse bool  // for OneWayCut and ClockDrift
}

const (
	minDelay        = 50 * time.Millisecond // of Delay
	delaySpread     = 250 * time.Millisecond
	maxReorderDelay = 400 * time.Millisecond // of Reorder
)

// linkState returns the state of the links of the event's process during the event, for kinds that do not change it meanwhile.
func (e *Event) linkState() LinkState {
	switch e.Kind {
	case Cut:
		return LinkState{CutTo: true, CutFrom: true}
	case OneWayCut:
		return LinkState{CutTo: !e.Reverse, CutFrom: e.Reverse}
	case Delay:
		return LinkState{Delay: minDelay, Spread: delaySpread}
	case Slow:
		return LinkState{Slow: true}
	case Reorder:
		return LinkState{Reorder: maxReorderDelay}
	}
	return LinkState{}
}
