package effectivestate

import (
	"fmt"
	"testing"
	"time"
)

// TestContradictionTime: what processes acted on is read from their logs, and so is how long two of them contradicted each other.
func TestContradictionTime(t *testing.T) {
	at := time.UnixMilli(1_000_000)
	line := func(ms int, versions string, lapsed bool) string {
		return fmt.Sprintf("level=INFO msg=\"config version applied\" versions=%s lease_expired=%t at_ms=%d\n", versions, lapsed, 1_000_000+ms)
	}
	a := line(0, "[1]", false) + line(500, "\"[1 2]\"", false) + line(900, "[2]", false)
	for _, c := range []struct {
		log                   string
		absences              []Period
		contradiction, lapsed int
	}{
		{line(0, "[1]", false), nil, 1100, 0},
		{line(0, "[1]", false) + line(850, "\"[1 2]\"", false), nil, 0, 0},
		{line(0, "[1]", false) + line(950, "[1]", true), nil, 50, 1050},
		{line(0, "[1]", false) + line(1500, "[2]", false), []Period{{at.Add(600 * time.Millisecond), at.Add(1500 * time.Millisecond)}}, 0, 0},
	} {
		end := at.Add(2 * time.Second)
		contradiction, lapsed := ContradictionTime([][]State{FromLog(a, end, nil), FromLog(c.log, end, c.absences)})
		if contradiction != time.Duration(c.contradiction)*time.Millisecond || lapsed != time.Duration(c.lapsed)*time.Millisecond {
			t.Errorf("%q: contradiction for %v, without a lease %v", c.log, contradiction, lapsed)
		}
	}
}
