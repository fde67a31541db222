package scheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// checkedSite is a deployment where workers may be probed and a list holds for a while.
func checkedSite() Settings {
	s := plain()
	s.MayProbe, s.ListValidity = true, 6500*ms
	return s
}

// Discovery refused a dispatcher's calls for longer than a drain may stay unheard, and requests went to workers that had drained.
// A draining worker answers probes with 503: where the list is overdue each worker is probed before it gets a request.
func TestOverdueListIsNotTrusted(t *testing.T) {
	v := newDriver(t, checkedSite())
	v.give(EndpointsUpdated{ListKind: ListFull, Workers: workers(2), AsOf: v.now})
	if to := v.arrive(1, 0); to == "" || count[Probe](v.acts) != 0 {
		t.Fatalf("with a list of now: %v", v.acts)
	}
	v.served(1, nil)
	v.now += v.d.set.ListValidity - sendLate
	if to := v.arrive(2, 0); to != "" || count[Probe](v.acts) != 1 {
		t.Fatalf("with an overdue list: %v", v.acts)
	}
	first := v.acts[0].(Probe).Worker
	v.give(ProbeCompleted{Worker: first, Outcome: Errored})
	if count[Send](v.acts) != 0 || count[Probe](v.acts) != 1 || v.acts[0].(Probe).Worker == first {
		t.Fatalf("behind a failed probe: %v", v.acts)
	}
	second := v.acts[0].(Probe).Worker
	if v.give(ProbeCompleted{Worker: second, Outcome: Served}); sentTo(v.acts) != second {
		t.Fatalf("behind a passed probe: %v", v.acts)
	}
	for _, a := range v.acts {
		if s, ok := a.(Send); ok && s.SendBy != v.now+v.d.set.ListValidity {
			t.Errorf("it must leave by %v, %v is said", v.now+v.d.set.ListValidity, s.SendBy)
		}
	}
	v.served(2, nil)
	v.give(EndpointsUpdated{ListKind: ListDelta, AsOf: v.now})
	if to := v.arrive(3, 0); to == "" || count[Probe](v.acts) != 0 {
		t.Errorf("with a list of now again: %v", v.acts)
	}
}

// Where nothing may be probed, and where lists are pushed, the old list holds.
func TestOverdueListWithoutProbes(t *testing.T) {
	for _, change := range []func(*Settings){func(s *Settings) { s.MayProbe = false }, func(s *Settings) { s.ListValidity = 0 }} {
		s := checkedSite()
		change(&s)
		v := newDriver(t, s)
		v.give(EndpointsUpdated{ListKind: ListFull, Workers: workers(2), AsOf: v.now})
		v.now += time.Hour
		if to := v.arrive(1, 0); to == "" {
			t.Errorf("%v", v.acts)
		}
	}
}

// Whatever comes, no request leaves for a worker whose last word is older than the list is valid, and none is said to leave later.
func TestNoSendBehindTheLastWord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := checkedSite()
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
				handle(TimerFired{Token: tickToken})
			}
		}
	})
}
