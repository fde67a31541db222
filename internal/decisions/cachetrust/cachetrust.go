// Package cachetrust decides how far a list of workers from before a restart is trusted while nobody can be asked for a
// newer one, and how that is handed over when somebody can. Values in, verdicts out: no I/O, no clock, no goroutine.
// Which worker gets a job stays the module's decision: what is decided here reaches it as news of the list.
//
// It promises:
//
//  1. A list older than Rules.Oldest is not used. One that was made in what is now the future is, with the least trust.
//  2. A worker that the list has as draining, gone or out by hand gets nothing until a newer list has it as ready.
//  3. Where probing is allowed, a worker is told as ready only once it has answered a probe as a worker does; one whose
//     address another service has now gets no job.
//  4. A worker is told as started the moment it is told: the module then sends it no more than what it could stand if
//     it were cold, and deals that out among the dispatchers.
//  5. It is told as what it was, with the start that the list had, only when the times of its jobs say so: by a
//     sequential probability ratio test (A. Wald, "Sequential Tests of Statistical Hypotheses", 1945), which takes one
//     cold worker in twenty for a warm one at most. The older the list, the more has to speak for it.
//  6. No more than PacePerSecond first probes go out in a second, those to the workers most likely to be there first.
//     One that does not answer is asked again after waits that double up to MostWait; no worker has two probes out.
//  7. A list from discovery counts at once, but for one case: a first whole list that lacks more than Rules.Shrink allows
//     of what was trusted, is empty, or is older than the saved one by its revision. What that one has as ready,
//     draining or gone counts at once; whom it does not name is kept, if it was heard, until a second whole list,
//     asked for Second later or more, agrees, and for no longer than Longest. Of an empty one no second is believed:
//     a site that has no workers has no jobs either.
//  8. A worker that discovery has as started when the saved list had it is what it was, and what was learned of it holds;
//     one that started later is new.
package cachetrust

import (
	"cmp"
	"math"
	"slices"
	"time"

	"brassdale/scheduler"
)

// Rules are set once.
type Rules struct {
	MaxAge            time.Duration // an older list is not used
	MinFirstListShare float64       // a first list below this share of what was trusted must be told twice; 0 for never
	SlowStartDuration time.Duration // a worker that has started is warm after this long at most
	SlowStartCapacity float64       // and begins at this share of its capacity
	MayProbe          bool          // workers may be probed
}

const (
	// MinProbesPerSecond is how many first probes go out in a second where workers are few; of many a second's worth is
	// MaxProbesPerSecond at most.
	MinProbesPerSecond, MaxProbesPerSecond = 50, 400

	// MinProbeRetryDelay and MaxProbeRetryDelay bound the waits between probes of a worker that does not answer.
	MinProbeRetryDelay, MaxProbeRetryDelay = 500 * time.Millisecond, 30 * time.Second

	// ProbeTimeout is how long a probe may be out: its answer is then not waited for.
	ProbeTimeout = 2 * time.Second

	// AbsentAfter tells when a worker that never answered counts as gone; it is still asked.
	AbsentAfter, minProbesForAbsent = 20 * time.Second, 4

	// ConfirmationDelay and MaxRetention bound how long whom a doubted list does not name is kept.
	ConfirmationDelay, MaxRetention = time.Second, 10 * time.Second

	maxFalseWarmRate    = 0.05 // of the cold workers so many may be taken for warm ones
	logRuntimeDeviation = 0.7  // of the logarithm of how much longer than usual a job takes at a warm worker
	maxLogLateness      = 3.0  // of one job that is looked at

	// How likely a worker is cold before anything is heard of it: at a fresh list little (this process was down for
	// a moment), with age as much as not (whatever ended the last process may have ended the workers too). One that
	// had just started when the list was made starts more often.
	minWarmingUpPrior, maxWarmingUpPrior = 0.05, 0.5
	priorAgeScale                        = 6 * time.Hour
	recentStartPrior                     = 0.1
)

// CachedWorker is one of a saved list.
type CachedWorker struct {
	ID         scheduler.WorkerID
	State      scheduler.WorkerState
	Detached   bool            // by hand
	StartedAt  scheduler.Clock // when it had started; 0 for long ago
	LastSignal scheduler.Clock // when it was last heard; 0 for never
}

