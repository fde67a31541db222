package scheduler

import (
	"encoding/json"
	"testing"
	"time"
)

// A dispatcher that goes on in the place of another begins with what that one learned, also as text; of a worker that
// has started anew since, with nothing.
func TestSucceeds(t *testing.T) {
	v := newDriver(t, plain())
	v.list(workers(2)...)
	old := v.d
	old.allow, old.classes[1] = -0.2, classState{scale: 0.3, usual: -1.5, jobs: 40}
	for _, w := range old.workers {
		w.total, w.lag, w.jobs = 6, 12, 12
	}
	text, err := json.Marshal(old.LearnedState())
	if err != nil {
		t.Fatal(err)
	}
	var e LearnedState
	if err := json.Unmarshal(text, &e); err != nil {
		t.Fatal(err)
	}
	next := newDriver(t, plain())
	ws := workers(2)
	ws[1].StartedAt = next.now - time.Second
	next.list(ws...)
	next.give(HandoverCompleted{LearnedState: e})
	same, anew := next.d.byID[ws[0].ID], next.d.byID[ws[1].ID]
	if next.d.allow != old.allow || next.d.classes[1] != old.classes[1] || next.d.slots(same) != 6 || next.d.slowdown(same) != old.slowdown(old.workers[0]) {
		t.Errorf("allow %v, class %+v, slots %v, drag %v", next.d.allow, next.d.classes[1], next.d.slots(same), next.d.slowdown(same))
	}
	if anew.jobs != 0 || anew.lag != 0 {
		t.Errorf("of a worker that started anew: %v jobs", anew.jobs)
	}
}
