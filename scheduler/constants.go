package scheduler

import "time"

// The constants of the decisions, in the order of the files that use them.
const (
	// The load increment of DESIGN: 25% a slot until figures come, halved after so many pushes
	// without a 'full' down to the floor, doubled on a 'full'.
	initialIncrement      = 0.25
	minIncrement          = 1.0 / 16
	sendsToHalveIncrement = 50

	initialOvercommit  = 0.5  // how far over its slots a worker may be filled before jobs are held here
	minOvercommit      = -0.3 // jobs wait though this much seems free: the reports are wrong, believe the waits
	toleratedSlots     = 0.4  // slots; others' jobs are a noisy share, and a whole slot must not idle for a part
	maxOvercommit      = 1.0  // beyond it a held job is better off waiting for a free slot
	overcommitPerJob   = 0.01 // a job moves it by this, on a small fleet for each dispatcher that knows all ...
	maxOvercommitStep  = 0.1  // ... and by this at most, or a single job would swing it
	tolerableWaitShare = 0.05 // of the time that a request can spare: so long may it wait at a worker

	tieTolerance          = 1e-9                   // load values closer than this are ties
	reportLookback        = 500 * time.Millisecond // how far back a report looks, about: one refresh and its delay
	startGracePeriod      = 150 * time.Millisecond // a job pushed to a free slot starts sooner than this
	maxRoundTripTime      = 50 * time.Millisecond  // to a zone and back: what takes longer has waited there
	connectionRoundTrips  = 3                      // what a new connection takes beside, in ways
	hedgeDelay            = 50 * time.Millisecond  // so soon a job is copied; sooner, copies fetch more than they save ...
	congestionHedgeDelay  = 200 * time.Millisecond // ... and so much later if all wait: a copy is one more in a queue
	maxUndroppedShare     = 0.5                    // of what is called off: if more stays in the queues, it is left there
	delayedStartThreshold = 100 * time.Millisecond // a job that starts later has waited
	crossZoneWeight       = 15                     // load a crossing must save, for each unit of its price, ...
	subsetCrossZoneWeight = 3                      // and where few workers are known, so that loads are known roughly
	failureLoad           = 2                      // load that a job is worth which its worker fails
	slowdownThreshold     = 1.5                    // slower than peers by this factor counts; below it is chance
	slownessRetention     = 0.95                   // weight of the past in a worker's speed: about twenty jobs
	slownessPriorJobs     = 8                      // jobs of ordinary speed that are assumed beside those seen
	meanRetention         = 0.97                   // and in a class's mean work: about thirty jobs
	typicalRuntimeShare   = 0.5                    // most jobs are well under the mean work of their class

	overusePriorJobs      = 20  // jobs for each unit of size that all dispatchers assume beside those counted, ...
	minOverusePriorJobs   = 0.4 // ... and each at least: a job or two of its own at a worker are chance
	affinityHeadroom      = 1.5 // workers for a key, as a multiple of those that its part of the jobs fills
	affinityWorkersPerKey = 2   // workers at which a key is at home: one has too few slots, three fetch too often
	affinityOffset        = 1e3 // more than any place in the rotation of a key

	wholeFleetSeconds = 3                // all workers are drawn from if all get an own job within so many seconds, ...
	minSubsetSize     = 4                // else this many at least, ...
	subsetSeconds     = 0.5              // as many as own jobs come in so many seconds, and two dispatchers a worker
	subsetRings       = 4                // orders in which workers are dealt out to dispatchers
	subsetInterval    = time.Second      // between choices
	arrivalRateWindow = 10 * time.Second // the own job rate is taken over this
	othersLoadWindow  = 20 * time.Second // and the mean of others' load at a worker over this

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
	maxCongestion       = 0.3             // part of the recent jobs that waited: beyond it cold workers get theirs first

	minPollDelay             = 100 * time.Millisecond // asking for the list anew: the wait of one that is alone, ...
	pollDelayPerDispatcher   = 400 * time.Millisecond // ... so much more for each dispatcher beyond a few, as a spread, ...
	dispatchersWithoutSpread = 2
	maxFirstPollDelay        = 3 * time.Second        // ... the longest of the first, behind a start, ...
	fixedPollDelayShare      = 0.05                   // ... and the part of it that is no spread
	maxQueueReviewInterval   = 20 * time.Millisecond  // pause between looks while something is held
	idleReviewInterval       = 200 * time.Millisecond // and while nothing is open
	minStall                 = 100 * time.Millisecond // a turn that comes so late: this process stood still
)
