package agreement

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

// Seat is a place in the council.
type Seat struct {
	ID      uint64 `json:"id"`
	Name    string `json:"name,omitempty"` // of the dispatcher; empty for one of the first council
	Address string `json:"address"`
	Region  string `json:"region,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Learner bool   `json:"learner,omitempty"` // it gets the log and does not vote yet
}

// Place is what the leader sees of a seat.
type Place struct {
	Seat
	Silent time.Duration `json:"Silent"` // since the log last heard of it; 0 for the leader's own
	Behind uint64        `json:"Behind"` // entries that it has not got yet
	Leads  bool          `json:"Leads,omitempty"`
}

// Move changes one thing about the council.
type Move struct {
	Learn  *Seat  // takes this one in as a learner
	Seat   uint64 // this learner votes from now on ...
	Unseat uint64 // ... in place of this seat, or this one goes
	Yield  uint64 // this seat is to lead in place of the leader
}

const (
	caughtUp   = 64 // entries
	learnSpans = 4  // times the patience that a learner has to catch up
)

// Reseat tells what the leader does about a council of which a seat has been silent for longer than patience: a dispatcher
// that holds a lease learns the log, and takes the silent one's place once it has caught up. So does one whose machine is set
// aside for control and has no seat, in place of a dispatcher that serves jobs; such a one that leads yields first. Nothing
// is done while a seat is silent for a moment, one thing at a time, and never one that would leave fewer seats that are there than now. members are
// who holds a lease. The one who is taken has its machine set aside for control, if there is such a one, and is of the region
// and zone with the fewest seats.
func Reseat(council []Place, members []Member, next uint64, patience time.Duration) (m Move, ok bool) {
	var gone, learner, spare, aside *Place // spare sits at a dispatcher that serves jobs, aside on a machine set aside
	for i := range council {
		p := &council[i]
		for _, m := range members {
			switch {
			case m.Seat != p.ID || p.Learner || p.Silent >= patience/learnSpans: // the log hears of each a few times a second
			case !m.SetAside && (spare == nil || spare.Leads):
				spare = p
			case m.SetAside && p.Behind <= caughtUp:
				aside = p
			}
		}
		lost := slices.ContainsFunc(members, func(m Member) bool { return m.Address == p.Address && m.Seat != p.ID && m.Seat == 0 })
		switch {
		case p.Learner:
			learner = p
		case p.Silent > patience || lost && p.Silent > patience/learnSpans: // its dispatcher is there, and without its disk
			if gone == nil || p.Silent > gone.Silent {
				gone = p
			}
		}
	}
	free := func(m Member) bool {
		return m.SetAside && m.Address != "" && (m.Seat == 0 || learner != nil && m.Seat == learner.ID)
	}
	if gone == nil && spare != nil && slices.ContainsFunc(members, free) {
		if spare.Leads {
			if learner == nil && aside != nil {
				return Move{Yield: aside.ID}, true
			}
		} else {
			gone = spare
		}
	}
	switch {
	case learner != nil && (gone == nil || learner.Silent > patience):
		return Move{Unseat: learner.ID}, true
	case learner != nil && learner.Behind <= caughtUp && learner.Silent < patience/learnSpans:
		return Move{Seat: learner.ID, Unseat: gone.ID}, true
	case learner != nil || gone == nil:
		return Move{}, false
	}
	var best *Member
	var least [3]int
	for i := range members {
		m := &members[i]
		if m.Seat != 0 || m.Address == "" || slices.ContainsFunc(council, func(p Place) bool { return p.Address == m.Address && p.ID != gone.ID }) {
			continue
		}
		has := [3]int{}
		if !m.SetAside {
			has[0] = 1
		}
		for _, p := range council {
			if p.ID == gone.ID {
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
	if best == nil || gone == spare && !best.SetAside {
		return Move{}, false
	}
	return Move{Learn: &Seat{ID: next, Name: best.Name, Address: best.Address, Region: best.Region, Zone: best.Zone, Learner: true}}, true
}

// Ask gives the seats in the order in which a dispatcher asks them: of its zone first, then of its region, then the others;
// alike ones in an order of its own, so that a fleet's questions are spread.
func Ask(council []Seat, name, region, zone string) []Seat {
	var order []Seat
	for _, s := range council {
		if !s.Learner {
			order = append(order, s)
		}
	}
	far := func(s Seat) int {
		switch {
		case s.Zone == zone && s.Region == region:
			return 0
		case s.Region == region:
			return 1
		}
		return 2
	}
	chance := func(s Seat) uint64 {
		h := fnv.New64a()
		fmt.Fprintf(h, "%s %d", name, s.ID)
		return h.Sum64() * 0x9e3779b97f4a7c15 >> 7
	}
	slices.SortFunc(order, func(a, b Seat) int {
		return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(chance(a), chance(b)), cmp.Compare(a.ID, b.ID))
	})
	return order
}

// Founder is what a voter of the first council says of itself before there is a log.
type Founder struct {
	Incarnation string            `json:"incarnation"`    // drawn when its file was made
	Roll        map[uint64]string `json:"roll,omitempty"` // with whom it founded the council; nil before
}

// Founding is what a voter of the first council may do.
type Founding uint8

// What it may.
const (
	Wait  Founding = iota
	Found          // vote
	Spare          // its file is not the one that the council was founded with: it must not vote under its seat again
)

// Begin tells what the voter in a seat may do, that has not founded yet, by what the others say. A council is founded when
// all its voters are there: later nobody can tell a voter that is late from one that has lost its disk, with its votes.
func Begin(seat uint64, mine string, others map[uint64]Founder, voters int) (Founding, map[uint64]string) {
	roll := map[uint64]string{seat: mine}
	for id, o := range others {
		if o.Roll != nil && o.Roll[seat] != mine {
			return Spare, nil
		}
		roll[id] = o.Incarnation
	}
	if len(roll) < voters {
		return Wait, nil
	}
	return Found, roll
}
