package voters

// Voter is a member of the raft group.
type Voter struct {
	ID      uint64 `json:"id"`             // never 0, and never reused for another dispatcher
	Name    string `json:"name,omitempty"` // of the dispatcher; empty for a founding voter
	Address string `json:"address"`
	Region  string `json:"region,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Learner bool   `json:"learner,omitempty"` // it receives the log and does not vote yet
}
