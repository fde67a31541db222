package voters

// Candidate is a dispatcher that holds a lease. It may already be a voter or learner.
type Candidate struct {
	Name               string
	Address            string // empty if it cannot become a voter
	Region             string
	Zone               string
	VoterID            uint64 // its ID as a voter or learner; 0 if it is neither
	DedicatedToControl bool   // its machine serves no jobs, and is preferred as a voter
}
