package agreement

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A second process of a name gets no lease before the first's has run out, and then counts as one that knows nothing; one
// that left gives way at once.
func TestNameInUse(t *testing.T) {
	c := NewCouncil(2*tick, -100*tick)
	first, second := Member{Name: "n", Instance: "1", Acked: 7}, Member{Name: "n", Instance: "2", Acked: 3}
	if err := errors.Join(c.Renewed(first, 0), c.Renewed(first, tick)); err != nil {
		t.Fatal(err)
	}
	if err := c.Renewed(second, 3*tick); !errors.Is(err, ErrNameInUse) {
		t.Errorf("within the first's lease: %v", err)
	}
	if err := c.Renewed(second, tick+2*tick+tick/10); err != nil {
		t.Error(err)
	}
	if may, waits := c.May(7, 3*tick+tick/10); may || fmt.Sprint(waits) != "[n]" {
		t.Errorf("what the first acknowledged counts for the second: %v %v", may, waits)
	}
	c.Left("n", "1", 0)
	if c.Renewed(first, 4*tick) == nil {
		t.Error("an end of the first was taken for one of the second")
	}
	c.Left("n", "2", 0)
	if err := c.Renewed(first, 4*tick); err != nil {
		t.Error(err)
	}
}

// A trial keeps to about its share of the dispatchers, and of those alone the version is known; one that does harm is
// stopped, one that does none passes, whatever their rate of failures is, and one without jobs ends.
func TestTrial(t *testing.T) {
	in := 0
	trial := &Trial{Share: 0.3, For: 10 * time.Second, Margin: 0.02}
	for i := range 1000 {
		if trial.Has(fmt.Sprint("n", i), 5) {
			in++
		}
	}
	if in < 250 || in > 350 {
		t.Errorf("%d of 1000 try it", in)
	}
	h := NewHolder("n0", Record{})
	announced, err := Record{}.Apply(Entry{Announce: &Version{Rules: Rules{Retries: 0.1, Repeat: true}, Trial: &Trial{Share: 1e-9, For: 1}}})
	if err != nil || !h.Learned(announced) || h.Acknowledged() != 0 || len(h.Stand(0).Versions) != 1 {
		t.Errorf("%v, acknowledged %d, %+v", err, h.Acknowledged(), h.Stand(0))
	}
	if _, err := announced.Apply(Entry{Force: 1}); !errors.Is(err, ErrTrial) {
		t.Error(err)
	}
	widened, err := announced.Apply(Entry{Widen: 1})
	if err != nil || !h.Learned(widened) || h.Acknowledged() != 1 || len(h.Stand(0).Versions) != 2 {
		t.Errorf("widened: %v, %+v", err, h.Stand(0))
	}
	rapid.Check(t, func(t *rapid.T) {
		rate, harm := rapid.Float64Range(0, 0.5).Draw(t, "rate"), rapid.SampledFrom([]float64{0, 0.4}).Draw(t, "harm")
		jobs := rapid.SampledFrom([]int{0, 1000}).Draw(t, "jobs")
		y := NewTrying(5, 0)
		see := func(part float64) {
			for i := range 20 {
				m := Member{Name: fmt.Sprint("n", i), Ended: 100, Bad: 100}
				m.Ended += uint64(part * float64(jobs))
				add := rate
				if trial.Has(m.Name, 5) {
					add += harm
				}
				m.Bad += uint64(part * float64(jobs) * add)
				y.See(m)
			}
		}
		see(0)
		if o, _ := y.Judge(trial, 0); o != Going {
			t.Fatalf("at the start: %v", o)
		}
		see(1)
		want := map[bool]Outcome{true: Stopped, false: Passed}[harm > 0 || jobs == 0]
		if o, why := y.Judge(trial, 30*time.Second); o != want {
			t.Fatalf("%v, %s", o, why)
		}
		if o, _ := y.Judge(trial, time.Second); o == Passed || harm > 0 && jobs > 0 && o != Stopped {
			t.Fatalf("early: %v", o)
		}
	})
}

