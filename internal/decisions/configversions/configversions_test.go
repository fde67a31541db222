package configversions

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawRules(t *rapid.T, name string) Rules {
	r := Rules{RetryRatio: rapid.SampledFrom([]float64{-1, 0, 0.1, 1}).Draw(t, name+" retries"), RetriesAllowed: rapid.Bool().Draw(t, name+" repeat")}
	for _, id := range []string{"a", "b", "c"} {
		if rapid.Bool().Draw(t, name+" out "+id) {
			r.DetachedWorkers = append(r.DetachedWorkers, id)
		}
	}
	return r
}

// allows tells whether one allows no more than the other.
func permitsNoMoreThan(a, b Rules) bool {
	if b.RetryRatio >= 0 && (a.RetryRatio < 0 || a.RetryRatio > b.RetryRatio) || a.RetriesAllowed && !b.RetriesAllowed {
		return false
	}
	for _, id := range b.DetachedWorkers {
		found := false
		for _, o := range a.DetachedWorkers {
			found = found || o == id
		}
		if !found {
			return false
		}
	}
	return true
}

// The stricter of two is within both, whichever comes first, and of one with itself the same.
func TestRulesStricter_permitsOnlyWhatBothPermit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawRules(t, "a"), drawRules(t, "b")
		s, o := a.Stricter(b), b.Stricter(a)
		if !permitsNoMoreThan(s, a) || !permitsNoMoreThan(s, b) || fmt.Sprint(s) != fmt.Sprint(o) || fmt.Sprint(s.Stricter(s)) != fmt.Sprint(s) {
			t.Fatalf("%+v and %+v: %+v, %+v", a, b, s, o)
		}
	})
}

func TestRecordApply(t *testing.T) {
	announce := func(base uint64, r Rules) Entry { return Entry{Announce: &Version{Number: base, Rules: r}} }
	var r Record
	for _, c := range []struct {
		e    Entry
		want error
	}{
		{announce(1, Rules{}), ErrNotNextVersion}, {Entry{PutInForce: 1}, ErrNotAnnounced}, {announce(0, Rules{RetryRatio: 0.2}), nil}, {announce(0, Rules{}), ErrChangeInProgress},
		{Entry{PutInForce: 2}, ErrNotAnnounced}, {Entry{PutInForce: 1}, nil}, {Entry{PutInForce: 1}, ErrNotAnnounced}, {announce(1, Rules{}), nil}, {Entry{Withdraw: 2}, nil},
		{announce(1, Rules{}), ErrNotNextVersion}, {announce(3, Rules{RetriesAllowed: true}), nil}, {Entry{PutInForce: 4}, nil},
	} {
		next, err := r.Apply(c.e)
		if !errors.Is(err, c.want) || err != nil && fmt.Sprint(next) != fmt.Sprint(r) || err == nil && next.Revision != r.Revision+1 {
			t.Fatalf("%+v: %v, %+v behind %+v", c.e, err, next, r)
		}
		r = next
	}
	if r.InForce.Number != 4 || !r.InForce.Rules.RetriesAllowed || len(r.History) != 2 {
		t.Errorf("%+v", r)
	}
	for _, bad := range []Rules{{RetryRatio: math.NaN()}, {RetryRatio: 17}, {DetachedWorkers: []string{"a", "a"}}, {DetachedWorkers: []string{""}}} {
		if _, err := r.Apply(announce(4, bad)); err == nil {
			t.Errorf("%+v was taken", bad)
		}
	}
}

// fleetModel is a small model of a fleet: dispatchers that ask, freeze and act; a council whose leader may change; messages that
// come late, in any order, or never.
type fleetModel struct {
	now           Clock
	record        Record
	leaseDuration time.Duration
	leaseTable    *LeaseTable
	lessees       []*Lessee
	frozen        []bool
	requests      []renewal // on their way to the leader
	responses     []renewal // and back
	fault         string    // which part is deliberately wrong
}

type renewal struct {
	from         int
	requestedAt  Clock
	acknowledged uint64
	record       Record
}

const timeStep = time.Second

func newFleetModel(n int, broken string) *fleetModel {
	w := &fleetModel{leaseDuration: 2 * timeStep, fault: broken, frozen: make([]bool, n)}
	w.leaseTable = NewLeaseTable(w.leaseDuration, -100*timeStep)
	for range n {
		w.lessees = append(w.lessees, NewLessee(fmt.Sprint("d", len(w.lessees)), Record{}))
	}
	return w
}

