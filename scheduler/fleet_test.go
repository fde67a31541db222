package scheduler

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// newDispatchers is many dispatchers at one list of workers, as the settings tell each.
func newDispatchers(t *testing.T, dispatchers, n int) (vs []*driver) {
	for me := range dispatchers {
		s := baseSettings()
		s.DispatcherIndex, s.Dispatchers, s.ReportsPulled, s.MayProbe = me, dispatchers, true, true
		v := newDriver(t, s)
		v.listWorkers(workers(n)...)
		vs = append(vs, v)
	}
	return vs
}

// learnRuntimes has the first jobs run one after the other, each for so long.
func (v *driver) learnRuntimes(jobs RequestID, run time.Duration) {
	for id := RequestID(1); id <= jobs; id++ {
		v.submit(id, 0)
		v.handle(AttemptStarted{ID: id})
		v.advance(run)
		v.finishServed(id, nil)
	}
}

// Where there are many dispatchers, each with few jobs, a key still has the same homes at all. Each dispatcher once
// drew its jobs to a few workers of its own, whatever their keys: every worker fetched what eighty dispatchers' keys
// need, on 60 workers for most of the jobs, and kept none of it.
func TestKeysGoHomeFromAllOfMany(t *testing.T) {
	vs := newDispatchers(t, 80, 60)
	for _, v := range vs {
		v.handle(RequestArrived{ID: 1, Slots: 1, AffinityKey: 1, Deadline: v.now + 4*time.Second}) // from now on it knows of keys
		v.finishServed(1, nil)
		v.now += 2 * subsetInterval
		v.advance(subsetInterval)
	}
	away := 0
	for key := uint64(2); key < 22; key++ {
		homes := map[WorkerID]int{}
		for _, v := range vs {
			homes[firstSendWorker(v.handle(RequestArrived{ID: RequestID(key), Slots: 1, AffinityKey: key, Deadline: v.now + 4*time.Second}))]++
			v.finishServed(RequestID(key), nil)
			v.now += 500 * ms
		}
		most := 0
		for _, n := range homes {
			most = max(most, n)
		}
		away += len(vs) - most
	}
	if away > 20*len(vs)/10 {
		t.Errorf("%d of %d jobs went elsewhere than most of their key", away, 20*len(vs))
	}
}

// A key with a large part of all jobs is at more homes, by how much it is: one dispatcher's jobs are few, but a sample.
func TestHotKeySpreads(t *testing.T) {
	v := newDispatchers(t, 80, 60)[0]
	to := map[WorkerID]int{}
	for id := RequestID(1); id <= 40; id++ { // a job in 300 ms, each ended before the next
		to[firstSendWorker(v.handle(RequestArrived{ID: id, Slots: 1, AffinityKey: 7, Deadline: v.now + 4*time.Second}))]++
		v.finishServed(id, nil)
		v.now += 300 * ms
	}
	if len(to) < 4 {
		t.Errorf("all jobs of the only key went to %v", to)
	}
}

// Workers bear so many probes, however many dispatchers ask: with 80 that each asked every worker once a second, each
// worker would answer 80 a second.
func TestProbesGoByDispatchers(t *testing.T) {
	for _, dispatchers := range []int{2, 10, 80} {
		t.Run(fmt.Sprint(dispatchers), func(t *testing.T) {
			const n, span = 60, 80 * time.Second
			v := newDispatchers(t, dispatchers, n)[0]
			v.handle(RequestArrived{ID: 1, Slots: 1, AffinityKey: 1, Deadline: v.now + 4*time.Second})
			v.finishServed(1, nil)
			probes := 0
			for end := v.now + span; v.now < end; v.now += 50 * ms {
				for _, a := range v.handle(TimerFired{Token: reviewTimer}) {
					if p, ok := a.(Probe); ok {
						probes++
						v.handle(ProbeCompleted{Worker: p.Worker, Report: loadReport(0.5, 2)})
					}
				}
			}
			each := float64(probes*dispatchers) / n / span.Seconds()
			if each < 1 || each > 2.5 {
				t.Errorf("%.1f probes a second at each worker", each)
			}
		})
	}
}

