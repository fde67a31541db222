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

// TestFreshness_probeBeforeUse checks that a worker is probed before it gets a request if the endpoint list is older than its
// validity: a draining worker answers a probe with an error. A request waits for the probe. If the probe fails, the request goes
// to the next worker. The SendBy of the Send is ListValidity after the passed probe.
func TestFreshness_probeBeforeUse(t *testing.T) {
	driver := newDriver(t, probingSettings())
	driver.handle(EndpointsUpdated{ListKind: ListFull, Workers: workers(2), AsOf: driver.now})
	if to := driver.submit(1, 0); to == "" || countActions[Probe](driver.actions) != 0 {
		t.Fatalf("with a fresh list: expected a Send without a Probe, got %v", driver.actions)
	}
	driver.finishServed(1, nil)
	driver.now += driver.scheduler.settings.ListValidity - maxSendDelay
	if to := driver.submit(2, 0); to != "" || countActions[Probe](driver.actions) != 1 {
		t.Fatalf("with an outdated list: expected a Probe without a Send, got %v", driver.actions)
	}
	first := driver.actions[0].(Probe).Worker
	driver.handle(ProbeCompleted{Worker: first, Outcome: Errored})
	if countActions[Send](driver.actions) != 0 || countActions[Probe](driver.actions) != 1 || driver.actions[0].(Probe).Worker == first {
		t.Fatalf("after a failed probe: expected a Probe of the other worker, got %v", driver.actions)
	}
	second := driver.actions[0].(Probe).Worker
	if driver.handle(ProbeCompleted{Worker: second, Outcome: Served}); firstSendWorker(driver.actions) != second {
		t.Fatalf("after a passed probe: expected a Send to its worker, got %v", driver.actions)
	}
	for _, a := range driver.actions {
		if s, ok := a.(Send); ok && s.SendBy != driver.now+driver.scheduler.settings.ListValidity {
			t.Errorf("expected SendBy %v, got %v", driver.now+driver.scheduler.settings.ListValidity, s.SendBy)
		}
	}
	driver.finishServed(2, nil)
	driver.handle(EndpointsUpdated{ListKind: ListDelta, AsOf: driver.now})
	if to := driver.submit(3, 0); to == "" || countActions[Probe](driver.actions) != 0 {
		t.Errorf("with a fresh list again: expected a Send without a Probe, got %v", driver.actions)
	}
}

// TestFreshness_noBoundWithoutProbesOrValidity checks that an old list is still used if probes are not permitted or the list has
// no validity.
func TestFreshness_noBoundWithoutProbesOrValidity(t *testing.T) {
	for _, change := range []func(*Settings){func(settings *Settings) { settings.MayProbe = false }, func(settings *Settings) { settings.ListValidity = 0 }} {
		settings := probingSettings()
		change(&settings)
		driver := newDriver(t, settings)
		driver.handle(EndpointsUpdated{ListKind: ListFull, Workers: workers(2), AsOf: driver.now})
		driver.now += time.Hour
		if to := driver.submit(1, 0); to == "" {
			t.Errorf("expected a Send, got %v", driver.actions)
		}
	}
}

// TestFreshness_noSendAfterValidity checks for random histories that no request is sent to a worker whose state was confirmed
// longer ago than ListValidity, and that no SendBy is later than that.
func TestFreshness_noSendAfterValidity(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		settings := probingSettings()
		scheduler, now := New(settings, rapid.Uint64().Draw(t, "seed")), start
		infos := workers(rapid.IntRange(1, 4).Draw(t, "workers"))
		confirmedAt := map[WorkerID]Instant{}
		probedAt := map[WorkerID]Instant{}
		listAsOf := now
		id := RequestID(0)
		handle := func(ev Event) {
			for _, a := range scheduler.Handle(now, ev) {
				switch a := a.(type) {
				case Probe:
					probedAt[a.Worker] = now
				case Send:
					last := max(listAsOf, confirmedAt[a.Worker]) + settings.ListValidity
					if now >= last || a.SendBy == 0 || a.SendBy > last {
						t.Fatalf("at %v a request is sent to %s, by %v; its state was confirmed at %v", now, a.Worker, a.SendBy, last-settings.ListValidity)
					}
				}
			}
		}
		handle(EndpointsUpdated{ListKind: ListFull, Workers: infos, AsOf: listAsOf})
		for range 60 {
			now += time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "pause"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				listAsOf = now
				handle(EndpointsUpdated{ListKind: ListDelta, AsOf: listAsOf})
			case 1, 2, 3:
				id++
				handle(RequestArrived{ID: id, Class: 0, Slots: 1, Deadline: now + 2*time.Second})
			case 4:
				for worker, at := range probedAt {
					outcome := rapid.SampledFrom([]Outcome{Served, Errored, TimedOut, NoConnect}).Draw(t, "probe")
					delete(probedAt, worker)
					if outcome == Served {
						confirmedAt[worker] = max(confirmedAt[worker], at)
					}
					handle(ProbeCompleted{Worker: worker, Outcome: outcome})
				}
			default:
				handle(TimerFired{Token: reviewTimer})
			}
		}
	})
}
