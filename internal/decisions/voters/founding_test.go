package voters

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

// foundersModel is three founding voters, of which one may lose its storage after the group is founded.
type foundersModel struct {
	incarnations map[uint64]string            // of each voter's storage
	founded      map[uint64]map[uint64]string // incarnations with which each voter founded the group
	lostVotes    map[uint64]bool              // voters that voted together with others and have lost the storage of these votes
	created      int                          // number of storages created
}

const foundingVoters = 3

// createStorage gives a voter new, empty storage.
func (m *foundersModel) createStorage(id uint64) {
	m.created++
	m.incarnations[id] = fmt.Sprint("file ", m.created)
	delete(m.founded, id)
}

// loseStorage loses a voter's storage. If no other voter has founded the group, the voter cannot have been part of a majority.
func (m *foundersModel) loseStorage(id uint64) {
	m.lostVotes[id] = m.lostVotes[id] || m.founded[id] != nil && len(m.founded) > 1
	m.createStorage(id)
}

// TestDecideFounding checks that a group is founded once, while all founding voters are present. It also checks that a voter
// whose storage is not the one with which it founded the group does not vote, regardless of which other voters it reaches. Only
// one voter loses its storage, because the loss of a majority's storage cannot be recovered.
func TestDecideFounding(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		model := foundersModel{incarnations: map[uint64]string{}, founded: map[uint64]map[uint64]string{}, lostVotes: map[uint64]bool{}}
		for id := range uint64(foundingVoters) {
			model.createStorage(id + 1)
		}
		founded := false
		lostStorageID := uint64(rapid.IntRange(1, foundingVoters).Draw(t, "voter that loses its storage"))
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			id := uint64(rapid.IntRange(1, foundingVoters).Draw(t, "voter"))
			if founded && id == lostStorageID && rapid.IntRange(0, 2).Draw(t, "loses its storage") == 0 {
				model.loseStorage(id)
			}
			if model.founded[id] != nil {
				continue
			}
			others := map[uint64]Founder{}
			for i := range uint64(foundingVoters) {
				if other := i + 1; other != id && (founded || rapid.Bool().Draw(t, "reached")) {
					others[other] = Founder{model.incarnations[other], model.founded[other]}
				}
			}
			switch decision, incarnations := DecideFounding(id, model.incarnations[id], others, foundingVoters); decision {
			case VoteToFound:
				if model.lostVotes[id] {
					t.Fatalf("voter %d lost its storage and votes again with %s", id, model.incarnations[id])
				}
				model.founded[id] = incarnations
				founded = true
			case WaitForFounders:
				if len(others) == foundingVoters-1 {
					t.Fatalf("voter %d waits though all founding voters are present", id)
				}
			}
		}
	})
}
