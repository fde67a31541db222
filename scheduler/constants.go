package scheduler

import "time"

// The constants of the decisions, in the order of the files that use them.
const (
	startGracePeriod = 150 * time.Millisecond // a job pushed to a free slot starts sooner than this

	connectionRoundTrips = 3                      // what a new connection takes beside, in ways
	hedgeDelay           = 50 * time.Millisecond  // so soon a job is copied; sooner, copies fetch more than they save ...
	congestionHedgeDelay = 200 * time.Millisecond // ... and so much later if all wait: a copy is one more in a queue
	maxUndroppedShare    = 0.5                    // of what is called off: if more stays in the queues, it is left there

	slowdownThreshold   = 1.5  // slower than peers by this factor counts; below it is chance
	slownessRetention   = 0.95 // weight of the past in a worker's speed: about twenty jobs
	slownessPriorJobs   = 8    // jobs of ordinary speed that are assumed beside those seen
	meanRetention       = 0.97 // and in a class's mean work: about thirty jobs
	typicalRuntimeShare = 0.5  // most jobs are well under the mean work of their class

	wholeFleetSeconds = 3                // all workers are drawn from if all get an own job within so many seconds, ...
	minSubsetSize     = 4                // else this many at least, ...
	subsetSeconds     = 0.5              // as many as own jobs come in so many seconds, and two dispatchers a worker
	subsetRings       = 4                // orders in which workers are dealt out to dispatchers
	subsetInterval    = time.Second      // between choices
	arrivalRateWindow = 10 * time.Second // the own job rate is taken over this

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
	maxFirstPollDelay        = 3 * time.Second        // ... the longest of the first, behind a start, ...
	fixedPollDelayShare      = 0.05                   // ... and the part of it that is no spread
	maxQueueReviewInterval   = 20 * time.Millisecond  // pause between looks while something is held
	idleReviewInterval       = 200 * time.Millisecond // and while nothing is open
	minStall                 = 100 * time.Millisecond // a turn that comes so late: this process stood still
)
