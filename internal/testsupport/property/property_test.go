package property

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestCheck_repeatable: Check draws the same cases each time.
func TestCheck_repeatable(t *testing.T) {
	draw := func() (drawn []int) {
		Check(t, func(t *rapid.T) { drawn = append(drawn, rapid.Int().Draw(t, "number")) })
		return drawn
	}
	first, second := draw(), draw()
	if len(first) == 0 || !slices.Equal(first, second) {
		t.Errorf("expected the same cases twice, got %d, then %d, which differ", len(first), len(second))
	}
}
