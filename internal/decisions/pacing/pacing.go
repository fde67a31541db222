// Package pacing decides when a dispatcher makes calls that all dispatchers make alike, so that together they do not
// overrun whom they call. Values in, verdicts out: no I/O, no clock, no goroutine.
//
// It promises:
//
//  1. A watch goes on inside the gap within which it counts as one, whatever the fleet's size and the chance drawn.
//  2. Of many dispatchers that got the same news at once, the next calls are spread over most of that gap; of two, over
//     a few milliseconds.
//  3. An answer that told nothing is not followed at once: a list service that answers so would be asked in a loop.
package pacing

import "time"

const (
	// Gap is how long after an answer the next call of a watch may come.
	Gap = 200 * time.Millisecond
	// Margin is kept of it for the way and for a busy core.
	Margin = 50 * time.Millisecond

	each  = 4 * time.Millisecond  // of spread for each dispatcher beside this one
	empty = 20 * time.Millisecond // after an answer that told nothing
)

// Rewatch gives how long after an answer a watch's next call is made, by whether the answer told anything, how many
// dispatchers there are, and chance from 0 to 1.
func Rewatch(fresh bool, dispatchers int, chance float64) time.Duration {
	least := time.Duration(0)
	if !fresh {
		least = empty
	}
	spread := min(time.Duration(max(dispatchers-1, 0))*each, Gap-Margin-least)
	return least + time.Duration(min(max(chance, 0), 1)*float64(spread))
}
