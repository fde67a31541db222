package configversions

import (
	"slices"

	"brassdale/internal/decisions/failover"
	"brassdale/internal/decisions/voters"
)

// maxHistory is the largest number of versions that a record retains in each of History and Withdrawn.
const maxHistory = 64

// Record is the fleet's replicated state, which results from applying the entries of the raft log in order. Dispatchers may have
// it at different revisions. A Record is immutable: Apply returns a changed copy.
type Record struct {
	Epoch       uint64         `json:"era,omitempty"`       // increases when the raft group is recovered without its majority
	Revision    uint64         `json:"revision"`            // number of entries that changed the record
	InForce     Version        `json:"in_force"`            // the version that all dispatchers act on
	Announced   *Version       `json:"announced,omitempty"` // the next version; nil if no change is in progress
	History     []Version      `json:"history,omitempty"`   // versions that were in force, the newest last; at most maxHistory
	Withdrawn   []Withdrawal   `json:"withdrawn,omitempty"` // the newest last; at most maxHistory
	Voters      []voters.Voter `json:"council,omitempty"`   // voters and learners of the raft group
	Plan        *failover.Plan `json:"plan,omitempty"`      // which zones serve which requests; nil if failover is off
	ZoneLimits  []ZoneLimit    `json:"holds,omitempty"`     // at most one for each zone
	NextVoterID uint64         `json:"next_seat,omitempty"` // larger than every voter ID ever used
}

// Voter returns the voter or learner with the given ID.
func (r Record) Voter(id uint64) (voters.Voter, bool) {
	i := slices.IndexFunc(r.Voters, func(voter voters.Voter) bool { return voter.ID == id })
	if i < 0 {
		return voters.Voter{}, false
	}
	return r.Voters[i], true
}

// WithoutHistory returns r without History and Withdrawn, which may be most of its size. Acting on a record needs neither.
func (r Record) WithoutHistory() Record {
	r.History, r.Withdrawn = nil, nil
	return r
}

// NewerThan reports whether r is newer than other: of a later epoch, or of the same epoch with a larger revision.
func (r Record) NewerThan(other Record) bool {
	return r.Epoch > other.Epoch || r.Epoch == other.Epoch && r.Revision > other.Revision
}