// A dispatcher that has seen few jobs knows what they are in the mean, though none of them is certain. The mean once
// rose from nothing by a thirtieth with each, so of a cold worker's budget each had a part smaller than a job: at 80
// dispatchers nobody sent to cold workers for the first minute, and a fleet that was replaced stood idle.
func TestColdBudgetFromFewJobs(t *testing.T) {
	const dispatchers, n, jobs = 80, 60, 8
	sent := 0
	for _, v := range newDispatchers(t, dispatchers, n) {
		v.learnRuntimes(jobs, 250*ms)
		cold := workers(n)
		for i := range cold {
			cold[i].ID, cold[i].StartedAt = WorkerID(fmt.Sprint("new-", i)), v.now-v.scheduler.settings.SlowStartDuration/10
		}
		v.listWorkers(cold...) // all of them are replaced
		for i := range n {
			for _, a := range v.handle(RequestArrived{ID: RequestID(100 + i), Slots: 1, AffinityKey: uint64(i), Deadline: v.now + 4*time.Second}) {
				if s, ok := a.(Send); ok && s.ID >= 100 {
					sent++
				}
			}
		}
	}
	// 0.6 of three times what 0.28 of a slot does in a second, in jobs of a quarter of a second, at each worker.
	if most := int(math.Round(n * 0.6 * 3 * 0.28 / 0.25)); sent < most/2 || sent > most {
		t.Errorf("%d jobs sent to %d cold workers within their window, want up to %d", sent, n, most)
	}
}

// Where jobs wait for their start at the warm workers, those who own a part of a cold one's budget use it first. Its
// keys' homes alone brought it next to nothing of a dispatcher's few jobs, while the warm ones' queues were full.
func TestColdHelpsWhileJobsWait(t *testing.T) {
	for _, wait := range []time.Duration{10 * ms, 300 * ms} {
		s := baseSettings()
		s.Classes[0].LateWeight = 1
		v := newDriver(t, s)
		ws := workers(8)
		v.listWorkers(ws...)
		for id := RequestID(1); id <= 12; id++ {
			v.handle(RequestArrived{ID: id, Slots: 1, AffinityKey: uint64(id), Deadline: v.now + 4*time.Second})
			v.advance(wait)
			v.handle(AttemptStarted{ID: id})
			v.advance(100 * ms)
			v.finishServed(id, nil)
		}
		ws[0].StartedAt = v.now - s.SlowStartDuration/2
		v.listWorkers(ws...)
		first := 0 // of the keys whose next job goes to the cold one
		for key := uint64(20); key < 24; key++ {
			first += oneIf(firstSendWorker(v.handle(RequestArrived{ID: RequestID(key), Slots: 1, AffinityKey: key, Deadline: v.now + 4*time.Second})) == ws[0].ID)
			v.finishServed(RequestID(key), nil)
			v.now += s.OverloadWindow
		}
		if jammed := wait > delayedStartThreshold; jammed != (first == 4) {
			t.Errorf("after waits of %v: %d of 4 to the cold worker", wait, first)
		}
	}
}

// hungWorkerShare plays many dispatchers over workers of which some take jobs and begin none, each job met by one dispatcher
// in turn, and gives the part of all first sends that went to those in the last third.
func hungWorkerShare(t *testing.T, dispatchers, n, hung, jobs int, every time.Duration) float64 {
	vs := newDispatchers(t, dispatchers, n)
	var bad, all int
	for _, v := range vs {
		v.scheduler.settings.MayHedge = true
	}
	is := map[WorkerID]bool{}
	for _, w := range workers(n)[:hung] {
		is[w.ID] = true
	}
	for i := range jobs {
		v := vs[i%dispatchers]
		id, r := RequestID(i+1), 0
		v.now = max(v.now, start+time.Duration(i)*every)
		acts := v.handle(RequestArrived{ID: id, Slots: 1, AffinityKey: uint64(i*7 + 1), Deadline: v.now + 5*time.Second})
		to := firstSendWorker(acts)
		if i > 2*jobs/3 {
			all++
			bad += oneIf(is[to])
		}
		for n := 0; is[to] && n < 4; n++ { // until a copy is begun
			end := v.now + 400*ms
			for to = ""; to == "" && v.now < end && v.scheduler.requests[id] != nil; {
				to = firstSendWorker(v.advance(10 * ms))
			}
			r++
		}
		if v.scheduler.requests[id] == nil || to == "" {
			v.handle(ClientLeft{ID: id})
			continue
		}
		v.handle(AttemptStarted{ID: id, Attempt: r})
		for a := range r {
			v.handle(AttemptFinished{ID: id, Attempt: a, Outcome: Cancelled})
		}
		v.advance(100 * ms)
		v.handle(AttemptFinished{ID: id, Attempt: r, Outcome: Served, Final: true})
	}
	return float64(bad) / float64(all)
}

