package voters

// Candidate is a dispatcher that holds a lease, whether it votes already or may become a voter.
type Candidate struct {
	Name               string
	Address            string // empty where it cannot become a voter
	Region             string
	Zone               string
	VoterID            uint64 // of the voter or learner that it is; 0 for none
	DedicatedToControl bool   // its machine serves no jobs, and is preferred as a voter
}
