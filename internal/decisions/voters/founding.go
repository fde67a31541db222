package voters

// Founder is what a founding voter sends to the others before there is a raft log.
type Founder struct {
	Incarnation    string            `json:"incarnation"`    // random ID of its storage, drawn at its creation
	FoundingVoters map[uint64]string `json:"roll,omitempty"` // incarnations of all founding voters, by voter ID, when this one founded the group; nil before the founding
}

// FoundingDecision says what a founding voter may do.
type FoundingDecision uint8

const (
	// WaitForFounders says that other founding voters have not been reached yet.
	WaitForFounders FoundingDecision = iota
	// VoteToFound says that the voter may vote.
	VoteToFound
	// NotAFounder says that the group was founded with other storage of this voter: it must not vote under its ID again.
	NotAFounder
)

// DecideFounding returns what a voter may do before it has founded the group. id and incarnation are those of this voter, others
// are the founding voters that it has reached, by ID, and voters is the number of founding voters. If the decision is
// VoteToFound, DecideFounding also returns the incarnations of all founding voters, which the voter must store before it votes.
//
// The group is founded only when all founding voters are reached. Otherwise a voter that starts after the founding could not be
// distinguished from a voter that has lost its storage and therefore does not know which votes it has cast.
func DecideFounding(id uint64, incarnation string, others map[uint64]Founder, voters int) (FoundingDecision, map[uint64]string) {
	incarnations := map[uint64]string{id: incarnation}
	for otherID, other := range others {
		if other.FoundingVoters != nil && other.FoundingVoters[id] != incarnation {
			return NotAFounder, nil
		}
		incarnations[otherID] = other.Incarnation
	}
	if len(incarnations) < voters {
		return WaitForFounders, nil
	}
	return VoteToFound, incarnations
}
