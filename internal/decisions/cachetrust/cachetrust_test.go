package cachetrust

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"brassdale/scheduler"
)

const day = 24 * time.Hour

var rules = Rules{MaxAge: 72 * time.Hour, MinFirstListShare: 0.5, SlowStartDuration: 24 * time.Second, SlowStartCapacity: 0.14, MayProbe: true}

func id(i int) scheduler.WorkerID { return scheduler.WorkerID(fmt.Sprint("w", i)) }

// listOf is a list of so many workers that have been up for long.
func listOf(made scheduler.Clock, n int) CachedList {
	l := CachedList{ConfirmedAt: made, Revision: 7}
	for i := range n {
		l.Workers = append(l.Workers, CachedWorker{ID: id(i), LastSignal: made})
	}
	return l
}

// Promise 1.
func TestAge(t *testing.T) {
	for _, c := range []struct {
		age    time.Duration
		usable bool
	}{{0, true}, {day, true}, {72 * time.Hour, true}, {72*time.Hour + 1, false}, {-day, true}} {
		trust := New(10*day, listOf(10*day-c.age, 3), rules)
		if age, ok := trust.Age(); trust.Usable() != c.usable || ok != (c.age >= 0) || ok && age != c.age {
			t.Errorf("%v: usable %v, age %v, %v", c.age, trust.Usable(), age, ok)
		}
		if !c.usable && (!trust.Finished() || trust.Check(11*day) != nil) {
			t.Errorf("%v: still decides", c.age)
		}
	}
}

// Promises 2 to 6, whatever comes in whatever order.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rules
		r.MayProbe = rapid.Bool().Draw(t, "probing")
		now := 10 * day
		l := CachedList{ConfirmedAt: now - time.Duration(rapid.IntRange(-5, 60).Draw(t, "age"))*time.Hour, Revision: 7}
		n := rapid.IntRange(1, 30).Draw(t, "workers")
		for i := range n {
			l.Workers = append(l.Workers, CachedWorker{ID: id(i), State: rapid.SampledFrom([]scheduler.WorkerState{scheduler.Ready, scheduler.Ready, scheduler.Draining, scheduler.Gone}).Draw(t, "state"),
				Detached: rapid.IntRange(0, 9).Draw(t, "out") == 0, StartedAt: l.ConfirmedAt - time.Duration(rapid.IntRange(0, 100).Draw(t, "since"))*time.Second})
		}
		trust := New(now, l, r)
		begun := now
		out, answered, told, sure := map[scheduler.WorkerID]scheduler.Clock{}, map[scheduler.WorkerID]bool{}, map[scheduler.WorkerID]scheduler.Clock{}, map[scheduler.WorkerID]bool{}
		probes := 0
		take := func(vs []Action) {
			for _, v := range vs {
				if (v.Probe == "") == (v.Announce == nil) {
					t.Fatalf("%+v is not one verdict", v)
				}
				if w := v.Probe; w != "" {
					if at, is := out[w]; is && now < at+ProbeTimeout {
						t.Fatalf("two probes out to %s", w)
					}
					if told[w] != 0 || !r.MayProbe {
						t.Fatalf("probes %s", w)
					}
					out[w] = now
					probes++
					continue
				}
				w := slices.IndexFunc(l.Workers, func(w CachedWorker) bool { return w.ID == v.Announce.ID })
				saved := l.Workers[w]
				switch {
				case saved.State != scheduler.Ready || saved.Detached:
					t.Fatalf("told one that had left: %+v", saved)
				case r.MayProbe && !answered[saved.ID]:
					t.Fatalf("told one that never answered: %+v", saved)
				case !v.Announce.StartConfirmed && v.Announce.StartedAt != now:
					t.Fatalf("told as started at %v at %v", v.Announce.StartedAt, now)
				case v.Announce.StartConfirmed && (told[saved.ID] == 0 || v.Announce.StartedAt != saved.StartedAt):
					t.Fatalf("proven before it was told, or as another: %+v", v.Announce)
				}
				told[saved.ID] = now
				sure[saved.ID] = sure[saved.ID] || v.Announce.StartConfirmed
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			w := id(rapid.IntRange(0, n-1).Draw(t, "worker"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				take(trust.Check(now))
			case 2:
				s := rapid.SampledFrom([]ProbeResult{Answered, Unrecognized, NoResponse}).Draw(t, "sign")
				if _, is := out[w]; is && s == Answered {
					answered[w] = true
				}
				take(trust.ProbeCompleted(now, w, s))
				delete(out, w)
			case 3:
				take(trust.JobServed(now, w, rapid.Float64Range(-1, 4).Draw(t, "late")))
			}
			if most := n + int((now-begun)/MinProbeRetryDelay+2)*n; probes > most {
				t.Fatalf("%d probes of %d workers in %v", probes, n, now-begun)
			}
			if at, ok := trust.NextCheck(); ok && at <= now {
				take(trust.Check(now))
				if at, ok := trust.NextCheck(); ok && at <= now && r.MayProbe {
					t.Fatalf("due at %v after a look at %v", at, now)
				}
			}
		}
		counted := 0
		for _, k := range trust.CountByLevel() {
			counted += k
		}
		if counted != n {
			t.Fatalf("%d of %d workers counted", counted, n)
		}
	})
}

