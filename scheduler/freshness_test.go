package scheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

// probingSettings returns settings where probes are permitted and the endpoint list is valid for 6.5 s.
func probingSettings() Settings {
	settings := baseSettings()
	settings.MayProbe, settings.ListValidity = true, 6500*ms
	return settings
}

// TestFreshness_probeBeforeUse checks that a worker is probed before it gets a request if the endpoint list is older than its validity: a
// draining worker answers a probe with an error. A request waits for the probe, goes to the next worker if that fails, and has the new
// bound in SendBy.
func TestFreshness_probeBeforeUse(t *testing.T) {
	driver := newDriver(t, probingSettings())
	driver.handle(EndpointsUpdated{ListKind: ListFull, Workers: workers(2), AsOf: driver.now})
	if to := driver.submit(1, 0); to == "" || countActions[Probe](driver.actions) != 0 {
		t.Fatalf("with a list of now: %v", driver.actions)
	}
	driver.finishServed(1, nil)
	driver.now += driver.scheduler.settings.ListValidity - maxSendDelay
	if to := driver.submit(2, 0); to != "" || countActions[Probe](driver.actions) != 1 {
		t.Fatalf("with an overdue list: %v", driver.actions)
	}
	first := driver.actions[0].(Probe).Worker
	driver.handle(ProbeCompleted{Worker: first, Outcome: Errored})
	if countActions[Send](driver.actions) != 0 || countActions[Probe](driver.actions) != 1 || driver.actions[0].(Probe).Worker == first {
		t.Fatalf("behind a failed probe: %v", driver.actions)
	}
	second := driver.actions[0].(Probe).Worker
	if driver.handle(ProbeCompleted{Worker: second, Outcome: Served}); firstSendWorker(driver.actions) != second {
		t.Fatalf("behind a passed probe: %v", driver.actions)
	}
	for _, a := range driver.actions {
		if s, ok := a.(Send); ok && s.SendBy != driver.now+driver.scheduler.settings.ListValidity {
			t.Errorf("it must leave by %v, %v is said", driver.now+driver.scheduler.settings.ListValidity, s.SendBy)
		}
	}
	driver.finishServed(2, nil)
	driver.handle(EndpointsUpdated{ListKind: ListDelta, AsOf: driver.now})
	if to := driver.submit(3, 0); to == "" || countActions[Probe](driver.actions) != 0 {
		t.Errorf("with a list of now again: %v", driver.actions)
	}
}

// TestFreshness_noBoundWithoutProbesOrValidity checks that an old list stays in force if probes are not permitted or the list has no
// validity.
func TestFreshness_noBoundWithoutProbesOrValidity(t *testing.T) {
	for _, change := range []func(*Settings){func(s *Settings) { s.MayProbe = false }, func(s *Settings) { s.ListValidity = 0 }} {
		s := probingSettings()
		change(&s)
		driver := newDriver(t, s)
		driver.handle(EndpointsUpdated{ListKind: ListFull, Workers: workers(2), AsOf: driver.now})
		driver.now += time.Hour
		if to := driver.submit(1, 0); to == "" {
			t.Errorf("%v", driver.actions)
		}
	}
}

// TestFreshness_noSendAfterValidity checks that in any history no request is sent to a worker whose state was confirmed longer ago than
// ListValidity, and that none has a later SendBy.
func TestFreshness_noSendAfterValidity(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		settings := probingSettings()
		d, now := New(settings, rapid.Uint64().Draw(t, "seed")), start
		infos := workers(rapid.IntRange(1, 4).Draw(t, "workers"))
		word := map[WorkerID]Instant{}
		asked := map[WorkerID]Instant{}
		list := now
		id := RequestID(0)
		handle := func(ev Event) {
			for _, a := range d.Handle(now, ev) {
				switch a := a.(type) {
				case Probe:
					asked[a.Worker] = now
				case Send:
					last := max(list, word[a.Worker]) + settings.ListValidity
					if now >= last || a.SendBy == 0 || a.SendBy > last {
						t.Fatalf("at %v a request is sent to %s, by %v; the last word is of %v", now, a.Worker, a.SendBy, last-settings.ListValidity)
					}
				}
			}
		}
		handle(EndpointsUpdated{ListKind: ListFull, Workers: infos, AsOf: list})
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
