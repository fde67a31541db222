package faults

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	minDurationShare = 0.1         // of the longest duration, of a drawn event
	recoveryTime     = time.Second // between two events of a process
)

// Draw returns the events of a seed, in the order of their times, each of one of the given kinds at one process. The mean time between
// them is every, without those that are dropped because their process is busy or they would outlast the span. The voters are the first
// processes. At most one voter loses its data, once, and only if there are several voters and a process beside them: what a majority of the voters has lost cannot be recovered.
func Draw(seed uint64, kinds []EventKind, processes, voters int, span, every, longest time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, scheduleSource))
	var events []Event
	busyUntil := make([]time.Duration, processes)
	voterWiped := false
	for at := every; at < span; at += time.Duration(rng.ExpFloat64() * float64(every)) {
		event := Event{At: at, Kind: kinds[rng.IntN(len(kinds))], Process: rng.IntN(processes), Reverse: rng.IntN(2) == 0}
		event.For = time.Duration((minDurationShare + (1-minDurationShare)*rng.Float64()) * float64(longest))
		if event.Kind == KillAndWipe && event.Process < voters {
			mayWipe := !voterWiped && processes > voters && voters > 1
			switch {
			case mayWipe:
			case processes == voters:
				event.Kind = Kill
			default:
				event.Process = voters + rng.IntN(processes-voters)
			}
		}
		if busyUntil[event.Process] > at || at+event.For > span {
			continue
		}
		busyUntil[event.Process] = at + event.For + recoveryTime
		voterWiped = voterWiped || event.Kind == KillAndWipe && event.Process < voters
		events = append(events, event)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	return events
}
