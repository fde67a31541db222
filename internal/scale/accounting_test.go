package scale

import (
	"strings"
	"testing"
	"time"

	"brassdale/internal/effectivestate"
)

// A run does not count if the machine was the limit: too many late ticks within the span, too busy cores, or a slow change during which a tick
// was late.
func TestFellBehind(t *testing.T) {
	at := time.Now()
	late := func(n int) (all []lateTick) {
		for range n {
			all = append(all, lateTick{at, at.Add(time.Second)})
		}
		return all
	}
	for _, c := range []struct {
		what          string
		before, after snapshot
		want          string
	}{
		{"nothing", snapshot{}, snapshot{machine: machineCounters{busyTicks: maxBusyShare * 1000, totalTicks: 1000}}, ""},
		{"a few ticks", snapshot{}, snapshot{lateTicks: late(maxLateTicks)}, ""},
		{"ticks before", snapshot{lateTicks: late(9)}, snapshot{lateTicks: late(9 + maxLateTicks)}, ""},
		{"ticks", snapshot{lateTicks: late(2)}, snapshot{lateTicks: late(2 + maxLateTicks + 1)}, "4 ticks"},
		{"cores", snapshot{machine: machineCounters{busyTicks: 500, totalTicks: 1000}}, snapshot{machine: machineCounters{busyTicks: 1400, totalTicks: 2000}}, "90% of"},
	} {
		r := &Result{}
		checkMachine(r, c.before, c.after)
		if r.FellBehind != (c.want != "") || !strings.Contains(r.FellBehindWhy, c.want) {
			t.Errorf("%s: fell behind: got %v, reason %q", c.what, r.FellBehind, r.FellBehindWhy)
		}
		if r.FellBehind && (r.Err() == nil || !strings.Contains(r.Err().Error(), "does not count")) {
			t.Errorf("%s: expected an error that the run does not count, got %v", c.what, r.Err())
		}
	}
	r := &run{changes: []acceptedChange{{version: 2, at: at}}}
	appliedAfter := func(after time.Duration) []*history {
		return []*history{{dispatcher: &dispatcher{name: "h1"}, effectiveStates: []effectivestate.State{{From: at.Add(after), To: at.Add(time.Hour), Versions: []uint64{2}}}}}
	}
	for _, c := range []struct {
		after, due, came time.Duration
		want             bool
	}{
		{slowChange + time.Second, time.Second, 1500 * time.Millisecond, true},
		{slowChange - time.Millisecond, 0, 500 * time.Millisecond, false},
		{slowChange + time.Second, -2 * time.Second, -time.Second, false},
		{slowChange + time.Second, 3 * time.Second, 4 * time.Second, false},
	} {
		result := &Result{}
		r.addInForce(result, appliedAfter(c.after), []lateTick{{at.Add(c.due), at.Add(c.came)}})
		if result.FellBehind != c.want || c.want && !strings.Contains(result.FellBehindWhy, "version 2 was in force at h1 after 2000 ms") {
			t.Errorf("%+v: fell behind: got %v, reason %q", c, result.FellBehind, result.FellBehindWhy)
		}
	}
}
