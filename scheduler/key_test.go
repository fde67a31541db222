package scheduler

import "testing"

// Jobs of one key go to the same worker from every dispatcher, while it has a free slot; without one, the
// load decides as ever. Where the key was not heard of, each job fetched anew what another worker had.
func TestKeysGoHome(t *testing.T) {
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

func TestBusyHomeIsPassedOver(t *testing.T) {
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
