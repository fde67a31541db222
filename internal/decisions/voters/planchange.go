package voters

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxEntriesBehind is the maximum number of log entries that a voter or learner may lack to count as caught up.
	maxEntriesBehind = 64

	// A voter that has been silent for the maximum silence divided by presentDivisor no longer counts as present. A present voter
	// sends the leader several messages per second.
	presentDivisor = 4
)

// PlanChange returns the next change of the raft group that its leader should make; ok is false if there is none. The leader
// calls it repeatedly, but not before the last change has been applied or has failed.
//
// statuses are the voters and learners, members the dispatchers that hold leases, and nextID is the ID for a new learner. A voter
// that has been silent for longer than maxSilence is replaced: a dispatcher joins as a learner. Once it has caught up, it is
// promoted and the voter is removed in one change. If the dispatcher of a voter holds a lease and reports that it is not a voter,
// the voter has lost its storage. It is then replaced after a quarter of maxSilence.
//
// In the same way, a dispatcher on a machine dedicated to control replaces a voter whose machine serves jobs. If only the leader's
// machine serves jobs, the leader transfers leadership first.
func PlanChange(statuses []Status, members []Candidate, nextID uint64, maxSilence time.Duration) (change Change, ok bool) {
	group := assess(statuses, members, maxSilence)
	if group.replaced == nil && group.servesJobs != nil && group.dedicatedCandidateWaits(members) {
		switch {
		case !group.servesJobs.IsLeader:
			group.replaced = group.servesJobs
		case group.learner == nil && group.dedicated != nil:
			return Change{TransferLeadership: group.dedicated.ID}, true
		}
	}
	if group.learner != nil {
		return group.planForLearner(maxSilence)
	}
	if group.replaced == nil {
		return Change{}, false
	}
	best := bestCandidate(statuses, members, group.replaced.ID)
	if best == nil || group.replaced == group.servesJobs && !best.DedicatedToControl {
		return Change{}, false
	}
	return Change{AddLearner: &Voter{ID: nextID, Name: best.Name, Address: best.Address, Region: best.Region, Zone: best.Zone, Learner: true}}, true
}

// assessment summarizes the leader's observations of the group. Each field is nil if there is no such member.
type assessment struct {
	replaced   *Status // the voter to replace: the absent voter that has been silent for longest
	learner    *Status
	servesJobs *Status // a present voter whose machine serves jobs; the leader only if there is no other
	dedicated  *Status // a present voter on a machine dedicated to control, which has caught up
}

// assess returns the assessment of a group.
func assess(statuses []Status, members []Candidate, maxSilence time.Duration) assessment {
	var group assessment
	presentSilence := maxSilence / presentDivisor
	for i := range statuses {
		status := &statuses[i]
		if status.Learner {
			group.learner = status
			continue
		}
		if status.SilentFor < presentSilence {
			group.addPresent(status, members)
		}
		absent := status.SilentFor > maxSilence || status.SilentFor > presentSilence && status.lostStorage(members)
		if absent && (group.replaced == nil || status.SilentFor > group.replaced.SilentFor) {
			group.replaced = status
		}
	}
	return group
}

// addPresent records a present voter as servesJobs or dedicated, depending on its machine.
func (g *assessment) addPresent(status *Status, members []Candidate) {
	for _, member := range members {
		switch {
		case member.VoterID != status.ID:
		case !member.DedicatedToControl && (g.servesJobs == nil || g.servesJobs.IsLeader):
			g.servesJobs = status
		case member.DedicatedToControl && status.EntriesBehind <= maxEntriesBehind:
			g.dedicated = status
		}
	}
}

// lostStorage reports whether the voter's dispatcher holds a lease and reports that it is not a voter.
func (s *Status) lostStorage(members []Candidate) bool {
	return slices.ContainsFunc(members, func(member Candidate) bool {
		return member.Address == s.Address && member.VoterID != s.ID && member.VoterID == 0
	})
}

// dedicatedCandidateWaits reports whether a dispatcher on a machine dedicated to control is not a voter yet.
func (g *assessment) dedicatedCandidateWaits(members []Candidate) bool {
	return slices.ContainsFunc(members, func(member Candidate) bool {
		waits := member.VoterID == 0 || g.learner != nil && member.VoterID == g.learner.ID
		return member.DedicatedToControl && member.Address != "" && waits
	})
}

// planForLearner returns the next change for the learner. The learner is removed if it replaces no voter or is silent, and promoted
// once it has caught up.
func (g *assessment) planForLearner(maxSilence time.Duration) (change Change, ok bool) {
	switch {
	case g.replaced == nil || g.learner.SilentFor > maxSilence:
		return Change{Remove: g.learner.ID}, true
	case g.learner.EntriesBehind <= maxEntriesBehind && g.learner.SilentFor < maxSilence/presentDivisor:
		return Change{Promote: g.learner.ID, Remove: g.replaced.ID}, true
	}
	return Change{}, false
}

// bestCandidate returns the dispatcher that should replace the voter with the ID replaced; nil if there is none. It prefers machines
// dedicated to control, then the region with the fewest other voters, then the zone with the fewest other voters, then the first
// name.
func bestCandidate(statuses []Status, members []Candidate, replaced uint64) *Candidate {
	others := slices.DeleteFunc(slices.Clone(statuses), func(status Status) bool { return status.ID == replaced })
	var best *Candidate
	var bestRank candidateRank
	for i := range members {
		member := &members[i]
		votes := slices.ContainsFunc(others, func(status Status) bool { return status.Address == member.Address })
		if member.VoterID != 0 || member.Address == "" || votes {
			continue
		}
		rank := rankOf(member, others)
		if best == nil || cmp.Or(rank.compare(bestRank), cmp.Compare(member.Name, best.Name)) < 0 {
			best, bestRank = member, rank
		}
	}
	return best
}

// candidateRank orders candidates; the smallest is preferred.
type candidateRank struct {
	servesJobs   int // 1 if its machine serves jobs, 0 if it is dedicated to control
	regionVoters int // other voters and learners in its region
	zoneVoters   int // other voters and learners in its zone
}

// rankOf returns the rank of a candidate given the other voters and learners.
func rankOf(candidate *Candidate, others []Status) candidateRank {
	var rank candidateRank
	if !candidate.DedicatedToControl {
		rank.servesJobs = 1
	}
	for i := range others {
		if others[i].Region == candidate.Region {
			rank.regionVoters++
		}
		if others[i].Zone == candidate.Zone {
			rank.zoneVoters++
		}
	}
	return rank
}

// compare returns a negative number if r is preferred to other, a positive one if other is preferred to r, and 0 if neither is.
func (r candidateRank) compare(other candidateRank) int {
	return cmp.Or(cmp.Compare(r.servesJobs, other.servesJobs), cmp.Compare(r.regionVoters, other.regionVoters), cmp.Compare(r.zoneVoters, other.zoneVoters))
}
