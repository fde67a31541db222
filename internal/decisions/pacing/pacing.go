// Package pacing decides when a dispatcher makes calls that all dispatchers make alike, so that together they do not
// overrun whom they call. Values in, verdicts out: no I/O, no clock, no goroutine.
//
// It promises:
//
//  1. A watch goes on inside the gap within which it counts as one, whatever the fleet's size and the chance drawn.
//  2. Of many dispatchers that got the same news at once, the next calls are spread over most of that gap; of two, over
//     a few milliseconds.
//  3. An answer that told nothing is not followed at once: a list service that answers so would be asked in a loop.
//  4. Where lists are pushed, a call to the agent and the next after it, were both to fail, end within the grace for a
//     drain: what the agent has counts as told, also while it does not say so.
package pacing

import "time"

const (
	// Gap is how long after an answer the next call of a watch may come.
	Gap = 200 * time.Millisecond
	// Margin is kept of it for the way and for a busy core.
	Margin = 50 * time.Millisecond

	each   = 4 * time.Millisecond   // of spread for each dispatcher beside this one
	empty  = 20 * time.Millisecond  // after an answer that told nothing
	prompt = 100 * time.Millisecond // and that came at once, as an agent's may, or a call that an agent failed

	agentLeast = 50 * time.Millisecond // a call to an agent may take so long, whatever the grace
)

// Agent gives how long a call to the agent of a pushed list waits for news, and how long its answer may take beside
// that, by the grace for a drain.
func Agent(grace time.Duration) (wait, within time.Duration) {
	span := max(grace/5, agentLeast)
	return span, span
}

// Again gives how long after a failed call an agent is called again. It serves this dispatcher alone and costs nobody.
func Again() time.Duration { return prompt }

// Rewatch gives how long after an answer a watch's next call is made, by whether the answer told anything, whether it
// came before the wait was over, how many dispatchers there are, and chance from 0 to 1.
func Rewatch(fresh, early bool, dispatchers int, chance float64) time.Duration {
	least := time.Duration(0)
	switch {
	case fresh:
	case early:
		least = prompt
	default:
		least = empty
	}
	spread := min(time.Duration(max(dispatchers-1, 0))*each, Gap-Margin-least)
	return least + time.Duration(min(max(chance, 0), 1)*float64(spread))
}
