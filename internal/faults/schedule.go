package faults

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault between processes.
type Kind string

// The kinds that there are.
const (
	Cut     Kind = "cut"      // a process and all others, both ways
	OneWay  Kind = "one-way"  // a process hears and cannot answer, or the reverse
	Delayed Kind = "delayed"  // what goes to and from a process takes up to 300 ms more
	Resets  Kind = "resets"   // its connections break, several times
	Freeze  Kind = "freeze"   // SIGSTOP
	Kill    Kind = "kill"     // SIGKILL, and a start with its disk
	Blank   Kind = "blank"    // the same, and its disk is lost
	Flap    Kind = "flapping" // its links are cut and healed ten times a second
	Reorder Kind = "reorder"  // new connections to and from it overtake each other
	Slow    Kind = "slow"     // its links pass some 3 kB a second
	Pace    Kind = "pace"     // killed, and started with a clock that runs as much faster or slower as is allowed for

	// Not drawn, only played where a scenario says so.
	Split  Kind = "split"   // a group of processes and the rest cannot reach each other
	Gone   Kind = "gone"    // SIGKILL, for good
	Anew   Kind = "anew"    // all processes are killed and started anew, this one with its disk lost
	Stage  Kind = "propose" // no fault: rules that refuse everything are proposed, to be tried by half the processes
	Double Kind = "double"  // no fault: two proposals at once
)

// Kinds are those that are drawn.
func Kinds() []Kind {
	return []Kind{Cut, OneWay, Delayed, Resets, Freeze, Kill, Blank, Flap, Reorder, Slow, Pace}
}

// Event is a fault of one process.
type Event struct {
	At, For time.Duration
	Kind    Kind
	Process int   // Leader for who leads when it comes
	Group   []int // of a split
	Reverse bool  // of a one-way cut: it speaks and cannot hear; of a clock: it runs slower
}

// Leader stands for the process that leads.
const Leader = -1

// Draw gives a schedule of a seed: faults of the kinds given, each beginning every so often on average, of one process each.
// Voters are the first processes. A disk of a voter is lost once at the most: what a majority has lost nobody knows.
func Draw(seed uint64, kinds []Kind, processes, voters int, span, every, longest time.Duration) (all []Event) {
	rng := rand.New(rand.NewPCG(seed, 2))
	busy := make([]time.Duration, processes)
	lost := false
	for at := every; at < span; at += time.Duration(rng.ExpFloat64() * float64(every)) {
		e := Event{At: at, Kind: kinds[rng.IntN(len(kinds))], Process: rng.IntN(processes), Reverse: rng.IntN(2) == 0}
		e.For = time.Duration((0.1 + 0.9*rng.Float64()) * float64(longest))
		if e.Kind == Blank && e.Process < voters {
			switch {
			case !lost && processes > voters && voters > 1:
			case processes == voters:
				e.Kind = Kill
			default:
				e.Process = voters + rng.IntN(processes-voters)
			}
		}
		if busy[e.Process] > at || at+e.For > span {
			continue // one fault of a process at a time, and all are over at the end
		}
		busy[e.Process] = at + e.For + time.Second
		lost = lost || e.Kind == Blank && e.Process < voters
		all = append(all, e)
	}
	slices.SortStableFunc(all, func(a, b Event) int { return int(a.At - b.At) })
	return all
}
