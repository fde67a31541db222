package voters

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever happens to seats, a council comes to five that are there, over as many zones as can be, without ever having fewer
// that vote and are there than it had; while all are there nothing moves.
func TestPlanChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const patience = 30 * time.Second
		var council []Status
		var members []Candidate
		zones := []string{"a", "b", "c"}
		for i := range 5 {
			council = append(council, Status{Voter: Voter{ID: uint64(i + 1), Address: fmt.Sprint("v", i), Zone: zones[i%3]}})
			members = append(members, Candidate{Name: fmt.Sprint("v", i), Address: fmt.Sprint("v", i), Zone: zones[i%3], VoterID: uint64(i + 1)})
		}
		for i := range rapid.IntRange(2, 6).Draw(t, "followers") {
			members = append(members, Candidate{Name: fmt.Sprint("f", i), Address: fmt.Sprint("f", i), Zone: zones[rapid.IntRange(0, 2).Draw(t, "zone")]})
		}
		if m, ok := PlanChange(council, members, 6, patience); ok {
			t.Fatalf("nobody is gone, and %+v", m)
		}
		next := uint64(6)
		for n := rapid.IntRange(1, 2).Draw(t, "gone"); n > 0; n-- {
			i := rapid.IntRange(1, 4).Draw(t, "who")
			council[i].SilentFor = 2 * patience
			members = slices.DeleteFunc(members, func(m Candidate) bool { return m.Address == council[i].Address })
		}
		there := func() (n int) {
			for _, p := range council {
				if !p.Learner && p.SilentFor == 0 {
					n++
				}
			}
			return n
		}
		for range 20 {
			before := there()
			m, ok := PlanChange(council, members, next, patience)
			if !ok {
				break
			}
			if m.AddLearner != nil {
				council = append(council, Status{Voter: *m.AddLearner, EntriesBehind: 10})
				for i := range members {
					if members[i].Name == m.AddLearner.Name {
						members[i].VoterID = next
					}
				}
				next++
			}
			council = slices.DeleteFunc(council, func(p Status) bool { return p.ID == m.Remove })
			for i := range council {
				if council[i].ID == m.Promote {
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
	// Machines that are set aside have the seats in the end, as many as there are, also the leader's, and wherever seats were
	// before; then nothing moves.
	rapid.Check(t, func(t *rapid.T) {
		var council []Status
		var members []Candidate
		for i := range 9 {
			m := Candidate{Name: fmt.Sprint("d", i), Address: fmt.Sprint("d", i), Zone: string("abc"[i%3]), DedicatedToControl: rapid.Bool().Draw(t, "set aside")}
			if i < 5 {
				m.VoterID = uint64(i + 1)
				council = append(council, Status{Voter: Voter{ID: m.VoterID, Name: m.Name, Address: m.Address, Zone: m.Zone}, IsLeader: i == 0})
			}
			members = append(members, m)
		}
		next, still := uint64(6), 0
		for range 100 {
			for i := range council { // as the log hears of a seat now and then
				if !council[i].IsLeader {
					council[i].SilentFor = time.Duration(rapid.IntRange(0, 700).Draw(t, "silent")) * time.Millisecond
				}
			}
			m, ok := PlanChange(council, members, next, 30*time.Second)
			if !ok {
				still++
				break
			}
			if m.AddLearner != nil {
				council = append(council, Status{Voter: *m.AddLearner})
				for i := range members {
					if members[i].Name == m.AddLearner.Name {
						members[i].VoterID = next
					}
				}
				next++
			}
			for i := range council {
				switch {
				case council[i].ID == m.Promote:
					council[i].Learner = false
				case m.TransferLeadership > 0:
					council[i].IsLeader = council[i].ID == m.TransferLeadership
				case council[i].ID == m.Remove && council[i].IsLeader:
					t.Fatalf("the leader unseats itself: %+v", m)
				}
			}
			council = slices.DeleteFunc(council, func(p Status) bool { return p.ID == m.Remove })
			for i := range members {
				if members[i].VoterID == m.Remove {
					members[i].VoterID = 0
				}
			}
			voters := 0
			for _, p := range council {
				if !p.Learner {
					voters++
				}
			}
			if voters != 5 {
				t.Fatalf("%d vote behind %+v", voters, m)
			}
		}
		aside, seated, leads := 0, 0, 0
		for _, m := range members {
			if m.DedicatedToControl {
				aside++
			}
		}
		for _, p := range council {
			for _, m := range members {
				if m.VoterID == p.ID && m.DedicatedToControl {
					seated++
				}
			}
			if p.IsLeader {
				leads++
			}
		}
		// A leader that serves jobs stays where no seat is set aside: nobody may take its place.
		if want := min(aside, 5); still == 0 || leads != 1 || len(council) != 5 || seated != want {
			t.Fatalf("%d of %d set aside have seats, %d lead: %+v", seated, want, leads, council)
		}
	})
	// A seat whose dispatcher is there without its disk is given away sooner; one that is back before its heir votes keeps it.
	council := []Status{{Voter: Voter{ID: 1, Address: "a"}}, {Voter: Voter{ID: 2, Address: "b"}, SilentFor: 10 * time.Second}}
	members := []Candidate{{Name: "a", Address: "a", VoterID: 1}, {Name: "b", Address: "b"}}
	if m, ok := PlanChange(council, members, 3, 30*time.Second); !ok || m.AddLearner == nil || m.AddLearner.Name != "b" || m.AddLearner.ID != 3 {
		t.Errorf("%+v", m)
	}
	council = append(council, Status{Voter: Voter{ID: 3, Address: "b", Learner: true}})
	council[1].SilentFor = 0
	members[1].VoterID = 3
	if m, ok := PlanChange(council, members, 4, 30*time.Second); !ok || m.Remove != 3 || m.Promote != 0 {
		t.Errorf("%+v", m)
	}
}

// A first council is founded once, by voters that all are there; who comes with another file than it was founded with does
// not vote, whatever of the others it hears.
func TestDecideFounding(t *testing.T) {
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
			switch what, roll := DecideFounding(id, file[id], others, voters); what {
			case VoteToFound:
				if spent[id] {
					t.Fatalf("seat %d votes again with %s", id, file[id])
				}
				rolls[id] = roll
				founded = true
			case WaitForFounders:
				if len(others) == voters-1 {
					t.Fatal("all are there, and it waits")
				}
			}
		}
	})
}

// A dispatcher asks its own zone first, and a fleet's questions are spread.
func TestContactOrder(t *testing.T) {
	council := []Voter{{ID: 1, Zone: "a", Region: "n"}, {ID: 2, Zone: "a", Region: "n"}, {ID: 3, Zone: "b", Region: "n"}, {ID: 4, Zone: "c", Region: "s"}, {ID: 5, Zone: "a", Learner: true}}
	firsts := map[uint64]int{}
	for i := range 100 {
		order := ContactOrder(council, fmt.Sprint("n", i), "n", "a")
		if len(order) != 4 || order[2].ID != 3 || order[3].ID != 4 {
			t.Fatalf("%+v", order)
		}
		firsts[order[0].ID]++
	}
	if firsts[1] < 25 || firsts[2] < 25 {
		t.Errorf("%v", firsts)
	}
}
