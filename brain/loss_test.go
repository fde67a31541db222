package brain

import "testing"

// One connection that breaks is chance where the network is bad; each once shut its worker out for half a second
// and longer. Two with no sign of life between mean that the worker cannot be reached.
func TestOneLossIsChance(t *testing.T) {
	v := newDriver(t, plain())
	v.list(workers(1)...)
	w := v.d.workers[0]
	for i, c := range []struct {
		outcome Outcome
		strikes int
	}{{Reset, 0}, {Served, 0}, {NoConnect, 0}, {Reset, 1}, {Served, 0}, {Reset, 0}} {
		id := RequestID(i + 1)
		v.give(Arrived{ID: id, Slots: 1, Expires: v.now + v.d.set.Classes[0].Deadline})
		if v.give(Finished{ID: id, Outcome: c.outcome, Final: true}); w.strikes != c.strikes {
			t.Errorf("after outcome %d of job %d: %d strikes, want %d", c.outcome, i, w.strikes, c.strikes)
		}
		v.now += ms
	}
}