// CachedList is a saved list.
type CachedList struct {
	ConfirmedAt scheduler.Clock // when it was last known to be true
	Revision    int64
	Workers     []CachedWorker
}

// TrustLevel is how far a worker is trusted.
type TrustLevel uint8

const (
	Unconfirmed    TrustLevel = iota // nothing has come from it
	ForeignService                   // something else answers at its address
	Absent                           // it counts as gone
	Responsive                       // it has answered, and gets what a cold one may
	Verified                         // it is what it was
	Excluded                         // it drained, was gone or out by hand
)

// ProbeResult is what came back from a worker.
type ProbeResult uint8

const (
	Answered     ProbeResult = iota // as a worker answers a probe
	Unrecognized                    // as no worker does
	NoResponse                      // nothing, or no connection
)

// Action is what is to be done. Exactly one of its fields is set.
type Action struct {
	Probe    scheduler.WorkerID // ask it for a sign of life
	Announce *ReadyWorker       // the module is to know
}

// ReadyWorker is what the module is to know of a worker.
type ReadyWorker struct {
	ID             scheduler.WorkerID
	StartedAt      scheduler.Clock
	StartConfirmed bool // Since holds also where it is earlier than what was told before
}

// Assessor is the state of a start from a saved list. The times that its methods get never run backwards.
type Assessor struct {
	rules        Rules
	list         CachedList
	usable       bool
	startedAt    scheduler.Clock
	age          time.Duration // of the list at the start; below 0 where it cannot be told
	workers      map[scheduler.WorkerID]*assessedWorker
	probeOrder   []*assessedWorker // by when they are asked first
	countByLevel [Excluded + 1]int
	pace         time.Duration
	finished     bool // discovery's list is in force

	doubtedAt scheduler.Clock // when a first list was doubted; 0 while none was
	retained  []scheduler.WorkerID
}

type assessedWorker struct {
	CachedWorker
	level              TrustLevel
	probing            bool            // a probe is
	probedAt           scheduler.Clock // when the last probe went out
	nextProbeAt        scheduler.Clock // when the next one may
	failedProbes       int
	logLikelihoodRatio float64 // logarithm of how much likelier it is warm than cold, by its jobs
	announcedAt        scheduler.Clock
}

// New begins at a time with a saved list. Usable tells whether it is of any use; Look gives the first verdicts.
func New(now scheduler.Clock, list CachedList, rules Rules) *Assessor {
	assessor := &Assessor{rules: rules, list: list, workers: map[scheduler.WorkerID]*assessedWorker{}, startedAt: now, age: now - list.ConfirmedAt}
	if list.ConfirmedAt > now {
		assessor.age = -1
	}
	if assessor.usable = assessor.age <= rules.MaxAge; !assessor.usable {
		assessor.finished = true
		return assessor
	}
	for _, cached := range list.Workers {
		if assessor.workers[cached.ID] != nil {
			continue
		}
		w := &assessedWorker{CachedWorker: cached, nextProbeAt: now}
		assessor.countByLevel[Unconfirmed]++
		if cached.State != scheduler.Ready || cached.Detached {
			assessor.setLevel(w, Excluded)
		} else {
			assessor.probeOrder = append(assessor.probeOrder, w)
		}
		assessor.workers[cached.ID] = w
	}
	// Most likely there: those heard last, and of these the ones that had been up for longest.
	slices.SortStableFunc(assessor.probeOrder, func(a, b *assessedWorker) int {
		return cmp.Or(cmp.Compare(b.LastSignal, a.LastSignal), cmp.Compare(a.StartedAt, b.StartedAt))
	})
	assessor.pace = time.Second / time.Duration(min(max(MinProbesPerSecond, len(assessor.probeOrder)), MaxProbesPerSecond))
	for i, w := range assessor.probeOrder {
		w.nextProbeAt = now + time.Duration(i)*assessor.pace
	}
	return assessor
}

// Usable tells whether the list may be used at all.
func (t *Assessor) Usable() bool { return t.usable }

// Age is how old the list was at the start; not ok where its time lies in the future.
func (t *Assessor) Age() (age time.Duration, ok bool) { return max(t.age, 0), t.age >= 0 }

// Finished tells whether discovery's list is in force: nothing is decided here any more.
func (t *Assessor) Finished() bool { return t.finished }

