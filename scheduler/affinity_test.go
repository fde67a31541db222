package scheduler

import (
	"testing"
	"time"
)

// TestAffinity_manyDispatchersAgree checks that 80 dispatchers with few requests each send nine in ten requests of a key to the
// same worker.
func TestAffinity_manyDispatchersAgree(t *testing.T) {
	drivers := newDispatchers(t, 80, 60)
	for _, driver := range drivers {
		driver.handle(RequestArrived{ID: 1, Slots: 1, AffinityKey: 1, Deadline: driver.now + 4*time.Second}) // affinity is in use from now on
		driver.finishServed(1, nil)
		driver.now += 2 * subsetInterval
		driver.advance(subsetInterval)
	}
	elsewhere := 0
	for key := uint64(2); key < 22; key++ {
		byWorker := map[WorkerID]int{}
		for _, driver := range drivers {
			byWorker[firstSendWorker(driver.handle(RequestArrived{ID: RequestID(key), Slots: 1, AffinityKey: key, Deadline: driver.now + 4*time.Second}))]++
			driver.finishServed(RequestID(key), nil)
			driver.now += 500 * ms
		}
		most := 0
		for _, n := range byWorker {
			most = max(most, n)
		}
		elsewhere += len(drivers) - most
	}
	if elsewhere > 20*len(drivers)/10 {
		t.Errorf("%d of %d requests were sent to another worker than most requests of their key", elsewhere, 20*len(drivers))
	}
}

// TestAffinity_frequentKeySpreads checks that a key with a large share of the requests gets at least four workers, although one
// dispatcher sees only a small sample of them.
func TestAffinity_frequentKeySpreads(t *testing.T) {
	driver := newDispatchers(t, 80, 60)[0]
	to := map[WorkerID]int{}
	for id := RequestID(1); id <= 40; id++ { // one request in 300 ms, each served before the next
		to[firstSendWorker(driver.handle(RequestArrived{ID: id, Slots: 1, AffinityKey: 7, Deadline: driver.now + 4*time.Second}))]++
		driver.finishServed(id, nil)
		driver.now += 300 * ms
	}
	if len(to) < 4 {
		t.Errorf("requests of the only key were sent to %v, want at least 4 workers", to)
	}
}

// TestAffinity_frequentKeyReachesFleet checks that requests of one key do not queue while most of 200 workers are free.
func TestAffinity_frequentKeyReachesFleet(t *testing.T) {
	settings := baseSettings()
	settings.Dispatchers = 300
	d := New(settings, 1)
	d.Handle(start, EndpointsUpdated{ListKind: ListFull, Workers: workers(200)})
	used := map[WorkerID]bool{}
	for id := RequestID(1); id <= 400; id++ {
		to := firstSendWorker(d.Handle(start+Instant(id)*ms, RequestArrived{ID: id, Slots: 1, AffinityKey: 7, Deadline: start + 5*time.Second}))
		if to == "" {
			t.Fatalf("request %d queues, with %d of 200 workers in use", id, len(used))
		}
		used[to] = true
	}
	if len(used) < 100 {
		t.Errorf("400 requests of one key went to %d of 200 workers, want at least 100", len(used))
	}
}

// TestAffinity_frequentKeyAtAllDispatchers checks a key with an eighth of the requests at four dispatchers: its requests go to 15 to
// 60 of 185 workers, and no worker gets more than a tenth of them. Requests of a key with a hundredth of the requests go to at most
// two workers.
func TestAffinity_frequentKeyAtAllDispatchers(t *testing.T) {
	frequentAt, frequent, rareAt := map[WorkerID]int{}, 0, map[WorkerID]int{}
	for index := range 4 {
		settings := baseSettings()
		settings.DispatcherIndex, settings.Dispatchers = 70*index, 300
		driver := newDriver(t, settings)
		driver.listWorkers(workers(185)...)
		for id := RequestID(1); id <= 600; id++ {
			key := uint64(id) << 20 // a key of this request only
			if id%8 == 0 {
				key = 7
			} else if id%100 == 1 {
				key = 11
			}
			to := firstSendWorker(driver.handle(RequestArrived{ID: id, Slots: 1, AffinityKey: key, Deadline: driver.now + 2*time.Second}))
			driver.handle(AttemptStarted{ID: id, Worker: to})
			driver.now += 150 * ms
			driver.finishServed(id, nil)
			if key == 7 && id > 200 {
				frequentAt[to]++
				frequent++
			} else if key == 11 {
				rareAt[to]++
			}
		}
	}
	most := 0
	for _, n := range frequentAt {
		most = max(most, n)
	}
	if most > frequent/10 || len(frequentAt) < 15 || len(frequentAt) > 60 {
		t.Errorf("%d requests of a frequent key went to %d workers, at most %d of them to the same one", frequent, len(frequentAt), most)
	}
	if len(rareAt) > 2 {
		t.Errorf("a key with a hundredth of the requests went to %d workers: %v", len(rareAt), rareAt)
	}
}

// TestAffinity_sameWorkerFromAllDispatchers checks that requests of one key go to the same worker from every dispatcher while it has a
// free slot, and that keys are spread over the workers.
func TestAffinity_sameWorkerFromAllDispatchers(t *testing.T) {
	first, moved := map[WorkerID]int{}, 0
	for key := uint64(1); key <= 40; key++ {
		var expected WorkerID
		for index := range 3 {
			settings := baseSettings()
			settings.DispatcherIndex, settings.Dispatchers = index, 3
			driver := newDriver(t, settings)
			driver.listWorkers(workers(4)...)
			for id := RequestID(1); id <= 2; id++ {
				w := firstSendWorker(driver.handle(RequestArrived{ID: id, Slots: 1, AffinityKey: key, Deadline: driver.now + 2*settings.Classes[0].Deadline}))
				driver.finishServed(id, nil)
				if expected == "" {
					expected = w
				}
				if w != expected && id == 1 {
					t.Errorf("key %d, dispatcher %d: went to %q, before to %q", key, index, w, expected)
				}
				moved += oneIf(w != expected)
			}
		}
		first[expected]++
	}
	if moved > 12 { // of 240: if two ranks are nearly equal, the previous request may decide
		t.Errorf("%d requests were not sent to the first worker of their key, which was idle", moved)
	}
	for _, w := range workers(4) {
		if first[w.ID] < 2 || first[w.ID] > 20 {
			t.Errorf("%d of 40 keys have %q as their first worker", first[w.ID], w.ID)
		}
	}
}

// TestAffinity_busyWorkerIsPassedOver checks that if the first workers of a key have no free slot, the load decides, as for
// requests without a key.
func TestAffinity_busyWorkerIsPassedOver(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(4)...)
	to := map[WorkerID]int{}
	for id := RequestID(1); id <= 20; id++ {
		to[firstSendWorker(driver.handle(RequestArrived{ID: id, Slots: 1, AffinityKey: 7, Deadline: driver.now + 2*driver.scheduler.settings.Classes[0].Deadline}))]++
	}
	delete(to, "") // queued
	if len(to) != 4 {
		t.Errorf("20 requests of a key at once went to %v, want all four workers in use", to)
	}
}
