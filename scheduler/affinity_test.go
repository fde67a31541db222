package scheduler

import (
	"testing"
	"time"
)

// Where there are many dispatchers with few requests each, a key still has the same workers at all of them.
func TestAffinity_manyDispatchersAgree(t *testing.T) {
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

// A key with a large share of the requests has more workers: the requests of one dispatcher are few, but a sample.
func TestAffinity_frequentKeySpreads(t *testing.T) {
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

// Requests of one key do not queue while most of 200 workers are free.
func TestAffinity_frequentKeyReachesFleet(t *testing.T) {
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

// A key with an eighth of the requests spreads over as many workers as it needs at every dispatcher, and a rare key does not.
func TestAffinity_frequentKeySpreadAlike(t *testing.T) {
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

// Requests of one key go to the same worker from every dispatcher while it has a free slot, and keys spread over the workers.
func TestAffinity_sameWorkerFromAllDispatchers(t *testing.T) {
	first, moved := map[WorkerID]int{}, 0
	for key := uint64(1); key <= 40; key++ {
		var home WorkerID
		for me := range 3 {
			s := baseSettings()
			s.DispatcherIndex, s.Dispatchers = me, 3
			v := newDriver(t, s)
			v.listWorkers(workers(4)...)
			for id := RequestID(1); id <= 2; id++ {
				w := firstSendWorker(v.handle(RequestArrived{ID: id, Slots: 1, AffinityKey: key, Deadline: v.now + 2*s.Classes[0].Deadline}))
				v.finishServed(id, nil)
				if home == "" {
					home = w
				}
				if w != home && id == 1 {
					t.Errorf("key %d, dispatcher %d: went to %q, before to %q", key, me, w, home)
				}
				moved += oneIf(w != home)
			}
		}
		first[home]++
	}
	if moved > 12 { // of 240: where two workers are nearly even, the job before may weigh more
		t.Errorf("%d jobs left their home without need", moved)
	}
	for _, w := range workers(4) {
		if first[w.ID] < 2 || first[w.ID] > 20 {
			t.Errorf("%d of 40 keys are at home at %q", first[w.ID], w.ID)
		}
	}
}

// Without a free slot at a key's first workers the load decides, as for requests without a key.
func TestAffinity_busyWorkerIsPassedOver(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(4)...)
	to := map[WorkerID]int{}
	for id := RequestID(1); id <= 20; id++ {
		to[firstSendWorker(v.handle(RequestArrived{ID: id, Slots: 1, AffinityKey: 7, Deadline: v.now + 2*v.scheduler.settings.Classes[0].Deadline}))]++
	}
	delete(to, "") // held here
	if len(to) != 4 {
		t.Errorf("20 jobs of a key at once went to %v, want all four workers in use", to)
	}
}
