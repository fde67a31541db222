package voters

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

const testMaxSilence = 30 * time.Second

// groupModel is a raft group whose leader applies each planned change at once.
type groupModel struct {
	statuses []Status
	members  []Candidate
	nextID   uint64
}

// plan returns the next change.
func (g *groupModel) plan() (Change, bool) {
	return PlanChange(g.statuses, g.members, g.nextID, testMaxSilence)
}

// apply applies a change. A learner that joins lacks entriesBehind log entries.
func (g *groupModel) apply(change Change, entriesBehind uint64) {
	if change.AddLearner != nil {
		g.statuses = append(g.statuses, Status{Voter: *change.AddLearner, EntriesBehind: entriesBehind})
		for i := range g.members {
			if g.members[i].Name == change.AddLearner.Name {
				g.members[i].VoterID = g.nextID
			}
		}
		g.nextID++
	}
	for i := range g.statuses {
		switch {
		case g.statuses[i].ID == change.Promote:
			g.statuses[i].Learner = false
		case change.TransferLeadership > 0:
			g.statuses[i].IsLeader = g.statuses[i].ID == change.TransferLeadership
		}
	}
	g.statuses = slices.DeleteFunc(g.statuses, func(status Status) bool { return status.ID == change.Remove })
	for i := range g.members {
		if g.members[i].VoterID == change.Remove {
			g.members[i].VoterID = 0
		}
	}
}

// count returns the number of voters and learners that satisfy a condition.
func (g *groupModel) count(satisfies func(Status) bool) (count int) {
	for _, status := range g.statuses {
		if satisfies(status) {
			count++
		}
	}
	return count
}

// drawGroup returns a group of five voters in three zones, with two to six further dispatchers. All voters are present.
func drawGroup(t *rapid.T) *groupModel {
	t.Helper()
	group := &groupModel{nextID: 6}
	zones := []string{"a", "b", "c"}
	for i := range 5 {
		name := fmt.Sprint("v", i)
		group.statuses = append(group.statuses, Status{Voter: Voter{ID: uint64(i + 1), Address: name, Zone: zones[i%3]}})
		group.members = append(group.members, Candidate{Name: name, Address: name, Zone: zones[i%3], VoterID: uint64(i + 1)})
	}
	for i := range rapid.IntRange(2, 6).Draw(t, "other dispatchers") {
		name := fmt.Sprint("f", i)
		group.members = append(group.members, Candidate{Name: name, Address: name, Zone: zones[rapid.IntRange(0, 2).Draw(t, "zone")]})
	}
	return group
}

// TestPlanChange_replacesAbsentVoters silences one or two of five voters. It checks that the group returns to five present voters, that no
// change reduces the number of present voters, and that the group does not change while all are present.
func TestPlanChange_replacesAbsentVoters(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		group := drawGroup(t)
		if change, ok := group.plan(); ok {
			t.Fatalf("all voters are present, got change %+v, want none", change)
		}
		for n := rapid.IntRange(1, 2).Draw(t, "absent"); n > 0; n-- {
			i := rapid.IntRange(1, 4).Draw(t, "voter")
			group.statuses[i].SilentFor = 2 * testMaxSilence
			group.members = slices.DeleteFunc(group.members, func(member Candidate) bool { return member.Address == group.statuses[i].Address })
		}
		present := func() int {
			return group.count(func(status Status) bool { return !status.Learner && status.SilentFor == 0 })
		}
		for range 20 {
			before := present()
			change, ok := group.plan()
			if !ok {
				break
			}
			group.apply(change, 10)
			if present() < before {
				t.Fatalf("fewer voters are present after %+v", change)
			}
		}
		addresses := map[string]bool{}
		for _, status := range group.statuses {
			addresses[status.Address] = true
		}
		if present() != 5 || len(group.statuses) != 5 || len(addresses) != 5 {
			t.Fatalf("after 20 changes: %+v, want 5 present voters with distinct addresses", group.statuses)
		}
	})
}

