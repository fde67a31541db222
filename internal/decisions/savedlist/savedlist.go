// Package savedlist decides how far a list of workers from before a restart is trusted while nobody can be asked for a
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
package savedlist

import (
	"cmp"
	"math"
	"slices"
	"time"

	"brassdale/brain"
)

// Rules are set once.
type Rules struct {
	Oldest        time.Duration // an older list is not used
	Shrink        float64       // a first list below this share of what was trusted must be told twice; 0 for never
	Cold          time.Duration // a worker that has started is warm after this long at most
	StartCapacity float64       // and begins at this share of its capacity
	Probing       bool          // workers may be probed
}

const (
	// PacePerSecond is how many first probes go out in a second where workers are few; of many a second's worth is
	// MostPace at most.
	PacePerSecond, MostPace = 50, 400

	// FirstWait and MostWait bound the waits between probes of a worker that does not answer.
	FirstWait, MostWait = 500 * time.Millisecond, 30 * time.Second

	// ProbeLost is how long a probe may be out: its answer is then not waited for.
	ProbeLost = 2 * time.Second

	// GoneAfter tells when a worker that never answered counts as gone; it is still asked.
	GoneAfter, goneProbes = 20 * time.Second, 4

	// Second and Longest bound how long whom a doubted list does not name is kept.
	Second, Longest = time.Second, 10 * time.Second

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

// Worker is one of a saved list.
type Worker struct {
	ID    brain.WorkerID
	State brain.WorkerState
	Out   bool        // by hand
	Since brain.Clock // when it had started; 0 for long ago
	Heard brain.Clock // when it was last heard; 0 for never
}

// List is a saved list.
type List struct {
	Made     brain.Clock // when it was last known to be true
	Revision int64
	Workers  []Worker
}

// Stage is how far a worker is trusted.
type Stage uint8

const (
	Unheard Stage = iota // nothing has come from it
	Foreign              // something else answers at its address
	Absent               // it counts as gone
	Heard                // it has answered, and gets what a cold one may
	Proven               // it is what it was
	Barred               // it drained, was gone or out by hand
)

// Sign is what came back from a worker.
type Sign uint8

const (
	Answered Sign = iota // as a worker answers a probe
	Strange              // as no worker does
	Silent               // nothing, or no connection
)

// Verdict is what is to be done. Exactly one of its fields is set.
type Verdict struct {
	Probe brain.WorkerID // ask it for a sign of life
	Tell  *Told          // the module is to know
}

// Told is what the module is to know of a worker.
type Told struct {
	ID    brain.WorkerID
	Since brain.Clock
	Sure  bool // Since holds also where it is earlier than what was told before
}

// Trust is the state of a start from a saved list. The times that its methods get never run backwards.
type Trust struct {
	rules   Rules
	list    List
	usable  bool
	begun   brain.Clock
	age     time.Duration // of the list at the start; below 0 where it cannot be told
	workers map[brain.WorkerID]*worker
	order   []*worker // by when they are asked first
	stages  [Barred + 1]int
	pace    time.Duration
	over    bool // discovery's list is in force

	doubted brain.Clock // when a first list was doubted; 0 while none was
	kept    []brain.WorkerID
}

type worker struct {
	Worker
	stage  Stage
	out    bool        // a probe is
	asked  brain.Clock // when the last probe went out
	next   brain.Clock // when the next one may
	fails  int
	weight float64 // logarithm of how much likelier it is warm than cold, by its jobs
	told   brain.Clock
}

// New begins at a time with a saved list. Usable tells whether it is of any use; Look gives the first verdicts.
func New(now brain.Clock, l List, r Rules) *Trust {
	t := &Trust{rules: r, list: l, workers: map[brain.WorkerID]*worker{}, begun: now, age: now - l.Made}
	if l.Made > now {
		t.age = -1
	}
	if t.usable = t.age <= r.Oldest; !t.usable {
		t.over = true
		return t
	}
	for _, in := range l.Workers {
		if t.workers[in.ID] != nil {
			continue
		}
		w := &worker{Worker: in, next: now}
		t.stages[Unheard]++
		if in.State != brain.Ready || in.Out {
			t.move(w, Barred)
		} else {
			t.order = append(t.order, w)
		}
		t.workers[in.ID] = w
	}
	// Most likely there: those heard last, and of these the ones that had been up for longest.
	slices.SortStableFunc(t.order, func(a, b *worker) int { return cmp.Or(cmp.Compare(b.Heard, a.Heard), cmp.Compare(a.Since, b.Since)) })
	t.pace = time.Second / time.Duration(min(max(PacePerSecond, len(t.order)), MostPace))
	for i, w := range t.order {
		w.next = now + time.Duration(i)*t.pace
	}
	return t
}

// Usable tells whether the list may be used at all.
func (t *Trust) Usable() bool { return t.usable }

// Age is how old the list was at the start; not ok where its time lies in the future.
func (t *Trust) Age() (age time.Duration, ok bool) { return max(t.age, 0), t.age >= 0 }

// Over tells whether discovery's list is in force: nothing is decided here any more.
func (t *Trust) Over() bool { return t.over }

// Doubting tells whether a list of discovery's waits for a second that agrees.
func (t *Trust) Doubting() bool { return t.doubted != 0 }

// Stages counts the workers by stage.
func (t *Trust) Stages() [Barred + 1]int { return t.stages }

// move puts a worker into another stage.
func (t *Trust) move(w *worker, to Stage) {
	t.stages[w.stage]--
	w.stage = to
	t.stages[to]++
}

// Look gives what is due by now.
func (t *Trust) Look(now brain.Clock) (vs []Verdict) {
	if t.over {
		return nil
	}
	for _, w := range t.order {
		if w.stage > Absent || w.next > now || w.out && now < w.asked+ProbeLost {
			continue
		}
		if !t.rules.Probing { // nobody can be asked: it is told as cold, and its jobs tell the rest
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
		vs = append(vs, Verdict{Probe: w.ID})
	}
	return vs
}

// Due tells when Look has something to do if nothing comes before; not ok if never.
func (t *Trust) Due() (at brain.Clock, ok bool) {
	if t.over {
		return 0, false
	}
	for _, w := range t.order {
		if w.stage > Absent {
			continue
		}
		next := w.next
		if w.out {
			next = max(next, w.asked+ProbeLost)
		}
		if !ok || next < at {
			at, ok = next, true
		}
	}
	return at, ok
}

// Probed takes what came back of a probe.
func (t *Trust) Probed(now brain.Clock, id brain.WorkerID, s Sign) []Verdict {
	w := t.workers[id]
	if t.over || w == nil || !w.out || w.stage > Absent {
		return nil
	}
	w.out = false
	switch s {
	case Answered:
		return []Verdict{t.hear(w, now)}
	case Strange:
		t.move(w, Foreign)
	}
	t.failed(w, now)
	return nil
}

// hear has a worker told as cold.
func (t *Trust) hear(w *worker, now brain.Clock) Verdict {
	t.move(w, Heard)
	w.told = now
	return Verdict{Tell: &Told{ID: w.ID, Since: max(now, 1)}}
}

func (t *Trust) failed(w *worker, now brain.Clock) {
	w.out = false
	w.next = now + min(FirstWait<<min(w.fails, 16), MostWait)
	w.fails++
	if w.stage == Unheard && w.fails >= goneProbes && now >= t.begun+GoneAfter {
		t.move(w, Absent)
	}
}

// Begun is when this start began.
func (t *Trust) Begun() brain.Clock { return t.begun }

// Worked takes a job that a worker has served. late is the logarithm of how much longer it took than such jobs usually
// take at this worker.
func (t *Trust) Worked(now brain.Clock, id brain.WorkerID, late float64) []Verdict {
	w := t.workers[id]
	if t.over || w == nil || w.stage != Heard || math.IsNaN(late) {
		return nil
	}
	late = min(max(late, -mostLate), mostLate)
	slow := -math.Log(t.warmth(now - w.told)) // how late a job would be at a worker that was cold when it was told
	w.weight += (slow*slow - 2*late*slow) / (2 * spread * spread)
	if w.weight < t.needed(w) {
		return nil
	}
	t.move(w, Proven)
	return []Verdict{{Tell: &Told{ID: w.ID, Since: w.Since, Sure: true}}}
}

// prior is how likely a worker is held to be cold before anything is known of it.
func (t *Trust) prior(w *worker) float64 {
	p := mostCold
	if t.age >= 0 {
		p = leastCold + (mostCold-leastCold)*(1-math.Exp(-float64(t.age)/float64(coldAge)))
	}
	if w.Since > 0 && w.Since > t.list.Made-t.rules.Cold {
		p += restless
	}
	return p
}

// needed is how much must speak for a worker: Wald's bound, and more the likelier it is cold beforehand.
func (t *Trust) needed(w *worker) float64 { return -math.Log(coldLeft) - math.Log(1-t.prior(w)) }

// warmth is the share of its capacity that a worker has at least, by its age.
func (t *Trust) warmth(age time.Duration) float64 {
	start := min(max(t.rules.StartCapacity, 0.01), 1)
	if t.rules.Cold <= 0 {
		return 1
	}
	return start + (1-start)*min(max(float64(age)/float64(t.rules.Cold), 0), 1)
}

// Judgement says how a list of discovery's counts.
type Judgement struct {
	Keep  []brain.WorkerID // whom it does not name, and who stay as they are
	Again brain.Clock      // when the whole list is to be asked for again; 0 where it counts as it is
}

// Listed judges a whole list of discovery's: its revision and whom it names as ready.
func (t *Trust) Listed(now brain.Clock, revision int64, ready []brain.WorkerID) Judgement {
	if t.over {
		return Judgement{}
	}
	named := map[brain.WorkerID]bool{}
	for _, id := range ready {
		named[id] = true
	}
	trusted, lacking := 0, []brain.WorkerID(nil)
	for _, w := range t.order {
		trusted++
		if !named[w.ID] && (w.stage == Heard || w.stage == Proven) {
			lacking = append(lacking, w.ID)
		}
	}
	few := trusted > 0 && float64(len(named)) < t.rules.Shrink*float64(trusted)
	doubtful := t.rules.Shrink > 0 && len(lacking) > 0 && (few || revision < t.list.Revision)
	switch {
	case !doubtful, t.doubted != 0 && now >= t.doubted+Longest:
		t.over = true
		return Judgement{}
	case t.doubted == 0:
		t.doubted, t.kept = now, lacking
	case now >= t.doubted+Second && len(named) > 0: // a second one: whom it does not name either is gone
		t.over = true
		return Judgement{}
	}
	return Judgement{Keep: lacking, Again: max(now+Second/2, t.doubted+Second)}
}

// Left tells that discovery has named a worker as draining or gone by itself: it is neither kept nor told any more.
func (t *Trust) Left(id brain.WorkerID) {
	if w := t.workers[id]; w != nil {
		t.move(w, Barred)
	}
}

// Doubted gives until when those that are kept may be; not ok where none is.
func (t *Trust) Doubted() (until brain.Clock, ok bool) {
	return t.doubted + Longest, t.doubted != 0 && !t.over
}

// Expire ends the doubt at its latest: whom discovery did not name is gone.
func (t *Trust) Expire(now brain.Clock) (gone []brain.WorkerID) {
	if t.doubted == 0 || t.over || now < t.doubted+Longest {
		return nil
	}
	t.over = true
	return t.kept
}

// Same tells whether a worker that discovery names is in the life that the saved list had it in.
func (t *Trust) Same(id brain.WorkerID, since brain.Clock) bool {
	w := t.workers[id]
	return w != nil && since <= w.Since
}
