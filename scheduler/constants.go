package scheduler

import "time"

// The constants of the decisions, in the order of the files that use them.
const (
	wholeFleetSeconds = 3           // all workers are drawn from if all get an own job within so many seconds, ...
	minSubsetSize     = 4           // else this many at least, ...
	subsetSeconds     = 0.5         // as many as own jobs come in so many seconds, and two dispatchers a worker
	subsetRings       = 4           // orders in which workers are dealt out to dispatchers
	subsetInterval    = time.Second // between choices

	minPollDelay             = 100 * time.Millisecond // asking for the list anew: the wait of one that is alone, ...
	pollDelayPerDispatcher   = 400 * time.Millisecond // ... so much more for each dispatcher beyond a few, as a spread, ...
	dispatchersWithoutSpread = 2
	maxFirstPollDelay        = 3 * time.Second // ... the longest of the first, behind a start, ...
	fixedPollDelayShare      = 0.05            // ... and the part of it that is no spread

)
