package voters

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
)

// ContactOrder returns the voters, without learners, in the order in which the dispatcher with the given name, region and zone
// should contact them: first the voters of its zone, then of its region, then the others. The order of voters at the same
// distance depends on the dispatcher's name, so that the fleet's requests are spread over them.
func ContactOrder(voters []Voter, name, region, zone string) []Voter {
	var order []Voter
	for _, voter := range voters {
		if !voter.Learner {
			order = append(order, voter)
		}
	}
	slices.SortFunc(order, func(a, b Voter) int {
		return cmp.Or(
			cmp.Compare(a.distance(region, zone), b.distance(region, zone)),
			cmp.Compare(a.contactHash(name), b.contactHash(name)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return order
}

// distance returns 0 for a voter in the zone, 1 for another one in the region, and 2 for all others.
func (v Voter) distance(region, zone string) int {
	switch {
	case v.Zone == zone && v.Region == region:
		return 0
	case v.Region == region:
		return 1
	}
	return 2
}

// contactHash returns a number that orders voters at the same distance for the dispatcher with the given name.
func (v Voter) contactHash(name string) uint64 {
	const spread = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio: names that differ little get numbers far apart
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s %d", name, v.ID) // writing to a hash never fails
	return hash.Sum64() * spread >> 7
}
