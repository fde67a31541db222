package effectivestate

import (
	"fmt"
	"testing"
	"time"
)

// TestContradictionTime checks that FromLog and ContradictionTime compute from two logs how long the processes contradicted each other.
func TestContradictionTime(t *testing.T) {
	at := time.UnixMilli(1_000_000)
	line := func(ms int, versions string, leaseExpired bool) string {
		return fmt.Sprintf("level=INFO msg=\"config version applied\" versions=%s lease_expired=%t at_ms=%d\n", versions, leaseExpired, 1_000_000+ms)
	}
	a := line(0, "[1]", false) + line(500, "\"[1 2]\"", false) + line(900, "[2]", false)
	for _, c := range []struct {
		log                     string
		absences                []Period
		contradiction, unleased int
	}{
		{line(0, "[1]", false), nil, 1100, 0},
		{line(0, "[1]", false) + line(850, "\"[1 2]\"", false), nil, 0, 0},
		{line(0, "[1]", false) + line(950, "[1]", true), nil, 50, 1050},
		{line(0, "[1]", false) + line(1500, "[2]", false), []Period{{at.Add(600 * time.Millisecond), at.Add(1500 * time.Millisecond)}}, 0, 0},
	} {
		end := at.Add(2 * time.Second)
		contradiction, unleased := ContradictionTime([][]State{FromLog(a, end, nil), FromLog(c.log, end, c.absences)})
		if contradiction != time.Duration(c.contradiction)*time.Millisecond || unleased != time.Duration(c.unleased)*time.Millisecond {
			t.Errorf("log %q: contradiction for %v with leases, for %v without a lease", c.log, contradiction, unleased)
		}
	}
}
