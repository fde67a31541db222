package scheduler

import "time"

// The constants of the decisions, in the order of the files that use them.
const (
	wholeFleetSeconds = 3           // all workers are drawn from if all get an own job within so many seconds, ...
	minSubsetSize     = 4           // else this many at least, ...
	subsetSeconds     = 0.5         // as many as own jobs come in so many seconds, and two dispatchers a worker
	subsetRings       = 4           // orders in which workers are dealt out to dispatchers
	subsetInterval    = time.Second // between choices

	lossesToEject         = 2                      // connections lost in a row before a worker counts as unreachable
	failuresToEject       = 3                      // so many failures in a row are no chance
	ejectionBase          = 250 * time.Millisecond // a shunned worker gets one job after this, then after twice this ...
	maxEjectionDoublings  = 4                      // ... doubled up to this often ...
	unansweredEjections   = 5                      // ... and at once this often where a trial may cost a job
	missedProgressPeriods = 1.5                    // progress news missing for this many periods is silence
	progressSlack         = 300 * time.Millisecond // and this for the way
	minSilence            = time.Second            // silence where no progress news is due
	minLossIdle           = 200 * time.Millisecond // a connection used since is open
	idleLossRetention     = 15 * time.Second       // how long a lost idle connection is remembered

	probeInterval       = time.Second     // where reports come by probe ...
	maxProbers          = 2               // ... from so many dispatchers at most; of more each asks less often
	usedBudgetShare     = 0.6             // part of the cold budget that is used: work is known by its mean only ...
	priorWorkObjectives = 4               // ... and at first by an aim, of which it is a multiple, ...
	priorWorkJobs       = 4               // ... as if so many jobs had been served
	maxSendDelay        = time.Second / 5 // so late a pushed job may leave, about: a connection must come up

	minPollDelay             = 100 * time.Millisecond // asking for the list anew: the wait of one that is alone, ...
	pollDelayPerDispatcher   = 400 * time.Millisecond // ... so much more for each dispatcher beyond a few, as a spread, ...
	dispatchersWithoutSpread = 2
	maxFirstPollDelay        = 3 * time.Second // ... the longest of the first, behind a start, ...
	fixedPollDelayShare      = 0.05            // ... and the part of it that is no spread

)