// AwaitingConfirmation tells whether a list of discovery's waits for a second that agrees.
func (t *Assessor) AwaitingConfirmation() bool { return t.doubtedAt != 0 }

// CountByLevel counts the workers by stage.
func (t *Assessor) CountByLevel() [Excluded + 1]int { return t.countByLevel }

// setLevel puts a worker into another stage.
func (t *Assessor) setLevel(w *assessedWorker, to TrustLevel) {
	t.countByLevel[w.level]--
	w.level = to
	t.countByLevel[to]++
}

// Check gives what is due by now.
func (t *Assessor) Check(now scheduler.Clock) (actions []Action) {
	if t.finished {
		return nil
	}
	for _, w := range t.probeOrder {
		if w.level > Absent || w.nextProbeAt > now || w.probing && now < w.probedAt+ProbeTimeout {
			continue
		}
		if !t.rules.MayProbe { // nobody can be asked: it is told as cold, and its jobs tell the rest
			actions = append(actions, t.announce(w, now))
			continue
		}
		if w.probing { // its answer never came
			t.probeFailed(w, now)
			if w.nextProbeAt > now {
				continue
			}
		}
		w.probing, w.probedAt = true, now
		actions = append(actions, Action{Probe: w.ID})
	}
	return actions
}

// NextCheck tells when Look has something to do if nothing comes before; not ok if never.
func (t *Assessor) NextCheck() (at scheduler.Clock, ok bool) {
	if t.finished {
		return 0, false
	}
	for _, w := range t.probeOrder {
		if w.level > Absent {
			continue
		}
		next := w.nextProbeAt
		if w.probing {
			next = max(next, w.probedAt+ProbeTimeout)
		}
		if !ok || next < at {
			at, ok = next, true
		}
	}
	return at, ok
}

// ProbeCompleted takes what came back of a probe.
func (t *Assessor) ProbeCompleted(now scheduler.Clock, id scheduler.WorkerID, result ProbeResult) []Action {
	w := t.workers[id]
	if t.finished || w == nil || !w.probing || w.level > Absent {
		return nil
	}
	w.probing = false
	switch result {
	case Answered:
		return []Action{t.announce(w, now)}
	case Unrecognized:
		t.setLevel(w, ForeignService)
	}
	t.probeFailed(w, now)
	return nil
}

// announce has a worker told as cold.
func (t *Assessor) announce(w *assessedWorker, now scheduler.Clock) Action {
	t.setLevel(w, Responsive)
	w.announcedAt = now
	return Action{Announce: &ReadyWorker{ID: w.ID, StartedAt: max(now, 1)}}
}

func (t *Assessor) probeFailed(w *assessedWorker, now scheduler.Clock) {
	w.probing = false
	w.nextProbeAt = now + min(MinProbeRetryDelay<<min(w.failedProbes, 16), MaxProbeRetryDelay)
	w.failedProbes++
	if w.level == Unconfirmed && w.failedProbes >= minProbesForAbsent && now >= t.startedAt+AbsentAfter {
		t.setLevel(w, Absent)
	}
}

// StartedAt is when this start began.
func (t *Assessor) StartedAt() scheduler.Clock { return t.startedAt }

// JobServed takes a job that a worker has served. late is the logarithm of how much longer it took than such jobs usually
// take at this worker.
func (t *Assessor) JobServed(now scheduler.Clock, id scheduler.WorkerID, logLateness float64) []Action {
	w := t.workers[id]
	if t.finished || w == nil || w.level != Responsive || math.IsNaN(logLateness) {
		return nil
	}
	logLateness = min(max(logLateness, -maxLogLateness), maxLogLateness)
	warmingUpLateness := -math.Log(t.warmupFactor(now - w.announcedAt)) // how late a job would be at a worker that was cold when it was told
	w.logLikelihoodRatio += (warmingUpLateness*warmingUpLateness - 2*logLateness*warmingUpLateness) / (2 * logRuntimeDeviation * logRuntimeDeviation)
	if w.logLikelihoodRatio < t.requiredEvidence(w) {
		return nil
	}
	t.setLevel(w, Verified)
	return []Action{{Announce: &ReadyWorker{ID: w.ID, StartedAt: w.StartedAt, StartConfirmed: true}}}
}