// Promise 5: a worker that is cold is seldom taken for warm, one that is warm after a job or three.
func TestProof(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := time.Duration(rapid.IntRange(0, 48).Draw(t, "hours")) * time.Hour
		seed := rapid.Uint64().Draw(t, "seed")
		wrong, jobs := 0, 0
		const workers = 300
		x := seed
		normal := func() (z float64) { // a sum of twelve even numbers is near enough
			for range 12 {
				x = x*6364136223846793005 + 1442695040888963407
				z += float64(x>>11) / (1 << 53)
			}
			return z - 6
		}
		for i := range workers {
			cold := i%2 == 0
			now := 10 * day
			trust := New(now, listOf(now-age, 1), rules)
			trust.Check(now)
			trust.ProbeCompleted(now, id(0), Answered)
			for range 20 {
				now += 300 * time.Millisecond
				late := spread * normal()
				if cold {
					late += -math.Log(trust.warmth(now - 10*day))
				} else {
					jobs++
				}
				if len(trust.JobServed(now, id(0), late)) > 0 {
					if cold {
						wrong++
					}
					break
				}
			}
		}
		if wrong > workers/2/8 {
			t.Fatalf("%d of %d cold workers taken for warm with a list of %v", wrong, workers/2, age)
		}
		if jobs > 4*workers/2 {
			t.Fatalf("%d jobs to prove %d warm workers with a list of %v", jobs, workers/2, age)
		}
	})
}

// The older the list, the less a worker is trusted.
func TestOlderIsTrustedLess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.IntRange(0, 72).Draw(t, "a"), rapid.IntRange(0, 72).Draw(t, "b")
		if a > b {
			a, b = b, a
		}
		p := func(hours int) float64 {
			trust := New(10*day, listOf(10*day-time.Duration(hours)*time.Hour, 1), rules)
			return trust.prior(trust.order[0])
		}
		if p(a) > p(b) {
			t.Fatalf("after %d h %v, after %d h %v", a, p(a), b, p(b))
		}
	})
}

