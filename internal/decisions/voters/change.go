package voters

// Change is one change of the raft group. Exactly one of AddLearner, Remove and TransferLeadership is set. Promote
// may be set together with Remove.
type Change struct {
	AddLearner         *Voter // joins the group as a learner
	Promote            uint64 // ID of a learner that votes from now on, in place of the voter Remove
	Remove             uint64 // ID of a voter or learner that leaves the group
	TransferLeadership uint64 // ID of the voter that becomes the leader
}
