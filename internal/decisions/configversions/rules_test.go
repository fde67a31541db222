package configversions

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

// drawRules draws rules with up to three detached workers.
func drawRules(t *rapid.T, name string) Rules {
	t.Helper()
	rules := Rules{
		RetryRatio:     rapid.SampledFrom([]float64{-1, 0, 0.1, 1}).Draw(t, name+" retry ratio"),
		RetriesAllowed: rapid.Bool().Draw(t, name+" retries allowed"),
	}
	for _, id := range []string{"a", "b", "c"} {
		if rapid.Bool().Draw(t, name+" detaches "+id) {
			rules.DetachedWorkers = append(rules.DetachedWorkers, id)
		}
	}
	return rules
}

// permitsNoMoreThan reports whether b permits everything that a permits.
func permitsNoMoreThan(a, b Rules) bool {
	if b.RetryRatio >= 0 && (a.RetryRatio < 0 || a.RetryRatio > b.RetryRatio) || a.RetriesAllowed && !b.RetriesAllowed {
		return false
	}
	for _, id := range b.DetachedWorkers {
		found := false
		for _, other := range a.DetachedWorkers {
			found = found || other == id
		}
		if !found {
			return false
		}
	}
	return true
}

// TestRulesStricter_permitsOnlyWhatBothPermit checks that stricter rules permit only what both rules permit, and that Stricter is
// commutative and idempotent.
func TestRulesStricter_permitsOnlyWhatBothPermit(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		a, b := drawRules(t, "a"), drawRules(t, "b")
		stricter, reversed := a.Stricter(b), b.Stricter(a)
		if !permitsNoMoreThan(stricter, a) || !permitsNoMoreThan(stricter, b) || fmt.Sprint(stricter) != fmt.Sprint(reversed) ||
			fmt.Sprint(stricter.Stricter(stricter)) != fmt.Sprint(stricter) {
			t.Fatalf("%+v and %+v: stricter %+v, reversed %+v", a, b, stricter, reversed)
		}
	})
}