// step does one of the things that may happen; false where it cannot.
func (w *fleetModel) step(what, which int) bool {
	switch what {
	case 0: // time passes
		w.now += timeStep
	case 1: // a dispatcher asks
		if which >= len(w.lessees) || w.frozen[which] || len(w.requests) > 1 {
			return false
		}
		w.requests = append(w.requests, renewal{from: which, requestedAt: w.now, acknowledged: w.lessees[which].Acknowledged()})
	case 2: // the leader answers
		if which >= len(w.requests) || len(w.responses) > 1 {
			return false
		}
		m := w.requests[which]
		w.requests = append(append([]renewal(nil), w.requests[:which]...), w.requests[which+1:]...)
		_ = w.leaseTable.Renew(Dispatcher{Name: fmt.Sprint("d", m.from), AcknowledgedVersion: m.acknowledged}, w.now)
		m.record = w.record
		w.responses = append(append([]renewal(nil), w.responses...), m)
	case 3: // an answer arrives
		if which >= len(w.responses) || w.frozen[w.responses[which].from] {
			return false
		}
		m := w.responses[which]
		w.responses = append(append([]renewal(nil), w.responses[:which]...), w.responses[which+1:]...)
		if w.fault == "counted from the answer" {
			m.requestedAt = w.now
		}
		w.lessees[m.from].ApplyLease(m.record, m.requestedAt, w.leaseDuration)
	case 4: // an answer is lost
		if which >= len(w.responses) {
			return false
		}
		w.responses = append(append([]renewal(nil), w.responses[:which]...), w.responses[which+1:]...)
	case 5: // a change is announced
		next, err := w.record.Apply(Entry{Announce: &Version{Number: w.record.InForce.Number}})
		if err != nil {
			return false
		}
		w.record = next
	case 6: // and put in force, if that may be
		a := w.record.Announced
		if a == nil {
			return false
		}
		if may, _ := w.leaseTable.MayPutInForce(a.Number, w.now); !may && w.fault != "not waited" {
			return false
		}
		w.record, _ = w.record.Apply(Entry{PutInForce: a.Number})
	case 7: // another leader, who knows the record
		elected := w.now
		if w.fault == "a new leader does not wait" {
			elected = -100 * timeStep
		}
		w.leaseTable = NewLeaseTable(w.leaseDuration, elected)
	case 8: // a dispatcher freezes or goes on
		if which >= len(w.lessees) {
			return false
		}
		w.frozen = append([]bool(nil), w.frozen...)
		w.frozen[which] = !w.frozen[which]
	}
	return true
}

// contradiction names two dispatchers that could act now on versions with nothing in common.
func (w *fleetModel) contradiction() string {
	for i, a := range w.lessees {
		for j, b := range w.lessees[:i] {
			if x, y := a.Effective(w.now), b.Effective(w.now); !w.frozen[i] && !w.frozen[j] && x.Contradicts(y) {
				return fmt.Sprintf("at %v dispatcher %d acts on %v, %d on %v", w.now, j, y.Versions, i, x.Versions)
			}
		}
	}
	return ""
}

func (w *fleetModel) clone() *fleetModel {
	c := *w
	c.leaseTable = &LeaseTable{w.leaseTable.leaseDuration, w.leaseTable.electedAt, map[string]leaseRecord{}, map[string]AbsentDispatcher{}}
	for k, v := range w.leaseTable.leases {
		c.leaseTable.leases[k] = v
	}
	c.lessees = nil
	for _, h := range w.lessees {
		copied := *h
		c.lessees = append(c.lessees, &copied)
	}
	return &c
}

// key is a state as far as it matters for what may follow: dispatchers are alike, and so are the orders of messages.
func (w *fleetModel) key(limits [9]int) string {
	add := func(to []byte, all ...int64) []byte {
		for _, n := range all {
			to = append(to, byte(n)) // small numbers: 12 steps lead to no others
		}
		return to
	}
	announced := int64(-1)
	if a := w.record.Announced; a != nil {
		announced = int64(a.Number)
	}
	key := add(make([]byte, 0, 96), int64(w.now/timeStep), int64(w.record.Revision), int64(w.record.InForce.Number), announced, int64(max(w.leaseTable.electedAt, -timeStep)/timeStep))
	for _, n := range limits {
		key = add(key, int64(n))
	}
	parts := make([]string, len(w.lessees))
	for i, h := range w.lessees {
		m := w.leaseTable.leases[h.name]
		part := add(make([]byte, 0, 32), int64(h.record.Revision), int64(h.leaseExpiry/timeStep), int64(m.renewedAt/timeStep), int64(m.AcknowledgedVersion))
		if w.frozen[i] {
			part = add(part, -1)
		}
		for which, all := range [][]renewal{w.requests, w.responses} {
			var own []string
			for _, m := range all {
				if m.from == i {
					own = append(own, string(add(nil, int64(-2-which), int64(m.requestedAt/timeStep), int64(m.acknowledged), int64(m.record.Revision))))
				}
			}
			slices.Sort(own)
			part = append(part, strings.Join(own, "")...)
		}
		parts[i] = string(part)
	}
	slices.Sort(parts)
	for _, part := range parts {
		key = append(append(key, part...), 100)
	}
	return string(key)
}

