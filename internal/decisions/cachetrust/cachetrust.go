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
	AbsentAfter, goneProbes = 20 * time.Second, 4

	// ConfirmationDelay and MaxRetention bound how long whom a doubted list does not name is kept.
	ConfirmationDelay, MaxRetention = time.Second, 10 * time.Second

	coldLeft = 0.05 // of the cold workers so many may be taken for warm ones
	spread   = 0.7  // of the logarithm of how much longer than usual a job takes at a warm worker
	mostLate = 3.0  // of one job that is looked at

	// How likely a worker is cold before anything is heard of it: at a fresh list little (this process was down for
	// a moment), with age as much as not (whatever ended the last process may have ended the workers too). One that
	// had just started when the list was made starts more often.
	leastCold, mostCold = 0.05, 0.5
	coldAge             = 6 * time.Hour
	restless            = 0.1
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
	rules   Rules
	list    CachedList
	usable  bool
	begun   scheduler.Clock
	age     time.Duration // of the list at the start; below 0 where it cannot be told
	workers map[scheduler.WorkerID]*worker
	order   []*worker // by when they are asked first
	stages  [Excluded + 1]int
	pace    time.Duration
	over    bool // discovery's list is in force

	doubted scheduler.Clock // when a first list was doubted; 0 while none was
	kept    []scheduler.WorkerID
}

type worker struct {
	CachedWorker
	stage  TrustLevel
	out    bool            // a probe is
	asked  scheduler.Clock // when the last probe went out
	next   scheduler.Clock // when the next one may
	fails  int
	weight float64 // logarithm of how much likelier it is warm than cold, by its jobs
	told   scheduler.Clock
}

// New begins at a time with a saved list. Usable tells whether it is of any use; Look gives the first verdicts.
func New(now scheduler.Clock, l CachedList, r Rules) *Assessor {
	t := &Assessor{rules: r, list: l, workers: map[scheduler.WorkerID]*worker{}, begun: now, age: now - l.ConfirmedAt}
	if l.ConfirmedAt > now {
		t.age = -1
	}
	if t.usable = t.age <= r.MaxAge; !t.usable {
		t.over = true
		return t
	}
	for _, in := range l.Workers {
		if t.workers[in.ID] != nil {
			continue
		}
		w := &worker{CachedWorker: in, next: now}
		t.stages[Unconfirmed]++
		if in.State != scheduler.Ready || in.Detached {
			t.move(w, Excluded)
		} else {
			t.order = append(t.order, w)
		}
		t.workers[in.ID] = w
	}
	// Most likely there: those heard last, and of these the ones that had been up for longest.
	slices.SortStableFunc(t.order, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.LastSignal, a.LastSignal), cmp.Compare(a.StartedAt, b.StartedAt))
	})
	t.pace = time.Second / time.Duration(min(max(MinProbesPerSecond, len(t.order)), MaxProbesPerSecond))
	for i, w := range t.order {
		w.next = now + time.Duration(i)*t.pace
	}
	return t
}

// Usable tells whether the list may be used at all.
func (t *Assessor) Usable() bool { return t.usable }

// Age is how old the list was at the start; not ok where its time lies in the future.
func (t *Assessor) Age() (age time.Duration, ok bool) { return max(t.age, 0), t.age >= 0 }

// Finished tells whether discovery's list is in force: nothing is decided here any more.
func (t *Assessor) Finished() bool { return t.over }

// AwaitingConfirmation tells whether a list of discovery's waits for a second that agrees.
func (t *Assessor) AwaitingConfirmation() bool { return t.doubted != 0 }

// CountByLevel counts the workers by stage.
func (t *Assessor) CountByLevel() [Excluded + 1]int { return t.stages }

// move puts a worker into another stage.
func (t *Assessor) move(w *worker, to TrustLevel) {
	t.stages[w.stage]--
	w.stage = to
	t.stages[to]++
}

// Check gives what is due by now.
func (t *Assessor) Check(now scheduler.Clock) (vs []Action) {
	if t.over {
		return nil
	}
	for _, w := range t.order {
		if w.stage > Absent || w.next > now || w.out && now < w.asked+ProbeTimeout {
			continue
		}
		if !t.rules.MayProbe { // nobody can be asked: it is told as cold, and its jobs tell the rest
			vs = append(vs, t.hear(w, now))
			continue
		}
		if w.out { // its answer never came
			t.failed(w, now)
			if w.next > now {
				continue
			}
		}
		w.out, w.asked = true, now
		vs = append(vs, Action{Probe: w.ID})
	}
	return vs
}

// NextCheck tells when Look has something to do if nothing comes before; not ok if never.
func (t *Assessor) NextCheck() (at scheduler.Clock, ok bool) {
	if t.over {
		return 0, false
	}
	for _, w := range t.order {
		if w.stage > Absent {
			continue
		}
		next := w.next
		if w.out {
			next = max(next, w.asked+ProbeTimeout)
		}
		if !ok || next < at {
			at, ok = next, true
		}
	}
	return at, ok
}

// ProbeCompleted takes what came back of a probe.
func (t *Assessor) ProbeCompleted(now scheduler.Clock, id scheduler.WorkerID, s ProbeResult) []Action {
	w := t.workers[id]
	if t.over || w == nil || !w.out || w.stage > Absent {
		return nil
	}
	w.out = false
	switch s {
	case Answered:
		return []Action{t.hear(w, now)}
	case Unrecognized:
		t.move(w, ForeignService)
	}
	t.failed(w, now)
	return nil
}

