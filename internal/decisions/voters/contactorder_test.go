package voters

import (
	"fmt"
	"testing"
)

// TestContactOrder checks that voters of the own zone come first, each for at least a quarter of the dispatchers, then those of the own region,
// and that learners are left out.
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
			t.Fatalf("contact order %+v", order)
		}
		timesFirst[order[0].ID]++
	}
	if timesFirst[1] < 25 || timesFirst[2] < 25 {
		t.Errorf("voters are first so often: %v", timesFirst)
	}
}
