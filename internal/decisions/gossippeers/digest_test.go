package gossippeers

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

// TestDigestOf checks that a digest does not depend on the order of the names, and differs for any two sets that are drawn.
func TestDigestOf(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringN(1, 12, -1), 1, 30, rapid.ID[string]).Draw(t, "names")
		other := slices.Clone(names)
		slices.Reverse(other)
		if DigestOf(names) != DigestOf(other) {
			t.Fatal("the digest depends on the order")
		}
		if DigestOf(names) == DigestOf(names[1:]) {
			t.Fatal("the digest without one name is the same")
		}
		other[0] += "x"
		if !slices.Contains(names, other[0]) && DigestOf(names) == DigestOf(other) {
			t.Fatal("the digest with another name is the same")
		}
	})
}