// hear has a worker told as cold.
func (t *Assessor) hear(w *worker, now scheduler.Clock) Action {
	t.move(w, Responsive)
	w.told = now
	return Action{Announce: &ReadyWorker{ID: w.ID, StartedAt: max(now, 1)}}
}

func (t *Assessor) failed(w *worker, now scheduler.Clock) {
	w.out = false
	w.next = now + min(MinProbeRetryDelay<<min(w.fails, 16), MaxProbeRetryDelay)
	w.fails++
	if w.stage == Unconfirmed && w.fails >= goneProbes && now >= t.begun+AbsentAfter {
		t.move(w, Absent)
	}
}

// StartedAt is when this start began.
func (t *Assessor) StartedAt() scheduler.Clock { return t.begun }

// JobServed takes a job that a worker has served. late is the logarithm of how much longer it took than such jobs usually
// take at this worker.
func (t *Assessor) JobServed(now scheduler.Clock, id scheduler.WorkerID, late float64) []Action {
	w := t.workers[id]
	if t.over || w == nil || w.stage != Responsive || math.IsNaN(late) {
		return nil
	}
	late = min(max(late, -mostLate), mostLate)
	slow := -math.Log(t.warmth(now - w.told)) // how late a job would be at a worker that was cold when it was told
	w.weight += (slow*slow - 2*late*slow) / (2 * spread * spread)
	if w.weight < t.needed(w) {
		return nil
	}
	t.move(w, Verified)
	return []Action{{Announce: &ReadyWorker{ID: w.ID, StartedAt: w.StartedAt, StartConfirmed: true}}}
}

// prior is how likely a worker is held to be cold before anything is known of it.
func (t *Assessor) prior(w *worker) float64 {
	p := mostCold
	if t.age >= 0 {
		p = leastCold + (mostCold-leastCold)*(1-math.Exp(-float64(t.age)/float64(coldAge)))
	}
	if w.StartedAt > 0 && w.StartedAt > t.list.ConfirmedAt-t.rules.SlowStartDuration {
		p += restless
	}
	return p
}

// needed is how much must speak for a worker: Wald's bound, and more the likelier it is cold beforehand.
func (t *Assessor) needed(w *worker) float64 { return -math.Log(coldLeft) - math.Log(1-t.prior(w)) }

// warmth is the share of its capacity that a worker has at least, by its age.
func (t *Assessor) warmth(age time.Duration) float64 {
	start := min(max(t.rules.SlowStartCapacity, 0.01), 1)
	if t.rules.SlowStartDuration <= 0 {
		return 1
	}
	return start + (1-start)*min(max(float64(age)/float64(t.rules.SlowStartDuration), 0), 1)
}

// ListDecision says how a list of discovery's counts.
type ListDecision struct {
	Retain    []scheduler.WorkerID // whom it does not name, and who stay as they are
	RefetchAt scheduler.Clock      // when the whole list is to be asked for again; 0 where it counts as it is
}

// AssessList judges a whole list of discovery's: its revision and whom it names as ready.
func (t *Assessor) AssessList(now scheduler.Clock, revision int64, ready []scheduler.WorkerID) ListDecision {
	if t.over {
		return ListDecision{}
	}
	named := map[scheduler.WorkerID]bool{}
	for _, id := range ready {
		named[id] = true
	}
	trusted, lacking := 0, []scheduler.WorkerID(nil)
	for _, w := range t.order {
		trusted++
		if !named[w.ID] && (w.stage == Responsive || w.stage == Verified) {
			lacking = append(lacking, w.ID)
		}
	}
	few := trusted > 0 && float64(len(named)) < t.rules.MinFirstListShare*float64(trusted)
	doubtful := t.rules.MinFirstListShare > 0 && len(lacking) > 0 && (few || revision < t.list.Revision)
	switch {
	case !doubtful, t.doubted != 0 && now >= t.doubted+MaxRetention:
		t.over = true
		return ListDecision{}
	case t.doubted == 0:
		t.doubted, t.kept = now, lacking
	case now >= t.doubted+ConfirmationDelay && len(named) > 0: // a second one: whom it does not name either is gone
		t.over = true
		return ListDecision{}
	}
	return ListDecision{Retain: lacking, RefetchAt: max(now+ConfirmationDelay/2, t.doubted+ConfirmationDelay)}
}

// RemovedByDiscovery tells that discovery has named a worker as draining or gone by itself: it is neither kept nor told any more.
func (t *Assessor) RemovedByDiscovery(id scheduler.WorkerID) {
	if w := t.workers[id]; w != nil {
		t.move(w, Excluded)
	}
}

// RetainedUntil gives until when those that are kept may be; not ok where none is.
func (t *Assessor) RetainedUntil() (until scheduler.Clock, ok bool) {
	return t.doubted + MaxRetention, t.doubted != 0 && !t.over
}

// ExpireRetained ends the doubt at its latest: whom discovery did not name is gone.
func (t *Assessor) ExpireRetained(now scheduler.Clock) (gone []scheduler.WorkerID) {
	if t.doubted == 0 || t.over || now < t.doubted+MaxRetention {
		return nil
	}
	t.over = true
	return t.kept
}

// SameIncarnation tells whether a worker that discovery names is in the life that the saved list had it in.
func (t *Assessor) SameIncarnation(id scheduler.WorkerID, since scheduler.Clock) bool {
	w := t.workers[id]
	return w != nil && since <= w.StartedAt
}