// Workers that take jobs and begin none are found by each dispatcher from the few jobs that it sends there. Their jobs
// were copied and called off, so nothing that was out told of silence, and probes were answered: they kept their share.
func TestHungAreFoundThoughMetSeldom(t *testing.T) {
	const hung, n = 5, 30
	if got := hungWorkerShare(t, 8, n, hung, 1600, 20*ms); got > 0.65*hung/n {
		t.Errorf("%.3f of the jobs go to them first, %.3f of the workers are hung", got, float64(hung)/n)
	}
}

// A third of the workers is gone and returns cold, while jobs wait at the others and every dispatcher is eager to use
// them: together they send each no more than its budget within any window, and yet a good part of it.
func TestZoneReturnsCold(t *testing.T) {
	const dispatchers, n, cold, mean = 80, 60, 20, 0.25
	type push struct {
		at   Clock
		work float64
	}
	sent := map[WorkerID][]push{}
	var set *Settings
	for _, v := range newDispatchers(t, dispatchers, n) {
		v.now = start
		set = v.scheduler.settings
		v.learnRuntimes(8, mean*1000*ms)
		v.now = start + 10*time.Second
		ws := workers(n)
		for i := range cold {
			ws[i].StartedAt = v.now
		}
		v.handle(EndpointsUpdated{ListKind: ListFull, Workers: ws})
		for i := range 16 { // four jobs a second
			v.scheduler.congestion = 1
			id := RequestID(100 + i)
			for _, a := range v.handle(RequestArrived{ID: id, Slots: 1, AffinityKey: uint64(i + v.scheduler.settings.DispatcherIndex*100 + 1), Deadline: v.now + 4*time.Second}) {
				if s, ok := a.(Send); ok && s.ID == id {
					sent[s.Worker] = append(sent[s.Worker], push{v.now, mean})
				}
			}
			v.handle(AttemptStarted{ID: id})
			v.advance(mean * 1000 * ms)
			v.handle(AttemptFinished{ID: id, Outcome: Served, Final: true})
		}
	}
	used, could := 0.0, 0.0
	for _, w := range workers(n)[:cold] {
		ps := sent[w.ID]
		for _, p := range ps {
			sum := 0.0
			for _, q := range ps {
				if q.at >= p.at && q.at < p.at+set.OverloadWindow {
					sum += q.work
				}
			}
			used += p.work
			age := float64(p.at-start-10*time.Second) / float64(set.SlowStartDuration)
			if warm := set.SlowStartCapacity + (1-set.SlowStartCapacity)*age; sum > set.OverloadMultiple*warm*set.OverloadWindow.Seconds() {
				t.Fatalf("%s: %.2f s of work within %v at an age of %.2f", w.ID, sum, set.OverloadWindow, age)
			}
		}
		could += usedBudgetShare * set.OverloadMultiple * 0.36 * 4 // the mean share of capacity over the 4 s
	}
	if used < could/3 {
		t.Errorf("%.1f s of work sent to cold workers, of %.1f that they could be sent", used, could)
	}
}

// Dispatchers that start while half of the workers are cold, and have no job yet: each took itself for an owner of every cold
// worker, for want of a mean job, and all of them together had many times its budget.
func TestFewOwnersBeforeTheFirstJob(t *testing.T) {
	for me := range 30 {
		s := baseSettings()
		s.DispatcherIndex, s.Dispatchers, s.ReportsPulled, s.MayProbe = 10*me, 300, true, true
		s.SlowStartDuration, s.SlowStartCapacity, s.OverloadMultiple, s.OverloadWindow = 24*time.Second, 0.14, 3, 1500*ms
		v := newDriver(t, s)
		ws := workers(170)
		for i := range ws[80:] {
			ws[80+i].StartedAt = v.now - time.Second
		}
		v.listWorkers(ws...)
		own := 0
		for _, w := range v.scheduler.workers {
			own += oneIf(v.scheduler.warmupFactor(w) < 1 && v.scheduler.slowStartShare(w) > 0)
		}
		if own > 30 {
			t.Errorf("dispatcher %d owns %d of 90 cold workers before its first job", me, own)
		}
	}
}

// At 173 workers the jobs of a hot key waited at the 32 of its window while four in five were free.
func TestHotKeyReachesAllOfTheFullFleet(t *testing.T) {
	s := baseSettings()
	s.Dispatchers = 300
	d := New(s, 1)
	d.Handle(start, EndpointsUpdated{ListKind: ListFull, Workers: workers(200)})
	at := map[WorkerID]bool{}
	for id := RequestID(1); id <= 400; id++ {
		to := firstSendWorker(d.Handle(start+Clock(id)*ms, RequestArrived{ID: id, Slots: 1, AffinityKey: 7, Deadline: start + 5*time.Second}))
		if to == "" {
			t.Fatalf("job %d waits, with %d of 200 workers in use", id, len(at))
		}
		at[to] = true
	}
	if len(at) < 100 {
		t.Errorf("400 jobs of one key went to %d of 200 workers", len(at))
	}
}

