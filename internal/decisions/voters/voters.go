// Package voters decides which dispatchers vote in the fleet's raft group: who may found it, which voter is replaced by whom,
// and in which order a dispatcher contacts them. Values in, verdicts out: no I/O, no clock, no goroutine.
package voters

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

// Voter is a place in the council.
type Voter struct {
	ID      uint64 `json:"id"`
	Name    string `json:"name,omitempty"` // of the dispatcher; empty for one of the first council
	Address string `json:"address"`
	Region  string `json:"region,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Learner bool   `json:"learner,omitempty"` // it gets the log and does not vote yet
}

// Candidate is a dispatcher that holds a lease: one that votes already, or one that may be asked to.
type Candidate struct {
	Name               string
	Address            string
	Region             string
	Zone               string
	VoterID            uint64 // under which it votes or learns; 0 for none
	DedicatedToControl bool   // its machine serves no jobs, and is preferred as a voter
}

// Status is what the leader sees of a seat.
type Status struct {
	Voter
	SilentFor     time.Duration `json:"Silent"` // since the log last heard of it; 0 for the leader's own
	EntriesBehind uint64        `json:"Behind"` // entries that it has not got yet
	IsLeader      bool          `json:"Leads,omitempty"`
}

// Change changes one thing about the council.
type Change struct {
	AddLearner         *Voter // takes this one in as a learner
	Promote            uint64 // this learner votes from now on ...
	Remove             uint64 // ... in place of this seat, or this one goes
	TransferLeadership uint64 // this seat is to lead in place of the leader
}

const (
	maxEntriesBehind = 64 // entries
	presentDivisor   = 4  // times the patience that a learner has to catch up
)

// PlanChange tells what the leader does about a council of which a seat has been silent for longer than patience: a dispatcher
// that holds a lease learns the log, and takes the silent one's place once it has caught up. So does one whose machine is set
// aside for control and has no seat, in place of a dispatcher that serves jobs; such a one that leads yields first. Nothing
// is done while a seat is silent for a moment, one thing at a time, and never one that would leave fewer seats that are there than now. members are
// who holds a lease. The one who is taken has its machine set aside for control, if there is such a one, and is of the region
// and zone with the fewest seats.
func PlanChange(statuses []Status, members []Candidate, nextID uint64, maxSilence time.Duration) (m Change, ok bool) {
	var replaced, learner, spare, aside *Status // spare sits at a dispatcher that serves jobs, aside on a machine set aside
	for i := range statuses {
		p := &statuses[i]
		for _, m := range members {
			switch {
			case m.VoterID != p.ID || p.Learner || p.SilentFor >= maxSilence/presentDivisor: // the log hears of each a few times a second
			case !m.DedicatedToControl && (spare == nil || spare.IsLeader):
				spare = p
			case m.DedicatedToControl && p.EntriesBehind <= maxEntriesBehind:
				aside = p
			}
		}
		lost := slices.ContainsFunc(members, func(m Candidate) bool { return m.Address == p.Address && m.VoterID != p.ID && m.VoterID == 0 })
		switch {
		case p.Learner:
			learner = p
		case p.SilentFor > maxSilence || lost && p.SilentFor > maxSilence/presentDivisor: // its dispatcher is there, and without its disk
			if replaced == nil || p.SilentFor > replaced.SilentFor {
				replaced = p
			}
		}
	}
	free := func(m Candidate) bool {
		return m.DedicatedToControl && m.Address != "" && (m.VoterID == 0 || learner != nil && m.VoterID == learner.ID)
	}
	if replaced == nil && spare != nil && slices.ContainsFunc(members, free) {
		if spare.IsLeader {
			if learner == nil && aside != nil {
				return Change{TransferLeadership: aside.ID}, true
			}
		} else {
			replaced = spare
		}
	}
	switch {
	case learner != nil && (replaced == nil || learner.SilentFor > maxSilence):
		return Change{Remove: learner.ID}, true
	case learner != nil && learner.EntriesBehind <= maxEntriesBehind && learner.SilentFor < maxSilence/presentDivisor:
		return Change{Promote: learner.ID, Remove: replaced.ID}, true
	case learner != nil || replaced == nil:
		return Change{}, false
	}
	var best *Candidate
	var least [3]int
	for i := range members {
		m := &members[i]
		if m.VoterID != 0 || m.Address == "" || slices.ContainsFunc(statuses, func(p Status) bool { return p.Address == m.Address && p.ID != replaced.ID }) {
			continue
		}
		has := [3]int{}
		if !m.DedicatedToControl {
			has[0] = 1
		}
		for _, p := range statuses {
			if p.ID == replaced.ID {
				continue
			}
			if p.Region == m.Region {
				has[1]++
			}
			if p.Zone == m.Zone {
				has[2]++
			}
		}
		if best == nil || cmp.Or(slices.Compare(has[:], least[:]), cmp.Compare(m.Name, best.Name)) < 0 {
			best, least = m, has
		}
	}
	if best == nil || replaced == spare && !best.DedicatedToControl {
		return Change{}, false
	}
	return Change{AddLearner: &Voter{ID: nextID, Name: best.Name, Address: best.Address, Region: best.Region, Zone: best.Zone, Learner: true}}, true
}

// ContactOrder gives the seats in the order in which a dispatcher asks them: of its zone first, then of its region, then the others;
// alike ones in an order of its own, so that a fleet's questions are spread.
func ContactOrder(voters []Voter, name, region, zone string) []Voter {
	var order []Voter
	for _, s := range voters {
		if !s.Learner {
			order = append(order, s)
		}
	}
	far := func(s Voter) int {
		switch {
		case s.Zone == zone && s.Region == region:
			return 0
		case s.Region == region:
			return 1
		}
		return 2
	}
	chance := func(s Voter) uint64 {
		h := fnv.New64a()
		fmt.Fprintf(h, "%s %d", name, s.ID)
		return h.Sum64() * 0x9e3779b97f4a7c15 >> 7
	}
	slices.SortFunc(order, func(a, b Voter) int {
		return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(chance(a), chance(b)), cmp.Compare(a.ID, b.ID))
	})
	return order
}

// Founder is what a voter of the first council says of itself before there is a log.
type Founder struct {
	Incarnation    string            `json:"incarnation"`    // drawn when its file was made
	FoundingVoters map[uint64]string `json:"roll,omitempty"` // with whom it founded the council; nil before
}

// FoundingDecision is what a voter of the first council may do.
type FoundingDecision uint8

// What it may.
const (
	WaitForFounders FoundingDecision = iota
	VoteToFound                      // vote
	NotAFounder                      // its file is not the one that the council was founded with: it must not vote under its seat again
)

// DecideFounding tells what the voter in a seat may do, that has not founded yet, by what the others say. A council is founded when
// all its voters are there: later nobody can tell a voter that is late from one that has lost its disk, with its votes.
func DecideFounding(seat uint64, mine string, others map[uint64]Founder, voters int) (FoundingDecision, map[uint64]string) {
	roll := map[uint64]string{seat: mine}
	for id, o := range others {
		if o.FoundingVoters != nil && o.FoundingVoters[seat] != mine {
			return NotAFounder, nil
		}
		roll[id] = o.Incarnation
	}
	if len(roll) < voters {
		return WaitForFounders, nil
	}
	return VoteToFound, roll
}
