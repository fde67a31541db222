package voters

import (
	"fmt"
	"testing"
)

// TestContactOrder checks that voters of the dispatcher's zone come first, then voters of its region, and that learners are left
// out. Each of the two voters of the zone must be the first one for at least a quarter of the dispatchers.
func TestContactOrder(t *testing.T) {
	voters := []Voter{
		{ID: 1, Zone: "a", Region: "n"},
		{ID: 2, Zone: "a", Region: "n"},
		{ID: 3, Zone: "b", Region: "n"},
		{ID: 4, Zone: "c", Region: "s"},
		{ID: 5, Zone: "a", Learner: true},
	}
	timesFirst := map[uint64]int{}
	for i := range 100 {
		order := ContactOrder(voters, fmt.Sprint("n", i), "n", "a")
		if len(order) != 4 || order[2].ID != 3 || order[3].ID != 4 {
			t.Fatalf("contact order %+v, want 4 voters with 3 and 4 last", order)
		}
		timesFirst[order[0].ID]++
	}
	if timesFirst[1] < 25 || timesFirst[2] < 25 {
		t.Errorf("times that each voter comes first: %v, want at least 25 for voters 1 and 2", timesFirst)
	}
}