// Promise 6: the first probes are paced, and those heard last come first.
func TestPace(t *testing.T) {
	for _, n := range []int{3, 12, 50, 200, 20000} {
		l := listOf(9*day, n)
		for i := range l.Workers {
			l.Workers[i].LastSignal = 9*day - time.Duration(i)*time.Second
		}
		trust := New(10*day, l, rules)
		asked, most := 0, 0
		for now := 10 * day; now < 10*day+time.Second; now += 10 * time.Millisecond {
			for _, v := range trust.Check(now) {
				if v.Probe != id(asked) && asked < n {
					t.Fatalf("%d workers: probe %d goes to %s", n, asked, v.Probe)
				}
				if asked++; asked == n {
					break
				}
				trust.ProbeCompleted(now, v.Probe, Answered)
			}
			most = max(most, asked)
		}
		if want := min(n, MaxProbesPerSecond+1); most > want || most < min(n, MinProbesPerSecond) {
			t.Errorf("%d workers: %d probes in a second", n, most)
		}
	}
}

// Promise 7.
func TestHandover(t *testing.T) {
	begin := func() *Assessor {
		trust := New(10*day, listOf(10*day-time.Minute, 10), rules)
		for now := 10 * day; now < 10*day+time.Second; now += 10 * time.Millisecond {
			for _, v := range trust.Check(now) {
				if i := slices.Index([]scheduler.WorkerID{id(8), id(9)}, v.Probe); i < 0 { // two never answer
					trust.ProbeCompleted(now, v.Probe, Answered)
				}
			}
		}
		return trust
	}
	ids := func(n int) (ids []scheduler.WorkerID) {
		for i := range n {
			ids = append(ids, id(i))
		}
		return ids
	}
	now := 10*day + 2*time.Second
	for _, c := range []struct {
		name     string
		revision int64
		ready    []scheduler.WorkerID
		kept     int // -1: counts at once
	}{
		{"all", 9, ids(10), -1}, {"half", 9, ids(5), -1}, {"below half", 9, ids(4), 4}, {"empty", 9, nil, 8},
		{"older", 3, ids(7), 1}, {"older, all that answer", 3, ids(8), -1}, {"more", 9, ids(12), -1},
	} {
		trust := begin()
		j := trust.AssessList(now, c.revision, c.ready)
		if c.kept < 0 {
			if len(j.Retain) > 0 || j.RefetchAt != 0 || !trust.Finished() {
				t.Errorf("%s: %+v", c.name, j)
			}
			continue
		}
		if len(j.Retain) != c.kept || j.RefetchAt != now+ConfirmationDelay || trust.Finished() {
			t.Errorf("%s: %+v", c.name, j)
		}
		if j := trust.AssessList(now+ConfirmationDelay/2, c.revision, c.ready); j.RefetchAt != now+ConfirmationDelay || trust.Finished() {
			t.Errorf("%s, told again too soon: %+v", c.name, j)
		}
		if until, ok := trust.RetainedUntil(); !ok || until != now+MaxRetention || trust.ExpireRetained(until-1) != nil {
			t.Errorf("%s: doubted until %v, %v", c.name, until, ok)
		}
		if j := trust.AssessList(now+ConfirmationDelay, c.revision, c.ready); (len(c.ready) > 0) != trust.Finished() {
			t.Errorf("%s, told twice: %+v", c.name, j)
		}
		trust = begin()
		trust.AssessList(now, c.revision, c.ready)
		if gone := trust.ExpireRetained(now + MaxRetention); len(gone) != c.kept || !trust.Finished() {
			t.Errorf("%s, never told again: %v", c.name, gone)
		}
	}
	// Who names no share wants every list at once.
	r := rules
	r.MinFirstListShare = 0
	trust := New(10*day, listOf(10*day-time.Minute, 10), r)
	if j := trust.AssessList(now, 1, nil); j.RefetchAt != 0 || !trust.Finished() {
		t.Errorf("without a share: %+v", j)
	}
}

// Promise 8.
func TestSame(t *testing.T) {
	l := listOf(10*day, 1)
	l.Workers[0].StartedAt = 9 * day
	trust := New(10*day, l, rules)
	if !trust.SameIncarnation(id(0), 9*day) || trust.SameIncarnation(id(0), 9*day+1) || trust.SameIncarnation(id(1), 0) {
		t.Error("a later start is the same life")
	}
}
