package scheduler

import "time"

// The constants of the decisions, in the order of the files that use them.
const (
	// The load increment of DESIGN: 25% a slot until figures come, halved after so many pushes
	// without a 'full' down to the floor, doubled on a 'full'.
	firstIncrement = 0.25
	leastIncrement = 1.0 / 16
	pushesToHalve  = 50

	firstAllow = 0.5  // how far over its slots a worker may be filled before jobs are held here
	leastAllow = -0.3 // jobs wait though this much seems free: the reports are wrong, believe the waits
	roundDown  = 0.4  // slots; others' jobs are a noisy share, and a whole slot must not idle for a part
	mostAllow  = 1.0  // beyond it a held job is better off waiting for a free slot
	allowStep  = 0.01 // a job moves it by this, on a small fleet for each dispatcher that knows all ...
	mostStep   = 0.1  // ... and by this at most, or a single job would swing it
	waitShare  = 0.05 // of the time that a request can spare: so long may it wait at a worker

	tieBand        = 1e-9                   // load values closer than this are ties
	ownMemory      = 500 * time.Millisecond // how far back a report looks, about: one refresh and its delay
	startGrace     = 150 * time.Millisecond // a job pushed to a free slot starts sooner than this
	mostWay        = 50 * time.Millisecond  // to a zone and back: what takes longer has waited there
	newWays        = 3                      // what a new connection takes beside, in ways
	copyGrace      = 50 * time.Millisecond  // so soon a job is copied; sooner, copies fetch more than they save ...
	jamGrace       = 200 * time.Millisecond // ... and so much later if all wait: a copy is one more in a queue
	keptMost       = 0.5                    // of what is called off: if more stays in the queues, it is left there
	waitGrace      = 100 * time.Millisecond // a job that starts later has waited
	zoneWeight     = 15                     // load a crossing must save, for each unit of its price, ...
	fewKnownWeight = 3                      // and where few workers are known, so that loads are known roughly
	faultWeight    = 2                      // load that a job is worth which its worker fails
	slowFrom       = 1.5                    // slower than peers by this factor counts; below it is chance
	slowMemory     = 0.95                   // weight of the past in a worker's speed: about twenty jobs
	slowDoubt      = 8                      // jobs of ordinary speed that are assumed beside those seen
	classMemory    = 0.97                   // and in a class's mean work: about thirty jobs
	workShare      = 0.5                    // most jobs are well under the mean work of their class

	crowdDoubt = 20  // jobs for each unit of size that all dispatchers assume beside those counted, ...
	crowdLeast = 0.4 // ... and each at least: a job or two of its own at a worker are chance
	keyRoom    = 1.5 // workers for a key, as a multiple of those that its part of the jobs fills
	homesOfKey = 2   // workers at which a key is at home: one has too few slots, three fetch too often
	awayValue  = 1e3 // more than any place in the rotation of a key

	nearAll   = 3                // all workers are drawn from if all get an own job within so many seconds, ...
	nearLeast = 4                // else this many at least, ...
	nearSpan  = 0.5              // as many as own jobs come in so many seconds, and two dispatchers a worker
	nearRings = 4                // orders in which workers are dealt out to dispatchers
	nearFresh = time.Second      // between choices
	rateSpan  = 10 * time.Second // the own job rate is taken over this
	loadSpan  = 20 * time.Second // and the mean of others' load at a worker over this

	lossesToShun = 2                      // connections lost in a row before a worker counts as unreachable
	failsToShun  = 3                      // so many failures in a row are no chance
	firstShun    = 250 * time.Millisecond // a shunned worker gets one job after this, then after twice this ...
	mostStrikes  = 4                      // ... doubled up to this often ...
	lostStrikes  = 5                      // ... and at once this often where a trial may cost a job
	silentRuns   = 1.5                    // progress news missing for this many periods is silence
	silentSlack  = 300 * time.Millisecond // and this for the way
	silentLeast  = time.Second            // silence where no progress news is due
	idleLeast    = 200 * time.Millisecond // a connection used since is open
	idleMemory   = 15 * time.Second       // how long a lost idle connection is remembered

	probeEvery  = time.Second     // where reports come by probe ...
	probersMost = 2               // ... from so many dispatchers at most; of more each asks less often
	coldShare   = 0.6             // part of the cold budget that is used: work is known by its mean only ...
	coldJob     = 4               // ... and at first by an aim, of which it is a multiple, ...
	coldDoubt   = 4               // ... as if so many jobs had been served
	sendLate    = time.Second / 5 // so late a pushed job may leave, about: a connection must come up
	jamMost     = 0.3             // part of the recent jobs that waited: beyond it cold workers get theirs first

	askLeast   = 100 * time.Millisecond // asking for the list anew: the wait of one that is alone, ...
	askSpread  = 400 * time.Millisecond // ... so much more for each dispatcher beyond a few, as a spread, ...
	askFew     = 2
	askFirst   = 3 * time.Second        // ... the longest of the first, behind a start, ...
	askSoonest = 0.05                   // ... and the part of it that is no spread
	tickMost   = 20 * time.Millisecond  // pause between looks while something is held
	tickIdle   = 200 * time.Millisecond // and while nothing is open
	stallLeast = 100 * time.Millisecond // a turn that comes so late: this process stood still
)
