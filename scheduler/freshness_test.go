package scheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// probingSettings is a deployment where workers may be probed and a list holds for a while.
func probingSettings() Settings {
	s := baseSettings()
	s.MayProbe, s.ListValidity = true, 6500*ms
	return s
}

// Where the endpoint list is older than its validity, a worker is probed before it gets a request: a draining one answers with
// an error. A request waits for the probe, goes to the next worker if it fails, and carries the new bound for its send.
func TestFreshness_probeBeforeUse(t *testing.T) {
	v := newDriver(t, probingSettings())
	v.handle(EndpointsUpdated{ListKind: ListFull, Workers: workers(2), AsOf: v.now})
	if to := v.submit(1, 0); to == "" || countActions[Probe](v.actions) != 0 {
		t.Fatalf("with a list of now: %v", v.actions)
	}
	v.finishServed(1, nil)
	v.now += v.scheduler.settings.ListValidity - maxSendDelay
	if to := v.submit(2, 0); to != "" || countActions[Probe](v.actions) != 1 {
		t.Fatalf("with an overdue list: %v", v.actions)
	}
	first := v.actions[0].(Probe).Worker
	v.handle(ProbeCompleted{Worker: first, Outcome: Errored})
	if countActions[Send](v.actions) != 0 || countActions[Probe](v.actions) != 1 || v.actions[0].(Probe).Worker == first {
		t.Fatalf("behind a failed probe: %v", v.actions)
	}
	second := v.actions[0].(Probe).Worker
	if v.handle(ProbeCompleted{Worker: second, Outcome: Served}); firstSendWorker(v.actions) != second {
		t.Fatalf("behind a passed probe: %v", v.actions)
	}
	for _, a := range v.actions {
		if s, ok := a.(Send); ok && s.SendBy != v.now+v.scheduler.settings.ListValidity {
			t.Errorf("it must leave by %v, %v is said", v.now+v.scheduler.settings.ListValidity, s.SendBy)
		}
	}
	v.finishServed(2, nil)
	v.handle(EndpointsUpdated{ListKind: ListDelta, AsOf: v.now})
	if to := v.submit(3, 0); to == "" || countActions[Probe](v.actions) != 0 {
		t.Errorf("with a list of now again: %v", v.actions)
	}
}

// Where probes are not permitted, or the list has no bound, an old list stays in force.
func TestFreshness_noBoundWithoutProbesOrValidity(t *testing.T) {
	for _, change := range []func(*Settings){func(s *Settings) { s.MayProbe = false }, func(s *Settings) { s.ListValidity = 0 }} {
		s := probingSettings()
		change(&s)
		v := newDriver(t, s)
		v.handle(EndpointsUpdated{ListKind: ListFull, Workers: workers(2), AsOf: v.now})
		v.now += time.Hour
		if to := v.submit(1, 0); to == "" {
			t.Errorf("%v", v.actions)
		}
	}
}

// Whatever comes, no request is sent to a worker whose state was confirmed longer ago than the list is valid, and none has a
// later SendBy.
func TestFreshness_noSendAfterValidity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := probingSettings()
		d, now := New(s, rapid.Uint64().Draw(t, "seed")), start
		ws := workers(rapid.IntRange(1, 4).Draw(t, "workers"))
		word := map[WorkerID]Clock{}
		asked := map[WorkerID]Clock{}
		list := now
		id := RequestID(0)
		handle := func(ev Event) {
			for _, a := range d.Handle(now, ev) {
				switch a := a.(type) {
				case Probe:
					asked[a.Worker] = now
				case Send:
					last := max(list, word[a.Worker]) + s.ListValidity
					if now >= last || a.SendBy == 0 || a.SendBy > last {
						t.Fatalf("at %v a request is sent to %s, by %v; the last word is of %v", now, a.Worker, a.SendBy, last-s.ListValidity)
					}
				}
			}
		}
		handle(EndpointsUpdated{ListKind: ListFull, Workers: ws, AsOf: list})
		for range 60 {
			now += time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "pause"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				list = now
				handle(EndpointsUpdated{ListKind: ListDelta, AsOf: list})
			case 1, 2, 3:
				id++
				handle(RequestArrived{ID: id, Class: 0, Slots: 1, Deadline: now + 2*time.Second})
			case 4:
				for w, at := range asked {
					o := rapid.SampledFrom([]Outcome{Served, Errored, TimedOut, NoConnect}).Draw(t, "probe")
					delete(asked, w)
					if o == Served {
						word[w] = max(word[w], at)
					}
					handle(ProbeCompleted{Worker: w, Outcome: o})
				}
			default:
				handle(TimerFired{Token: reviewTimer})
			}
		}
	})
}
