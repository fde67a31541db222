package voters

import "time"

// Status is what the raft leader observes of a voter or learner.
type Status struct {
	Voter
	SilentFor     time.Duration `json:"Silent"` // since the raft log last received a message from it; 0 for the leader itself
	EntriesBehind uint64        `json:"Behind"` // log entries that it has not acknowledged yet
	IsLeader      bool          `json:"Leads,omitempty"`
}
