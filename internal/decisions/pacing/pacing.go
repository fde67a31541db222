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
//  5. Where lists are asked for, what could be had counts as told Told later, whatever failed before, and is here by
//     then. The longest path: a watch falls silent as it begins and is given up (Wait + Late, 2.75 s); the module waits
//     with the next call (brain.AskMost, 0.9 s, chance included); that call waits for no news, and its answer is late
//     by as much as a list service lets calls queue (Answer, 2.1 s). 2.75 + 0.9 + 2.1 = 5.75 s.
//     A new process calls first within 3 s, and has its answer 5.1 s after its start at the latest.
//  6. After the address of discovery has changed, what it has to tell counts as told Moved later. The longest path: the
//     first call, which is made at once, is lost (MoveAnswer, 1 s), the module waits (0.9 s), and the answer of the next
//     is late (Answer, 2.1 s): 4 s.
//
// Three hundred dispatchers that lose their watches at once call again over 0.72 s (a fifth of the module's wait is no
// chance), and as none waits for news, each costs the list service its few lines and no more.
package pacing

import "time"

const (
	// Gap is how long after an answer the next call of a watch may come.
	Gap = 200 * time.Millisecond
	// Margin is kept of it for the way and for a busy core.
	Margin = 50 * time.Millisecond

	// Told is how long after it could be had a change counts as told, and Moved how long after a move of discovery.
	Told  = 6 * time.Second
	Moved = 4 * time.Second

	// Wait is how long a watch waits for news, and Late how much later its answer must be here. A call that does not
	// wait must be answered within Answer: the list service fails one that has queued for 2 s.
	Wait       = 2 * time.Second
	Late       = 750 * time.Millisecond
	Answer     = 2100 * time.Millisecond
	MoveAnswer = time.Second // the first after a move: there must be time for another one

	each   = 4 * time.Millisecond   // of spread for each dispatcher beside this one
	empty  = 20 * time.Millisecond  // after an answer that told nothing
	prompt = 100 * time.Millisecond // and that came at once, as an agent's may, or a call that an agent failed

	agentLeast = 50 * time.Millisecond // a call to an agent may take so long, whatever the grace
)

// Kind is what a call for the list is.
type Kind uint8

const (
	Watch Kind = iota // goes on with a watch: it waits for news
	Ask               // the first, or behind one that failed: it does not wait where lists are asked for
	Move              // the first after discovery has moved, for the whole list
)

// Spans gives how long a call waits for news, and how long its answer may take beside that, by whether lists are pushed,
// and by the grace for a drain.
func (k Kind) Spans(pushed bool, grace time.Duration) (wait, within time.Duration) {
	switch {
	case pushed && k == Watch:
		span := max(grace/5, agentLeast)
		return span, span
	case pushed:
		return 0, max(grace/5, agentLeast)
	case k == Ask:
		return 0, Answer
	case k == Move:
		return 0, MoveAnswer
	}
	return Wait, Late
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
