package canary

import (
	"fmt"
	"testing"
	"time"
)

// testRollout returns a canary of 0.3 of the dispatchers.
func testRollout() *Rollout {
	return &Rollout{Share: 0.3, MinDuration: 10 * time.Second, FailureMargin: 0.02}
}

// TestRolloutIncludes_share checks that a canary of 0.3 includes 250 to 350 of 1000 dispatchers.
func TestRolloutIncludes_share(t *testing.T) {
	included := 0
	rollout := testRollout()
	for i := range 1000 {
		if rollout.Includes(fmt.Sprint("n", i), 5) {
			included++
		}
	}
	if included < 250 || included > 350 {
		t.Errorf("the canary includes %d of 1000 dispatchers", included)
	}
}