// warmingUpPrior is how likely a worker is held to be cold before anything is known of it.
func (t *Assessor) warmingUpPrior(w *assessedWorker) float64 {
	probability := maxWarmingUpPrior
	if t.age >= 0 {
		probability = minWarmingUpPrior + (maxWarmingUpPrior-minWarmingUpPrior)*(1-math.Exp(-float64(t.age)/float64(priorAgeScale)))
	}
	if w.StartedAt > 0 && w.StartedAt > t.list.ConfirmedAt-t.rules.SlowStartDuration {
		probability += recentStartPrior
	}
	return probability
}

// requiredEvidence is how much must speak for a worker: Wald's bound, and more the likelier it is cold beforehand.
func (t *Assessor) requiredEvidence(w *assessedWorker) float64 {
	return -math.Log(maxFalseWarmRate) - math.Log(1-t.warmingUpPrior(w))
}

// warmupFactor is the share of its capacity that a worker has at least, by its age.
func (t *Assessor) warmupFactor(age time.Duration) float64 {
	initial := min(max(t.rules.SlowStartCapacity, 0.01), 1)
	if t.rules.SlowStartDuration <= 0 {
		return 1
	}
	return initial + (1-initial)*min(max(float64(age)/float64(t.rules.SlowStartDuration), 0), 1)
}

// ListDecision says how a list of discovery's counts.
type ListDecision struct {
	Retain    []scheduler.WorkerID // whom it does not name, and who stay as they are
	RefetchAt scheduler.Clock      // when the whole list is to be asked for again; 0 where it counts as it is
}

// AssessList judges a whole list of discovery's: its revision and whom it names as ready.
func (t *Assessor) AssessList(now scheduler.Clock, revision int64, ready []scheduler.WorkerID) ListDecision {
	if t.finished {
		return ListDecision{}
	}
	listed := map[scheduler.WorkerID]bool{}
	for _, id := range ready {
		listed[id] = true
	}
	trusted, missing := 0, []scheduler.WorkerID(nil)
	for _, w := range t.probeOrder {
		trusted++
		if !listed[w.ID] && (w.level == Responsive || w.level == Verified) {
			missing = append(missing, w.ID)
		}
	}
	tooFew := trusted > 0 && float64(len(listed)) < t.rules.MinFirstListShare*float64(trusted)
	doubtful := t.rules.MinFirstListShare > 0 && len(missing) > 0 && (tooFew || revision < t.list.Revision)
	switch {
	case !doubtful, t.doubtedAt != 0 && now >= t.doubtedAt+MaxRetention:
		t.finished = true
		return ListDecision{}
	case t.doubtedAt == 0:
		t.doubtedAt, t.retained = now, missing
	case now >= t.doubtedAt+ConfirmationDelay && len(listed) > 0: // a second one: whom it does not name either is gone
		t.finished = true
		return ListDecision{}
	}
	return ListDecision{Retain: missing, RefetchAt: max(now+ConfirmationDelay/2, t.doubtedAt+ConfirmationDelay)}
}

// RemovedByDiscovery tells that discovery has named a worker as draining or gone by itself: it is neither kept nor told any more.
func (t *Assessor) RemovedByDiscovery(id scheduler.WorkerID) {
	if w := t.workers[id]; w != nil {
		t.setLevel(w, Excluded)
	}
}

// RetainedUntil gives until when those that are kept may be; not ok where none is.
func (t *Assessor) RetainedUntil() (until scheduler.Clock, ok bool) {
	return t.doubtedAt + MaxRetention, t.doubtedAt != 0 && !t.finished
}

// ExpireRetained ends the doubt at its latest: whom discovery did not name is gone.
func (t *Assessor) ExpireRetained(now scheduler.Clock) (gone []scheduler.WorkerID) {
	if t.doubtedAt == 0 || t.finished || now < t.doubtedAt+MaxRetention {
		return nil
	}
	t.finished = true
	return t.retained
}

// SameIncarnation tells whether a worker that discovery names is in the life that the saved list had it in.
func (t *Assessor) SameIncarnation(id scheduler.WorkerID, startedAt scheduler.Clock) bool {
	w := t.workers[id]
	return w != nil && startedAt <= w.StartedAt
}