// drawDedicatedGroup returns a group of five voters among nine dispatchers. The machines of some are dedicated to control.
func drawDedicatedGroup(t *rapid.T) *groupModel {
	t.Helper()
	group := &groupModel{nextID: 6}
	for i := range 9 {
		name := fmt.Sprint("d", i)
		member := Candidate{Name: name, Address: name, Zone: string("abc"[i%3]), DedicatedToControl: rapid.Bool().Draw(t, "dedicated to control")}
		if i < 5 {
			member.VoterID = uint64(i + 1)
			group.statuses = append(group.statuses, Status{Voter: Voter{ID: member.VoterID, Name: name, Address: name, Zone: member.Zone}, IsLeader: i == 0})
		}
		group.members = append(group.members, member)
	}
	return group
}

// TestPlanChange_prefersDedicatedMachines checks that as many dedicated machines as possible become voters, also in place of the
// leader, and that nothing changes afterwards. The group must have five voters at any time, and the leader must never remove
// itself. A leader whose machine serves jobs is not replaced if no machine is dedicated.
func TestPlanChange_prefersDedicatedMachines(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		group := drawDedicatedGroup(t)
		settled := false
		for range 100 {
			for i := range group.statuses { // the leader receives messages of each voter at random intervals
				if !group.statuses[i].IsLeader {
					group.statuses[i].SilentFor = time.Duration(rapid.IntRange(0, 700).Draw(t, "silent for")) * time.Millisecond
				}
			}
			change, ok := group.plan()
			if !ok {
				settled = true
				break
			}
			if change.Remove > 0 && group.count(func(status Status) bool { return status.ID == change.Remove && status.IsLeader }) > 0 {
				t.Fatalf("the leader removes itself: %+v", change)
			}
			group.apply(change, 0)
			if voters := group.count(func(status Status) bool { return !status.Learner }); voters != 5 {
				t.Fatalf("%d voters after %+v, want 5", voters, change)
			}
		}
		dedicated, dedicatedVoters := 0, 0
		for _, member := range group.members {
			if !member.DedicatedToControl {
				continue
			}
			dedicated++
			dedicatedVoters += group.count(func(status Status) bool { return status.ID == member.VoterID })
		}
		leaders := group.count(func(status Status) bool { return status.IsLeader })
		if want := min(dedicated, 5); !settled || leaders != 1 || len(group.statuses) != 5 || dedicatedVoters != want {
			t.Fatalf("%d dedicated machines vote, want %d; %d leaders, want 1: %+v", dedicatedVoters, want, leaders, group.statuses)
		}
	})
}

// TestPlanChange_lostStorage checks that a voter whose dispatcher is present without its storage is replaced before the
// maximum silence has passed, and that a voter that returns before its learner is promoted is kept.
func TestPlanChange_lostStorage(t *testing.T) {
	group := groupModel{
		statuses: []Status{{Voter: Voter{ID: 1, Address: "a"}}, {Voter: Voter{ID: 2, Address: "b"}, SilentFor: 10 * time.Second}},
		members:  []Candidate{{Name: "a", Address: "a", VoterID: 1}, {Name: "b", Address: "b"}},
		nextID:   3,
	}
	if change, ok := group.plan(); !ok || change.AddLearner == nil || change.AddLearner.Name != "b" || change.AddLearner.ID != 3 {
		t.Errorf("storage lost: change %+v, want learner b with ID 3", change)
	}
	group.statuses = append(group.statuses, Status{Voter: Voter{ID: 3, Address: "b", Learner: true}})
	group.statuses[1].SilentFor = 0
	group.members[1].VoterID = 3
	group.nextID = 4
	if change, ok := group.plan(); !ok || change.Remove != 3 || change.Promote != 0 {
		t.Errorf("voter has returned: change %+v, want the learner removed", change)
	}
}