// A key that is an eighth of the jobs needs twenty-odd of 185 workers. Every dispatcher, with six jobs a second, sent a third of
// them to its first home: 190 a second came to a worker that runs 25, and waited there to be copied elsewhere.
func TestHotKeyIsSpreadAlikeByAll(t *testing.T) {
	at, hot, first := map[WorkerID]int{}, 0, map[WorkerID]int{}
	for me := range 4 {
		s := baseSettings()
		s.DispatcherIndex, s.Dispatchers = 70*me, 300
		v := newDriver(t, s)
		v.listWorkers(workers(185)...)
		for id := RequestID(1); id <= 600; id++ {
			key := uint64(id) << 20 // that comes once
			if id%8 == 0 {
				key = 7
			} else if id%100 == 1 {
				key = 11
			}
			to := firstSendWorker(v.handle(RequestArrived{ID: id, Slots: 1, AffinityKey: key, Deadline: v.now + 2*time.Second}))
			v.handle(AttemptStarted{ID: id, Worker: to})
			v.now += 150 * ms
			v.finishServed(id, nil)
			if key == 7 && id > 200 {
				at[to]++
				hot++
			} else if key == 11 {
				first[to]++
			}
		}
	}
	most := 0
	for _, n := range at {
		most = max(most, n)
	}
	if most > hot/10 || len(at) < 15 || len(at) > 60 {
		t.Errorf("%d jobs of a hot key went to %d workers, %d of them to one", hot, len(at), most)
	}
	if len(first) > 2 {
		t.Errorf("a key that is a hundredth of the jobs went to %d workers: %v", len(first), first)
	}
}

// Past some hundred workers a job with a key looks at a window of them. The window is the same at every dispatcher, whatever
// the order in which it heard of them; one worker that joins moves few keys, and no worker is in far more windows than another.
func TestWindowsOfKeys(t *testing.T) {
	const n, keys = 1000, 4000
	make := func(n int, turned bool) *Scheduler {
		s := baseSettings()
		s.Dispatchers = 80
		d := New(s, 1)
		ws := workers(n)
		for i := range ws {
			ws[i].ID = WorkerID(fmt.Sprintf("10.1.%d.%d:3000", i/250, i%250))
		}
		if turned {
			slices.Reverse(ws)
		}
		d.Handle(start, RequestArrived{ID: 1, Slots: 1, AffinityKey: 1, Deadline: start + time.Second})
		d.Handle(start, EndpointsUpdated{ListKind: ListFull, Workers: ws})
		return d
	}
	home := func(d *Scheduler, key uint64) (best WorkerID) {
		least := math.Inf(1)
		for _, w := range d.candidatesForKey(key) {
			if h := w.affinityRank(key); h < least {
				least, best = h, w.ID
			}
		}
		return best
	}
	for listed, want := range map[int]int{100: 100, 200: 200, maxFullScanWorkers: maxFullScanWorkers, maxFullScanWorkers + 1: keyCandidates} {
		d := make(2*maxFullScanWorkers, false) // those that are gone count for nothing
		d.Handle(start, EndpointsUpdated{ListKind: ListFull, Workers: workers(listed)})
		on := 0
		for _, w := range d.candidatesForKey(1) {
			on += oneIf(w.listed)
		}
		if on != want {
			t.Errorf("%d listed: a job looks at %d, want %d", listed, on, want)
		}
	}
	a, b, more := make(n, false), make(n, true), make(n+1, false)
	at, moved := map[WorkerID]int{}, 0
	for key := uint64(1); key <= keys; key++ {
		if got := len(a.candidatesForKey(key)); got != keyCandidates {
			t.Fatalf("key %d: %d workers", key, got)
		}
		h := home(a, key)
		if h != home(b, key) {
			t.Fatalf("key %d is at home elsewhere at another dispatcher", key)
		}
		moved += oneIf(h != home(more, key))
		at[h]++
	}
	if moved > keys/100 { // a thousandth are the new one's; as many again lost their window's last
		t.Errorf("%d of %d keys moved when one of %d workers joined", moved, keys, n)
	}
	most := 0
	for _, got := range at {
		most = max(most, got)
	}
	if mean := float64(keys) / n; float64(most) > 6*mean || len(at) < n*8/10 {
		t.Errorf("%d workers have keys, the most %d, %.0f in the mean", len(at), most, mean)
	}
}