// search goes through all that may happen in so many steps, and gives the first contradiction with the way there.
func search(w *fleetModel, depth int, limits [9]int, seen map[string]int, way []string) []string {
	if c := w.contradiction(); c != "" {
		return append(way, c)
	}
	key := w.key(limits)
	if depth == 0 || seen[key] >= depth {
		return nil
	}
	seen[key] = depth
	for what, left := range limits {
		if left == 0 {
			continue
		}
		for which := range len(w.lessees) {
			if which > 0 && (what == 0 || what >= 5 && what <= 7) {
				break
			}
			next, rest := w.clone(), limits
			if rest[what]--; !next.step(what, which) {
				continue
			}
			if found := search(next, depth-1, rest, seen, append(way, fmt.Sprint(what, ".", which))); found != nil {
				return found
			}
		}
	}
	return nil
}

// All that may happen: to two dispatchers in 12 steps with one change, and to three in 11 with two changes, with a freeze, a
// lost answer and a change of leader. Nothing contradicts; each of three mistakes is found.
func TestLeases_exhaustiveSearch(t *testing.T) {
	for _, c := range []struct {
		dispatchers, depth int
		limits             [9]int
	}{{2, 12, [9]int{4, 2, 2, 2, 0, 1, 1, 1, 1}}, {3, 11, [9]int{3, 3, 2, 2, 1, 2, 2, 1, 1}}} {
		for _, broken := range []string{"", "not waited", "counted from the answer", "a new leader does not wait"} {
			t.Run(fmt.Sprintf("%d dispatchers %s", c.dispatchers, broken), func(t *testing.T) {
				t.Parallel()
				w := newFleetModel(c.dispatchers, broken)
				for i, h := range w.lessees { // all hold leases at the start
					_ = w.leaseTable.Renew(Dispatcher{Name: fmt.Sprint("d", i)}, 0)
					h.ApplyLease(w.record, 0, w.leaseDuration)
				}
				seen := map[string]int{}
				found := search(w, c.depth, c.limits, seen, nil)
				if (found != nil) != (broken != "") {
					t.Errorf("%v", found)
				}
				t.Logf("%d states", len(seen))
			})
		}
	}
}

// Drawn histories of more dispatchers and changes, long ones: nothing contradicts, the council never waits for longer than a
// lease, and who cannot ask is lapsed a lease later.
func TestLeases_randomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFleetModel(rapid.IntRange(2, 5).Draw(t, "dispatchers"), "")
		for range rapid.IntRange(0, 150).Draw(t, "steps") {
			w.step(rapid.SampledFrom([]int{0, 0, 1, 1, 2, 2, 3, 3, 4, 5, 6, 7, 8}).Draw(t, "what"), rapid.IntRange(0, 4).Draw(t, "which"))
			if c := w.contradiction(); c != "" {
				t.Fatal(c)
			}
		}
		if w.record.Announced != nil { // nobody asks any more: it is in force a lease later
			if may, waits := w.leaseTable.MayPutInForce(w.record.Announced.Number, w.now+w.leaseDuration+w.leaseDuration/50); !may {
				t.Fatalf("still waits for %v", waits)
			}
		}
		for _, h := range w.lessees {
			if s := h.Effective(w.now + w.leaseDuration); !s.LeaseExpired || s.Rules.RetriesAllowed {
				t.Fatalf("%+v a lease after the last question", s)
			}
		}
	})
}

// A dispatcher that was told to end said that it leaves, and a renewal of its lease that was still on its way came behind that: the
// leader took it for present until the lease ran out, and had never heard that it left. A process that has left does not renew.
func TestLeaseTable_rejectsRenewalAfterLeaseDropped(t *testing.T) {
	c := NewLeaseTable(time.Second, 0)
	m := Dispatcher{Name: "n7", Instance: "process"}
	if err := c.Renew(m, 1); err != nil {
		t.Fatal(err)
	}
	c.LeaseDropped(m.Name, m.Instance, 2)
	if err := c.Renew(m, 3); err == nil {
		t.Error("a process that has left renews its lease")
	}
	if all := c.AbsentDispatchers(4); len(c.LeaseHolders(4)) != 0 || len(all) != 1 || !all[0].Left {
		t.Errorf("present %v, absent %v", c.LeaseHolders(4), all)
	}
	if err := c.Renew(Dispatcher{Name: "n7", Instance: "its successor"}, 5); err != nil {
		t.Errorf("its successor: %v", err)
	}
}
