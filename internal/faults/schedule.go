package faults

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	minDurationShare = 0.1         // shortest duration of a drawn event, as a share of the longest
	recoveryTime     = time.Second // minimum time between two events of a process
)

// Draw returns the events of a seed in the order of their times. Each has one of the given kinds and one process. meanInterval is the
// mean time between drawn events. An event is dropped if it would outlast the span, or if its process has not recovered from its
// previous event. The first processes are the voters. At most one voter loses its data, once, and only if there are several voters and at
// least one other process, because data that a majority of the voters has lost cannot be recovered.
func Draw(seed uint64, kinds []EventKind, processes, voters int, span, meanInterval, maxDuration time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, scheduleSource))
	var events []Event
	busyUntil := make([]time.Duration, processes)
	voterWiped := false
	for at := meanInterval; at < span; at += time.Duration(rng.ExpFloat64() * float64(meanInterval)) {
		event := Event{At: at, Kind: kinds[rng.IntN(len(kinds))], Process: rng.IntN(processes), Reverse: rng.IntN(2) == 0}
		event.For = time.Duration((minDurationShare + (1-minDurationShare)*rng.Float64()) * float64(maxDuration))
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