// Whatever happens to seats, a council comes to five that are there, over as many zones as can be, without ever having fewer
// that vote and are there than it had; while all are there nothing moves.
func TestReseat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const patience = 30 * time.Second
		var council []Place
		var members []Member
		zones := []string{"a", "b", "c"}
		for i := range 5 {
			council = append(council, Place{Seat: Seat{ID: uint64(i + 1), Address: fmt.Sprint("v", i), Zone: zones[i%3]}})
			members = append(members, Member{Name: fmt.Sprint("v", i), Address: fmt.Sprint("v", i), Zone: zones[i%3], Seat: uint64(i + 1)})
		}
		for i := range rapid.IntRange(2, 6).Draw(t, "followers") {
			members = append(members, Member{Name: fmt.Sprint("f", i), Address: fmt.Sprint("f", i), Zone: zones[rapid.IntRange(0, 2).Draw(t, "zone")]})
		}
		if m, ok := Reseat(council, members, 6, patience); ok {
			t.Fatalf("nobody is gone, and %+v", m)
		}
		next := uint64(6)
		for n := rapid.IntRange(1, 2).Draw(t, "gone"); n > 0; n-- {
			i := rapid.IntRange(1, 4).Draw(t, "who")
			council[i].Silent = 2 * patience
			members = slices.DeleteFunc(members, func(m Member) bool { return m.Address == council[i].Address })
		}
		there := func() (n int) {
			for _, p := range council {
				if !p.Learner && p.Silent == 0 {
					n++
				}
			}
			return n
		}
		for range 20 {
			before := there()
			m, ok := Reseat(council, members, next, patience)
			if !ok {
				break
			}
			if m.Learn != nil {
				council = append(council, Place{Seat: *m.Learn, Behind: 10})
				for i := range members {
					if members[i].Name == m.Learn.Name {
						members[i].Seat = next
					}
				}
				next++
			}
			council = slices.DeleteFunc(council, func(p Place) bool { return p.ID == m.Unseat })
			for i := range council {
				if council[i].ID == m.Seat {
					council[i].Learner = false
				}
			}
			if there() < before {
				t.Fatalf("fewer behind %+v", m)
			}
		}
		seen := map[string]bool{}
		for _, p := range council {
			seen[p.Address] = true
		}
		if there() != 5 || len(council) != 5 || len(seen) != 5 {
			t.Fatalf("%+v", council)
		}
	})
	// A seat whose dispatcher is there without its disk is given away sooner; one that is back before its heir votes keeps it.
	council := []Place{{Seat: Seat{ID: 1, Address: "a"}}, {Seat: Seat{ID: 2, Address: "b"}, Silent: 10 * time.Second}}
	members := []Member{{Name: "a", Address: "a", Seat: 1}, {Name: "b", Address: "b"}}
	if m, ok := Reseat(council, members, 3, 30*time.Second); !ok || m.Learn == nil || m.Learn.Name != "b" || m.Learn.ID != 3 {
		t.Errorf("%+v", m)
	}
	council = append(council, Place{Seat: Seat{ID: 3, Address: "b", Learner: true}})
	council[1].Silent = 0
	members[1].Seat = 3
	if m, ok := Reseat(council, members, 4, 30*time.Second); !ok || m.Unseat != 3 || m.Seat != 0 {
		t.Errorf("%+v", m)
	}
}

// A first council is founded once, by voters that all are there; who comes with another file than it was founded with does
// not vote, whatever of the others it hears.
func TestFounding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const voters = 3
		file := map[uint64]string{}
		rolls := map[uint64]map[uint64]string{}
		spent := map[uint64]bool{} // seats that voted beside others, with a file that is lost
		n := 0
		fresh := func(id uint64) {
			n++
			file[id] = fmt.Sprint("file ", n)
			delete(rolls, id)
		}
		for id := range uint64(voters) {
			fresh(id + 1)
		}
		founded := false
		loser := uint64(rapid.IntRange(1, voters).Draw(t, "loser")) // what a majority loses nobody knows any more
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			id := uint64(rapid.IntRange(1, voters).Draw(t, "who"))
			if founded && id == loser && rapid.IntRange(0, 2).Draw(t, "loses its disk") == 0 {
				spent[id] = spent[id] || rolls[id] != nil && len(rolls) > 1 // alone it had no majority with anybody
				fresh(id)
			}
			if rolls[id] != nil {
				continue
			}
			others := map[uint64]Founder{}
			for other := range uint64(voters) {
				if other+1 != id && (founded || rapid.Bool().Draw(t, "reached")) {
					others[other+1] = Founder{file[other+1], rolls[other+1]}
				}
			}
			switch what, roll := Begin(id, file[id], others, voters); what {
			case Found:
				if spent[id] {
					t.Fatalf("seat %d votes again with %s", id, file[id])
				}
				rolls[id] = roll
				founded = true
			case Wait:
				if len(others) == voters-1 {
					t.Fatal("all are there, and it waits")
				}
			}
		}
	})
}

// A dispatcher asks its own zone first, and a fleet's questions are spread.
func TestAsk(t *testing.T) {
	council := []Seat{{ID: 1, Zone: "a", Region: "n"}, {ID: 2, Zone: "a", Region: "n"}, {ID: 3, Zone: "b", Region: "n"}, {ID: 4, Zone: "c", Region: "s"}, {ID: 5, Zone: "a", Learner: true}}
	firsts := map[uint64]int{}
	for i := range 100 {
		order := Ask(council, fmt.Sprint("n", i), "n", "a")
		if len(order) != 4 || order[2].ID != 3 || order[3].ID != 4 {
			t.Fatalf("%+v", order)
		}
		firsts[order[0].ID]++
	}
	if firsts[1] < 25 || firsts[2] < 25 {
		t.Errorf("%v", firsts)
	}
}
